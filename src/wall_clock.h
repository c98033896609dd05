// The wall clock of the process. The state machines of endivecleat_core do not read it; their
// callers pass in the time.
#ifndef ENDIVECLEAT_WALL_CLOCK_H_
#define ENDIVECLEAT_WALL_CLOCK_H_

#include <chrono>

#include "units.h"

namespace endivecleat {

/// Returns the current system time.
inline WallTime WallNow() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return WallTime(
      static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now).count()));
}

}  // namespace endivecleat

#endif  // ENDIVECLEAT_WALL_CLOCK_H_
