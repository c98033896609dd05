// Bounds the volume of a log: each kind of event has a budget of lines a second, and what exceeds
// it is counted and reported as one line, so that an overload does not cost more by being logged.
#ifndef ENDIVECLEAT_LOG_LIMIT_H_
#define ENDIVECLEAT_LOG_LIMIT_H_

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "units.h"

namespace endivecleat {

class LogLimit {
 public:
  /// Enough to see every kind of failure of a second; a line costs about as much as a call.
  static constexpr uint64_t kLinesPerSecond = 20;

  /// Whether a line of this event may be written now; counts it otherwise.
  bool Admit(WallTime now, const std::string& event);
  /// The events whose lines were passed over in the seconds before this one, with their numbers.
  std::vector<std::pair<std::string, uint64_t>> TakeDropped() {
    return std::exchange(dropped_, {});
  }

 private:
  static constexpr uint64_t kSecondMs = 1000;

  struct Counts {
    uint64_t written = 0;
    uint64_t dropped = 0;
  };

  uint64_t second_ = 0;
  std::map<std::string, Counts> counts_;                   // of second_
  std::vector<std::pair<std::string, uint64_t>> dropped_;  // of earlier seconds
};

}  // namespace endivecleat

#endif  // ENDIVECLEAT_LOG_LIMIT_H_
