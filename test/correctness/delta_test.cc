// Guards against a delta or snapshot that does not decode to its original text, and against a
// transfer that is larger than necessary.
#include "delta.h"

#include <CppUTest/TestHarness.h>

#include <map>

#include "document_maker.h"
#include "errors.h"

using endivecleat::ApplyDelta;
using endivecleat::ChooseTransfer;
using endivecleat::ConfigVersion;
using endivecleat::MakeDelta;
using endivecleat::MakeSnapshot;
using endivecleat::TransferBody;
using endivecleat::TransferKind;
using endivecleat::UserError;
using endivecleat::test::LargeDocument;

namespace {
constexpr size_t kLimit = size_t{4} << 20;
}  // namespace

TEST_GROUP(DeltaOfOneValue) {
  nlohmann::json document = LargeDocument(300, 7);
  std::string base = document.dump();
  std::string next;

  void setup() override {
    document["presets"]["peak"]["services"]["service-150"]["slots"] = 31;
    next = document.dump();
  }
};

TEST(DeltaOfOneValue, DecodesToTheNextText) {
  CHECK(ApplyDelta(base, MakeDelta(base, next), kLimit) == next);
  CHECK(ApplyDelta("", MakeDelta("", next), kLimit) == next);
  CHECK(ApplyDelta(base, MakeDelta(base, ""), kLimit).empty());
  CHECK(endivecleat::ReadSnapshot(MakeSnapshot(next), kLimit) == next);
  CHECK(endivecleat::ReadSnapshot(endivecleat::CompressState(next), kLimit) == next);
}

TEST(DeltaOfOneValue, IsSmall) {
  CHECK(MakeDelta(base, next).size() < 100);
  CHECK(MakeSnapshot(next).size() < next.size() / 4);
}

TEST(DeltaOfOneValue, IsChosenWhenTheBaseIsStored) {
  const std::map<ConfigVersion, std::string> texts = {{ConfigVersion(4), base},
                                                      {ConfigVersion(5), next}};
  const auto lookup = [&](ConfigVersion version) {
    const auto found = texts.find(version);
    return found == texts.end() ? nullptr : &found->second;
  };
  const TransferBody delta = ChooseTransfer(lookup, ConfigVersion(4), ConfigVersion(5));
  CHECK(delta.kind == TransferKind::kDelta && delta.base == ConfigVersion(4));
  CHECK(ReadTransfer(delta, base, kLimit) == next);
  const TransferBody snapshot = ChooseTransfer(lookup, ConfigVersion(3), ConfigVersion(5));
  CHECK(snapshot.kind == TransferKind::kSnapshot && snapshot.version == ConfigVersion(5));
  CHECK(ReadTransfer(snapshot, "", kLimit) == next);
  CHECK_THROWS(UserError, ChooseTransfer(lookup, ConfigVersion(4), ConfigVersion(6)));
}
