// Expiry times are not ordered, since they depend on each caller's timeout, so expiry scans the
// queue.
#include "startup_queue.h"

#include <algorithm>

namespace endivecleat {

bool StartupQueue::Add(TimePoint now, RequestNumber number, TimePoint arrived, Duration timeout) {
  const TimePoint expires_at = arrived + std::min(kMaxWait, timeout / kTimeoutDivisor);
  if (now >= accepts_until_ || now >= expires_at || entries_.size() >= kMaxSize) {
    return false;
  }
  entries_.push_back({number, expires_at});
  return true;
}

void StartupQueue::Remove(RequestNumber number) {
  std::erase_if(entries_, [&](const Entry& entry) { return entry.number == number; });
}

std::vector<RequestNumber> StartupQueue::TakeExpired(TimePoint now) {
  std::vector<RequestNumber> expired;
  std::erase_if(entries_, [&](const Entry& entry) {
    if (entry.expires_at > now) {
      return false;
    }
    expired.push_back(entry.number);
    return true;
  });
  return expired;
}

std::vector<RequestNumber> StartupQueue::TakeAll() {
  std::vector<RequestNumber> all;
  for (const Entry& entry : entries_) {
    all.push_back(entry.number);
  }
  entries_.clear();
  return all;
}

}  // namespace endivecleat
