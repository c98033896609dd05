// Guards against a faulty document that is accepted, or whose fault is reported at the wrong place:
// one row per kind of fault, applied to a valid document.
#include <CppUTest/TestHarness.h>

#include <algorithm>

#include "configuration.h"
#include "document_maker.h"

using endivecleat::CheckedConfiguration;
using endivecleat::ConfigVersion;
using endivecleat::ParseAndCheck;
using endivecleat::PresetName;
using endivecleat::Problem;
using endivecleat::ResultCode;
using endivecleat::UserError;

namespace {

constexpr const char* kService = "/presets/ordinary/services/portal-ayto";
constexpr const char* kRoute = "/presets/ordinary/routes/0";

struct Fault {
  std::string place;  // below which the value is set, as a JSON pointer
  const char* value;  // JSON
  std::string path;   // of the problem
  const char* message;
};

const Fault kFaults[] = {
    // Wrong types.
    {"", "[]", "", "must be an object, not a value of type array"},
    {"/presets", "7", "/presets", "must be an object, not a value of type number"},
    {"/preset_in_force", "7", "/preset_in_force", "must be a string"},
    {"/presets/ordinary", "null", "/presets/ordinary", "must be an object, not null"},
    {"/presets/ordinary/services", "[]", "/presets/ordinary/services", "must be an object"},
    {"/presets/ordinary/routes", "{}", "/presets/ordinary/routes", "must be an array"},
    {kService, "true", kService, "must be an object"},
    {kService + std::string("/slots"), "\"9\"", kService + std::string("/slots"),
     "must be a whole number, not a value of type string"},
    {kService + std::string("/slots"), "9.5", kService + std::string("/slots"), "not a fraction"},
    {kService + std::string("/targets"), "\"a\"", kService + std::string("/targets"),
     "must be an array of strings"},
    {kService + std::string("/targets/0"), "1", kService + std::string("/targets/0"),
     "must be a string"},
    {kRoute, "[]", kRoute, "must be an object"},
    {kRoute + std::string("/idempotent"), "1", kRoute + std::string("/idempotent"),
     "must be true or false"},
    {kRoute + std::string("/methods/0"), "{}", kRoute + std::string("/methods/0"),
     "must be a string"},
    // Unknown and missing keys.
    {"/preset", "{}", "/preset", "unknown key"},
    {"/presets/ordinary/x~1y", "1", "/presets/ordinary/x~1y", "unknown key"},
    {kService + std::string("/slot"), "9", kService + std::string("/slot"), "unknown key"},
    {kRoute + std::string("/method"), "9", kRoute + std::string("/method"), "unknown key"},
    {"/presets/ordinary", "{}", "/presets/ordinary", "key \"services\" is missing"},
    {kService, "{}", kService, "key \"targets\" is missing"},
    {kRoute, "{}", kRoute, "key \"path_prefix\" is missing"},
    // Impossible values.
    {"/presets", "{}", "/presets", "at least one preset"},
    {"/preset_in_force", "\"peak\"", "/preset_in_force", "no preset \"peak\""},
    {"/presets/a b", R"({"services": {}, "routes": []})", "/presets/a b", "letters"},
    {"/presets/ordinary/services/-a", R"({"targets": ["a"]})", "/presets/ordinary/services/-a",
     "must start with a letter or digit"},
    {kService + std::string("/slots"), "0", kService + std::string("/slots"),
     "must be from 1 to 10000, not 0"},
    {kService + std::string("/queue_length"), "-1", kService + std::string("/queue_length"),
     "must be from 0 to 100000, not -1"},
    {kService + std::string("/timeout_ms"), "18446744073709551615",
     kService + std::string("/timeout_ms"), "must be from 1 to 600000"},
    {kService + std::string("/retry_percent"), "101", kService + std::string("/retry_percent"),
     "must be from 0 to 100"},
    {kService + std::string("/max_attempts"), "0", kService + std::string("/max_attempts"),
     "must be from 1 to 10"},
    {kService + std::string("/body_limit_bytes"), "4194305",
     kService + std::string("/body_limit_bytes"), "must be from 1 to 4194304"},
    {kService + std::string("/connections"), "8", kService + std::string("/connections"),
     "must not be fewer than slots"},
    {kService + std::string("/targets"), "[]", kService + std::string("/targets"), "at least one"},
    {kService + std::string("/targets/0"), "\"a[b]\"", kService + std::string("/targets/0"),
     "pattern \"a[b]\" must be"},
    {kService + std::string("/targets/1"), "\"portal-ayto-*\"",
     kService + std::string("/targets/1"), "listed twice"},
    {kRoute + std::string("/service"), "\"none\"", kRoute + std::string("/service"),
     "preset \"ordinary\" has no service \"none\""},
    {kRoute + std::string("/at_most_once"), "true", kRoute,
     "cannot be both idempotent and at_most_once"},
    {kRoute + std::string("/name"), "\"\"", kRoute + std::string("/name"), "must be 1 to 64"},
    {kRoute + std::string("/host"), "\"A.example:80\"", kRoute + std::string("/host"),
     "lower-case"},
    {kRoute + std::string("/path_prefix"), "\"bins\"", kRoute + std::string("/path_prefix"),
     "must start with \"/\""},
    {kRoute + std::string("/path_prefix"), "\"/bins/\"", kRoute + std::string("/path_prefix"),
     "must not end with \"/\""},
    {kRoute + std::string("/path_prefix"), "\"/a?b\"", kRoute + std::string("/path_prefix"),
     "without"},
    {kRoute + std::string("/methods"), "[]", kRoute + std::string("/methods"), "at least one"},
    {kRoute + std::string("/methods/0"), "\"get\"", kRoute + std::string("/methods/0"),
     "method \"get\" must be one of"},
    {kRoute + std::string("/methods/1"), "\"GET\"", kRoute + std::string("/methods/1"), "twice"},
    {"/presets/ordinary/routes/1",
     R"({"name": "bins", "path_prefix": "/x", "methods": ["GET"], "service": "portal-ayto"})",
     "/presets/ordinary/routes/1/name", "route \"bins\" is defined twice"},
    {"/presets/ordinary/routes/1",
     R"({"name": "b", "path_prefix": "/bins", "methods": ["PUT", "GET"], "service": "portal-ayto"})",
     "/presets/ordinary/routes/1", "equals route \"bins\" in host, path prefix and method GET"},
};

std::vector<Problem> ProblemsOf(const std::string& text) {
  try {
    ParseAndCheck({text});
  } catch (const UserError& error) {
    CHECK(error.code() == ResultCode::kDocumentInvalid);
    return error.problems();
  }
  return {};
}

ResultCode CodeOf(const std::string& text) {
  try {
    ParseAndCheck({text});
  } catch (const UserError& error) {
    return error.code();
  }
  return ResultCode::kOk;
}

}  // namespace

