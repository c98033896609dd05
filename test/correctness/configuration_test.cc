// Guards against a processing stage that changes the meaning of a document. Covers default values,
// the canonical text and its digest, and the services and routes of the preset in force.
#include "configuration.h"

#include <CppUTest/TestHarness.h>

#include <nlohmann/json.hpp>

#include "document_maker.h"

using endivecleat::CheckedConfiguration;
using endivecleat::CompiledConfiguration;
using endivecleat::CompileStored;
using endivecleat::ConfigVersion;
using endivecleat::PresetName;
using endivecleat::ServiceName;
using endivecleat::ServicePolicy;
using endivecleat::TargetId;
using endivecleat::test::LargeDocument;
using endivecleat::test::SmallDocument;

namespace {
const PresetName kOrdinary("ordinary");
const ServiceName kPortal("portal-ayto");
}  // namespace

TEST_GROUP(ConfigurationSmall) {
  nlohmann::json document = SmallDocument();

  CheckedConfiguration Checked() { return Check(endivecleat::Parse({document.dump()})); }
  std::shared_ptr<const CompiledConfiguration> Compiled() {
    return Compile(Checked(), ConfigVersion(3), kOrdinary);
  }
};

TEST(ConfigurationSmall, WithoutPolicyFieldsUsesDefaultPolicy) {
  const auto compiled = Compiled();
  CHECK(compiled->FindService(kPortal)->policy == ServicePolicy());
  LONGS_EQUAL(3, compiled->version().value());
  CHECK(compiled->preset() == kOrdinary);
}

TEST(ConfigurationSmall, WithEveryPolicyFieldSetsWholePolicy) {
  document["presets"]["ordinary"]["services"]["portal-ayto"] = {
      {"targets", {"p-*"}}, {"slots", 1},           {"connections", 2}, {"queue_length", 3},
      {"queue_wait_ms", 4}, {"warm_up_ms", 5},      {"timeout_ms", 6},  {"retry_percent", 7},
      {"max_attempts", 8},  {"body_limit_bytes", 9}};
  const ServicePolicy policy = Compiled()->FindService(kPortal)->policy;
  const ServicePolicy expected{
      endivecleat::SlotCount(1),    endivecleat::ConnectionCount(2), endivecleat::QueueLength(3),
      std::chrono::milliseconds(4), std::chrono::milliseconds(5),    std::chrono::milliseconds(6),
      endivecleat::Percent(7),      endivecleat::AttemptCount(8),    endivecleat::ByteCount(9)};
  CHECK(policy == expected);
}

TEST(ConfigurationSmall, CompiledFindsRouteAndAllowsListedTargets) {
  const auto compiled = Compiled();
  const auto* route = compiled->FindRoute("GET", "any", "/bins/7");
  CHECK(route != nullptr && route->shares.front().service == kPortal && route->idempotent);
  CHECK(compiled->FindService(kPortal)->AllowsTarget(TargetId("portal-ayto-1")));
  CHECK_FALSE(compiled->FindService(kPortal)->AllowsTarget(TargetId("ruta-1")));
  CHECK(compiled->FindService(ServiceName("none")) == nullptr);
}

TEST(ConfigurationSmall, FormattedDifferentlyHasSameTextAndDigest) {
  const auto compiled = Compiled();
  const auto reformatted =
      Compile(Check(endivecleat::Parse({document.dump(4)})), ConfigVersion(3), kOrdinary);
  CHECK(compiled->text() == reformatted->text());
  CHECK(compiled->digest() == reformatted->digest());
  LONGS_EQUAL(32, compiled->digest().size());
  CHECK(CompileStored(compiled->text(), ConfigVersion(3))->text() == compiled->text());
  CHECK(compiled->text().starts_with(R"({"preset_in_force":"ordinary","presets":{)"));
}

TEST(ConfigurationSmall, EveryStagePrintsAsJson) {
  const endivecleat::ParsedConfiguration parsed = endivecleat::Parse({document.dump()});
  for (const std::string& text : {ToJson(endivecleat::SubmittedConfiguration{"\xff{"}),
                                  ToJson(parsed), ToJson(Check(parsed)), ToJson(*Compiled())}) {
    CHECK(nlohmann::json::parse(text).contains("stage"));
  }
  LONGS_EQUAL(130, nlohmann::json::parse(ToJson(*Compiled()))
                       .at("/services/portal-ayto/connections"_json_pointer)
                       .get<int>());
}

TEST_GROUP(ConfigurationLarge){};

TEST(ConfigurationLarge, CompiledFindsRouteOfEveryService) {
  const auto compiled = CompileStored(LargeDocument(200, 1).dump(), ConfigVersion(1));
  LONGS_EQUAL(200, compiled->services().size());
  for (const auto& route : compiled->routes()) {
    const auto* found = compiled->FindRoute(route.methods.front(), "", route.path_prefix + "/x");
    CHECK(found == &route);
    CHECK(compiled->FindService(route.shares.front().service) != nullptr);
  }
}
