// Tests the state of rollouts in the stored text, what each version may run, and the division of
// targets. Guards against a document that removes a step, a step that changes anything else, and a
// request that reaches a version which no order allows.
#include "rollout.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

#include "call_message.h"
#include "config_store.h"
#include "delta.h"
#include "document_maker.h"
#include "member_record.h"
#include "rollout_evidence.h"
#include "rollout_split.h"
#include "stored_compiler.h"

using namespace endivecleat;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;

namespace {

Rollout MakeRollout(RolloutState state, uint32_t share) {
  return {TargetVersion("v2"), state, share, WallTime(1'000), WallTime(13'000), {}};
}

bool Contains(const std::vector<InstanceId>& instances, const char* instance) {
  return std::find(instances.begin(), instances.end(), InstanceId(instance)) != instances.end();
}

}  // namespace

TEST_GROUP(RolloutState) {
  ConfigStore store;
  nlohmann::json document = test::SmallDocument();
  const ServiceName service{"portal-ayto"};
  int operations = 0;

  void setup() override { CHECK(Apply(PrepareInstallation(store, document.dump()))); }

  bool Apply(const InstallCheckedText& payload) {
    const Change change{OperationId("op-" + std::to_string(++operations)), store.version(), payload,
                        "ana", WallTime(1)};
    return store.Apply(DecodeChange(EncodeChange(change))).code == ResultCode::kOk;
  }
};

TEST(RolloutState, StepChangesTheRolloutAlone) {
  const std::string before = store.text();
  const Rollout rollout = MakeRollout(RolloutState::kServing, 10);
  const InstallCheckedText step = PrepareRollout(store, service, rollout);
  CHECK(step.delta.size() < 250);
  CHECK(Apply(step));
  CHECK(store.rollouts().at(service) == rollout);
  CHECK(ReplaceRollouts(store.text(), {}) == before);
  const auto compiled = CompileStored(store.text(), store.version());
  CHECK(*compiled->FindRollout(service) == rollout);
  CHECK(compiled->FindRollout(ServiceName("ruta-cuadrilla")) == nullptr);
  // The canonical form, so that a document with the same content makes no other text.
  STRCMP_EQUAL(
      Compile(ParseAndCheck({store.text()}), store.version(), store.preset())->text().c_str(),
      store.text().c_str());
}

TEST(RolloutState, DocumentsNeitherSetNorRemoveIt) {
  const Rollout rollout = MakeRollout(RolloutState::kServing, 80);
  CHECK(Apply(PrepareRollout(store, service, rollout)));
  document["revision"] = "next";
  CHECK(Apply(PrepareInstallation(store, document.dump())));
  CHECK(store.rollouts().at(service) == rollout);
  STRCMP_EQUAL("next", store.revision().c_str());
  document["rollouts"] = nlohmann::json::object();
  document["revision"] = "last";
  const Change submitted{OperationId("submitted"), store.version(),
                         SubmitDocument{MakeDelta(store.text(), document.dump())}, "ana",
                         WallTime(1)};
  CHECK(store.Apply(submitted).code == ResultCode::kOk);
  CHECK(store.rollouts().at(service) == rollout);
  const ConfigStore restored = ConfigStore::Restore(store.Snapshot());
  CHECK(restored.rollouts().at(service) == rollout);
  STRCMP_EQUAL("last", restored.revision().c_str());
}

TEST(RolloutState, StepParsesNoRoutes) {
  StoredCompiler compiler;
  compiler.Compile(store.text(), store.version());
  CHECK(Apply(PrepareRollout(store, service, MakeRollout(RolloutState::kComplete, 1000))));
  const auto compiled = compiler.Compile(store.text(), store.version());
  LONGS_EQUAL(0, compiler.work().parsed_routes);
  CHECK(compiled->FindRollout(service)->state == RolloutState::kComplete);
}

