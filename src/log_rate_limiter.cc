// Counts lines per event in the current second and moves the dropped counts out when it ends.
#include "log_rate_limiter.h"

namespace endivecleat {

bool LogRateLimiter::Admit(WallTime now, const std::string& event) {
  const uint64_t second = now.value() / kMsPerSecond;
  if (second != current_second_) {  // also starts a new window when the wall clock steps back
    for (const auto& [name, counts] : counts_) {
      if (counts.dropped > 0) {
        dropped_.emplace_back(name, counts.dropped);
      }
    }
    counts_.clear();
    current_second_ = second;
  }
  Counts& counts = counts_[event];
  if (counts.written >= kMaxLinesPerSecond) {
    ++counts.dropped;
    return false;
  }
  ++counts.written;
  return true;
}

}  // namespace endivecleat
