// Admission control for one target. The daemon next to the target passes every request through it,
// so its limits hold exactly. Under overload, requests wait in a bounded queue ordered by priority
// and then by the time at which they have to start, so that a short call that a running request
// needs goes before work that has time. Tenants share the slots fairly within a priority, and no
// priority of tenants falls below a quarter of the share of requests that is served. A request that
// is expected to wait past its objective is refused at once, and so is one that may wait here for
// less time than that because its sender can try another target. A request whose caller has no time
// left to retry waits, since refusing it wastes the work already done.
#ifndef ENDIVECLEAT_ADMISSION_H_
#define ENDIVECLEAT_ADMISSION_H_

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "call_types.h"
#include "concurrency_limit.h"
#include "fair_queue.h"
#include "result_code.h"
#include "service_policy.h"
#include "service_share.h"
#include "service_times.h"
#include "units.h"

namespace endivecleat {

/// A request for a slot of the target.
struct AdmissionRequest {
  RequestNumber number;
  Priority priority{1};
  TimePoint deadline = TimePoint::max();
  // Time left until the route's latency objective; the wait must leave time to serve the request
  // within it. nullopt: ServicePolicy::queue_wait limits the wait.
  std::optional<Duration> objective_left;
  // The route's whole objective; 0 if it has none. Requests with equal objectives are expected to
  // take equally long.
  Duration objective{};
  // The longest wait that the sender accepts here; 0: only a slot that is free now. nullopt: no
  // limit of the sender's.
  std::optional<Duration> max_wait;
  // Whose request it is; empty for calls of targets and in deployments without tenants.
  TenantName tenant;
};

/// The decision about one request. Without a code, the request is admitted and holds a slot until
/// Finish. With a code, it was not run and Admission no longer tracks it.
struct AdmissionDecision {
  RequestNumber number;
  std::optional<ResultCode> refusal_code;

  bool operator==(const AdmissionDecision&) const = default;
};

/// Bounds the requests that run and wait at one target. A function that returns decisions returns
/// all that its change led to, including those about requests other than the one passed in.
class Admission {
 public:
  /// A draining target runs for a few seconds only; a request started later may be cut off.
  static constexpr Duration kMaxWaitAfterDrain = std::chrono::seconds(1);

  /// Minimum time that a refused caller needs to back off and try again. With less left, a refusal
  /// loses the request and the work already done for it.
  static constexpr Duration kMinTimeToRetry = std::chrono::milliseconds(520);

  /// Starts closed: a target that has not announced itself gets no requests.
  explicit Admission(const ServicePolicy& policy) : policy_(policy) {}

  /// The target is up. Starts its warm-up.
  void Open(TimePoint now);
  /// The target is gone. Refuses queued and new requests with kTargetUnreachable. Running requests
  /// keep their slots until Finish.
  std::vector<AdmissionDecision> Close();
  /// Refuses new requests from now on. Queued requests keep their places for up to
  /// kMaxWaitAfterDrain.
  void Drain(TimePoint now);
  /// Applies a changed policy. Queued requests keep the expiry that they were given on arrival.
  std::vector<AdmissionDecision> SetPolicy(TimePoint now, const ServicePolicy& policy);

  /// Admits, queues or refuses a request. A queued request may evict a less urgent one.
  std::vector<AdmissionDecision> Submit(TimePoint now, const AdmissionRequest& request);
  /// The target has finished the request, but its response is still being sent on a link that may
  /// be short. The slot stays taken for requests that are no more urgent; a more urgent one, whose
  /// response is small mostly, may start at the target, which is free. Ignored if it does not run.
  std::vector<AdmissionDecision> SendsResponse(TimePoint now, RequestNumber number);
  /// The target has finished the request; frees its slot.
  std::vector<AdmissionDecision> Finish(TimePoint now, RequestNumber number);
  /// The target has answered the running request, or refused it (`refused`). Tells the concurrency
  /// limit; the slot stays taken until Finish.
  void Answered(TimePoint now, RequestNumber number, bool refused);
  /// The target has stated its load.
  void Reported(TimePoint now, const LoadField& load);
  /// The caller cancelled the request. Removes it from the queue; has no effect if it runs.
  void Cancel(RequestNumber number);
  /// Refuses expired requests and fills slots that opened since the last call.
  std::vector<AdmissionDecision> Tick(TimePoint now);
  /// When Tick should be called next; TimePoint::max() if nothing is due.
  TimePoint next_timer(TimePoint now) const;