TEST(RolloutState, StaysBeforeTenants) {
  document["tenants"] = {{"t", {{"api_keys", {"k"}}}}};
  CHECK(Apply(PrepareInstallation(store, document.dump())));
  CHECK(Apply(PrepareRollout(store, service, MakeRollout(RolloutState::kServing, 10))));
  STRCMP_EQUAL(
      Compile(ParseAndCheck({store.text()}), store.version(), store.preset())->text().c_str(),
      store.text().c_str());
  CHECK(store.text().find("\"rollouts\"") < store.text().find("\"tenants\""));
}

TEST(RolloutState, RejectsInvalidMembers) {
  for (const char* text :
       {R"([])", R"({"s":1})", R"({"s":{}})",
        R"({"s":{"version":"","state":"serving","share":1,"start":1,"deadline":2}})",
        R"({"s":{"version":"v","state":"on","share":1,"start":1,"deadline":2}})",
        R"({"s":{"version":"v","state":"serving","share":1001,"start":1,"deadline":2}})"}) {
    std::vector<Problem> problems;
    ReadRollouts("/rollouts", nlohmann::json::parse(text), problems);
    CHECK(!problems.empty());
  }
}

TEST_GROUP(RolloutVersions){};

TEST(RolloutVersions, RunOnlyWhatTheOrderAllows) {
  const TargetVersion old_version("v1");
  const TargetVersion new_version("v2");
  const TargetVersion unknown;
  CHECK(MayRun(nullptr, new_version, unknown));
  const Rollout serving = MakeRollout(RolloutState::kServing, 10);
  CHECK(MayRun(&serving, old_version, unknown));
  CHECK(MayRun(&serving, unknown, unknown));
  CHECK(MayRun(&serving, new_version, new_version));
  CHECK_FALSE(MayRun(&serving, new_version, unknown));  // the caller's daemon has no order yet
  const Rollout complete = MakeRollout(RolloutState::kComplete, 1000);
  CHECK_FALSE(MayRun(&complete, old_version, unknown));
  CHECK_FALSE(MayRun(&complete, unknown, unknown));
  CHECK(MayRun(&complete, new_version, unknown));
  const Rollout reverted = MakeRollout(RolloutState::kReverted, 0);
  CHECK(MayRun(&reverted, old_version, unknown));
  CHECK_FALSE(MayRun(&reverted, new_version, new_version));
}

