// Tests StoredCompiler against CompileStored. They guard against an installation whose time grows
// with the configuration when only one route changes, which stalled daemons with many routes, and
// against an invalid or mixed configuration that the reuse of routes lets through.
#include "stored_compiler.h"

#include <CppUTest/TestHarness.h>

#include <array>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>

#include "document_maker.h"
#include "errors.h"
#include "seeded_random.h"
#include "seeds.h"

using endivecleat::CompiledConfiguration;
using endivecleat::CompileStored;
using endivecleat::ConfigVersion;
using endivecleat::SeededRandom;
using endivecleat::StoredCompiler;
using endivecleat::UserError;
using endivecleat::test::FailWithSeed;
using endivecleat::test::LargeDocument;
using endivecleat::test::Seeds;
using Json = nlohmann::json;

namespace {

constexpr size_t kRoutes = 200;

/// The printed result, or the problems of the text.
std::string Outcome(const std::function<std::shared_ptr<const CompiledConfiguration>()>& compile) {
  try {
    const auto compiled = compile();
    return ToJson(*compiled) + compiled->text() + compiled->revision();
  } catch (const UserError& error) {
    std::string outcome = error.what();
    for (const auto& problem : error.problems()) {
      outcome += "; " + problem.json_path + " " + problem.message;
    }
    return outcome;
  }
}

std::string WholeOutcome(const std::string& text) {
  return Outcome([&] { return CompileStored(text, ConfigVersion(1)); });
}

std::string OutcomeOf(StoredCompiler& compiler, const std::string& text) {
  return Outcome([&] { return compiler.Compile(text, ConfigVersion(1)); });
}

/// Changes, adds, moves or removes a part of the document, not always to a valid one.
void ChangeAtRandom(SeededRandom& random, Json& document) {
  constexpr std::array kPresets = {"ordinary", "peak", "maintenance"};
  Json& preset = document["presets"][kPresets.at(random.Below(kPresets.size()))];
  Json& routes = preset["routes"];
  const size_t index = random.Below(routes.size());
  switch (random.Below(8)) {
    case 0:
      routes[index]["objective_ms"] = 1 + random.Below(1000);
      break;
    case 1:
      routes.erase(index);
      break;
    case 2:
      std::swap(routes[index], routes[random.Below(routes.size())]);
      break;
    case 3: {
      Json route = routes[index];
      route["name"] = "added-" + std::to_string(random.Below(50));
      route["path_prefix"] = "/added" + std::to_string(random.Below(50));
      routes.push_back(route);
      break;
    }
    case 4:
      preset["services"]["service-" + std::to_string(index)]["targets"] = {"*"};
      break;
    case 5:
      preset["services"].erase("service-" + std::to_string(random.Below(200)));
      break;
    case 6:
      document["preset_in_force"] = kPresets.at(random.Below(kPresets.size()));
      break;
    default:
      document["revision"] = std::to_string(random.Below(1000));
  }
}

}  // namespace

TEST_GROUP(StoredCompilerWithAConfiguration) {
  Json document = LargeDocument(kRoutes, 1);
  StoredCompiler compiler;

  void setup() override { Compile(); }

  std::shared_ptr<const CompiledConfiguration> Compile() {
    return compiler.Compile(document.dump(), ConfigVersion(1));
  }
  Json& Preset(const std::string& name = "ordinary") { return document["presets"][name]; }

  /// Requires that the document is refused for the same reasons as without a text before.
  void RequireRefused(const std::string& text) {
    CHECK_THROWS(UserError, CompileStored(text, ConfigVersion(1)));
    STRCMP_EQUAL(WholeOutcome(text).c_str(), OutcomeOf(compiler, text).c_str());
  }
};

TEST(StoredCompilerWithAConfiguration, AfterAChangeOfOneRouteParsesOnlyThatRoute) {
  Preset()["routes"][7]["objective_ms"] = 301;
  const auto compiled = Compile();
  LONGS_EQUAL(1, compiler.work().parsed_routes);
  LONGS_EQUAL(kRoutes - 1, compiler.work().reused_routes);
  STRCMP_EQUAL(ToJson(*CompileStored(document.dump(), ConfigVersion(1))).c_str(),
               ToJson(*compiled).c_str());
}

