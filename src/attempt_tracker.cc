// An attempt is forgotten when its end is reported.
#include "attempt_tracker.h"

namespace endivecleat {
namespace {

// Whether the time until this end says how long the target takes, or how long messages do. A
// cancelled attempt would have taken longer still; broken connections end early.
bool TellsTime(AttemptResult result) {
  return result == AttemptResult::kAnswered || result == AttemptResult::kCancelled ||
         result == AttemptResult::kBusy;
}

}  // namespace

void AttemptTracker::Sent(TimePoint now, const AttemptId& attempt, const InstanceId& instance,
                          bool free_slot_only) {
  balancer_->Sent(instance);
  under_way_[attempt] = {instance, now, free_slot_only};
  latest_instance_ = instance;
}

void AttemptTracker::Ended(TimePoint now, const AttemptId& attempt, AttemptResult result,
                           std::optional<TargetLoad> load) {
  const auto found = under_way_.find(attempt);
  if (found == under_way_.end()) {
    return;
  }
  const Attempt ended = found->second;
  under_way_.erase(found);
  balancer_->Finished(now, ended.instance, result, load,
                      TellsTime(result) ? std::optional(now - ended.sent_at) : std::nullopt,
                      objective_, ended.free_slot_only);
}

}  // namespace endivecleat
