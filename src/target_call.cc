// Event handlers of TargetCall. The chart decides the next state; each handler appends its effects,
// and timers resend ledger commands until the ledger replies or the state times out.
#include "target_call.h"

#include <algorithm>
#include <utility>

#include "errors.h"
#include "state_chart.h"

namespace endivecleat {
namespace {

constexpr Duration kLedgerResend = std::chrono::milliseconds(300);
// Polling backs off while another attempt holds the claim, since each poll appends an entry to the
// replicated log.
constexpr Duration kFirstPoll = std::chrono::milliseconds(50);
constexpr Duration kLongestPoll = std::chrono::seconds(1);
// Time after its deadline for which an at-most-once call still waits to record a late answer.
constexpr Duration kLateAnswer = std::chrono::seconds(5);
// Longer than a leader election and one commit, so that a leader change loses no answer.
constexpr Duration kCompleteLimit = std::chrono::seconds(30);
// A resent claim may be granted after its release; during this time it is released again.
constexpr Duration kReleaseLimit = std::chrono::seconds(10);

const StateChart& Chart() {
  static const StateChart chart(
#include "target_call.chart"
  );
  return chart;
}

TimePoint Later(TimePoint time, Duration by) {
  return time > TimePoint::max() - by ? TimePoint::max() : time + by;
}

// The form in which the ledger stores an answer: without a body that is too large.
TargetAnswer Recorded(TargetAnswer answer) {
  if (answer.body.size() > TargetCall::kMostReplayableBytes) {
    answer.body.clear();
    answer.too_large = true;
  }
  return answer;
}

}  // namespace

TargetCall::TargetCall(TargetCallRequest request)
    : request_(std::move(request)), state_(Chart().initial()) {}

TargetCallEffects TargetCall::Admitted(TimePoint now, CrashVerdict verdict) {
  ENDIVECLEAT_CHECK(!holds_slot_, "a request is admitted twice");
  holds_slot_ = true;
  if (state_ != "queued") {
    Release();
  } else if (request_.deadline <= now) {
    Withdraw(now, ResultCode::kDeadlinePassed);
  } else if (verdict == CrashVerdict::kStop && !once()) {
    Withdraw(now, ResultCode::kStoppedAfterCrashes);
  } else if (verdict == CrashVerdict::kStop) {
    Release();
    Move("stopped");
    limit_ = std::min(request_.deadline, now + kReleaseLimit);
    SendCommand(now);
  } else if (once()) {
    Move("admitted_once");
    SendCommand(now);
  } else {
    Move("admitted");
    EnterCalling();
  }
  return TakeEffects();
}

TargetCallEffects TargetCall::AdmissionRefused(TimePoint, ResultCode code) {
  if (state_ == "queued") {
    const bool not_started = once() && StatesNothingRan(code);
    Refuse(not_started ? ResultCode::kNotStarted : code);
    Move("closed");
  }
  return TakeEffects();
}

TargetCallEffects TargetCall::LedgerAnswered(TimePoint now, const LedgerReply& reply) {
  if (reply.attempt != request_.attempt) {
    return {};
  }
  if (state_ == "claiming" || state_ == "awaiting") {
    OnClaimReply(now, reply);
  } else if (state_ == "releasing") {
    OnReleaseReply(now, reply);
  } else if (state_ == "completing") {
    OnCompleteReply(reply);
  } else if (state_ == "refusing") {
    OnRefuseReply(reply);
  }
  return TakeEffects();
}

TargetCallEffects TargetCall::TargetAnswered(TimePoint now, const TargetAnswer& answer) {
  if (state_ != "calling") {
    return {};
  }
  EndCall(CallEnding::kAnswered);
  if (once()) {
    answer_ = answer;
    Move("answered");
    limit_ = now + kCompleteLimit;
    SendCommand(now);
  } else {
    Answer(answer);
    Move("closed");
  }
  return TakeEffects();
}

TargetCallEffects TargetCall::TargetFailed(TimePoint now, TargetFault fault) {
  if (state_ != "calling") {
    return {};
  }
  const bool died = fault == TargetFault::kDied;
  EndCall(died ? CallEnding::kTargetDied : CallEnding::kOther);
  const bool not_run = fault == TargetFault::kNotSent || fault == TargetFault::kNotRun;
  reached_ = fault != TargetFault::kNotSent;
  if (not_run && once()) {
    Move("not_sent");
    EnterReleasing(now, ResultCode::kNotStarted);
  } else if (not_run) {
    Refuse(fault == TargetFault::kNotSent ? ResultCode::kTargetUnreachable
                                          : ResultCode::kOverloaded);
    Move("closed");
  } else {
    // The claim of an at-most-once request is never released: the target may have run the request.
    Refuse(once() ? ResultCode::kOutcomeUnknown : ResultCode::kAnswerBroken, died);
    Move("closed");
  }
  return TakeEffects();
}

TargetCallEffects TargetCall::Cancelled(TimePoint now) {
  answered_ = true;
  if (state_ == "queued") {
    effects_.emplace_back(LeaveQueue{});
    Move("withdrawn");
  } else if (state_ == "claiming" || state_ == "awaiting") {
    Withdraw(now, ResultCode::kCancelled);
  } else if (state_ == "calling" && request_.kind == CallKind::kIdempotent) {
    effects_.emplace_back(CancelTarget{});
    EndCall(CallEnding::kOther);
    Move("closed");
  }
  return TakeEffects();
}

TargetCallEffects TargetCall::TimedOut(TimePoint now) {
  if (finished() || now < next_timer()) {
    return {};
  }
  if (!answered_ && request_.deadline <= now) {
    OnDeadline(now);
  }
  if (!finished() && limit_ <= now) {
    OnLimit();
  }
  if (!finished() && resend_at_ <= now) {
    SendCommand(now);
  }
  return TakeEffects();
}

TimePoint TargetCall::next_timer() const {
  if (finished()) {
    return TimePoint::max();
  }
  const TimePoint deadline = answered_ ? TimePoint::max() : request_.deadline;
  return std::min({deadline, limit_, resend_at_});
}

void TargetCall::Move(const std::string& event) { state_ = Chart().Next(state_, event); }

void TargetCall::Answer(const TargetAnswer& answer) {
  if (!std::exchange(answered_, true)) {
    effects_.emplace_back(AnswerCaller{answer});
  }
}

void TargetCall::Refuse(ResultCode code, bool target_died) {
  if (!std::exchange(answered_, true)) {
    effects_.emplace_back(RefuseCaller{{code, target_died, reached_}});
  }
}

void TargetCall::Release() {
  if (std::exchange(holds_slot_, false)) {
    effects_.emplace_back(FreeSlot{});
  }
}

void TargetCall::EndCall(CallEnding ending) {
  effects_.emplace_back(EndTargetCall{request_.fingerprint, ending});
  limit_ = TimePoint::max();
  Release();
}

// Sends or resends the ledger command of the current state.
void TargetCall::SendCommand(TimePoint now) {
  resend_at_ = now + kLedgerResend;
  if (state_ == "claiming") {
    effects_.emplace_back(SendClaim{request_.key, request_.attempt, request_.digest});
  } else if (state_ == "awaiting") {
    effects_.emplace_back(SendClaim{request_.key, request_.attempt, request_.digest});
    resend_after_ = std::min(resend_after_ * 2, kLongestPoll);
    resend_at_ = now + resend_after_;
  } else if (state_ == "completing") {
    effects_.emplace_back(SendComplete{request_.key, request_.attempt, Recorded(answer_)});
  } else if (state_ == "releasing") {
    effects_.emplace_back(SendRelease{request_.key, request_.attempt});
  } else if (state_ == "refusing") {
    effects_.emplace_back(SendRefuse{request_.key, request_.attempt, request_.digest});
  }
}

// Ends a call whose target was not called, and releases the claim that may have been granted.
void TargetCall::Withdraw(TimePoint now, ResultCode code) {
  Refuse(code);
  Release();
  Move("withdrawn");
  if (state_ == "releasing") {
    EnterReleasing(now, std::nullopt);
  }
}

// Answers the caller from a final ledger record (ran or refused).
void TargetCall::Settle(const LedgerReply& reply) {
  Release();
  if (reply.outcome == LedgerOutcome::kRefused) {
    Refuse(ResultCode::kNotRun);
  } else if (reply.answer.too_large) {
    Refuse(ResultCode::kAnswerTooLargeToReplay);
  } else {
    TargetAnswer answer = reply.answer;
    answer.replayed = true;
    Answer(answer);
  }
  Move("settled");
}

void TargetCall::OnClaimReply(TimePoint now, const LedgerReply& reply) {
  switch (reply.outcome) {
    case LedgerOutcome::kGranted:
      if (request_.deadline <= now) {
        Withdraw(now, ResultCode::kOutcomeUnknown);
        return;
      }
      if (state_ == "claiming") {
        Move("granted");
        EnterCalling();
        return;
      }
      // The other attempt released its claim, but this one no longer holds a slot.
      Move("granted");
      EnterReleasing(now, ResultCode::kNotStarted);
      return;
    case LedgerOutcome::kRan:
    case LedgerOutcome::kRefused:
      Settle(reply);
      return;
    case LedgerOutcome::kInProgress:
      if (state_ == "claiming") {
        Release();
        Move("in_progress");
        resend_after_ = kFirstPoll;
        resend_at_ = now + kFirstPoll;
      }
      return;
    case LedgerOutcome::kDigestMismatch:
      Withdraw(now, ResultCode::kKeyReused);
      return;
    case LedgerOutcome::kUnreachable:
      Withdraw(now, ResultCode::kOutcomeUnknown);
      return;
    case LedgerOutcome::kDone:
      return;
  }
}

void TargetCall::OnReleaseReply(TimePoint now, const LedgerReply& reply) {
  if (reply.outcome == LedgerOutcome::kGranted) {
    // A resent claim was applied after the release, or its reply was delayed: release again.
    released_ = false;
    SendCommand(now);
  } else if (reply.outcome == LedgerOutcome::kDone) {
    released_ = true;
    resend_at_ = TimePoint::max();
    if (code_when_released_.has_value()) {
      Refuse(*code_when_released_);
    }
  }
}

void TargetCall::OnCompleteReply(const LedgerReply& reply) {
  if (reply.outcome == LedgerOutcome::kDone) {
    Answer(answer_);
    Move("settled");
  } else if (reply.outcome == LedgerOutcome::kRan) {
    // Only the attempt that was granted the claim can complete it, so the stored answer is its own.
    Answer(reply.answer.too_large ? answer_ : reply.answer);
    Move("settled");
  }
}

void TargetCall::OnRefuseReply(const LedgerReply& reply) {
  switch (reply.outcome) {
    case LedgerOutcome::kRefused:
    case LedgerOutcome::kRan:
      Settle(reply);
      return;
    case LedgerOutcome::kDigestMismatch:
      Refuse(ResultCode::kKeyReused);
      Move("settled");
      return;
    case LedgerOutcome::kInProgress:
      Refuse(ResultCode::kOutcomeUnknown);
      Move("in_progress");
      return;
    case LedgerOutcome::kUnreachable:
      Refuse(ResultCode::kOutcomeUnknown);
      Move("closed");
      return;
    default:
      return;
  }
}

void TargetCall::EnterCalling() {
  resend_at_ = TimePoint::max();
  limit_ = once() ? Later(request_.deadline, kLateAnswer) : request_.deadline;
  reached_ = true;
  effects_.emplace_back(CallTarget{request_.deadline, limit_});
}

void TargetCall::EnterReleasing(TimePoint now, std::optional<ResultCode> code_when_released) {
  code_when_released_ = code_when_released;
  limit_ = now + kReleaseLimit;
  SendCommand(now);
}

void TargetCall::OnDeadline(TimePoint now) {
  if (state_ == "queued") {
    effects_.emplace_back(LeaveQueue{});
    Withdraw(now, ResultCode::kDeadlinePassed);
  } else if (state_ == "claiming" || state_ == "awaiting") {
    Withdraw(now, ResultCode::kOutcomeUnknown);
  } else {
    Refuse(once() ? ResultCode::kOutcomeUnknown : ResultCode::kDeadlinePassed);
  }
  if (state_ == "refusing") {
    Move("closed");
  }
}

void TargetCall::OnLimit() {
  if (state_ == "calling") {
    effects_.emplace_back(CancelTarget{});
    EndCall(CallEnding::kOther);
  }
  Refuse(ResultCode::kOutcomeUnknown);
  Move("closed");
}

TargetCallEffects TargetCall::TakeEffects() { return std::exchange(effects_, {}); }

}  // namespace endivecleat
