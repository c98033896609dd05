// Tests of TargetCall. They guard against calling the target before the claim is committed, against
// slots that are never freed, and against an answer to the caller that the ledger does not confirm.
#include "target_call.h"

#include <CppUTest/TestHarness.h>

using namespace endivecleat;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const TimePoint kStart = TimePoint{} + seconds(100);
const TimePoint kDeadline = kStart + milliseconds(1000);
const AttemptId kAttempt("t/1/1");

TargetCallRequest Request(CallKind kind) {
  return {.kind = kind,
          .key = IdempotencyKey("k"),
          .attempt = kAttempt,
          .digest = "d",
          .fingerprint = Fingerprint("f"),
          .deadline = kDeadline};
}

template <class Effect>
const Effect* Find(const TargetCallEffects& effects) {
  for (const TargetCallEffect& effect : effects) {
    if (const auto* found = std::get_if<Effect>(&effect)) {
      return found;
    }
  }
  return nullptr;
}

template <class Effect>
bool Has(const TargetCallEffects& effects) {
  return Find<Effect>(effects) != nullptr;
}

bool Refuses(const TargetCallEffects& effects, ResultCode code) {
  const auto* refuse = Find<RefuseCaller>(effects);
  return refuse != nullptr && refuse->refusal.code == code;
}

LedgerReply Reply(LedgerOutcome outcome, const std::string& body = {}) {
  return {kAttempt, outcome, {.status = 201, .body = body}};
}

TargetCall Admit(CallKind kind) {
  TargetCall call(Request(kind));
  call.Admitted(kStart, CrashVerdict::kRun);
  return call;
}

TargetCall Granted() {
  TargetCall call = Admit(CallKind::kAtMostOnce);
  call.LedgerAnswered(kStart, Reply(LedgerOutcome::kGranted));
  return call;
}

}  // namespace

TEST_GROUP(TargetCallOfARead){};

TEST(TargetCallOfARead, CallsTheTargetAndPassesOnItsAnswer) {
  TargetCall call(Request(CallKind::kIdempotent));
  CHECK(Has<CallTarget>(call.Admitted(kStart, CrashVerdict::kRun)));
  const TargetCallEffects effects = call.TargetAnswered(kStart, {.status = 500});
  CHECK(Has<FreeSlot>(effects) && Has<EndTargetCall>(effects) && Has<AnswerCaller>(effects));
  CHECK(call.finished());
}

TEST(TargetCallOfARead, EndsAtItsDeadline) {
  TargetCall call = Admit(CallKind::kOther);
  CHECK(call.next_timer() == kDeadline);
  const TargetCallEffects effects = call.TimedOut(kDeadline);
  CHECK(Has<CancelTarget>(effects) && Has<FreeSlot>(effects) && call.finished());
  CHECK(Refuses(effects, ResultCode::kDeadlinePassed));
}

TEST(TargetCallOfARead, ReportsADeadTarget) {
  TargetCall call = Admit(CallKind::kIdempotent);
  const TargetCallEffects effects = call.TargetFailed(kStart, TargetFault::kDied);
  CHECK(Find<EndTargetCall>(effects)->ending == CallEnding::kTargetDied);
  CHECK(Find<RefuseCaller>(effects)->refusal == Refusal({ResultCode::kAnswerBroken, true, true}));
}

TEST(TargetCallOfARead, IsStoppedByTheCrashGuard) {
  TargetCall stopped(Request(CallKind::kIdempotent));
  const TargetCallEffects effects = stopped.Admitted(kStart, CrashVerdict::kStop);
  CHECK(Refuses(effects, ResultCode::kStoppedAfterCrashes) && Has<FreeSlot>(effects));
}

TEST_GROUP(TargetCallAtMostOnce){};

TEST(TargetCallAtMostOnce, ClaimsCallsCompletesThenAnswers) {
  TargetCall call(Request(CallKind::kAtMostOnce));
  TargetCallEffects effects = call.Admitted(kStart, CrashVerdict::kRun);
  CHECK(Has<SendClaim>(effects) && !Has<CallTarget>(effects));
  effects = call.LedgerAnswered(kStart, Reply(LedgerOutcome::kGranted));
  CHECK(Has<CallTarget>(effects));
  CHECK(call.LedgerAnswered(kStart, Reply(LedgerOutcome::kGranted)).empty());
  effects = call.TargetAnswered(kStart, {.status = 201, .body = "made"});
  CHECK(Has<SendComplete>(effects) && Has<FreeSlot>(effects) && !Has<AnswerCaller>(effects));
  effects = call.LedgerAnswered(kStart, Reply(LedgerOutcome::kDone));
  CHECK(Find<AnswerCaller>(effects)->answer.body == "made");
  CHECK(call.finished());
}

