// Tests the JSON-RPC client and server. Guards against a command that aborts with "terminate
// called": libjsonrpccpp calls the transport through a dynamic exception specification, and any
// other exception terminates the process. Also guards against a server that crashes on malformed
// requests.
#include <CppUTest/TestHarness.h>

#include <nlohmann/json.hpp>
#include <string>

#include "errors.h"
#include "rpc_client.h"
#include "rpc_server.h"

using endivecleat::CallRpc;
using endivecleat::ResultCode;
using endivecleat::RpcOutcome;
using endivecleat::RpcParameter;
using endivecleat::RpcServer;
using endivecleat::UserError;

namespace {

RpcServer& Server() {
  static RpcServer server;
  static bool ready = false;
  if (!ready) {
    server.AddMethod("double", {{"number", RpcParameter::Type::kNumber}},
                     [](const nlohmann::json& parameters) {
                       return nlohmann::json{{"twice", 2 * parameters.at("number").get<int>()}};
                     });
    server.AddMethod("refuse", {}, [](const nlohmann::json&) -> nlohmann::json {
      throw UserError(ResultCode::kVersionConflict, "lost", {{"/version", "7"}});
    });
    ready = true;
  }
  return server;
}

RpcOutcome CallServer(const std::string& method, const std::string& parameters) {
  return CallRpc([](const std::string& request) { return Server().Handle(request); }, method,
                 parameters);
}

}  // namespace

TEST_GROUP(RpcTransportThatThrows){};

TEST(RpcTransportThatThrows, PropagatesTheExceptionToTheCaller) {
  const auto failing = [](const std::string&) -> std::string {
    throw UserError(ResultCode::kUnauthorized, "wrong token");
  };
  CHECK_THROWS(UserError, CallRpc(failing, "show", "{}"));
}

TEST_GROUP(RpcCall){};

TEST(RpcCall, ReturnsTheResult) {
  const RpcOutcome outcome = CallServer("double", R"({"number":21})");
  CHECK(outcome.succeeded);
  STRCMP_EQUAL("{\"twice\":42}", outcome.json.c_str());
}

TEST(RpcCall, ReturnsCodeMessageAndProblemsOfAMethodError) {
  const RpcOutcome outcome = CallServer("refuse", "{}");
  CHECK_FALSE(outcome.succeeded);
  LONGS_EQUAL(301, outcome.error_code);
  CHECK(outcome.message.find("lost") != std::string::npos);
  CHECK(outcome.json.find("/version") != std::string::npos);
}

TEST(RpcCall, FailsForMissingOrWrongParameters) {
  CHECK_FALSE(CallServer("double", "{}").succeeded);
  CHECK_FALSE(CallServer("double", R"({"number":"x"})").succeeded);
  CHECK_FALSE(CallServer("unknown", "{}").succeeded);
}

TEST_GROUP(RpcServerGivenMalformedText){};

TEST(RpcServerGivenMalformedText, AnswersWithAnError) {
  for (const char* text : {"", "{", "[]", "null", "{\"jsonrpc\":\"2.0\"}", "\xff\xfe"}) {
    CHECK(Server().Handle(text).find("error") != std::string::npos);
  }
}

// An exception that leaves the server ends the process.
TEST(RpcServerGivenMalformedText, AnswersDeepNestingAndNumbersOutOfRangeWithAnError) {
  constexpr size_t kDepth = 100'000;
  const std::string deep = std::string(kDepth, '[') + std::string(kDepth, ']');
  const auto with_number = [](const std::string& value) {
    std::string text = R"({"jsonrpc":"2.0","id":1,"method":"double","params":{"number":)";
    return text.append(value).append("}}");
  };
  for (const std::string& text :
       {deep, std::string(kDepth, '['), std::string(kDepth, '{'), with_number(deep),
        with_number("1e999"), with_number("99999999999999999999999"), with_number("-1e308"),
        with_number(std::string("1,\"x\":").append(deep))}) {
    CHECK(Server().Handle(text).find("error") != std::string::npos);
  }
}