TEST_GROUP(ConfigurationWithOneFault){};

TEST(ConfigurationWithOneFault, ReportsItAtItsPath) {
  for (const Fault& fault : kFaults) {
    nlohmann::json document = endivecleat::test::SmallDocument();
    document[nlohmann::json::json_pointer(fault.place)] = nlohmann::json::parse(fault.value);
    const std::vector<Problem> problems = ProblemsOf(document.dump());
    const bool found = std::any_of(problems.begin(), problems.end(), [&](const Problem& problem) {
      return problem.json_path == fault.path &&
             problem.message.find(fault.message) != std::string::npos;
    });
    CHECK_TEXT(found, (fault.place + " = " + fault.value + ": " + fault.message).c_str());
  }
}

TEST_GROUP(ConfigurationWithManyFaults){};

TEST(ConfigurationWithManyFaults, ReportsThoseOfBothStagesAtOnce) {
  nlohmann::json document = endivecleat::test::SmallDocument();
  document["extra"] = 1;
  document["presets"]["ordinary"]["services"]["portal-ayto"]["slots"] = 0;
  document["presets"]["ordinary"]["services"]["portal-ayto"]["warm_up_ms"] = "5s";
  document["presets"]["ordinary"]["routes"][0]["service"] = "none";
  LONGS_EQUAL(4, ProblemsOf(document.dump()).size());
}

TEST(ConfigurationWithManyFaults, ReportsNothingThatOnlyFollowsFromAnotherFault) {
  nlohmann::json document = endivecleat::test::SmallDocument();
  document["presets"]["ordinary"]["services"]["portal-ayto"] = 7;
  document["presets"]["ordinary"]["routes"][0]["path_prefix"] = 7;
  LONGS_EQUAL(2, ProblemsOf(document.dump()).size());
}

TEST(ConfigurationWithManyFaults, KeepsPathsOfLongKeysShort) {
  nlohmann::json document = endivecleat::test::SmallDocument();
  document["presets"][std::string(100'000, 'k')] = nlohmann::json::object();
  for (const Problem& problem : ProblemsOf(document.dump())) {
    CHECK(problem.json_path.size() + problem.message.size() < 500);
  }
}

TEST_GROUP(ConfigurationText){};

TEST(ConfigurationText, WithADuplicateKeyIsRejected) {
  const std::vector<Problem> problems = ProblemsOf(
      R"({"presets": {"a": {"services": {}, "routes": [{"name": 1, "name": 2}], "routes": []}}})");
  CHECK(problems == (std::vector<Problem>{{"/presets/a/routes/0/name", "duplicate key"},
                                          {"/presets/a/routes", "duplicate key"}}));
}

TEST(ConfigurationText, ThatIsNotJsonIsRejected) {
  for (const char* text : {"", "{", "{}{}", "{\"presets\": \"\xff\"}", "nul", "{'a': 1}"}) {
    CHECK_TEXT(CodeOf(text) == ResultCode::kDocumentSyntax, text);
  }
}

TEST(ConfigurationText, ThatNestsTooDeeplyIsRejected) {
  CHECK(CodeOf(std::string(1'000'000, '[')) == ResultCode::kDocumentSyntax);
}

TEST(ConfigurationText, ThatIsTooLargeIsRejected) {
  const std::string text(endivecleat::kMaxDocumentBytes + 1, ' ');
  CHECK(CodeOf(text) == ResultCode::kDocumentTooLarge);
}

TEST_GROUP(ConfigurationStored){};

TEST(ConfigurationStored, WithoutAPresetInForceIsRejected) {
  const std::string text = endivecleat::test::SmallDocument().dump();
  CHECK_THROWS(UserError, endivecleat::CompileStored(text, ConfigVersion(1)));
  const CheckedConfiguration checked = ParseAndCheck({text});
  CHECK_THROWS(UserError, Compile(checked, ConfigVersion(1), PresetName("peak")));
}
