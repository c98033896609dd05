// The attempts of one call, as far as their ends tell its service's balancer something: where each
// was sent, when, and whether its end has been reported.
#ifndef ENDIVECLEAT_ATTEMPT_TRACKER_H_
#define ENDIVECLEAT_ATTEMPT_TRACKER_H_

#include <map>
#include <optional>

#include "balancer.h"
#include "call_types.h"
#include "units.h"

namespace endivecleat {

/// Reports each attempt to the balancer exactly once when it is sent and once when it ends.
class AttemptTracker {
 public:
  /// The balancer must outlive this object. `objective` is the whole objective of the call's route.
  AttemptTracker(Balancer& balancer, Duration objective)
      : balancer_(&balancer), objective_(objective) {}

  /// `free_slot_only`: the target's daemon takes the attempt only if a slot is free.
  void Sent(TimePoint now, const AttemptId& attempt, const InstanceId& instance,
            bool free_slot_only);
  /// The attempt has ended. Only the first call for an attempt has an effect. `load` is the load
  /// that its answer or refusal carried.
  void Ended(TimePoint now, const AttemptId& attempt, AttemptResult result,
             std::optional<TargetLoad> load = std::nullopt);

  /// Where the latest attempt was sent; nullopt before the first.
  const std::optional<InstanceId>& latest_instance() const { return latest_instance_; }

 private:
  struct Attempt {
    InstanceId instance;
    TimePoint sent_at;
    bool free_slot_only = false;
  };

  Balancer* balancer_;
  Duration objective_;
  std::map<AttemptId, Attempt> under_way_;  // sent, and the end not reported
  std::optional<InstanceId> latest_instance_;
};

}  // namespace endivecleat

#endif  // ENDIVECLEAT_ATTEMPT_TRACKER_H_