TEST(TargetCallAtMostOnce, AnswersFromTheRecord) {
  TargetCall ran = Admit(CallKind::kAtMostOnce);
  const auto effects = ran.LedgerAnswered(kStart, Reply(LedgerOutcome::kRan, "made"));
  CHECK(Find<AnswerCaller>(effects)->answer.replayed && Has<FreeSlot>(effects));
  TargetCall refused = Admit(CallKind::kAtMostOnce);
  CHECK(
      Refuses(refused.LedgerAnswered(kStart, Reply(LedgerOutcome::kRefused)), ResultCode::kNotRun));
  TargetCall reused = Admit(CallKind::kAtMostOnce);
  CHECK(Refuses(reused.LedgerAnswered(kStart, Reply(LedgerOutcome::kDigestMismatch)),
                ResultCode::kKeyReused));
  TargetCall large = Admit(CallKind::kAtMostOnce);
  LedgerReply too_large = Reply(LedgerOutcome::kRan);
  too_large.answer.too_large = true;
  CHECK(Refuses(large.LedgerAnswered(kStart, too_large), ResultCode::kAnswerTooLargeToReplay));
}

TEST(TargetCallAtMostOnce, WaitsForAnotherAttemptWithoutASlot) {
  TargetCall call = Admit(CallKind::kAtMostOnce);
  CHECK(Has<FreeSlot>(call.LedgerAnswered(kStart, Reply(LedgerOutcome::kInProgress))));
  CHECK(Has<SendClaim>(call.TimedOut(call.next_timer())));
  CHECK(Has<AnswerCaller>(call.LedgerAnswered(kStart, Reply(LedgerOutcome::kRan))));
}

TEST(TargetCallAtMostOnce, IsUnknownWhenTheOtherAttemptDoesNotEnd) {
  TargetCall call = Admit(CallKind::kAtMostOnce);
  call.LedgerAnswered(kStart, Reply(LedgerOutcome::kInProgress));
  const TargetCallEffects effects = call.TimedOut(kDeadline);
  CHECK(Refuses(effects, ResultCode::kOutcomeUnknown) && Has<SendRelease>(effects));
}

TEST(TargetCallAtMostOnce, ReleasesWhatItIsGrantedTooLate) {
  TargetCall call = Admit(CallKind::kAtMostOnce);
  CHECK(Refuses(call.LedgerAnswered(kStart, Reply(LedgerOutcome::kUnreachable)),
                ResultCode::kOutcomeUnknown));
  const TargetCallEffects effects = call.LedgerAnswered(kStart, Reply(LedgerOutcome::kGranted));
  CHECK(Has<SendRelease>(effects) && !Has<CallTarget>(effects));
}

TEST(TargetCallAtMostOnce, ReleasesBeforeItSaysNotStarted) {
  TargetCall call = Granted();
  const TargetCallEffects effects = call.TargetFailed(kStart, TargetFault::kNotSent);
  CHECK(Has<SendRelease>(effects) && !Has<RefuseCaller>(effects) && Has<FreeSlot>(effects));
  CHECK(Refuses(call.LedgerAnswered(kStart, Reply(LedgerOutcome::kDone)), ResultCode::kNotStarted));
}

TEST(TargetCallAtMostOnce, NeverReleasesWhatMayHaveRun) {
  TargetCall call = Granted();
  const TargetCallEffects effects = call.TargetFailed(kStart, TargetFault::kBroken);
  CHECK(Refuses(effects, ResultCode::kOutcomeUnknown) && !Has<SendRelease>(effects));
  CHECK(call.finished());
}

TEST(TargetCallAtMostOnce, RecordsAnAnswerThatComesAfterTheDeadline) {
  TargetCall call = Granted();
  CHECK(Refuses(call.TimedOut(kDeadline), ResultCode::kOutcomeUnknown));
  CHECK(Has<SendComplete>(call.TargetAnswered(kDeadline, {.status = 201})));
  CHECK_FALSE(Has<AnswerCaller>(call.LedgerAnswered(kDeadline, Reply(LedgerOutcome::kDone))));
}

TEST(TargetCallAtMostOnce, GoesOnWhenTheCallerIsGone) {
  TargetCall call = Granted();
  CHECK(call.Cancelled(kStart).empty());
  CHECK(Has<SendComplete>(call.TargetAnswered(kStart, {.status = 201})));
}

TEST(TargetCallAtMostOnce, StoppedByTheCrashGuardIsRefusedForGood) {
  TargetCall call(Request(CallKind::kAtMostOnce));
  CHECK(Has<SendRefuse>(call.Admitted(kStart, CrashVerdict::kStop)));
  CHECK(Refuses(call.LedgerAnswered(kStart, Reply(LedgerOutcome::kRefused)), ResultCode::kNotRun));
}

TEST(TargetCallAtMostOnce, KeepsNoLargeBodyInTheLedger) {
  TargetCall call = Granted();
  const std::string body(TargetCall::kMostReplayableBytes + 1, 'x');
  const TargetCallEffects effects = call.TargetAnswered(kStart, {.status = 201, .body = body});
  CHECK(Find<SendComplete>(effects)->answer.too_large);
  const auto done = call.LedgerAnswered(kStart, Reply(LedgerOutcome::kDone));
  CHECK(Find<AnswerCaller>(done)->answer.body == body);
}

TEST(TargetCallAtMostOnce, IgnoresTheReplyToAnotherAttempt) {
  TargetCall call = Admit(CallKind::kAtMostOnce);
  CHECK(call.LedgerAnswered(kStart, {AttemptId("other"), LedgerOutcome::kGranted, {}}).empty());
}
