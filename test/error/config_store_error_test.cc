// Guards against an invalid change that alters the store, throws from Apply, or gets different
// results on two replicas.
#include <CppUTest/TestHarness.h>

#include "config_store.h"
#include "delta.h"
#include "document_maker.h"

using endivecleat::Change;
using endivecleat::ChangeResult;
using endivecleat::ConfigStore;
using endivecleat::ConfigVersion;
using endivecleat::MakeDelta;
using endivecleat::OperationId;
using endivecleat::PresetName;
using endivecleat::ResultCode;
using endivecleat::SubmitDocument;
using endivecleat::SwitchPreset;

TEST_GROUP(ConfigStoreInvalidChange) {
  ConfigStore store;
  ConfigStore replica;
  nlohmann::json document = endivecleat::test::SmallDocument();
  int next_operation = 1;

  void setup() override { CHECK(Submit(document).code == ResultCode::kOk); }

  ChangeResult Apply(const decltype(Change::payload)& what, ConfigVersion base) {
    const OperationId operation("op-" + std::to_string(next_operation++));
    ChangeResult result = store.Apply({operation, base, what});
    CHECK(replica.Apply({operation, base, what}) == result);
    CHECK(replica.Snapshot() == store.Snapshot());
    return result;
  }
  ChangeResult Submit(const nlohmann::json& text) {
    return Apply(SubmitDocument{MakeDelta(store.text(), text.dump())}, store.version());
  }
  void CheckRejected(const ChangeResult& result, ResultCode code, const char* message) {
    CHECK(result.code == code);
    STRCMP_CONTAINS(message, result.message.c_str());
    CHECK(result.version == ConfigVersion(1));
    CHECK(result.winner == OperationId("op-1"));
    CHECK(store.version() == ConfigVersion(1));
    CHECK(store.preset() == PresetName("ordinary"));
  }
};

TEST(ConfigStoreInvalidChange, WithAnInvalidDocumentIsRejected) {
  document["presets"]["ordinary"]["routes"][0]["service"] = "none";
  CheckRejected(
      Submit(document), ResultCode::kDocumentInvalid,
      "1 problem: /presets/ordinary/routes/0/service: preset \"ordinary\" has no service");
}

TEST(ConfigStoreInvalidChange, WithManyProblemsHasABoundedMessage) {
  for (int number = 0; number < 500; ++number) {
    document["presets"]["ordinary"]["services"]["s" + std::to_string(number)] = 1;
  }
  const ChangeResult result = Submit(document);
  CheckRejected(result, ResultCode::kDocumentInvalid, "and 490 more");
  CHECK(result.message.size() <= 2'000);
}

TEST(ConfigStoreInvalidChange, WithACorruptDeltaIsRejected) {
  CheckRejected(Apply(SubmitDocument{"junk"}, store.version()), ResultCode::kMessageMalformed,
                "damaged");
  CheckRejected(Apply(SubmitDocument{MakeDelta("", std::string(5'000'000, ' '))}, store.version()),
                ResultCode::kDocumentTooLarge, "limit");
  CheckRejected(Apply(SubmitDocument{MakeDelta("", "{")}, store.version()),
                ResultCode::kDocumentSyntax, "not valid JSON");
}

TEST(ConfigStoreInvalidChange, ToAnUnknownPresetOrVersionIsRejected) {
  CheckRejected(Apply(SwitchPreset{PresetName("none")}, store.version()),
                ResultCode::kUnknownPreset, "no preset \"none\"");
  CheckRejected(Apply(SwitchPreset{PresetName("ordinary")}, ConfigVersion(9)),
                ResultCode::kUnknownVersion, "base version 9 does not exist");
}

TEST(ConfigStoreInvalidChange, WithoutThePresetInForceIsRejected) {
  document["presets"]["peak"] = document["presets"]["ordinary"];
  document["presets"].erase("ordinary");
  CheckRejected(Submit(document), ResultCode::kUnknownPreset, "no preset \"ordinary\"");
}

TEST(ConfigStoreInvalidChange, WithAnInvalidOperationIdIsRejectedAndNotStored) {
  for (const std::string& id : {std::string(), std::string(129, 'o')}) {
    const auto change =
        endivecleat::Change{OperationId(id), store.version(), SwitchPreset{PresetName("ordinary")}};
    CheckRejected(store.Apply(change), ResultCode::kBadRequest, "1 to 128 bytes");
  }
  CHECK(replica.Snapshot() == store.Snapshot());
}

TEST_GROUP(ConfigStoreBeforeFirstVersion){};

TEST(ConfigStoreBeforeFirstVersion,
     RejectsASwitchAndAFirstDocumentWithSeveralPresetsAndNoneChosen) {
  ConfigStore store;
  const auto apply = [&](const char* id, decltype(Change::payload) what) {
    return store.Apply({OperationId(id), ConfigVersion(), std::move(what)}).code;
  };
  CHECK(apply("a", SwitchPreset{PresetName("peak")}) == ResultCode::kUnknownPreset);
  nlohmann::json document = endivecleat::test::SmallDocument();
  document["presets"]["low"] = document["presets"]["high"] = document["presets"]["ordinary"];
  document["presets"].erase("ordinary");
  CHECK(apply("b", SubmitDocument{MakeDelta("", document.dump())}) == ResultCode::kUnknownPreset);
  CHECK(store.version() == ConfigVersion());
}
