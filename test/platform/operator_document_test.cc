// Tests the translation of the operator's document. Guards against accepting an invalid document,
// and against returning a configuration that differs from the submitted one.
#include "operator_document.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <nlohmann/json.hpp>

#include "config_store.h"
#include "configuration.h"
#include "delta.h"
#include "errors.h"
#include "json_response.h"

using namespace endivecleat;            // NOLINT(google-build-using-namespace)
using namespace endivecleat::platform;  // NOLINT(google-build-using-namespace)
using Json = nlohmann::json;

namespace {

Json Body() {
  return Json::parse(R"({"version":"0000000c","baseVersion":"00000005","resources":[
    {"type":"routes","metadata":{"name":"r-1"},"spec":{"host":"a.example","pathPrefix":"/x/",
     "routeType":"idempotent","timeoutMs":1200,"sloMs":300,"priority":2,
     "split":[{"service":"s1","weight":90},{"service":"s2","weight":10}],"attempts":2}},
    {"type":"routes","metadata":{"name":"r-2"},"spec":{"host":"a.example","pathPrefix":"/y/",
     "routeType":"non_idempotent","timeoutMs":800,"sloMs":400,"priority":1,"service":"s1",
     "attempts":2,"newField":{"a":1}}},
    {"type":"routes","metadata":{"name":"r-3"},"spec":{"host":"a.example","pathPrefix":"/z/",
     "routeType":"download","timeoutMs":900,"sloMs":500,"priority":2,"service":"s2","attempts":2}},
    {"type":"services","metadata":{"name":"s1"},"spec":{"healthPath":"/healthz","maxConns":130,
     "protocol":"h1","tls":false}},
    {"type":"services","metadata":{"name":"s2"},"spec":{"healthPath":"/h","maxConns":4,
     "protocol":"h1","tls":false}},
    {"type":"routes","metadata":{"name":"r-4"},"spec":{"host":"a.example","pathPrefix":"/u/",
     "routeType":"upload","timeoutMs":900,"sloMs":500,"priority":2,"service":"s2","attempts":2,
     "public":true}},
    {"type":"tenants","metadata":{"name":"t-1"},"spec":{"apiKeys":["key-one","key-two"],
     "priority":1,"ratePerS":581,"burst":300,"plan":"gold"}},
    {"type":"tenants","metadata":{"name":"t-2"},"spec":{"apiKeys":["key-three"]}},
    {"type":"limits","metadata":{},"spec":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,
     "headerTimeoutMs":3000,"idleTimeoutMs":15000}}]})");
}

/// Whether the document is rejected, either when it is decoded or when the product checks it.
bool IsRejected(const Json& body) {
  try {
    ParseAndCheck({DecodeOperatorDocument(body.dump()).product_document});
  } catch (const UserError&) {
    return true;
  }
  return false;
}

Json SortedResources(Json body) {
  std::sort(body["resources"].begin(), body["resources"].end());
  return body;
}

Json& Spec(Json& body, size_t resource) { return body["resources"][resource]["spec"]; }

}  // namespace

TEST_GROUP(OperatorDocumentDecoding){};

TEST(OperatorDocumentDecoding, TranslatesRoutesServicesAndLimits) {
  const OperatorDocument document = DecodeOperatorDocument(Body().dump());
  LONGS_EQUAL(12, document.version.value());
  LONGS_EQUAL(5, document.base_version.value());
  const auto compiled =
      Compile(ParseAndCheck({document.product_document}), ConfigVersion(1), PresetName("ordinary"));
  const CompiledRoute* read = compiled->FindRoute("GET", "a.example", "/x/7");
  CHECK(read != nullptr && read->idempotent && read->shares.size() == 2);
  CHECK(read->policy.timeout == std::chrono::milliseconds(1200));
  CHECK(read->policy.objective == std::chrono::milliseconds(300));
  LONGS_EQUAL(2, read->policy.max_attempts.value());
  LONGS_EQUAL(2, read->policy.priority.value());
  const CompiledRoute* write = compiled->FindRoute("POST", "a.example", "/y/7");
  CHECK(write != nullptr && !write->idempotent && !write->at_most_once);
  const CompiledRoute* download = compiled->FindRoute("GET", "a.example", "/z/7");
  CHECK(download != nullptr && download->idempotent && download->large_responses);
  CHECK(!read->large_responses && !write->large_responses);
  POINTERS_EQUAL(nullptr, compiled->FindRoute("GET", "a.example", "/x"));
  POINTERS_EQUAL(nullptr, compiled->FindRoute("GET", "b.example", "/x/7"));
  STRCMP_EQUAL("/h", compiled->FindService(ServiceName("s2"))->policy.health_path.c_str());
  CHECK(compiled->callers().idle_timeout == std::chrono::seconds(15));
  const CompiledRoute* upload = compiled->FindRoute("POST", "a.example", "/u/7");
  CHECK(upload != nullptr && upload->large_requests && !upload->idempotent && upload->open);
  CHECK(!write->large_requests && !write->open);
  CHECK(compiled->tenants() != nullptr);
  const Tenant* tenant = compiled->tenants()->FindByKey("key-two");
  CHECK(tenant != nullptr && tenant->name == TenantName("t-1"));
  CHECK(tenant->priority == Priority(1));
  CHECK(tenant->quota == (TenantQuota{.rate_per_second = 581, .burst = 300}));
  CHECK_FALSE(compiled->tenants()->FindByKey("key-three")->quota.limited());
}

