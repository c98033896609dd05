// Tests the check of an operator's document before it is sent. They guard against findings whose
// paths the operator cannot find in the document, and against API keys in the output.
#include "document_check.h"

#include <CppUTest/TestHarness.h>

#include <nlohmann/json.hpp>

using namespace endivecleat;            // NOLINT(google-build-using-namespace)
using namespace endivecleat::platform;  // NOLINT(google-build-using-namespace)
using Json = nlohmann::json;

namespace {

Json Body() {
  return Json::parse(R"({"version":"00000002","baseVersion":"00000001","resources":[
    {"type":"services","metadata":{"name":"s1"},"spec":{"healthPath":"/h","maxConns":130}},
    {"type":"routes","metadata":{"name":"r-1"},"spec":{"host":"a.example","pathPrefix":"/x/",
     "routeType":"idempotent","timeoutMs":1200,"sloMs":300,"priority":2,"service":"s1",
     "attempts":2}},
    {"type":"tenants","metadata":{"name":"t-1"},"spec":{"apiKeys":["secret"],"ratePerS":5,
     "burst":5}}]})");
}

}  // namespace

TEST_GROUP(DocumentCheck){};

TEST(DocumentCheck, SoundDocumentHasNoFinding) {
  const DocumentFindings findings = CheckOperatorDocument(Body().dump(), Body().dump());
  LONGS_EQUAL(0, findings.warnings.size());
  LONGS_EQUAL(0, findings.differences.size());
}

TEST(DocumentCheck, WarningsAndProblemsNameThePlaceInTheDocument) {
  Json body = Body();
  body["resources"][1]["spec"]["sloMs"] = 1300;
  const DocumentFindings findings = CheckOperatorDocument(body.dump(), "");
  LONGS_EQUAL(1, findings.warnings.size());
  STRCMP_EQUAL("/resources/1/spec/sloMs", findings.warnings.front().json_path.c_str());
  body["resources"][1]["spec"]["timeoutMs"] = 600001;
  try {
    CheckOperatorDocument(body.dump(), "");
    FAIL("an invalid document was accepted");
  } catch (const UserError& error) {
    STRCMP_EQUAL("/resources/1/spec/timeoutMs", error.problems().front().json_path.c_str());
  }
}

TEST(DocumentCheck, DifferencesFromTheDocumentInForceHideKeys) {
  Json body = Body();
  body["resources"][2]["spec"]["apiKeys"] = {"other-secret"};
  body["resources"][2]["spec"]["burst"] = 6;
  const std::string printed =
      FormatDifferences(CheckOperatorDocument(body.dump(), Body().dump()).differences);
  CHECK(printed.find("/tenants/t-1/burst: 5 -> 6") != std::string::npos);
  CHECK(printed.find("/tenants/t-1/api_keys") != std::string::npos);
  CHECK(printed.find("secret") == std::string::npos);
}