// The targets of a reverted version drain for some seconds, in which the next order may come.
TEST(RolloutVersions, StayBarredAfterTheyWereReverted) {
  const Rollout reverted = MakeRollout(RolloutState::kReverted, 0);
  Rollout next = MakeRollout(RolloutState::kServing, 10);
  next.version = TargetVersion("v3");
  next.barred = BarredAfter(&reverted, next.version);
  CHECK_FALSE(MayRun(&next, TargetVersion("v2"), TargetVersion()));
  CHECK(MayRun(&next, TargetVersion("v1"), TargetVersion()));
  std::vector<Problem> problems;
  const Rollouts read = ReadRollouts(
      "/rollouts", nlohmann::json::parse(RolloutsText({{ServiceName("s"), next}})), problems);
  CHECK(problems.empty());
  CHECK(read.at(ServiceName("s")) == next);
  RolloutSplit split;
  split.Update(&next, WallTime(2'000),
               {{InstanceId("o"), TargetVersion("v1"), WallTime(1)},
                {InstanceId("r"), TargetVersion("v2"), WallTime(1)},
                {InstanceId("n"), TargetVersion("v3"), WallTime(1)}});
  CHECK(Contains(split.Excluded(false), "r") && Contains(split.Excluded(true), "r"));
  CHECK(BarredAfter(&reverted, TargetVersion("v2")).empty());  // ordered once more
}

TEST(RolloutVersions, AreDividedByTheShare) {
  std::vector<VersionedTarget> targets;
  for (int number = 0; number < 10; ++number) {
    targets.push_back({InstanceId("o" + std::to_string(number)), TargetVersion("v1"), WallTime(1)});
    targets.push_back({InstanceId("n" + std::to_string(number)), TargetVersion("v2"),
                       WallTime(static_cast<uint64_t>(100 - number))});
  }
  targets.push_back({InstanceId("u"), TargetVersion(), WallTime(1)});
  RolloutSplit split;
  split.Update(nullptr, WallTime(2'000), targets);
  CHECK_FALSE(split.active());
  Rollout rollout = MakeRollout(RolloutState::kServing, 100);
  split.Update(&rollout, WallTime(2'000), targets);
  size_t to_new = 0;
  for (uint64_t random = 0; random < 1'000; ++random) {
    to_new += split.ChooseNew(random) ? 1 : 0;
  }
  LONGS_EQUAL(100, to_new);
  CHECK(Contains(split.Excluded(false), "n0"));
  CHECK_FALSE(Contains(split.Excluded(false), "u"));
  CHECK(Contains(split.Excluded(true), "o0"));
  // Two of the new targets, those that have run longest.
  CHECK_FALSE(Contains(split.Excluded(true), "n9"));
  CHECK_FALSE(Contains(split.Excluded(true), "n8"));
  CHECK(Contains(split.Excluded(true), "n7"));
  CHECK(split.VersionOf(InstanceId("n0")) == TargetVersion("v2"));
  CHECK(split.VersionOf(InstanceId("u")).empty());
  split.Update(&rollout, WallTime(13'001), targets);  // no update came before the deadline
  CHECK_FALSE(split.ChooseNew(0));
  rollout = MakeRollout(RolloutState::kReverted, 0);
  split.Update(&rollout, WallTime(2'000), targets);
  CHECK_FALSE(split.ChooseNew(0));
  CHECK(Contains(split.Excluded(true), "n9") && Contains(split.Excluded(false), "n9"));
  rollout = MakeRollout(RolloutState::kComplete, kWholeShare);
  split.Update(&rollout, WallTime(2'000), targets);
  CHECK(split.ChooseNew(999));
  CHECK(Contains(split.Excluded(true), "u") && Contains(split.Excluded(false), "o0"));
}

// A target whose order has not arrived at its daemon yet must not serve; a replaced target, or one
// of many that start together, must.
TEST(RolloutVersions, WaitForAnOrderOnlyIfAllOthersAreSettledInOtherVersions) {
  const TargetVersion version("v2");
  const WallTime own(100'000);
  const auto other = [](const char* of, uint64_t boot) {
    return VersionedTarget{InstanceId("i"), TargetVersion(of), WallTime(boot)};
  };
  CHECK(MayPrecedeOrder(version, own, {other("v1", 1'000), other("", 1'000)}));
  CHECK_FALSE(MayPrecedeOrder(version, own, {other("v1", 1'000), other("v2", 99'000)}));
  CHECK_FALSE(MayPrecedeOrder(version, own, {other("v1", 95'000)}));
  CHECK_FALSE(MayPrecedeOrder(version, own, {other("", 1'000)}));
  CHECK_FALSE(MayPrecedeOrder(TargetVersion(), own, {other("v1", 1'000)}));
  CHECK_FALSE(MayPrecedeOrder(version, own, {}));
}

// Without targets of one version, the other one takes all requests while a rollout is serving.
TEST(RolloutVersions, AreNotDividedWithoutTargets) {
  const Rollout rollout = MakeRollout(RolloutState::kServing, 300);
  RolloutSplit split;
  split.Update(&rollout, WallTime(2'000), {{InstanceId("o"), TargetVersion("v1"), WallTime(1)}});
  CHECK_FALSE(split.ChooseNew(0));
  CHECK(split.Excluded(false).empty());
  split.Update(&rollout, WallTime(2'000), {{InstanceId("n"), TargetVersion("v2"), WallTime(1)}});
  CHECK(split.ChooseNew(999));
  CHECK(split.Excluded(true).empty());
}

TEST(RolloutVersions, TravelInMessages) {
  AttemptMessage message;
  message.target_version = TargetVersion("v2");
  message.request.method = "GET";
  message.request.headers.Add("endivecleat-version", "from a caller");
  const AttemptMessage decoded = DecodeAttempt(EncodeAttempt(message));
  CHECK(decoded.target_version == TargetVersion("v2"));
  CHECK(decoded.request.headers.ValueOr("endivecleat-version", "").empty());
  message.target_version = TargetVersion();
  CHECK(DecodeAttempt(EncodeAttempt(message)).target_version.empty());

  MemberRecord record;
  record.instance = InstanceId("i");
  record.target_version = TargetVersion("v2");
  nlohmann::json array = ToCbor(record);
  const auto read = [](const nlohmann::json& from) {
    CborReader fields(from);
    fields.Number();  // the type of the item
    return ReadMemberRecord(&fields);
  };
  CHECK(read(array) == record);
  array.erase(array.size() - 1);  // as the release before sends it
  CHECK(read(array).target_version.empty());
  record.target_version = TargetVersion();
  CHECK(ToCbor(record) == array);  // no more bytes than before
}

TEST_GROUP(RolloutEvidence) {
  RolloutEvidence evidence{"run"};
  Rollout rollout = MakeRollout(RolloutState::kServing, 10);
  TimePoint now = TimePoint{} + std::chrono::seconds(100);

  void Update(const char* version = "v2") {
    evidence.Update(now, ServiceName("s"), &rollout, TargetId("t"), TargetVersion(version));
  }
};

TEST(RolloutEvidence, CountsUntilTheRolloutIsDecided) {
  Update();
  evidence.AddResponse(now, "r", milliseconds(100), false);
  evidence.AddResponse(now, "r", milliseconds(100), true);
  const auto report = evidence.TakeReport(now);
  CHECK(report.has_value());
  CHECK(DecodeRolloutReport(EncodeRolloutReport(*report)) == report);
  LONGS_EQUAL(2, report->routes.at("r").responses);
  LONGS_EQUAL(1, report->routes.at("r").failures);
  CHECK_FALSE(evidence.TakeReport(now + milliseconds(499)).has_value());
  rollout.state = RolloutState::kReverted;
  Update();
  CHECK_FALSE(evidence.TakeReport(now + milliseconds(1'000)).has_value());
}

// A cold start doubles latencies and must not look like a slow version.
TEST(RolloutEvidence, HalvesLatenciesOfAColdStart) {
  Update();
  evidence.AddResponse(now, "r", milliseconds(200), false);
  now += RolloutEvidence::kColdTime;
  Update();
  evidence.AddResponse(now, "r", milliseconds(100), false);
  LONGS_EQUAL(
      2, evidence.TakeReport(now)->routes.at("r").latencies.at(LatencyBucket(milliseconds(100))));
}

// The requests in flight at a target that dies must not count as so many failures of its version.
TEST(RolloutEvidence, CountsConnectionsThatBreakTogetherOnce) {
  Update();
  for (int request = 0; request < 13; ++request) {
    evidence.AddBrokenOff(now, "r");
  }
  evidence.AddBrokenOff(now + RolloutEvidence::kBreakInterval, "r");
  LONGS_EQUAL(2, evidence.TakeReport(now)->routes.at("r").failures);
}

TEST(RolloutEvidence, StartsAgainForAnotherRollout) {
  Update();
  evidence.AddResponse(now, "r", milliseconds(1), false);
  const std::string run = evidence.TakeReport(now)->run_id;
  rollout.start = WallTime(2'000);
  now += milliseconds(500);
  Update();
  const auto report = evidence.TakeReport(now);
  CHECK(report->run_id != run);
  CHECK(report->routes.empty());
}

// Eight reports a second, to four control instances, must leave room in the 5 kB of control
// traffic.
TEST(RolloutEvidence, ReportsAreSmall) {
  Update();
  for (const char* route : {"meter-read", "service-switch", "bill-adjust", "interval-export"}) {
    for (int milliseconds_taken = 30; milliseconds_taken < 240; milliseconds_taken += 2) {
      evidence.AddResponse(now, route, milliseconds(milliseconds_taken), false);
    }
  }
  CHECK(EncodeRolloutReport(*evidence.TakeReport(now)).size() <= 300);
}

TEST(RolloutEvidence, RejectsMalformedReports) {
  for (const std::string& bytes : {std::string(), std::string("\x80"), std::string("\x81\x01")}) {
    CHECK_FALSE(DecodeRolloutReport(bytes).has_value());
  }
}