  /// Whether the concurrency limit lowers the slots of a target that slows down under load.
  void SetAdaptiveLimit(bool enabled) { adaptive_limit_ = enabled; }

  /// Limit on running requests: grows linearly from one to all slots during the warm-up, and is
  /// lowered by the concurrency limit.
  size_t slots(TimePoint now) const;
  size_t free_slots(TimePoint now) const;
  /// The slots without the concurrency limit.
  size_t policy_slots(TimePoint now) const;
  /// Moving average over about a second of the requests that run or wait. Reports of load that
  /// arrive seconds late carry it: an instantaneous count would be of no use by then.
  double mean_load(TimePoint now) const;
  /// Time until the queue would take a request like this one, whatever wait its sender accepts: by
  /// how much its expected wait is too long. 0: it would be taken now.
  Duration TimeUntilRoom(TimePoint now, AdmissionRequest request) const;
  /// How long the target takes for requests with this objective; 0 while unknown, and without the
  /// concurrency limit.
  Duration ServiceTime(Duration objective) const;
  size_t running() const { return running_.size(); }
  size_t queued() const { return queued_; }
  /// Whether a draining target can be stopped without interrupting a request.
  bool empty() const { return running() == 0 && queued() == 0; }
  bool draining() const { return state_ == State::kDraining; }

 private:
  enum class State { kClosed, kOpen, kDraining };
  using Queues = std::map<Priority, FairQueue>;
  struct Running {
    TimePoint started;
    Duration objective;
    Priority priority;
    TenantName tenant;
    Duration charged{};  // the cost that its tenant was charged
    size_t concurrency;  // requests that ran after it was started
    bool sends_response = false;
  };

  void Expire(TimePoint now, std::vector<AdmissionDecision>& decisions);
  TimePoint StartBy(TimePoint now, const AdmissionRequest& request) const;
  Duration Reserve(const AdmissionRequest& request) const;
  Duration ExpectedWait(TimePoint now, const AdmissionRequest& request) const;
  Duration MaxWait(TimePoint now, const AdmissionRequest& request) const;
  void UpdateLoad(TimePoint now);
  void FillSlots(TimePoint now, std::vector<AdmissionDecision>& decisions);
  Duration Cost(Duration objective) const { return service_times_.Of(objective); }
  bool IsDue(TimePoint now, Priority priority) const;
  /// Running requests whose slot is taken for a request of a priority.
  size_t TakenFor(Priority priority) const;
  /// Whether a request that is as urgent or more urgent waits.
  bool WaitsBefore(Priority priority) const;
  /// The queue from which a slot is filled; end() if there is no slot for any.
  Queues::iterator NextQueue(TimePoint now);
  bool MakeRoomFor(TimePoint now, const AdmissionRequest& request,
                   std::vector<AdmissionDecision>& decisions);

  // The newest request has a weight of 1/16 in the moving averages of service times.
  static constexpr Duration::rep kServiceTimeDivisor = 16;

  ServicePolicy policy_;
  State state_ = State::kClosed;
  TimePoint opened_at_{};
  std::map<RequestNumber, Running> running_;  // see TakenFor: at most slots(now) when one is added
  Queues queues_;                             // empty ones keep what their tenants have used
  size_t queued_ = 0;                         // sum over queues_
  ServiceShare share_;                        // of requests with a tenant
  bool adaptive_limit_ = false;
  ConcurrencyLimit concurrency_limit_;
  ServiceTimes service_times_{Duration{}, kServiceTimeDivisor};
  double mean_load_ = 0;  // at load_updated_at_
  TimePoint load_updated_at_{};
  TimePoint drain_deadline_ = TimePoint::max();  // queued requests expire by then
};

}  // namespace endivecleat

#endif  // ENDIVECLEAT_ADMISSION_H_
