// Decides whether a daemon that has just started may believe that its target takes requests. What
// the daemon knew of the target before, such as that it has left, is lost with a restart, and a
// report that was sent before the target left may still arrive. Until no such report can be under
// way, one is believed only after the target itself has passed a health check. Has no clock and no
// socket.
#ifndef ENDIVECLEAT_STARTUP_CONFIRMATION_H_
#define ENDIVECLEAT_STARTUP_CONFIRMATION_H_

#include <optional>

#include "units.h"

namespace endivecleat {

class StartupConfirmation {
 public:
  /// The longest time that a report of the target is expected to be under way.
  static constexpr Duration kMaxReportDelay = std::chrono::seconds(10);

  /// `started` is the time of the daemon's start.
  explicit StartupConfirmation(TimePoint started) : started_(started) {}

  /// Records that a health check sent after the start was passed, and which target passed it.
  void HealthCheckPassed(const TargetId& target) { passed_ = target; }

  /// Whether a report that arrives now is evidence enough that the target takes requests: it was
  /// sent after the start, or the target has passed a health check since.
  bool Believes(TimePoint now, const TargetId& target) const {
    return passed_ == target || now - started_ >= kMaxReportDelay;
  }

 private:
  TimePoint started_;
  std::optional<TargetId> passed_;  // the latest target that passed a health check
};

}  // namespace endivecleat

#endif  // ENDIVECLEAT_STARTUP_CONFIRMATION_H_
