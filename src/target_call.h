// The state machine of one call on the target's side: after admission an at-most-once request
// claims its key, then the target is called, then the answer is recorded, then the caller is
// answered. It holds no socket and no clock; the daemon carries out its effects and passes in what
// happens. Its stages are those of charts/target_call.chart.
#ifndef ENDIVECLEAT_TARGET_CALL_H_
#define ENDIVECLEAT_TARGET_CALL_H_

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "call_types.h"
#include "crash_guard.h"
#include "units.h"

namespace endivecleat {

struct TargetCallRequest {
  CallKind kind = CallKind::kOther;
  IdempotencyKey key;  // of an at-most-once request
  // Made by this daemon for this copy of the request. The attempt id of the caller's daemon does
  // not do: a duplicate of its message would be granted the same claim and run again.
  AttemptId attempt;
  std::string digest;
  Fingerprint fingerprint;
  TimePoint deadline = TimePoint::max();
};

/// Commands to the ledger. Answer each with LedgerAnswered; a command may be sent more than once.
struct SendClaim {
  IdempotencyKey key;
  AttemptId attempt;
  std::string digest;
};
struct SendRelease {
  IdempotencyKey key;
  AttemptId attempt;
};
struct SendComplete {
  IdempotencyKey key;
  AttemptId attempt;
  TargetAnswer answer;
};
struct SendRefuse {
  IdempotencyKey key;
  AttemptId attempt;
  std::string digest;
};
/// Calls the target; happens once. The connection may outlive the deadline that is
/// sent to the target, until `limit`, to record a late answer.
struct CallTarget {
  TimePoint deadline;
  TimePoint limit;
};
/// Closes the connection on which the target works on this request.
struct CancelTarget {};
/// CrashGuard::End; follows each CallTarget once.
struct EndTargetCall {
  Fingerprint fingerprint;
  CallEnding ending;
};
/// Admission::Withdraw: the request does not wait for a slot any more.
struct LeaveQueue {};
/// Admission::Finish; follows each admission once.
struct FreeSlot {};
/// To the daemon of the caller. One of the two follows at most once.
struct AnswerCaller {
  TargetAnswer answer;
};
struct RefuseCaller {
  Refusal refusal;
};
using TargetCallEffect =
    std::variant<SendClaim, SendRelease, SendComplete, SendRefuse, CallTarget, CancelTarget,
                 EndTargetCall, LeaveQueue, FreeSlot, AnswerCaller, RefuseCaller>;
using TargetCallEffects = std::vector<TargetCallEffect>;

enum class TargetFault {
  kNotSent,  // the connection was refused before a byte was sent
  kNotRun,   // the target answered that it did not run the request
  kBroken,   // the connection broke or timed out; the target may have run the request
  kDied,     // the same, and the target is gone
};

class TargetCall {
 public:
  /// A larger body is not kept by the ledger; a replay is answered with code 506.
  static constexpr size_t kMostReplayableBytes = 64UL << 10U;

  explicit TargetCall(TargetCallRequest request);

  /// The request holds a slot. The verdict is that of the crash guard at this moment.
  TargetCallEffects Admitted(TimePoint now, CrashVerdict verdict);
  TargetCallEffects AdmissionRefused(TimePoint now, ResultCode code);
  TargetCallEffects LedgerAnswered(TimePoint now, const LedgerReply& reply);
  TargetCallEffects TargetAnswered(TimePoint now, const TargetAnswer& answer);
  TargetCallEffects TargetFailed(TimePoint now, TargetFault fault);
  /// The caller is gone or has no use for the answer. A request that the target works on goes on
  /// unless it is idempotent: cut in the middle, its effect would be unknown to the target as well.
  TargetCallEffects Cancelled(TimePoint now);
  /// Does nothing before next_timer.
  TargetCallEffects TimedOut(TimePoint now);

  TimePoint next_timer() const;
  /// Nothing follows any more. A call may be answered long before.
  bool finished() const { return state_ == "finished"; }
  const std::string& state() const { return state_; }

 private:
  bool once() const { return request_.kind == CallKind::kAtMostOnce; }
  void Move(const std::string& event);
  void Answer(const TargetAnswer& answer);
  void Refuse(ResultCode code, bool target_died = false);
  void Release();
  void EndCall(CallEnding ending);
  void SendCommand(TimePoint now);
  void Withdraw(TimePoint now, ResultCode code);
  void Settle(const LedgerReply& reply);
  void OnClaimReply(TimePoint now, const LedgerReply& reply);
  void OnReleaseReply(TimePoint now, const LedgerReply& reply);
  void OnCompleteReply(const LedgerReply& reply);
  void OnRefuseReply(const LedgerReply& reply);
  void EnterCalling();
  void EnterReleasing(TimePoint now, std::optional<ResultCode> code_when_released);
  void OnDeadline(TimePoint now);
  void OnLimit();
  TargetCallEffects TakeEffects();

  TargetCallRequest request_;
  std::string state_;
  TargetCallEffects effects_;  // of the event that is being handled
  bool holds_slot_ = false;
  bool reached_ = false;   // the target was called and may have got the request
  bool answered_ = false;  // AnswerCaller or RefuseCaller was given, or nobody wants one
  TargetAnswer answer_;    // while completing: what the target answered
  bool released_ = false;  // while releasing: the ledger confirmed it
  std::optional<ResultCode> code_when_released_;
  Duration resend_after_{};  // doubles while another attempt holds the claim
  TimePoint resend_at_ = TimePoint::max();
  TimePoint limit_ = TimePoint::max();  // when the current state ends without an answer
};

}  // namespace endivecleat

#endif  // ENDIVECLEAT_TARGET_CALL_H_
