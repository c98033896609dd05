// Two generations of minima; the older one is dropped at the end of each period.
#include "transit_delay.h"

#include <algorithm>
#include <utility>

namespace endivecleat {

Duration TransitDelay::Arrived(TimePoint now, const std::string& sender, TimePoint sent_at) {
  if (now - period_start_ >= kPeriod) {
    const bool adjacent = now - period_start_ < 2 * kPeriod;
    previous_ = adjacent ? std::exchange(current_, {}) : Fastest{};
    current_.clear();
    period_start_ = now;
  }
  const Duration difference = now - sent_at;
  Duration& fastest = current_.try_emplace(sender, difference).first->second;
  fastest = std::min(fastest, difference);
  const auto before = previous_.find(sender);
  return difference - (before == previous_.end() ? fastest : std::min(fastest, before->second));
}

}  // namespace endivecleat
