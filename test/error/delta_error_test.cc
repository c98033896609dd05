// Guards against corrupted deltas, changes, ledger messages and snapshots that crash a process,
// exhaust its memory or decode to a wrong text.
#include <CppUTest/TestHarness.h>

#include <stdexcept>

#include "config_store.h"
#include "delta.h"
#include "document_maker.h"
#include "errors.h"
#include "once_ledger.h"
#include "test_seed.h"

using endivecleat::ApplyDelta;
using endivecleat::Change;
using endivecleat::ConfigStore;
using endivecleat::ConfigVersion;
using endivecleat::DecodeChange;
using endivecleat::DecodeLedgerCommand;
using endivecleat::DecodeLedgerResult;
using endivecleat::EncodeLedgerCommand;
using endivecleat::EncodeLedgerResult;
using endivecleat::IdempotencyKey;
using endivecleat::LedgerCommand;
using endivecleat::LedgerResult;
using endivecleat::OnceLedger;
using endivecleat::OperationId;
using endivecleat::PresetName;
using endivecleat::ResultCode;
using endivecleat::SeededRandom;
using endivecleat::StoredAnswer;
using endivecleat::SwitchPreset;
using endivecleat::UserError;
using endivecleat::WallTime;

namespace {

constexpr size_t kLimit = 1 << 20;
constexpr int kCorruptions = 2'000;

// Flips a bit, truncates the bytes, appends bytes or overwrites some.
std::string Corrupt(std::string bytes, SeededRandom& random) {
  const size_t at = random.Below(bytes.size());
  switch (random.Below(4)) {
    case 0:
      bytes[at] = static_cast<char>(bytes[at] ^ static_cast<char>(1U << random.Below(8)));
      break;
    case 1:
      bytes.resize(at);
      break;
    case 2:
      bytes.append(1 + random.Below(20), static_cast<char>(random.Next()));
      break;
    default:
      for (size_t place = at; place < std::min(bytes.size(), at + 4); ++place) {
        bytes[place] = static_cast<char>(random.Next());
      }
  }
  return bytes;
}

template <class Action>
ResultCode CodeOf(Action action) {
  try {
    action();
  } catch (const UserError& error) {
    return error.code();
  }
  return ResultCode::kOk;
}

// Runs the action on randomly corrupted copies. It may throw only UserError.
template <class Action>
void CheckThrowsOnlyUserError(const std::string& bytes, Action action) {
  const uint64_t seed = endivecleat::test::TestSeed(1);
  SeededRandom random(seed);
  for (int round = 0; round < kCorruptions; ++round) {
    const std::string corrupted = Corrupt(bytes, random);
    bool only_user_error = true;
    try {
      action(corrupted);
    } catch (const UserError&) {
      continue;
    } catch (const std::exception&) {
      only_user_error = false;
    }
    CHECK_TEXT(only_user_error, ("replay with ENDIVECLEAT_SEED=" + std::to_string(seed)).c_str());
  }
}

}  // namespace

TEST_GROUP(DeltaCorrupted) {
  nlohmann::json document = endivecleat::test::LargeDocument(20, 3);
  std::string base = document.dump();
  std::string next;
  std::string delta;

  void setup() override {
    document["presets"]["peak"]["services"]["service-7"]["slots"] = 31;
    next = document.dump();
    delta = endivecleat::MakeDelta(base, next);
  }
};

TEST(DeltaCorrupted, NeverDecodesToAnotherText) {
  CheckThrowsOnlyUserError(delta, [&](const std::string& corrupted) {
    if (ApplyDelta(base, corrupted, kLimit) != next) {
      throw std::runtime_error("another text");
    }
  });
}

TEST(DeltaCorrupted, IsRejectedWithoutOneValidFrame) {
  for (const std::string& bytes :
       {std::string(), std::string("\x28\xb5\x2f\xfd"), std::string("text"), delta + delta,
        std::string("\x50\x2a\x4d\x18\x01\x00\x00\x00x", 9)}) {
    CHECK(CodeOf([&] { ApplyDelta(base, bytes, kLimit); }) == ResultCode::kMessageMalformed);
  }
}

TEST(DeltaCorrupted, IsRejectedOnAnotherBase) {
  std::string other = base;
  other[other.find("service-7-") + 8] = '8';
  CHECK(CodeOf([&] { ApplyDelta(other, delta, kLimit); }) == ResultCode::kMessageMalformed);
  CHECK(CodeOf([&] { ApplyDelta("", delta, kLimit); }) == ResultCode::kMessageMalformed);
}

TEST(DeltaCorrupted, IsRejectedAboveTheSizeLimit) {
  CHECK(CodeOf([&] { ApplyDelta(base, delta, next.size()); }) == ResultCode::kOk);
  CHECK(CodeOf([&] { ApplyDelta(base, delta, next.size() - 1); }) == ResultCode::kDocumentTooLarge);
  const std::string bomb = endivecleat::MakeSnapshot(std::string(size_t{64} << 20, 'x'));
  CHECK(CodeOf([&] { endivecleat::ReadSnapshot(bomb, kLimit); }) == ResultCode::kDocumentTooLarge);
}

TEST_GROUP(EncodingCorrupted){};

TEST(EncodingCorrupted, OfAChangeThrowsOnlyUserError) {
  const Change change{OperationId("op"), ConfigVersion(300), SwitchPreset{PresetName("peak")},
                      "ana", WallTime(1'700'000'000'000)};
  CheckThrowsOnlyUserError(EncodeChange(change),
                           [](const std::string& bytes) { DecodeChange(bytes); });
  CHECK(CodeOf([] { DecodeChange(""); }) == ResultCode::kMessageMalformed);
  CHECK(CodeOf([&] { DecodeChange(EncodeChange(change) + "x"); }) == ResultCode::kMessageMalformed);
  CHECK(CodeOf([] { DecodeChange(std::string(30, '\xff')); }) == ResultCode::kMessageMalformed);
}

TEST(EncodingCorrupted, OfALedgerCommandOrAnswerThrowsOnlyUserError) {
  const StoredAnswer stored{200, "text/plain", "emptied"};
  CheckThrowsOnlyUserError(
      EncodeLedgerCommand({LedgerCommand::kComplete, IdempotencyKey("k"), "a", "d", stored}),
      [](const std::string& bytes) { DecodeLedgerCommand(bytes); });
  CheckThrowsOnlyUserError(EncodeLedgerResult({LedgerResult::kRan, stored}),
                           [](const std::string& bytes) { DecodeLedgerResult(bytes); });
}

TEST(EncodingCorrupted, OfSnapshotsIsDataCorrupt) {
  OnceLedger ledger;
  ledger.Apply({LedgerCommand::kClaim, IdempotencyKey("k"), "a", "d"});
  ledger.Apply({LedgerCommand::kComplete, IdempotencyKey("k"), "a", "d", {200, "", "x"}});
  CheckThrowsOnlyUserError(ledger.Snapshot(),
                           [](const std::string& bytes) { OnceLedger::Restore(bytes); });
  ConfigStore store;
  const std::string document = endivecleat::test::SmallDocument().dump();
  store.Apply({OperationId("op"), ConfigVersion(),
               endivecleat::SubmitDocument{endivecleat::MakeDelta("", document)}});
  CheckThrowsOnlyUserError(store.Snapshot(),
                           [](const std::string& bytes) { ConfigStore::Restore(bytes); });
  CHECK(CodeOf([] { OnceLedger::Restore("x"); }) == ResultCode::kDataCorrupt);
  CHECK(CodeOf([] { ConfigStore::Restore("x"); }) == ResultCode::kDataCorrupt);
}
