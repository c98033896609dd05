// Decides the steps of one rollout at the leader, by the responses of the new targets compared with
// those of the old ones. Pure: the time, the reports and the live targets are passed in.
#ifndef ENDIVECLEAT_ROLLOUT_CONTROLLER_H_
#define ENDIVECLEAT_ROLLOUT_CONTROLLER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "rollout.h"
#include "rollout_evidence.h"
#include "units.h"

namespace endivecleat {

/// The live targets of the service as the leader knows them.
struct RolloutFleet {
  uint64_t old_slots = 0;
  uint64_t warm_new_slots = 0;
  uint64_t cold_new_slots = 0;
  size_t new_targets = 0;
  bool distributed = false;  // all live daemons have the newest step in force
};

struct RolloutStep {
  RolloutState state = RolloutState::kServing;
  uint32_t share = 0;
  std::string reason;  // for the log
};

struct RolloutCertainty;

class RolloutController {
 public:
  /// The share of an order, before anything is known of the new version.
  static constexpr uint32_t kFirstShare = 10;

  explicit RolloutController(Rollout rollout) : rollout_(std::move(rollout)) {}

  const Rollout& rollout() const { return rollout_; }
  /// A step has been applied, also one of an earlier leader.
  void Applied(TimePoint now, const Rollout& rollout);
  /// Ignores reports on another rollout.
  void Add(TimePoint now, const RolloutReport& report);
  /// The next step, or nullopt to stay with the present one.
  std::optional<RolloutStep> Decide(TimePoint now, WallTime wall, const RolloutFleet& fleet);
  /// Responses of the new targets so far, as reported.
  uint64_t new_responses() const { return Responses(total_new_); }

 private:
  using Routes = std::map<std::string, RouteEvidence>;

  struct Slice {
    TimePoint start;
    Routes old_routes;
    Routes new_routes;
  };

  /// Responses of one target that were bad, of all that were counted.
  struct Verdict {
    uint64_t responses = 0;
    uint64_t bad = 0;
  };

  static uint64_t Responses(const Routes& routes);
  static void AddTo(Routes& sum, const Routes& more);
  Routes Recent(TimePoint now, Duration time, bool new_version) const;
  /// Why the responses in `routes` count as those of a bad version; empty if they do not.
  std::string Fault(const Routes& routes, const RolloutCertainty& certainty) const;
  /// Whether the bad responses are those of the version and not of a single target.
  bool IsSpread() const;
  Verdict VerdictOn(const Routes& routes) const;
  uint32_t ProbeShare(TimePoint now) const;
  std::optional<RolloutStep> DecideAtEnd(std::optional<Duration> left, const RolloutFleet& fleet);
  std::optional<RolloutStep> Grow(TimePoint now, Duration left, const RolloutFleet& fleet);
  std::optional<RolloutStep> MakeStep(uint32_t share, const char* reason) const;

  Rollout rollout_;
  std::optional<TimePoint> step_at_;     // when this process learned of the present share
  std::optional<TimePoint> targets_at_;  // when the first new target was seen
  uint64_t new_at_step_ = 0;             // responses of the new targets before the present share
  std::map<std::string, RolloutReport> reports_;  // the newest by run
  std::deque<Slice> slices_;                      // oldest first
  Routes total_old_;
  Routes total_new_;
};

}  // namespace endivecleat

#endif  // ENDIVECLEAT_ROLLOUT_CONTROLLER_H_
