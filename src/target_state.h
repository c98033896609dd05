// The announced target of a daemon: its lifecycle by charts/target.chart, the renewal and expiry of
// its announcement, the results of probes and the warm-up.
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

  bool operator==(const Announcement&) const = default;
};

struct TargetSettings {
  Duration announce_lifetime = std::chrono::seconds(6);
  Duration probe_interval = std::chrono::seconds(2);  // a probe costs the target 6 ms
  Duration warm_up = std::chrono::seconds(5);
  /// Failed probes in a row that count as a failure, unless a call succeeded meanwhile.
  uint32_t failed_probes = 2;
  /// A target that answers no call for this time, with calls sent to it, may have fallen silent
  /// with its connections open. Most requests take less; a slower target still answers the probes.
  Duration doubt_after = std::chrono::milliseconds(700);
  /// Between the probes of a target in doubt; longer than the timeout of such a probe.
  Duration doubt_probe_interval = std::chrono::milliseconds(450);
};

class AnnouncedTarget {
 public:
  explicit AnnouncedTarget(TargetSettings settings);

  /// A new or renewed announcement. Another target or address replaces the previous target, which
  /// starts again with its warm-up.
  void Announce(TimePoint now, const Announcement& announcement);
  /// DELETE /announce: no new work until the target announces itself again.
  void Drain(TimePoint now);
  /// An operator's drain, or the stop of the daemon: no new work, whatever renewals follow, until
  /// the target leaves, its announcement expires or another target replaces it.
  void DrainAndHold(TimePoint now);
  /// The target has ended or is about to: it is not probed or called any more.
  void Leave(TimePoint now);
  /// The last request of a draining target has ended.
  void Drained(TimePoint now);

  /// True when a probe is to be sent now; then it counts as sent.
  bool ProbeDue(TimePoint now);
  void ProbeResult(TimePoint now, bool passed);
  /// A call was sent to the target.
  void CallStarted(TimePoint now);
  /// Calls were sent for some time and none was answered.
  bool in_doubt(TimePoint now) const;
  /// A call was answered by the target. This takes precedence over failed probes.
  void CallSucceeded(TimePoint now);
  /// The target refused a connection or broke one.
  void CallFailed(TimePoint now);
  void Tick(TimePoint now);
  /// The warm-up of the target's service, from the configuration in force.
  void SetWarmUp(Duration warm_up) { settings_.warm_up = warm_up; }

  TargetState state() const { return state_; }
  const Announcement& announcement() const { return announcement_; }
  /// The slots that may be used now: from 1 to the announced number over the warm-up, and none
  /// unless the target is warming or ready.
  uint32_t usable_slots(TimePoint now) const;

 private:
  void Handle(TimePoint now, const std::string& event);

  TargetSettings settings_;
  TargetState state_;
  Announcement announcement_;
  TimePoint announced_at_;
  TimePoint warming_since_;
  TimePoint next_probe_;
  TimePoint last_probe_ = TimePoint::min();
  std::optional<TimePoint> unanswered_since_;  // first call after the last sign of life
  TimePoint call_succeeded_at_ = TimePoint::min();
  TimePoint first_failed_probe_at_;
  uint32_t failed_probes_ = 0;  // in a row
  bool silent_ = false;         // the announcement has expired
  bool held_ = false;           // renewals do not end the drain
};

}  // namespace endivecleat

#endif  // ENDIVECLEAT_TARGET_STATE_H_
