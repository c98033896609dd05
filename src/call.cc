// Maps each event to a transition of the state chart and to effects. A retry needs a safe result
// (nothing ran, or the request may be repeated) and a token of the retry budget. An offer to
// another daemon after one that no target received needs no token.
#include "call.h"

#include <algorithm>
#include <utility>

#include "errors.h"
#include "state_chart.h"

namespace endivecleat {
namespace {

// Timeout for the ledger to record a refusal. A commit across regions takes two one-way trips of
// 30 ms and two disk syncs; an election would take longer than a caller waits.
constexpr Duration kLedgerRefusalTimeout = std::chrono::milliseconds(500);
// The crash guard blocks a request after the same number of crashes. The count here stops a call
// with many attempts before the crash reports have spread by gossip.
constexpr uint32_t kMaxTargetDeaths = 2;
constexpr int kMinErrorStatus = 500;
// Retry tokens for repeating an answered request: the target has already made its own calls, and
// the next target makes them again.
constexpr uint64_t kRepeatedRunTokens = 2;
// With less time left, another target could not answer in time.
constexpr Duration kMinRetryTime = std::chrono::milliseconds(20);

const StateChart& Chart() {
  static const StateChart chart(
#include "call.chart"
  );
  return chart;
}

// Results that are about the idempotency key itself and hold for every copy of the request.
bool IsDefinite(ResultCode code) {
  return code == ResultCode::kNotRun || code == ResultCode::kKeyReused ||
         code == ResultCode::kKeyMissing || code == ResultCode::kAnswerTooLargeToReplay;
}

// Whether a refused at-most-once attempt may have run. Unknown codes count as "may have run".
bool MayHaveRun(ResultCode code) {
  switch (code) {
    case ResultCode::kDeadlinePassed:
    case ResultCode::kBodyTooLarge:
    case ResultCode::kBadRequest:
    case ResultCode::kNoRoute:
      return false;
    default:
      return !GuaranteesNotRun(code) && !IsDefinite(code);
  }
}

}  // namespace

Call::Call(CallRequest request, RetryBudget& budget)
    : request_(std::move(request)),
      budget_(&budget),
      state_(Chart().initial()),
      may_wait_(request_.max_offers <= 1) {
  budget_->CountCall();
}

CallEffects Call::Start(TimePoint now) {
  if (request_.kind == CallKind::kAtMostOnce && request_.key.empty()) {
    return Finish(ResultCode::kKeyMissing);
  }
  if (request_.deadline <= now) {
    return DeadlinePassed(now);
  }
  return {NextChoice()};
}

CallEffects Call::StartBlocked(TimePoint now) {
  if (request_.kind != CallKind::kAtMostOnce) {
    return Finish(ResultCode::kStoppedAfterCrashes);
  }
  return request_.key.empty() ? Finish(ResultCode::kKeyMissing) : WriteRefusal(now);
}

CallEffects Call::Chosen(TimePoint now, const std::optional<Endpoint>& endpoint) {
  if (state_ != "choosing") {
    return {};
  }
  if (request_.deadline <= now) {
    return DeadlinePassed(now);
  }
  if (!endpoint.has_value() && !may_wait_) {
    may_wait_ = true;
    return {NextChoice()};
  }
  if (!endpoint.has_value()) {
    return Finish(FinalCode(last_refusal_.value_or(ResultCode::kNoReadyTarget)));
  }
  const AttemptId attempt = NextAttempt();
  sent_.push_back({*endpoint, attempt, may_wait_});
  Transition("chosen");
  return {SendAttempt{*endpoint, attempt, may_wait_}};
}

CallEffects Call::Answered(TimePoint now, const AttemptId& attempt, const TargetAnswer& answer) {
  // The ledger guarantees that all answers to an at-most-once request agree, so a late answer of an
  // earlier attempt is valid too.
  const bool late_but_definite = request_.kind == CallKind::kAtMostOnce && IsOwnAttempt(attempt);
  if (finished() || !(IsCurrent(attempt) || late_but_definite)) {
    return {};
  }
  if (request_.retry_error_answers && request_.kind == CallKind::kIdempotent &&
      answer.status >= kMinErrorStatus) {
    ++attempts_at_target_;
    error_answer_ = answer;
    return now + kMinRetryTime < request_.deadline && TryTakeRetryTokens(kRepeatedRunTokens)
               ? ChooseAgain()
               : Finish(ResultCode::kOk, answer);
  }
  CallEffects effects;
  if (state_ == "waiting" && !IsCurrent(attempt)) {
    effects.emplace_back(CancelAttempt{sent_.back().endpoint, sent_.back().attempt});
  }
  for (CallEffect& effect : Finish(ResultCode::kOk, answer)) {
    effects.push_back(std::move(effect));
  }
  return effects;
}

CallEffects Call::Refused(TimePoint now, const AttemptId& attempt, const Refusal& refusal) {
  if (!IsCurrent(attempt)) {
    return {};
  }
  target_deaths_ += refusal.target_died ? 1 : 0;
  unresolved_ = unresolved_ || MayHaveRun(refusal.code);
  if (refusal.code == ResultCode::kDeadlinePassed) {
    return DeadlinePassed(now);
  }
  sent_.back().was_full = refusal.code == ResultCode::kOverloaded && !refusal.reached_target;
  return TryAgainOrFinish(refusal.code, refusal.reached_target);
}

CallEffects Call::LinkBroken(TimePoint, const AttemptId& attempt) {
  if (!IsCurrent(attempt)) {
    return {};
  }
  unresolved_ = true;
  return TryAgainOrFinish(ResultCode::kAnswerBroken, true);
}

CallEffects Call::Cancelled(TimePoint) {
  if (finished()) {
    return {};
  }
  CallEffects effects;
  if (state_ == "waiting") {
    effects.emplace_back(CancelAttempt{sent_.back().endpoint, sent_.back().attempt});
  }
  for (CallEffect& effect : Finish(ResultCode::kCancelled)) {
    effects.push_back(std::move(effect));
  }
  return effects;
}

CallEffects Call::LedgerAnswered(TimePoint, const LedgerReply& reply) {
  if (state_ != "refusing" || reply.attempt != NextAttempt()) {
    return {};
  }
  switch (reply.outcome) {
    case LedgerOutcome::kRefused:
      return Finish(ResultCode::kNotRun);
    case LedgerOutcome::kRan:
      return reply.answer.too_large_to_replay ? Finish(ResultCode::kAnswerTooLargeToReplay)
                                              : Finish(ResultCode::kOk, reply.answer);
    case LedgerOutcome::kDigestMismatch:
      return Finish(ResultCode::kKeyReused);
    default:
      return Finish(ResultCode::kOutcomeUnknown);
  }
}

CallEffects Call::TimedOut(TimePoint now) {
  if (finished() || now < next_timer()) {
    return {};
  }
  return state_ == "refusing" ? Finish(ResultCode::kOutcomeUnknown) : DeadlinePassed(now);
}

TimePoint Call::next_timer() const {
  if (finished()) {
    return TimePoint::max();
  }
  return state_ == "refusing" ? refusal_deadline_ : request_.deadline;
}

void Call::Transition(const std::string& event) { state_ = Chart().Next(state_, event); }

bool Call::IsCurrent(const AttemptId& attempt) const {
  return state_ == "waiting" && sent_.back().attempt == attempt;
}

bool Call::IsOwnAttempt(const AttemptId& attempt) const {
  return std::any_of(sent_.begin(), sent_.end(),
                     [&](const Sent& sent) { return sent.attempt == attempt; });
}

bool Call::AllowRetry(ResultCode code, bool reached_target) {
  const bool broken = code == ResultCode::kAnswerBroken;
  const bool safe = GuaranteesNotRun(code) || (broken && request_.kind != CallKind::kOther);
  if (!safe) {
    return false;
  }
  if (!reached_target && request_.max_offers > 0) {
    return sent_.size() < request_.max_offers;
  }
  return TryTakeRetryTokens(1);
}

bool Call::TryTakeRetryTokens(uint64_t tokens) {
  const uint64_t used = request_.max_offers > 0 ? attempts_at_target_ : sent_.size();
  return used < request_.max_attempts.value() && target_deaths_ < kMaxTargetDeaths &&
         budget_->TryTake(tokens, request_.urgent);
}

CallEffects Call::TryAgainOrFinish(ResultCode code, bool reached_target) {
  last_refusal_ = code;
  attempts_at_target_ += reached_target ? 1 : 0;
  return AllowRetry(code, reached_target) ? ChooseAgain() : Finish(FinalCode(code));
}

CallEffects Call::ChooseAgain() {
  Transition("try_again");
  may_wait_ = may_wait_ || sent_.size() + 1 >= request_.max_offers;
  return {NextChoice()};
}

// A target without a free slot may be chosen again for the request to wait there.
ChooseCandidate Call::NextChoice() const {
  ChooseCandidate choose;
  choose.may_wait = may_wait_;
  for (const Sent& sent : sent_) {
    const bool may_wait_there = may_wait_ && sent.was_full && !sent.may_wait;
    if (!may_wait_there) {
      choose.tried.push_back(sent.endpoint.instance);
    }
  }
  return choose;
}

CallEffects Call::DeadlinePassed(TimePoint now) {
  CallEffects effects;
  if (state_ == "waiting") {
    effects.emplace_back(CancelAttempt{sent_.back().endpoint, sent_.back().attempt});
    unresolved_ = true;
  }
  const bool refuse = request_.kind == CallKind::kAtMostOnce && request_.deadline_from_caller;
  for (CallEffect& effect :
       refuse ? WriteRefusal(now) : Finish(FinalCode(ResultCode::kDeadlinePassed))) {
    effects.push_back(std::move(effect));
  }
  return effects;
}

CallEffects Call::WriteRefusal(TimePoint now) {
  Transition("write_refusal");
  refusal_deadline_ = now + kLedgerRefusalTimeout;
  return {RefuseInLedger{request_.key, NextAttempt(), request_.digest}};
}

CallEffects Call::Finish(ResultCode code, std::optional<TargetAnswer> answer) {
  Transition("finish");
  if (code != ResultCode::kOk && code != ResultCode::kCancelled && error_answer_) {
    return {FinishCall{ResultCode::kOk, std::move(error_answer_)}};
  }
  return {FinishCall{code, std::move(answer)}};
}

ResultCode Call::FinalCode(ResultCode code) const {
  if (request_.kind != CallKind::kAtMostOnce || IsDefinite(code)) {
    return code;
  }
  if (unresolved_) {
    return ResultCode::kOutcomeUnknown;
  }
  const bool not_started = GuaranteesNotRun(code) || code == ResultCode::kDeadlinePassed;
  return not_started ? ResultCode::kNotStarted : code;
}

AttemptId Call::NextAttempt() const {
  return AttemptId(request_.call_id + "/" + std::to_string(sent_.size() + 1));
}

}  // namespace endivecleat
