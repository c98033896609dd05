// The clocks of the process beside that of the event loop. The state machines of endivecleat_core
// do not read them; their callers pass in the time.
#ifndef ENDIVECLEAT_WALL_CLOCK_H_
#define ENDIVECLEAT_WALL_CLOCK_H_

#include <time.h>

#include <chrono>

#include "units.h"

namespace endivecleat {

/// Returns the current system time.
inline WallTime WallNow() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return WallTime(
      static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now).count()));
}

/// Returns the time since the start of the machine. Unlike that of the event loop, this clock does
/// not stand still while the machine is suspended.
inline TimePoint BootClockNow() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return TimePoint{} + std::chrono::duration_cast<Duration>(std::chrono::seconds(now.tv_sec) +
                                                            std::chrono::nanoseconds(now.tv_nsec));
}

}  // namespace endivecleat

#endif  // ENDIVECLEAT_WALL_CLOCK_H_
