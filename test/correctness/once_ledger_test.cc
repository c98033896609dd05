// Unit tests of OnceLedger. They guard against an idempotency key that is granted to two attempts,
// a stored answer that is not replayed, and records that expire too early or exceed their limits.
#include "once_ledger.h"

#include <CppUTest/TestHarness.h>

using endivecleat::IdempotencyKey;
using endivecleat::LedgerCommand;
using endivecleat::LedgerResult;
using endivecleat::OnceLedger;
using endivecleat::OnceLedgerLimits;
using endivecleat::StoredAnswer;
using endivecleat::WallTime;

namespace {
constexpr uint64_t kDay = uint64_t{24} * 60 * 60 * 1000;
const StoredAnswer kFirstAnswer{201, "text/plain", "emptied"};
const StoredAnswer kOtherAnswer{200, "text/plain", "other"};
}  // namespace

TEST_GROUP(OnceLedgerWithOneKey) {
  OnceLedger ledger;
  WallTime at{1'000'000'000};

  LedgerResult Apply(LedgerCommand::Kind kind, const char* attempt, StoredAnswer answer = {},
                     const char* digest = "d") {
    return ledger.Apply({kind, IdempotencyKey("key"), attempt, digest, std::move(answer), at});
  }
  LedgerResult::Kind Claim(const char* attempt) {
    return Apply(LedgerCommand::kClaim, attempt).kind;
  }
  LedgerResult::Kind Release(const char* attempt) {
    return Apply(LedgerCommand::kRelease, attempt).kind;
  }
  LedgerResult::Kind Refuse() { return Apply(LedgerCommand::kRefuse, "r").kind; }
  LedgerResult Complete(const char* attempt, const StoredAnswer& answer) {
    return Apply(LedgerCommand::kComplete, attempt, answer);
  }
  void AdvanceTime(uint64_t ms) { at = WallTime(at.value() + ms); }
};

TEST(OnceLedgerWithOneKey, GrantsOneAttemptAndRepeatsTheGrant) {
  CHECK(Claim("a") == LedgerResult::kGranted);
  CHECK(Claim("a") == LedgerResult::kGranted);
  CHECK(Claim("b") == LedgerResult::kInProgress);
  CHECK(Refuse() == LedgerResult::kInProgress);
  CHECK(Complete("b", kOtherAnswer).kind == LedgerResult::kInProgress);
}

TEST(OnceLedgerWithOneKey, RepeatsTheFirstAnswer) {
  Claim("a");
  CHECK(Complete("a", kFirstAnswer).kind == LedgerResult::kDone);
  const LedgerResult ran{LedgerResult::kRan, kFirstAnswer};
  CHECK(Complete("a", kOtherAnswer) == ran);
  CHECK(Apply(LedgerCommand::kClaim, "a") == ran);
  CHECK(Apply(LedgerCommand::kClaim, "b") == ran);
  CHECK(Apply(LedgerCommand::kRelease, "a") == ran);
  CHECK(Apply(LedgerCommand::kRefuse, "c") == ran);
}

TEST(OnceLedgerWithOneKey, NeverGrantsAfterARefusal) {
  CHECK(Refuse() == LedgerResult::kRefused);
  CHECK(Claim("a") == LedgerResult::kRefused);
  CHECK(Release("a") == LedgerResult::kRefused);
  CHECK(Complete("a", kFirstAnswer).kind == LedgerResult::kRefused);
  CHECK(Claim("a") == LedgerResult::kRefused);
}

TEST(OnceLedgerWithOneKey, GrantsAnotherAttemptAfterARelease) {
  Claim("a");
  CHECK(Release("b") == LedgerResult::kDone);
  CHECK(Claim("c") == LedgerResult::kInProgress);
  CHECK(Release("a") == LedgerResult::kDone);
  CHECK(Claim("a") == LedgerResult::kDone);
  CHECK(Claim("b") == LedgerResult::kDone);
  CHECK(Claim("c") == LedgerResult::kGranted);
  CHECK(Release("a") == LedgerResult::kDone);
  CHECK(Claim("d") == LedgerResult::kInProgress);
}

TEST(OnceLedgerWithOneKey, DoesNotGrantAClaimThatArrivesAfterItsRelease) {
  CHECK(Release("a") == LedgerResult::kDone);
  CHECK(Claim("a") == LedgerResult::kDone);
  CHECK(Refuse() == LedgerResult::kRefused);
}

TEST(OnceLedgerWithOneKey, RejectsADifferentRequestWithTheSameKey) {
  Claim("a");
  CHECK(Apply(LedgerCommand::kClaim, "a", {}, "e").kind == LedgerResult::kDigestMismatch);
  CHECK(Apply(LedgerCommand::kRefuse, "a", {}, "e").kind == LedgerResult::kDigestMismatch);
  Complete("a", kFirstAnswer);
  CHECK(Apply(LedgerCommand::kClaim, "b", {}, "e").kind == LedgerResult::kDigestMismatch);
}

TEST(OnceLedgerWithOneKey, DropsABodyThatIsTooLarge) {
  Claim("a");
  Complete("a", {200, "text/plain", std::string(endivecleat::kMaxStoredBodyBytes + 1, 'x')});
  CHECK(Apply(LedgerCommand::kClaim, "b").answer == (StoredAnswer{200, "", "", true}));
}

TEST(OnceLedgerWithOneKey, ExpiresRecordsByTheTimeInTheEntries) {
  Claim("a");
  Complete("a", kFirstAnswer);
  AdvanceTime(kDay - 1);
  CHECK(Claim("b") == LedgerResult::kRan);
  at = WallTime(5);
  CHECK(Claim("b") == LedgerResult::kRan);
  at = WallTime(1'000'000'000 + kDay);
  CHECK(Complete("a", kOtherAnswer).kind == LedgerResult::kDone);
  LONGS_EQUAL(0, ledger.record_count());
  LONGS_EQUAL(0, ledger.body_bytes());
  CHECK(Claim("b") == LedgerResult::kGranted);
}

TEST(OnceLedgerWithOneKey, DoesNotGrantADuplicateDelayedBeyondExpiry) {
  const WallTime started = at;
  Refuse();
  AdvanceTime(kDay);
  LedgerCommand late{LedgerCommand::kClaim, IdempotencyKey("key"), "a", "d", {}, at, started};
  CHECK(ledger.Apply(late).kind == LedgerResult::kDone);
  late.admitted_at = WallTime(at.value() - 600'000);
  CHECK(ledger.Apply(late).kind == LedgerResult::kGranted);
}

TEST_GROUP(OnceLedgerWithLimits) {
  OnceLedger ledger{OnceLedgerLimits{.max_records = 2, .max_body_bytes = 10, .retention_ms = 100}};

  LedgerResult Apply(LedgerCommand::Kind kind, const char* key, uint64_t at,
                     const char* body = "") {
    return ledger.Apply({kind, IdempotencyKey(key), "a", "d", {200, "", body}, WallTime(at)});
  }
};

TEST(OnceLedgerWithLimits, AddsNoRecordWhenFull) {
  Apply(LedgerCommand::kClaim, "1", 10);
  Apply(LedgerCommand::kRefuse, "2", 20);
  CHECK(Apply(LedgerCommand::kClaim, "3", 30).kind == LedgerResult::kFull);
  CHECK(Apply(LedgerCommand::kRefuse, "3", 30).kind == LedgerResult::kFull);
  CHECK(Apply(LedgerCommand::kRelease, "3", 30).kind == LedgerResult::kDone);
  CHECK(Apply(LedgerCommand::kClaim, "2", 30).kind == LedgerResult::kRefused);
  CHECK(Apply(LedgerCommand::kClaim, "3", 110).kind == LedgerResult::kGranted);
  LONGS_EQUAL(2, ledger.record_count());
}

TEST(OnceLedgerWithLimits, StoresAnswersWithoutBodyAboveTheByteLimit) {
  Apply(LedgerCommand::kClaim, "1", 10);
  Apply(LedgerCommand::kClaim, "2", 10);
  Apply(LedgerCommand::kComplete, "1", 10, "eight---");
  Apply(LedgerCommand::kComplete, "2", 10, "three");
  LONGS_EQUAL(8, ledger.body_bytes());
  CHECK(Apply(LedgerCommand::kClaim, "2", 10).answer.body_dropped);
}
