// Expiry times are not ordered, since they depend on each caller's timeout, so expiry scans the
// queue.
#include "startup_queue.h"

#include <algorithm>

namespace endivecleat {

bool StartupQueue::Add(TimePoint now, RequestNumber number, Duration timeout) {
  if (now >= accepts_until_ || waiting_.size() >= kMostWaiting) {
    return false;
  }
  waiting_.push_back({number, now + std::min(kLongestWait, timeout / kWaitPart)});
  return true;
}

void StartupQueue::Remove(RequestNumber number) {
  std::erase_if(waiting_, [&](const Waiting& waiting) { return waiting.number == number; });
}

std::vector<RequestNumber> StartupQueue::TakeExpired(TimePoint now) {
  std::vector<RequestNumber> expired;
  std::erase_if(waiting_, [&](const Waiting& waiting) {
    if (waiting.expires > now) {
      return false;
    }
    expired.push_back(waiting.number);
    return true;
  });
  return expired;
}

std::vector<RequestNumber> StartupQueue::TakeAll() {
  std::vector<RequestNumber> all;
  for (const Waiting& waiting : waiting_) {
    all.push_back(waiting.number);
  }
  waiting_.clear();
  return all;
}

}  // namespace endivecleat
