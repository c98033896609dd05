// State machine of one call on the caller's side: choose a target, send an attempt, wait, then
// retry or finish. It does no I/O and reads no clock: CallerTask executes the effects that it
// returns and reports events to it. The states and events are declared in charts/call.chart.
#ifndef ENDIVECLEAT_CALL_H_
#define ENDIVECLEAT_CALL_H_

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "balancer.h"
#include "call_types.h"
#include "retry_budget.h"
#include "service_policy.h"
#include "units.h"

namespace endivecleat {

/// What the caller asks for and how often it may be tried.
struct CallRequest {
  std::string call_id;  // unique among all daemons and their restarts; attempt ids start with it
  CallKind kind = CallKind::kOther;
  IdempotencyKey key;  // of an at-most-once call
  std::string digest;  // of an at-most-once call
  TimePoint deadline = TimePoint::max();
  // Whether the caller itself set the deadline. Only then does a passed deadline block the key in
  // the ledger for good; a service's default timeout is not the caller's decision.
  bool deadline_from_caller = false;
  AttemptCount max_attempts = ServicePolicy{}.max_attempts;
  // Limit on the daemons that the request is offered to while none has forwarded it to its target.
  // An offer that a daemon refuses costs no target any work, so the next one is not counted as a
  // retry. All offers but the last ask for a free slot only, so that the request does not wait at
  // one target while another is idle. 0: every further attempt counts as a retry, and the request
  // waits where it is sent.
  uint64_t max_offers = 0;
  // Whether the request may use the reserved half of the service's retry budget.
  bool urgent = true;
  // Whether an idempotent request is retried on another target after a status of 500 or more.
  bool retry_error_answers = false;
};

/// Choose an endpoint outside `tried` and report it with Chosen.
struct ChooseCandidate {
  std::vector<InstanceId> tried;
  bool may_wait = true;  // false: only an endpoint that is expected to have a free slot
};
/// Send the attempt to the endpoint.
struct SendAttempt {
  Endpoint endpoint;
  AttemptId attempt;
  bool may_wait = true;  // false: the endpoint takes the request only if a slot is free
};
/// Cancel the attempt; its answer is no longer needed.
struct CancelAttempt {
  Endpoint endpoint;
  AttemptId attempt;
};
/// Record in the ledger that the key must not run, and report the reply with LedgerAnswered.
struct RefuseInLedger {
  IdempotencyKey key;
  AttemptId attempt;
  std::string digest;
};
/// The last effect. With kOk there is an answer, of any HTTP status.
struct FinishCall {
  ResultCode code = ResultCode::kInternal;
  std::optional<TargetAnswer> answer;
};
using CallEffect =
    std::variant<ChooseCandidate, SendAttempt, CancelAttempt, RefuseInLedger, FinishCall>;
using CallEffects = std::vector<CallEffect>;

/// One call, from its request to its result.
class Call {
 public:
  /// Counts the call in the budget, which must outlive it.
  Call(CallRequest request, RetryBudget& budget);

  CallEffects Start(TimePoint now);
  /// Called instead of Start when the crash guard of this daemon blocks the request.
  CallEffects StartBlocked(TimePoint now);
  CallEffects Chosen(TimePoint now, const std::optional<Endpoint>& endpoint);
  CallEffects Answered(TimePoint now, const AttemptId& attempt, const TargetAnswer& answer);
  /// The target's daemon refused the attempt, or it was never sent (kTargetUnreachable).
  CallEffects Refused(TimePoint now, const AttemptId& attempt, const Refusal& refusal);
  /// The connection broke after the attempt was sent and before its answer arrived.
  CallEffects LinkBroken(TimePoint now, const AttemptId& attempt);
  /// The caller disconnected or cancelled the call.
  CallEffects Cancelled(TimePoint now);
  CallEffects LedgerAnswered(TimePoint now, const LedgerReply& reply);
  /// Has no effect before next_timer.
  CallEffects TimedOut(TimePoint now);

  /// When to call TimedOut; TimePoint::max() once the call has finished.
  TimePoint next_timer() const;
  bool finished() const { return state_ == "finished"; }
  const std::string& state() const { return state_; }
  /// Number of attempts sent so far.
  uint64_t attempts() const { return sent_.size(); }

 private:
  void Transition(const std::string& event);
  bool IsCurrent(const AttemptId& attempt) const;
  bool IsOwnAttempt(const AttemptId& attempt) const;
  bool AllowRetry(ResultCode code, bool reached_target);
  bool TryTakeRetryTokens(uint64_t tokens);
  CallEffects TryAgainOrFinish(ResultCode code, bool reached_target);
  CallEffects ChooseAgain();
  CallEffects DeadlinePassed(TimePoint now);
  CallEffects WriteRefusal(TimePoint now);
  CallEffects Finish(ResultCode code, std::optional<TargetAnswer> answer = std::nullopt);
  ResultCode FinalCode(ResultCode code) const;
  AttemptId NextAttempt() const;
  ChooseCandidate NextChoice() const;

  struct Sent {
    Endpoint endpoint;
    AttemptId attempt;
    bool may_wait = true;
    bool was_full = false;  // refused since no slot was free
  };

  CallRequest request_;
  RetryBudget* budget_;
  std::string state_;
  bool may_wait_ = true;    // the next attempt may wait for a slot
  std::vector<Sent> sent_;  // the last one is the current attempt while waiting
  std::optional<ResultCode> last_refusal_;
  uint64_t attempts_at_target_ = 0;           // attempts that may have reached a target
  std::optional<TargetAnswer> error_answer_;  // returned to the caller if no attempt succeeds
  uint32_t target_deaths_ = 0;                // targets that died while running this call
  // Whether an attempt may have run and no definite answer has arrived.
  bool unresolved_ = false;
  TimePoint refusal_deadline_ =
      TimePoint::max();  // while refusing: when to finish without the ledger
};

}  // namespace endivecleat

#endif  // ENDIVECLEAT_CALL_H_
