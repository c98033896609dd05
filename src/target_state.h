// Lifecycle of the target that announced itself to a daemon. Combines renewal and expiry of the
// announcement, health probe results, call results and the warm-up into the states of
// charts/target.chart. Owned by TargetTask, which sends the probes and calls.
#ifndef ENDIVECLEAT_TARGET_STATE_H_
#define ENDIVECLEAT_TARGET_STATE_H_

#include <cstdint>
#include <optional>
#include <string>

#include "member_record.h"
#include "state_chart.h"
#include "units.h"

namespace endivecleat {

/// The body of POST /announce.
struct Announcement {
  ServiceName service;
  TargetId target;
  Address address;
  uint32_t slots = 0;
  uint32_t connections = 0;
  TargetVersion version;  // empty if unknown

  bool operator==(const Announcement&) const = default;
};

struct TargetSettings {
  Duration announce_lifetime = std::chrono::seconds(6);
  Duration probe_interval = std::chrono::seconds(2);  // a probe costs the target 6 ms
  Duration warm_up = std::chrono::seconds(5);
  /// Number of consecutive failed probes after which the target counts as failed, unless a call
  /// succeeded since the first of them.
  uint32_t failed_probe_threshold = 2;
  /// A target that answers no call for this time although calls were sent may hang with its
  /// connections open, and is probed more often. Most requests take less; a target that is only
  /// slow still answers the probes.
  Duration suspect_after = std::chrono::milliseconds(700);
  /// Interval between these additional probes; longer than the timeout of such a probe.
  Duration suspect_probe_interval = std::chrono::milliseconds(450);
};

class AnnouncedTarget {
 public:
  explicit AnnouncedTarget(TargetSettings settings);

  /// Handles a new or renewed announcement. One with another service, target or address replaces
  /// the previous target and starts a new warm-up.
  void Announce(TimePoint now, const Announcement& announcement);
  /// Handles DELETE /announce: no new requests until the target announces itself again.
  void Drain(TimePoint now);
  /// Handles an operator's drain or the daemon's shutdown: no new requests, regardless of renewed
  /// announcements, until the target leaves, its announcement expires or another target replaces
  /// it.
  void DrainAndHold(TimePoint now);
  /// The target has exited or is about to: it is no longer probed or called.
  void Leave(TimePoint now);
  /// The last request of a draining target has finished.
  void Drained(TimePoint now);

  /// Returns whether a probe must be sent now, and if so records it as sent.
  bool ProbeDue(TimePoint now);
  void ProbeResult(TimePoint now, bool passed);
  /// A call was sent to the target.
  void CallStarted(TimePoint now);
  /// Whether calls have been sent for `suspect_after` and none was answered.
  bool suspected(TimePoint now) const;
  /// The target answered a call. This takes precedence over failed probes.
  void CallSucceeded(TimePoint now);
  /// The target refused a connection, or died during a call.
  void CallFailed(TimePoint now);
  void Tick(TimePoint now);
  /// The warm-up of the target's service, from the configuration in force.
  void SetWarmUp(Duration warm_up) { settings_.warm_up = warm_up; }

  TargetState state() const { return state_; }
  const Announcement& announcement() const { return announcement_; }
  /// Slots that may be used now: rises linearly from 1 to the announced number during the warm-up;
  /// 0 unless the target is warming or ready.
  uint32_t usable_slots(TimePoint now) const;

 private:
  void HandleEvent(TimePoint now, const std::string& event);

  TargetSettings settings_;
  TargetState state_;
  Announcement announcement_;
  TimePoint announced_at_;
  TimePoint warming_since_;
  TimePoint next_probe_;
  TimePoint last_probe_ = TimePoint::min();
  std::optional<TimePoint> unanswered_since_;  // first call since the last answered call or probe
  TimePoint call_succeeded_at_ = TimePoint::min();
  TimePoint first_failed_probe_at_;
  uint32_t consecutive_failed_probes_ = 0;
  bool announcement_expired_ = false;
  bool drain_held_ = false;  // renewals do not end the drain
};

}  // namespace endivecleat

#endif  // ENDIVECLEAT_TARGET_STATE_H_
