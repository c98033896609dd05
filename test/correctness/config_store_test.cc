// Unit tests of ConfigStore. They guard against two changes that both succeed on the same base
// version, a repeated operation that is applied twice, and replicas that differ after the same
// entries.
#include "config_store.h"

#include <CppUTest/TestHarness.h>

#include "configuration.h"
#include "delta.h"
#include "document_maker.h"

using endivecleat::Change;
using endivecleat::ChangeResult;
using endivecleat::ConfigStore;
using endivecleat::ConfigVersion;
using endivecleat::OperationId;
using endivecleat::PresetName;
using endivecleat::ResultCode;
using endivecleat::SubmitDocument;
using endivecleat::SwitchPreset;
using endivecleat::WallTime;

TEST_GROUP(ConfigStoreWithTwoPresets) {
  ConfigStore store;
  nlohmann::json document = endivecleat::test::SmallDocument();
  uint64_t next_operation = 1;

  void setup() override {
    document["presets"]["peak"] = document["presets"]["ordinary"];
    CHECK(Submit(document).code == ResultCode::kOk);
  }

  Change MakeChange(decltype(Change::payload) what) {
    const OperationId operation("op-" + std::to_string(next_operation++));
    return {operation, store.version(), std::move(what), "ana", WallTime(1'000 + next_operation)};
  }
  Change MakeSubmission(const nlohmann::json& text) {
    return MakeChange(SubmitDocument{endivecleat::MakeDelta(store.text(), text.dump())});
  }
  ChangeResult Submit(const nlohmann::json& text) { return store.Apply(MakeSubmission(text)); }
  ChangeResult Switch(const char* preset) {
    return store.Apply(MakeChange(SwitchPreset{PresetName(preset)}));
  }
  void SetSlots(int slots) {
    document["presets"]["peak"]["services"]["portal-ayto"]["slots"] = slots;
  }
};

TEST(ConfigStoreWithTwoPresets, AcceptsOneOfTwoChangesOnOneBase) {
  SetSlots(10);
  const Change first = MakeSubmission(document);
  SetSlots(11);
  const Change second = MakeSubmission(document);
  CHECK(store.Apply(first) == (ChangeResult{ResultCode::kOk, ConfigVersion(2), first.operation}));
  Switch("peak");
  const ChangeResult result = store.Apply(second);
  CHECK(result.code == ResultCode::kVersionConflict);
  CHECK(result.version == ConfigVersion(2));
  CHECK(result.winner == first.operation);
  CHECK(store.version() == ConfigVersion(3));
}

TEST(ConfigStoreWithTwoPresets, RepeatsTheFirstResultOfAnOperation) {
  SetSlots(10);
  const Change change = MakeSubmission(document);
  const Change outdated = MakeChange(SwitchPreset{PresetName("peak")});
  const ChangeResult first = store.Apply(change);
  const ChangeResult rejected = store.Apply(outdated);
  CHECK(rejected.code == ResultCode::kVersionConflict);
  Switch("peak");
  CHECK(store.Apply(change) == first);
  CHECK(store.Apply(outdated) == rejected);
  CHECK(store.version() == ConfigVersion(3));
}

TEST(ConfigStoreWithTwoPresets, SwitchesThePresetWithASmallDelta) {
  const std::string before = store.text();
  CHECK(Switch("peak").code == ResultCode::kOk);
  CHECK(store.preset() == PresetName("peak"));
  const auto compiled = endivecleat::CompileStored(store.text(), store.version());
  CHECK(compiled->preset() == PresetName("peak"));
  CHECK(endivecleat::MakeDelta(before, store.text()).size() < 60);
}

TEST(ConfigStoreWithTwoPresets, KeepsThePresetInForceUnlessTheDocumentNamesOne) {
  Switch("peak");
  SetSlots(10);
  CHECK(Submit(document).code == ResultCode::kOk);
  CHECK(store.preset() == PresetName("peak"));
  document["preset_in_force"] = "ordinary";
  CHECK(Submit(document).code == ResultCode::kOk);
  CHECK(store.preset() == PresetName("ordinary"));
}

TEST(ConfigStoreWithTwoPresets, CreatesNoVersionWithoutADifference) {
  const ChangeResult result = Submit(document);
  CHECK(result.code == ResultCode::kOk);
  CHECK(result.version == ConfigVersion(1));
  CHECK(store.version() == ConfigVersion(1));
  CHECK(Switch("ordinary").version == ConfigVersion(1));
}

TEST(ConfigStoreWithTwoPresets, KeepsBoundedHistoryAndTexts) {
  for (int switches = 0; switches < 1'100; ++switches) {
    Switch(switches % 2 == 0 ? "peak" : "ordinary");
  }
  LONGS_EQUAL(1'101, store.version().value());
  LONGS_EQUAL(ConfigStore::kMaxHistory, store.history().size());
  LONGS_EQUAL(102, store.history().front().version.value());
  CHECK(store.TextAt(ConfigVersion(1'101)) == &store.text());
  CHECK(store.TextAt(ConfigVersion(1'038)) != nullptr);
  CHECK(store.TextAt(ConfigVersion(1'037)) == nullptr);
  CHECK(store.TextAt(ConfigVersion(1'102)) == nullptr);
  CHECK(store.Apply({OperationId("old"), ConfigVersion(5), SwitchPreset{PresetName("peak")}})
            .version == ConfigVersion(1'101));
}

TEST(ConfigStoreWithTwoPresets, RestoresTheSameStateFromASnapshot) {
  Switch("peak");
  const Change answered = MakeChange(SwitchPreset{PresetName("none")});
  const ChangeResult rejected = store.Apply(answered);
  ConfigStore restored = ConfigStore::Restore(store.Snapshot());
  CHECK(restored.Snapshot() == store.Snapshot());
  CHECK(restored.text() == store.text() && restored.preset() == store.preset());
  CHECK(restored.history() == store.history());
  CHECK(*restored.TextAt(ConfigVersion(1)) == *store.TextAt(ConfigVersion(1)));
  CHECK(restored.Apply(answered) == rejected);
  SetSlots(12);
  const Change next = MakeSubmission(document);
  CHECK(restored.Apply(next) == store.Apply(next));
  CHECK(restored.Snapshot() == store.Snapshot());
}

TEST(ConfigStoreWithTwoPresets, DecodesAnEncodedChange) {
  const Change submit = MakeSubmission(document);
  const Change change = MakeChange(SwitchPreset{PresetName("peak")});
  CHECK(endivecleat::DecodeChange(EncodeChange(submit)) == submit);
  CHECK(endivecleat::DecodeChange(EncodeChange(change)) == change);
}

TEST_GROUP(ConfigStoreWithoutVersion){};

TEST(ConfigStoreWithoutVersion, RestoresTheSameStateFromASnapshot) {
  const ConfigStore restored = ConfigStore::Restore(ConfigStore().Snapshot());
  CHECK(restored.version() == ConfigVersion() && restored.text().empty());
}

// Guards against a checked change that installs another state than the submitted document would,
// and against a checked change that is accepted on an outdated base.
TEST(ConfigStoreWithTwoPresets, InstallsACheckedDocumentLikeASubmittedOne) {
  ConfigStore other = ConfigStore::Restore(store.Snapshot());
  SetSlots(10);
  const Change submitted = MakeSubmission(document);
  Change checked = submitted;
  checked.payload = endivecleat::PrepareInstallation(store, document.dump());
  CHECK(endivecleat::DecodeChange(endivecleat::EncodeChange(checked)) == checked);
  CHECK(store.Apply(submitted) == other.Apply(checked));
  STRCMP_EQUAL(store.text().c_str(), other.text().c_str());
  CHECK(store.history() == other.history());
  checked.operation = OperationId("late");
  CHECK(other.Apply(checked).code == ResultCode::kVersionConflict);
}