TEST(OperatorDocumentDecoding, RejectsADocumentWithTooManyValuesBeforeItIsParsed) {
  std::string body = Body().dump();
  body.pop_back();
  body += R"(,"more":["[,:{\"",)";
  for (int count = 0; count < 500'000; ++count) {
    body += "[],";
  }
  const std::string end = "[]]}";
  try {
    DecodeOperatorDocument(body + end);
    FAIL("the document was accepted");
  } catch (const UserError& error) {
    STRCMP_CONTAINS("has too many values", error.what());
  }
}

TEST(OperatorDocumentDecoding, ReturnsTheSubmittedDocument) {
  const OperatorDocument document = DecodeOperatorDocument(Body().dump());
  ConfigStore store;
  const ChangeResult result =
      store.Apply({.operation = document.operation,
                   .base = ConfigVersion(),
                   .payload = SubmitDocument{MakeDelta("", document.product_document)},
                   .author = "test",
                   .at = WallTime(1)});
  CHECK(result.code == ResultCode::kOk);
  const OperatorVersions numbers = ParseRevision(store.revision());
  CHECK(numbers.version == document.version && numbers.base_version == document.base_version);
  CHECK(SortedResources(Json::parse(EncodeOperatorDocument(store.text()))) ==
        SortedResources(Body()));
  const ConfigStore restored = ConfigStore::Restore(store.Snapshot());
  STRCMP_EQUAL(store.revision().c_str(), restored.revision().c_str());
  CHECK(restored.FindResult(document.operation)->code == ResultCode::kOk);
}

TEST(OperatorDocumentDecoding, EqualDocumentsGetTheSameOperationId) {
  const OperatorDocument first = DecodeOperatorDocument(Body().dump());
  CHECK(first.operation == DecodeOperatorDocument(Body().dump(2)).operation);
  Json other = Body();
  Spec(other, 0)["timeoutMs"] = 1201;
  CHECK(first.operation != DecodeOperatorDocument(other.dump()).operation);
}

TEST_GROUP(InvalidOperatorDocument){};

TEST(InvalidOperatorDocument, IsRejectedForEachViolation) {
  CHECK_FALSE(IsRejected(Body()));
  const auto changed = [](auto change) {
    Json body = Body();
    change(body);
    return IsRejected(body);
  };
  CHECK(changed([](Json& body) { Spec(body, 1)["service"] = "unknown"; }));
  CHECK(changed([](Json& body) { Spec(body, 0)["split"][1]["service"] = "unknown"; }));
  CHECK(changed([](Json& body) { Spec(body, 1)["pathPrefix"] = "/x/"; }));
  CHECK(changed([](Json& body) { Spec(body, 0)["timeoutMs"] = 600001; }));
  CHECK(changed([](Json& body) { Spec(body, 0)["sloMs"] = 1200 + 60000; }));
  CHECK(changed([](Json& body) { Spec(body, 0)["attempts"] = 0; }));
  CHECK(changed([](Json& body) { Spec(body, 0)["host"] = ""; }));
  CHECK(changed([](Json& body) { Spec(body, 0)["routeType"] = "maybe"; }));
  CHECK(changed([](Json& body) { Spec(body, 0)["split"][0]["weight"] = -1; }));
  CHECK(changed([](Json& body) { Spec(body, 0).erase("timeoutMs"); }));
  CHECK(changed([](Json& body) { Spec(body, 3).erase("healthPath"); }));
  CHECK(changed([](Json& body) { Spec(body, 7)["apiKeys"] = {"key-one"}; }));
  CHECK(changed([](Json& body) { Spec(body, 6)["apiKeys"] = {""}; }));
  CHECK(changed([](Json& body) { Spec(body, 6).erase("apiKeys"); }));
  CHECK(changed([](Json& body) { Spec(body, 6)["ratePerS"] = -1; }));
  CHECK(changed([](Json& body) { Spec(body, 6)["priority"] = "1"; }));
  CHECK(changed([](Json& body) { Spec(body, 5)["public"] = 1; }));
  CHECK(changed([](Json& body) { body["resources"].push_back(body["resources"][6]); }));
  CHECK(changed([](Json& body) { body["version"] = "00000005"; }));
  CHECK(changed([](Json& body) { body["version"] = 12; }));
  CHECK(changed([](Json& body) { body["version"] = "xyz"; }));
  CHECK(changed([](Json& body) { body.erase("resources"); }));
  CHECK(changed([](Json& body) { body["resources"][0]["type"] = "other"; }));
  CHECK(changed([](Json& body) { body["resources"].push_back(body["resources"][3]); }));
}

TEST(InvalidOperatorDocument, GetsProblemsWithPathsInTheSubmittedDocument) {
  Json body = Body();
  std::swap(body["resources"][0], body["resources"][3]);  // route r-1 becomes resource 3
  Spec(body, 3)["timeoutMs"] = 600001;
  const OperatorDocument document = DecodeOperatorDocument(body.dump());
  std::vector<Problem> problems;
  try {
    ParseAndCheck({document.product_document});
  } catch (const UserError& error) {
    problems = error.problems();
  }
  LONGS_EQUAL(1, problems.size());
  STRCMP_EQUAL("/resources/3/spec/timeoutMs",
               OperatorPath(document, problems.front().json_path).c_str());
  STRCMP_EQUAL("/resources/0/spec",
               OperatorPath(document, "/presets/ordinary/services/s1").c_str());
  STRCMP_EQUAL("/callers/body_bytes", OperatorPath(document, "/callers/body_bytes").c_str());
  STRCMP_EQUAL("/resources/6/spec/ratePerS",
               OperatorPath(document, "/tenants/t-1/rate_per_second").c_str());
  STRCMP_EQUAL("/presets/ordinary/routes/9/name",
               OperatorPath(document, "/presets/ordinary/routes/9/name").c_str());
}

TEST(InvalidOperatorDocument, IsAnsweredWithTheFirstProblemsInABoundedBody) {
  const std::vector<Problem> problems(100, {"/resources/1/spec", std::string(5000, '\x01')});
  const std::string body = RefusalBody(std::string(5000, 'x'), problems);
  CHECK(body.size() <= 4096);
  CHECK(Json::parse(RefusalBody("no", {{"/a", "must be b"}})) ==
        Json::parse(R"({"error":"no","problems":[{"path":"/a","rule":"must be b"}]})"));
}

TEST(InvalidOperatorDocument, IsRejectedWhenTruncated) {
  const std::string whole = Body().dump();
  for (size_t length = 0; length < whole.size(); length += 7) {
    bool refused = false;
    try {
      DecodeOperatorDocument(whole.substr(0, length));
    } catch (const UserError&) {
      refused = true;
    }
    CHECK(refused);
  }
}

TEST_GROUP(OperatorDocumentWithOddEntries){};

// An exception or a stack overflow ends the control instance.
TEST(OperatorDocumentWithOddEntries, IsTranslatedOrRefusedWhateverItHolds) {
  constexpr size_t kDepth = 1'000'000;
  const std::string deep = std::string(kDepth, '[') + std::string(kDepth, ']');
  const auto is_refused = [](const std::string& text) {
    try {
      ParseAndCheck({DecodeOperatorDocument(text).product_document});
      return false;
    } catch (const UserError&) {
      return true;
    }
  };
  CHECK(is_refused(deep));
  for (const char* path : {"/version", "/resources", "/resources/0/spec", "/resources/0/metadata",
                           "/resources/0/spec/priority", "/resources/1/spec/newField"}) {
    Json changed = Body();
    changed[Json::json_pointer(path)] = "@";
    for (const std::string& value : {deep, std::string("1e999"), std::string("1e30")}) {
      std::string text = changed.dump();
      text.replace(text.find("\"@\""), 3, value);
      const bool refused = is_refused(text);
      const bool is_free = std::string(path) == "/resources/1/spec/newField" && value == "1e30";
      CHECK_EQUAL_TEXT(!is_free, refused, (std::string(path) + " " + value.substr(0, 8)).c_str());
    }
  }
}
