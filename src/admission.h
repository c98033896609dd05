// Decides which requests may use a target. The daemon beside the target asks it about every
// request, and there is no other way to the target, so its limits hold exactly.
#ifndef ENDIVECLEAT_ADMISSION_H_
#define ENDIVECLEAT_ADMISSION_H_

#include <deque>
#include <optional>
#include <set>
#include <vector>

#include "call_types.h"
#include "result_code.h"
#include "service_policy.h"
#include "units.h"

namespace endivecleat {

struct AdmissionRequest {
  RequestNumber number;
  bool at_most_once = false;
  TimePoint deadline = TimePoint::max();
};

/// The decision about one request. No code: it is admitted and holds a slot until Finish. With a
/// code: it was not run, and Admission has forgotten it.
struct AdmissionDecision {
  RequestNumber number;
  std::optional<ResultCode> refused_with;

  bool operator==(const AdmissionDecision&) const = default;
};

/// Every function that changes something returns the decisions that follow, also those about other
/// requests than the one named.
class Admission {
 public:
  /// Closed until Open: a target that has not announced itself takes nothing.
  explicit Admission(const ServicePolicy& policy) : policy_(policy) {}

  /// The target is up: starts its warm-up.
  void Open(TimePoint now);
  /// The target is gone: refuses what waits and what comes with kTargetUnreachable. Requests that
  /// run keep their slots until Finish.
  std::vector<AdmissionDecision> Close();
  /// Takes nothing new from now on. Requests that wait were accepted before and keep their places.
  void Drain();
  std::vector<AdmissionDecision> SetPolicy(TimePoint now, const ServicePolicy& policy);

  std::vector<AdmissionDecision> Arrive(TimePoint now, const AdmissionRequest& request);
  /// The target no longer works on the request.
  std::vector<AdmissionDecision> Finish(TimePoint now, RequestNumber number);
  /// The caller gave up a request that waits. A request that runs is not touched.
  void Withdraw(RequestNumber number);
  std::vector<AdmissionDecision> Tick(TimePoint now);
  TimePoint next_timer(TimePoint now) const;

  /// Slots in use at most now: one at the start of the warm-up, all at its end.
  size_t slots(TimePoint now) const;
  size_t free_slots(TimePoint now) const;
  size_t running() const { return running_.size(); }
  size_t queued() const { return once_queue_.size() + other_queue_.size(); }
  /// A draining target that is empty can be stopped without interrupting a request.
  bool empty() const { return running() == 0 && queued() == 0; }
  bool draining() const { return state_ == State::kDraining; }

 private:
  enum class State { kClosed, kOpen, kDraining };
  struct Waiting {
    AdmissionRequest request;
    TimePoint expires;  // the earlier of the deadline and the end of queue_wait
  };
  using Queue = std::deque<Waiting>;

  void Expire(TimePoint now, Queue& queue, std::vector<AdmissionDecision>& decisions);
  void FillSlots(TimePoint now, std::vector<AdmissionDecision>& decisions);
  bool MakeRoomFor(const AdmissionRequest& request, std::vector<AdmissionDecision>& decisions);

  ServicePolicy policy_;
  State state_ = State::kClosed;
  TimePoint opened_{};
  std::set<RequestNumber> running_;  // never more than slots(now) when a request is added
  Queue once_queue_;                 // at-most-once requests; served before the others
  Queue other_queue_;
};

}  // namespace endivecleat

#endif  // ENDIVECLEAT_ADMISSION_H_