TEST(StoredCompilerWithAConfiguration, AfterAnAddedServiceParsesNoRoute) {
  Preset()["services"]["new"] = {{"targets", {"*"}}};
  Compile();
  LONGS_EQUAL(0, compiler.work().parsed_routes);
}

TEST(StoredCompilerWithAConfiguration, RefusesAnUnchangedRouteWithoutItsService) {
  Preset()["services"].erase("service-3");
  RequireRefused(document.dump());
}

TEST(StoredCompilerWithAConfiguration, RefusesANewRouteWithTheNameOfAnUnchangedOne) {
  Json route = Preset()["routes"][5];
  route["path_prefix"] = "/elsewhere";
  Preset()["routes"].push_back(route);
  RequireRefused(document.dump());
}

TEST(StoredCompilerWithAConfiguration, RefusesANewRouteThatMatchesTheSameAsAnUnchangedOne) {
  Json route = Preset()["routes"][5];
  route["name"] = "another";
  Preset()["routes"].push_back(route);
  RequireRefused(document.dump());
}

TEST(StoredCompilerWithAConfiguration, RefusesAnInvalidPresetThatIsNotInForce) {
  Preset("peak")["routes"][0]["service"] = "unknown";
  RequireRefused(document.dump());
}

TEST(StoredCompilerWithAConfiguration, RefusesTextsThatAreNoValidJson) {
  const std::string text = document.dump();
  RequireRefused(text.substr(0, text.size() - 1));
  RequireRefused(text + "}");
  RequireRefused(text.substr(0, text.size() - 1) + R"(,"presets":{}})");
  RequireRefused("");
}

TEST(StoredCompilerWithAConfiguration, AfterARefusalCompilesAsBefore) {
  const Json valid = document;
  Preset()["services"].erase("service-3");
  RequireRefused(document.dump());
  document = valid;
  Preset()["routes"].erase(9);
  const auto compiled = Compile();
  STRCMP_EQUAL(ToJson(*CompileStored(document.dump(), ConfigVersion(1))).c_str(),
               ToJson(*compiled).c_str());
}

TEST(StoredCompilerWithAConfiguration, CompilesATextWithWhitespace) {
  CHECK(WholeOutcome(document.dump(2)) == OutcomeOf(compiler, document.dump(2)));
}

TEST_GROUP(StoredCompilerUnderRandomChanges){};

TEST(StoredCompilerUnderRandomChanges, GivesTheSameAsTheWholeText) {
  for (const uint64_t seed : Seeds(20)) {
    SeededRandom random(seed);
    Json document = LargeDocument(30, seed);
    StoredCompiler compiler;
    for (int change = 0; change < 40; ++change) {
      const Json before = document;
      ChangeAtRandom(random, document);
      const std::string text = document.dump();
      const std::string whole = WholeOutcome(text);
      if (OutcomeOf(compiler, text) != whole) {
        FailWithSeed(seed, "change " + std::to_string(change) + " gives another result");
      }
      if (!whole.starts_with('{')) {
        document = before;
      }
    }
  }
}

TEST(StoredCompilerUnderRandomChanges, GivesTheSameForCorruptedTexts) {
  constexpr std::string_view kBytes = "{}[]\",:\\ a0";
  for (const uint64_t seed : Seeds(20)) {
    SeededRandom random(seed);
    const std::string valid = LargeDocument(6, seed).dump();
    StoredCompiler compiler;
    for (int trial = 0; trial < 60; ++trial) {
      CHECK(WholeOutcome(valid) == OutcomeOf(compiler, valid));
      std::string corrupted = valid;
      for (uint64_t count = 1 + random.Below(3); count > 0; --count) {
        const size_t position = random.Below(corrupted.size());
        const char byte = kBytes[random.Below(kBytes.size())];
        switch (random.Below(3)) {
          case 0:
            corrupted[position] = byte;
            break;
          case 1:
            corrupted.insert(position, 1, byte);
            break;
          default:
            corrupted.erase(position, 1 + random.Below(40));
        }
      }
      if (OutcomeOf(compiler, corrupted) != WholeOutcome(corrupted)) {
        FailWithSeed(seed, "trial " + std::to_string(trial) + " gives another result");
      }
    }
  }
}
