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
const Effect* FindEffect(const TargetCallEffects& effects) {
  for (const TargetCallEffect& effect : effects) {
    if (const auto* found = std::get_if<Effect>(&effect)) {
      return found;
    }
  }
  return nullptr;
}

template <class Effect>
bool HasEffect(const TargetCallEffects& effects) {
  return FindEffect<Effect>(effects) != nullptr;
}

bool Refuses(const TargetCallEffects& effects, ResultCode code) {
  const auto* refuse = FindEffect<RefuseCaller>(effects);
  return refuse != nullptr && refuse->refusal.code == code;
}

LedgerReply Reply(LedgerOutcome outcome, const std::string& body = {}) {
  return {kAttempt, outcome, {.status = 201, .body = body}};
}

TargetCall AdmittedCall(CallKind kind) {
  TargetCall call(Request(kind));
  call.Admitted(kStart, CrashVerdict::kRun);
  return call;
}

TargetCall GrantedCall() {
  TargetCall call = AdmittedCall(CallKind::kAtMostOnce);
  call.LedgerAnswered(kStart, Reply(LedgerOutcome::kGranted));
  return call;
}

}  // namespace

TEST_GROUP(TargetCallWithoutLedger){};

TEST(TargetCallWithoutLedger, CallsTargetAndForwardsItsAnswer) {
  TargetCall call(Request(CallKind::kIdempotent));
  CHECK(HasEffect<CallTarget>(call.Admitted(kStart, CrashVerdict::kRun)));
  const TargetCallEffects effects = call.TargetAnswered(kStart, {.status = 500});
  CHECK(HasEffect<FreeSlot>(effects) && HasEffect<RecordCallEnding>(effects) &&
        HasEffect<AnswerCaller>(effects));
  CHECK(call.finished());
}

TEST(TargetCallWithoutLedger, CancelsTargetCallAndRefusesAtDeadline) {
  TargetCall call = AdmittedCall(CallKind::kOther);
  CHECK(call.next_timer() == kDeadline);
  const TargetCallEffects effects = call.TimedOut(kDeadline);
  CHECK(HasEffect<CancelTarget>(effects) && HasEffect<FreeSlot>(effects) && call.finished());
  CHECK(Refuses(effects, ResultCode::kDeadlinePassed));
}

TEST(TargetCallWithoutLedger, ReportsTargetDeathToGuardAndCaller) {
  TargetCall call = AdmittedCall(CallKind::kIdempotent);
  const TargetCallEffects effects = call.TargetFailed(kStart, TargetFault::kDied);
  CHECK(FindEffect<RecordCallEnding>(effects)->ending == CallEnding::kTargetDied);
  CHECK(FindEffect<RefuseCaller>(effects)->refusal ==
        Refusal({ResultCode::kAnswerBroken, true, true}));
}

TEST(TargetCallWithoutLedger, IsRefusedWhenCrashGuardStopsIt) {
  TargetCall stopped(Request(CallKind::kIdempotent));
  const TargetCallEffects effects = stopped.Admitted(kStart, CrashVerdict::kStop);
  CHECK(Refuses(effects, ResultCode::kStoppedAfterCrashes) && HasEffect<FreeSlot>(effects));
}

TEST_GROUP(TargetCallAtMostOnce){};

TEST(TargetCallAtMostOnce, ClaimsCallsCompletesThenAnswers) {
  TargetCall call(Request(CallKind::kAtMostOnce));
  TargetCallEffects effects = call.Admitted(kStart, CrashVerdict::kRun);
  CHECK(HasEffect<SendClaim>(effects) && !HasEffect<CallTarget>(effects));
  effects = call.LedgerAnswered(kStart, Reply(LedgerOutcome::kGranted));
  CHECK(HasEffect<CallTarget>(effects));
  CHECK(call.LedgerAnswered(kStart, Reply(LedgerOutcome::kGranted)).empty());
  effects = call.TargetAnswered(kStart, {.status = 201, .body = "made"});
  CHECK(HasEffect<SendComplete>(effects) && HasEffect<FreeSlot>(effects) &&
        !HasEffect<AnswerCaller>(effects));
  effects = call.LedgerAnswered(kStart, Reply(LedgerOutcome::kDone));
  CHECK(FindEffect<AnswerCaller>(effects)->answer.body == "made");
  CHECK(call.finished());
}

TEST(TargetCallAtMostOnce, AnswersFromExistingLedgerRecord) {
  TargetCall ran = AdmittedCall(CallKind::kAtMostOnce);
  const auto effects = ran.LedgerAnswered(kStart, Reply(LedgerOutcome::kRan, "made"));
  CHECK(FindEffect<AnswerCaller>(effects)->answer.replayed && HasEffect<FreeSlot>(effects));
  TargetCall refused = AdmittedCall(CallKind::kAtMostOnce);
  CHECK(
      Refuses(refused.LedgerAnswered(kStart, Reply(LedgerOutcome::kRefused)), ResultCode::kNotRun));
  TargetCall reused = AdmittedCall(CallKind::kAtMostOnce);
  CHECK(Refuses(reused.LedgerAnswered(kStart, Reply(LedgerOutcome::kDigestMismatch)),
                ResultCode::kKeyReused));
  TargetCall large = AdmittedCall(CallKind::kAtMostOnce);
  LedgerReply too_large = Reply(LedgerOutcome::kRan);
  too_large.answer.too_large_to_replay = true;
  CHECK(Refuses(large.LedgerAnswered(kStart, too_large), ResultCode::kAnswerTooLargeToReplay));
}

