// The state machine of one call on the caller's side: choose a target, send an attempt, wait, try
// again or finish. It holds no socket and no clock; the daemon carries out its effects and passes
// in what happens. Its stages are those of charts/call.chart.
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

struct CallRequest {
  std::string id;  // unique among all daemons and their restarts; attempt ids start with it
  CallKind kind = CallKind::kOther;
  IdempotencyKey key;  // of an at-most-once call
  std::string digest;  // of an at-most-once call
  TimePoint deadline = TimePoint::max();
  // True when the caller itself named the deadline. Only then is its key refused for good when the
  // deadline passes; the default timeout of a service is no decision of the caller.
  bool deadline_from_caller = false;
  AttemptCount max_attempts = ServicePolicy{}.max_attempts;
  // Daemons that may be asked while none has passed the request on to its target. Asking another
  // one costs no target anything, so it does not count as a retry. 0: every attempt counts as one.
  uint64_t max_placements = 0;
  // Whether the request may use the last retries of the service's budget.
  bool urgent = true;
  // Tries another target when one answers an idempotent request with a status of 500 or more.
  bool retry_error_answers = false;
};

/// Answer with Chosen: the balancer's choice outside `tried`.
struct ChooseCandidate {
  std::vector<InstanceId> tried;
};
struct SendAttempt {
  Endpoint endpoint;
  AttemptId attempt;
};
/// The answer of the attempt is of no use any more.
struct CancelAttempt {
  Endpoint endpoint;
  AttemptId attempt;
};
/// Answer with LedgerAnswered.
struct RefuseInLedger {
  IdempotencyKey key;
  AttemptId attempt;
  std::string digest;
};
/// The last effect. With kOk there is an answer, whatever its status.
struct FinishCall {
  ResultCode code = ResultCode::kInternal;
  std::optional<TargetAnswer> answer;
};
using CallEffect =
    std::variant<ChooseCandidate, SendAttempt, CancelAttempt, RefuseInLedger, FinishCall>;
using CallEffects = std::vector<CallEffect>;

class Call {
 public:
  /// Counts the call in the budget, which must outlive it.
  Call(CallRequest request, RetryBudget& budget);

  CallEffects Start(TimePoint now);
  /// The crash guard of this daemon stops the request; instead of Start.
  CallEffects StartStopped(TimePoint now);
  CallEffects Chosen(TimePoint now, const std::optional<Endpoint>& endpoint);
  CallEffects Answered(TimePoint now, const AttemptId& attempt, const TargetAnswer& answer);
  /// The daemon beside the target refused, or (kTargetUnreachable) the attempt was never sent.
  CallEffects Refused(TimePoint now, const AttemptId& attempt, const Refusal& refusal);
  /// The link broke after the attempt was sent and before its answer came.
  CallEffects LinkBroken(TimePoint now, const AttemptId& attempt);
  CallEffects CallerGone(TimePoint now);
  CallEffects LedgerAnswered(TimePoint now, const LedgerReply& reply);
  /// Does nothing before next_timer.
  CallEffects TimedOut(TimePoint now);

  TimePoint next_timer() const;
  bool finished() const { return state_ == "finished"; }
  const std::string& state() const { return state_; }
  uint64_t attempts() const { return sent_.size(); }

 private:
  void Move(const std::string& event);
  bool Current(const AttemptId& attempt) const;
  bool Mine(const AttemptId& attempt) const;
  bool MayTryAgain(ResultCode code, bool reached);
  bool MayReachAnother(uint64_t tokens);
  CallEffects TryAgainOrFinish(ResultCode code, bool reached);
  CallEffects ChooseAgain();
  CallEffects DeadlinePassed(TimePoint now);
  CallEffects WriteRefusal(TimePoint now);
  CallEffects Finish(ResultCode code, std::optional<TargetAnswer> answer = std::nullopt);
  ResultCode FinalCode(ResultCode code) const;
  AttemptId NextAttempt() const;

  struct Sent {
    Endpoint endpoint;
    AttemptId attempt;
  };

  CallRequest request_;
  RetryBudget* budget_;
  std::string state_;
  std::vector<Sent> sent_;  // the last one is the current attempt while waiting
  std::optional<ResultCode> last_refusal_;
  uint64_t reached_ = 0;                      // attempts that may have reached a target
  std::optional<TargetAnswer> error_answer_;  // given to the caller when no better one comes
  uint32_t deaths_ = 0;                       // targets that died while they ran this call
  // An at-most-once attempt may have run and no definite answer has come.
  bool unresolved_ = false;
  TimePoint refusal_limit_ = TimePoint::max();  // while refusing: when to answer without the ledger
};

}  // namespace endivecleat

#endif  // ENDIVECLEAT_CALL_H_
