// Decides which requests may use a target. The daemon beside the target asks it about every
// request, and there is no other way to the target, so its limits hold exactly. The load pattern
// that it answers: more requests than slots, of unequal urgency. The most urgent ones wait in
// front, and a request that would wait longer than its answer is worth is refused at once, unless
// its caller has no time to come back: a call that a running request needs then waits, since its
// refusal wastes what ran.
#ifndef ENDIVECLEAT_ADMISSION_H_
#define ENDIVECLEAT_ADMISSION_H_

#include <deque>
#include <map>
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
  Priority priority{1};
  TimePoint deadline = TimePoint::max();
  // How long the answer keeps its full worth; the wait must leave time to serve it. nullopt: the
  // service's longest wait is in force.
  std::optional<Duration> useful_for;
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
  /// A leaving target serves for a few seconds more; what starts later may be cut off.
  static constexpr Duration kLongestWaitAfterDrain = std::chrono::seconds(1);

  /// Closed until Open: a target that has not announced itself takes nothing.
  explicit Admission(const ServicePolicy& policy) : policy_(policy) {}

  /// The target is up: starts its warm-up.
  void Open(TimePoint now);
  /// The target is gone: refuses what waits and what comes with kTargetUnreachable. Requests that
  /// run keep their slots until Finish.
  std::vector<AdmissionDecision> Close();
  /// Takes nothing new from now on. Requests that wait were accepted before and keep their places
  /// for kLongestWaitAfterDrain.
  void Drain(TimePoint now);
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
  size_t queued() const { return queued_; }
  /// A draining target that is empty can be stopped without interrupting a request.
  bool empty() const { return running() == 0 && queued() == 0; }
  bool draining() const { return state_ == State::kDraining; }

 private:
  enum class State { kClosed, kOpen, kDraining };
  struct Waiting {
    AdmissionRequest request;
    TimePoint expires;  // the earlier of the deadline and the end of the longest wait
  };
  using Queue = std::deque<Waiting>;

  void Expire(TimePoint now, std::vector<AdmissionDecision>& decisions);
  Duration ExpectedWait(TimePoint now, Priority priority) const;
  Duration MaxWait(TimePoint now, const AdmissionRequest& request) const;
  void FillSlots(TimePoint now, std::vector<AdmissionDecision>& decisions);
  bool MakeRoomFor(const AdmissionRequest& request, std::vector<AdmissionDecision>& decisions);

  ServicePolicy policy_;
  State state_ = State::kClosed;
  TimePoint opened_{};
  std::map<RequestNumber, TimePoint>
      running_;                               // since; never more than slots(now) when one is added
  std::map<Priority, Queue> queues_;          // none of them empty
  size_t queued_ = 0;                         // sum over queues_
  Duration service_time_{};                   // moving mean; 0 before the first request has ended
  TimePoint drain_limit_ = TimePoint::max();  // nothing that waits starts later
};

}  // namespace endivecleat

#endif  // ENDIVECLEAT_ADMISSION_H_
