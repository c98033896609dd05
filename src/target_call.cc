// Event handlers of TargetCall. The chart decides the next state; each handler appends its effects,
// and timers resend ledger commands until the ledger replies or the state times out.
#include "target_call.h"

#include <algorithm>
#include <utility>

#include "errors.h"
#include "state_chart.h"

namespace endivecleat {
namespace {

constexpr Duration kLedgerResendInterval = std::chrono::milliseconds(300);
// Polling backs off while another attempt holds the claim, since each poll appends an entry to the
// replicated log.
constexpr Duration kInitialPollInterval = std::chrono::milliseconds(50);
constexpr Duration kMaxPollInterval = std::chrono::seconds(1);
// Time after its deadline for which an at-most-once call still waits to record a late answer.
constexpr Duration kLateAnswerGrace = std::chrono::seconds(5);
// Longer than a leader election and one commit, so that a leader change loses no answer.
constexpr Duration kCompleteTimeout = std::chrono::seconds(30);
// A resent claim may be granted after its release; during this time it is released again.
constexpr Duration kReleaseTimeout = std::chrono::seconds(10);

const StateChart& Chart() {
  static const StateChart chart(
#include "target_call.chart"
  );
  return chart;
}

TimePoint AddSaturating(TimePoint time, Duration by) {
  return time > TimePoint::max() - by ? TimePoint::max() : time + by;
}

// The form in which the ledger stores an answer: without a body that is too large.
TargetAnswer ToRecordedAnswer(TargetAnswer answer) {
  if (answer.body.size() > TargetCall::kMaxReplayableBytes) {
    answer.body.clear();
    answer.too_large_to_replay = true;
  }
  return answer;
}

}  // namespace

TargetCall::TargetCall(TargetCallRequest request)
    : request_(std::move(request)), state_(Chart().initial()) {}

TargetCallEffects TargetCall::Admitted(TimePoint now, CrashVerdict verdict) {
  ENDIVECLEAT_CHECK(!holds_slot_, "request was admitted twice");
  holds_slot_ = true;
  if (state_ != "queued") {
    ReleaseSlot();
  } else if (request_.deadline <= now) {
    Withdraw(now, ResultCode::kDeadlinePassed);
  } else if (verdict == CrashVerdict::kStop && !at_most_once()) {
    Withdraw(now, ResultCode::kStoppedAfterCrashes);
  } else if (verdict == CrashVerdict::kStop) {
    ReleaseSlot();
    Transition("stopped");
    state_expires_at_ = std::min(request_.deadline, now + kReleaseTimeout);
    SendCommand(now);
  } else if (at_most_once()) {
    Transition("admitted_once");
    SendCommand(now);
  } else {
    Transition("admitted");
    EnterCalling();
  }
  return TakeEffects();
}

TargetCallEffects TargetCall::AdmissionRefused(TimePoint, ResultCode code) {
  if (state_ == "queued") {
    const bool report_not_started = at_most_once() && GuaranteesNotRun(code);
    Refuse(report_not_started ? ResultCode::kNotStarted : code);
    Transition("closed");
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
  if (at_most_once()) {
    answer_ = answer;
    Transition("answered");
    state_expires_at_ = now + kCompleteTimeout;
    SendCommand(now);
  } else {
    Answer(answer);
    Transition("closed");
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
  target_reached_ = fault != TargetFault::kNotSent;
  if (not_run && at_most_once()) {
    Transition("not_sent");
    EnterReleasing(now, ResultCode::kNotStarted);
  } else if (not_run) {
    Refuse(fault == TargetFault::kNotSent ? ResultCode::kTargetUnreachable
                                          : ResultCode::kOverloaded);
    Transition("closed");
  } else {
    // The claim of an at-most-once request is never released: the target may have run the request.
    Refuse(at_most_once() ? ResultCode::kOutcomeUnknown : ResultCode::kAnswerBroken, died);
    Transition("closed");
  }
  return TakeEffects();
}

TargetCallEffects TargetCall::Cancelled(TimePoint now) {
  answered_ = true;
  if (state_ == "queued") {
    effects_.emplace_back(LeaveQueue{});
    Transition("withdrawn");
  } else if (state_ == "claiming" || state_ == "awaiting") {
    Withdraw(now, ResultCode::kCancelled);
  } else if (state_ == "calling" && request_.kind == CallKind::kIdempotent) {
    effects_.emplace_back(CancelTarget{});
    EndCall(CallEnding::kOther);
    Transition("closed");
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
  if (!finished() && state_expires_at_ <= now) {
    OnStateTimeout();
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
  return std::min({deadline, state_expires_at_, resend_at_});
}

void TargetCall::Transition(const std::string& event) { state_ = Chart().Next(state_, event); }

void TargetCall::Answer(const TargetAnswer& answer) {
  if (!std::exchange(answered_, true)) {
    effects_.emplace_back(AnswerCaller{answer});
  }
}

void TargetCall::Refuse(ResultCode code, bool target_died) {
  if (!std::exchange(answered_, true)) {
    effects_.emplace_back(RefuseCaller{{code, target_died, target_reached_}});
  }
}

void TargetCall::ReleaseSlot() {
  if (std::exchange(holds_slot_, false)) {
    effects_.emplace_back(FreeSlot{});
  }
}

void TargetCall::EndCall(CallEnding ending) {
  effects_.emplace_back(RecordCallEnding{request_.fingerprint, ending});
  state_expires_at_ = TimePoint::max();
  ReleaseSlot();
}

// Sends or resends the ledger command of the current state.
void TargetCall::SendCommand(TimePoint now) {
  resend_at_ = now + kLedgerResendInterval;
  if (state_ == "claiming") {
    effects_.emplace_back(SendClaim{request_.key, request_.attempt, request_.digest});
  } else if (state_ == "awaiting") {
    effects_.emplace_back(SendClaim{request_.key, request_.attempt, request_.digest});
    resend_interval_ = std::min(resend_interval_ * 2, kMaxPollInterval);
    resend_at_ = now + resend_interval_;
  } else if (state_ == "completing") {
    effects_.emplace_back(SendComplete{request_.key, request_.attempt, ToRecordedAnswer(answer_)});
  } else if (state_ == "releasing") {
    effects_.emplace_back(SendRelease{request_.key, request_.attempt});
  } else if (state_ == "refusing") {
    effects_.emplace_back(SendRefuse{request_.key, request_.attempt, request_.digest});
  }
}

// Ends a call whose target was not called, and releases the claim that may have been granted.
void TargetCall::Withdraw(TimePoint now, ResultCode code) {
  Refuse(code);
  ReleaseSlot();
  Transition("withdrawn");
  if (state_ == "releasing") {
    EnterReleasing(now, std::nullopt);
  }
}

// Answers the caller from a final ledger record (ran or refused).
void TargetCall::AnswerFromRecord(const LedgerReply& reply) {
  ReleaseSlot();
  if (reply.outcome == LedgerOutcome::kRefused) {
    Refuse(ResultCode::kNotRun);
  } else if (reply.answer.too_large_to_replay) {
    Refuse(ResultCode::kAnswerTooLargeToReplay);
  } else {
    TargetAnswer answer = reply.answer;
    answer.replayed = true;
    Answer(answer);
  }
  Transition("settled");
}

void TargetCall::OnClaimReply(TimePoint now, const LedgerReply& reply) {
  switch (reply.outcome) {
    case LedgerOutcome::kGranted:
      if (request_.deadline <= now) {
        Withdraw(now, ResultCode::kOutcomeUnknown);
        return;
      }
      if (state_ == "claiming") {
        Transition("granted");
        EnterCalling();
        return;
      }
      // The other attempt released its claim, but this one no longer holds a slot.
      Transition("granted");
      EnterReleasing(now, ResultCode::kNotStarted);
      return;
    case LedgerOutcome::kRan:
    case LedgerOutcome::kRefused:
      AnswerFromRecord(reply);
      return;
    case LedgerOutcome::kInProgress:
      if (state_ == "claiming") {
        ReleaseSlot();
        Transition("in_progress");
        resend_interval_ = kInitialPollInterval;
        resend_at_ = now + kInitialPollInterval;
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
    Transition("settled");
  } else if (reply.outcome == LedgerOutcome::kRan) {
    // Only the attempt that was granted the claim can complete it, so the stored answer is its own.
    Answer(reply.answer.too_large_to_replay ? answer_ : reply.answer);
    Transition("settled");
  }
}

void TargetCall::OnRefuseReply(const LedgerReply& reply) {
  switch (reply.outcome) {
    case LedgerOutcome::kRefused:
    case LedgerOutcome::kRan:
      AnswerFromRecord(reply);
      return;
    case LedgerOutcome::kDigestMismatch:
      Refuse(ResultCode::kKeyReused);
      Transition("settled");
      return;
    case LedgerOutcome::kInProgress:
      Refuse(ResultCode::kOutcomeUnknown);
      Transition("in_progress");
      return;
    case LedgerOutcome::kUnreachable:
      Refuse(ResultCode::kOutcomeUnknown);
      Transition("closed");
      return;
    default:
      return;
  }
}

void TargetCall::EnterCalling() {
  resend_at_ = TimePoint::max();
  state_expires_at_ =
      at_most_once() ? AddSaturating(request_.deadline, kLateAnswerGrace) : request_.deadline;
  target_reached_ = true;
  effects_.emplace_back(CallTarget{request_.deadline, state_expires_at_});
}

void TargetCall::EnterReleasing(TimePoint now, std::optional<ResultCode> code_when_released) {
  code_when_released_ = code_when_released;
  state_expires_at_ = now + kReleaseTimeout;
  SendCommand(now);
}

void TargetCall::OnDeadline(TimePoint now) {
  if (state_ == "queued") {
    effects_.emplace_back(LeaveQueue{});
    Withdraw(now, ResultCode::kDeadlinePassed);
  } else if (state_ == "claiming" || state_ == "awaiting") {
    Withdraw(now, ResultCode::kOutcomeUnknown);
  } else {
    Refuse(at_most_once() ? ResultCode::kOutcomeUnknown : ResultCode::kDeadlinePassed);
  }
  if (state_ == "refusing") {
    Transition("closed");
  }
}

void TargetCall::OnStateTimeout() {
  if (state_ == "calling") {
    effects_.emplace_back(CancelTarget{});
    EndCall(CallEnding::kOther);
  }
  Refuse(ResultCode::kOutcomeUnknown);
  Transition("closed");
}

TargetCallEffects TargetCall::TakeEffects() { return std::exchange(effects_, {}); }

}  // namespace endivecleat
