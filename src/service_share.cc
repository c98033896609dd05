// Counts are halved every kHalfLife.
#include "service_share.h"

namespace endivecleat {
namespace {

constexpr double kLeastCount = 0.1;  // a priority with fewer requests is forgotten
// Below this number of requests, a share says nothing.
constexpr double kMinOffered = 2;

}  // namespace

void ServiceShare::Offered(TimePoint now, Priority priority) {
  Age(now);
  all_.offered += 1;
  by_priority_[priority].offered += 1;
}

void ServiceShare::Served(TimePoint now, Priority priority) {
  Age(now);
  all_.served += 1;
  by_priority_[priority].served += 1;
}

bool ServiceShare::IsDue(TimePoint now, Priority priority) const {
  if (by_priority_.empty() || now - aged_at_ >= 2 * kHalfLife) {
    return false;
  }
  const auto found = by_priority_.find(priority);
  if (found == by_priority_.begin() || found == by_priority_.end() ||
      found->second.offered < kMinOffered) {
    return false;
  }
  const Counts& own = found->second;
  return own.served * all_.offered < kMinShare * own.offered * all_.served;
}

void ServiceShare::Age(TimePoint now) {
  for (; now - aged_at_ >= kHalfLife; aged_at_ += kHalfLife) {
    if (by_priority_.empty()) {
      aged_at_ = now;
      return;
    }
    all_ = {all_.offered / 2, all_.served / 2};
    for (auto& [priority, counts] : by_priority_) {
      counts = {counts.offered / 2, counts.served / 2};
    }
    std::erase_if(by_priority_,
                  [](const auto& entry) { return entry.second.offered < kLeastCount; });
  }
}

}  // namespace endivecleat
