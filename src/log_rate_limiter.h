// Rate limit of the log (log.h): each event name may write a number of lines per second. Further
// lines are counted and later reported in one line, so that logging does not make an overload
// worse.
#ifndef ENDIVECLEAT_LOG_RATE_LIMITER_H_
#define ENDIVECLEAT_LOG_RATE_LIMITER_H_

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "units.h"

namespace endivecleat {

/// Fixed one-second windows, each with a budget of lines for every event name.
class LogRateLimiter {
 public:
  /// Enough to show each kind of failure; writing a line takes about as long as serving a call.
  static constexpr uint64_t kMaxLinesPerSecond = 20;

  /// Returns whether a line of this event may be written now; if not, counts it as dropped.
  bool Admit(WallTime now, const std::string& event);
  /// Returns and clears the number of dropped lines of each event in past seconds.
  std::vector<std::pair<std::string, uint64_t>> TakeDropped() {
    return std::exchange(dropped_, {});
  }

 private:
  static constexpr uint64_t kMsPerSecond = 1000;

  struct Counts {
    uint64_t written = 0;
    uint64_t dropped = 0;
  };

  uint64_t current_second_ = 0;
  std::map<std::string, Counts> counts_;                   // counts of the current second, by event
  std::vector<std::pair<std::string, uint64_t>> dropped_;  // counts of past seconds, by event
};

}  // namespace endivecleat

#endif  // ENDIVECLEAT_LOG_RATE_LIMITER_H_