TEST(TargetCallAtMostOnce, FreesSlotWhileAnotherAttemptHoldsClaim) {
  TargetCall call = AdmittedCall(CallKind::kAtMostOnce);
  CHECK(HasEffect<FreeSlot>(call.LedgerAnswered(kStart, Reply(LedgerOutcome::kInProgress))));
  CHECK(HasEffect<SendClaim>(call.TimedOut(call.next_timer())));
  CHECK(HasEffect<AnswerCaller>(call.LedgerAnswered(kStart, Reply(LedgerOutcome::kRan))));
}

TEST(TargetCallAtMostOnce, OutcomeIsUnknownWhenOtherAttemptOutlastsDeadline) {
  TargetCall call = AdmittedCall(CallKind::kAtMostOnce);
  call.LedgerAnswered(kStart, Reply(LedgerOutcome::kInProgress));
  const TargetCallEffects effects = call.TimedOut(kDeadline);
  CHECK(Refuses(effects, ResultCode::kOutcomeUnknown) && HasEffect<SendRelease>(effects));
}

TEST(TargetCallAtMostOnce, ReleasesClaimGrantedAfterWithdrawal) {
  TargetCall call = AdmittedCall(CallKind::kAtMostOnce);
  CHECK(Refuses(call.LedgerAnswered(kStart, Reply(LedgerOutcome::kUnreachable)),
                ResultCode::kOutcomeUnknown));
  const TargetCallEffects effects = call.LedgerAnswered(kStart, Reply(LedgerOutcome::kGranted));
  CHECK(HasEffect<SendRelease>(effects) && !HasEffect<CallTarget>(effects));
}

TEST(TargetCallAtMostOnce, ReleasesClaimBeforeReportingNotStarted) {
  TargetCall call = GrantedCall();
  const TargetCallEffects effects = call.TargetFailed(kStart, TargetFault::kNotSent);
  CHECK(HasEffect<SendRelease>(effects) && !HasEffect<RefuseCaller>(effects) &&
        HasEffect<FreeSlot>(effects));
  CHECK(Refuses(call.LedgerAnswered(kStart, Reply(LedgerOutcome::kDone)), ResultCode::kNotStarted));
}

TEST(TargetCallAtMostOnce, KeepsClaimWhenTargetMayHaveRunRequest) {
  TargetCall call = GrantedCall();
  const TargetCallEffects effects = call.TargetFailed(kStart, TargetFault::kBroken);
  CHECK(Refuses(effects, ResultCode::kOutcomeUnknown) && !HasEffect<SendRelease>(effects));
  CHECK(call.finished());
}

TEST(TargetCallAtMostOnce, RecordsAnswerReceivedAfterDeadline) {
  TargetCall call = GrantedCall();
  CHECK(Refuses(call.TimedOut(kDeadline), ResultCode::kOutcomeUnknown));
  CHECK(HasEffect<SendComplete>(call.TargetAnswered(kDeadline, {.status = 201})));
  CHECK_FALSE(HasEffect<AnswerCaller>(call.LedgerAnswered(kDeadline, Reply(LedgerOutcome::kDone))));
}

TEST(TargetCallAtMostOnce, ContinuesAfterCallerCancels) {
  TargetCall call = GrantedCall();
  CHECK(call.Cancelled(kStart).empty());
  CHECK(HasEffect<SendComplete>(call.TargetAnswered(kStart, {.status = 201})));
}

TEST(TargetCallAtMostOnce, CrashGuardStopRecordsPermanentRefusal) {
  TargetCall call(Request(CallKind::kAtMostOnce));
  CHECK(HasEffect<SendRefuse>(call.Admitted(kStart, CrashVerdict::kStop)));
  CHECK(Refuses(call.LedgerAnswered(kStart, Reply(LedgerOutcome::kRefused)), ResultCode::kNotRun));
}

TEST(TargetCallAtMostOnce, OmitsLargeBodyFromLedgerRecord) {
  TargetCall call = GrantedCall();
  const std::string body(TargetCall::kMaxReplayableBytes + 1, 'x');
  const TargetCallEffects effects = call.TargetAnswered(kStart, {.status = 201, .body = body});
  CHECK(FindEffect<SendComplete>(effects)->answer.too_large_to_replay);
  const auto done = call.LedgerAnswered(kStart, Reply(LedgerOutcome::kDone));
  CHECK(FindEffect<AnswerCaller>(done)->answer.body == body);
}

TEST(TargetCallAtMostOnce, IgnoresLedgerReplyForAnotherAttempt) {
  TargetCall call = AdmittedCall(CallKind::kAtMostOnce);
  CHECK(call.LedgerAnswered(kStart, {AttemptId("other"), LedgerOutcome::kGranted, {}}).empty());
}
