// Tests LintConfiguration and the hiding of API keys in differences. They guard against entries
// without effect and contradictory limits that pass a check unnoticed, against warnings about a
// sound configuration, and against a check that prints API keys.
#include "configuration_lint.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "configuration_diff.h"
#include "document_maker.h"

using endivecleat::DiffDocuments;
using endivecleat::Difference;
using endivecleat::FormatDifferences;
using endivecleat::LintConfiguration;
using endivecleat::ParseAndCheck;
using endivecleat::Problem;
using endivecleat::WithoutApiKeys;
using endivecleat::test::SmallDocument;
using Json = nlohmann::json;

namespace {

Json SoundDocument() {
  Json document = SmallDocument();
  document["callers"] = {{"header_bytes", 16384},
                         {"body_bytes", 67108864},
                         {"header_timeout_ms", 3000},
                         {"idle_timeout_ms", 15000}};
  document["tenants"]["a"] = {{"api_keys", {"secret"}}, {"rate_per_second", 5}, {"burst", 5}};
  Json& route = document["presets"]["ordinary"]["routes"][0];
  route["timeout_ms"] = 1000;
  route["objective_ms"] = 500;
  route["open"] = true;
  return document;
}

std::vector<Problem> Findings(const Json& document) {
  return LintConfiguration(ParseAndCheck({document.dump()}));
}

/// The path of the only finding after one value of the sound document was changed.
std::string FindingAfter(const std::string& path, const Json& value) {
  Json document = SoundDocument();
  document[Json::json_pointer(path)] = value;
  const std::vector<Problem> findings = Findings(document);
  return findings.size() == 1 ? findings.front().json_path
                              : std::to_string(findings.size()) + " findings";
}

}  // namespace

TEST_GROUP(ConfigurationLint){};

TEST(ConfigurationLint, SoundConfigurationHasNoFinding) {
  LONGS_EQUAL(0, Findings(SoundDocument()).size());
  LONGS_EQUAL(0, Findings(SmallDocument()).size());
}

TEST(ConfigurationLint, EachEntryWithoutEffectIsFound) {
  const std::string route = "/presets/ordinary/routes/0";
  const std::string service = "/presets/ordinary/services/";
  STRCMP_EQUAL((service + "unused").c_str(),
               FindingAfter(service + "unused", {{"targets", {"*"}}}).c_str());
  STRCMP_EQUAL((route + "/path_prefix").c_str(), FindingAfter("/callers/header_bytes", 16).c_str());
  STRCMP_EQUAL("/tenants/a/api_keys", FindingAfter("/tenants/a/api_keys", Json::array()).c_str());
  STRCMP_EQUAL("/tenants/a/burst", FindingAfter("/tenants/a/rate_per_second", 0).c_str());
  Json document = SoundDocument();
  document.erase("tenants");
  STRCMP_EQUAL((route + "/open").c_str(), Findings(document).front().json_path.c_str());
}

TEST(ConfigurationLint, EachContradictionOfLimitsIsFound) {
  const std::string route = "/presets/ordinary/routes/0";
  const std::string service = "/presets/ordinary/services/portal-ayto";
  STRCMP_EQUAL((route + "/objective_ms").c_str(),
               FindingAfter(route + "/objective_ms", 1001).c_str());
  STRCMP_EQUAL((service + "/queue_wait_ms").c_str(),
               FindingAfter(service + "/timeout_ms", 100).c_str());
  STRCMP_EQUAL((service + "/body_limit_bytes").c_str(),
               FindingAfter("/callers/body_bytes", 1000).c_str());
  STRCMP_EQUAL("/callers/header_timeout_ms",
               FindingAfter("/callers/header_timeout_ms", 15001).c_str());
  Json document = SoundDocument();
  document["tenants"]["a"]["rate_per_second"] = 0.5;
  document["tenants"]["a"]["burst"] = 0.5;
  STRCMP_EQUAL("/tenants/a/burst", Findings(document).front().json_path.c_str());
}

TEST_GROUP(ConfigurationDifferences){};

TEST(ConfigurationDifferences, NeverShowAnApiKey) {
  Json after = SoundDocument();
  after["tenants"]["a"]["api_keys"] = {"secret", "second-secret"};
  after["tenants"]["b"] = {{"api_keys", {"third-secret"}}, {"burst", 3}};
  const Json before = SoundDocument();
  for (const auto& [old_text, new_text] :
       {std::pair(before.dump(), after.dump()), std::pair(after.dump(), before.dump()),
        std::pair(std::string("{}"), after.dump())}) {
    const std::vector<Difference> differences = WithoutApiKeys(DiffDocuments(old_text, new_text));
    CHECK_FALSE(differences.empty());
    CHECK(FormatDifferences(differences).find("secret") == std::string::npos);
  }
}
