// Guards against a target whose invalid status line, unsolicited 101 or endless interim responses
// reach a caller as a response, and against calls that another target could have answered. Runs
// real processes; the faulty target is a socket of the test.
#include <CppUTest/TestHarness.h>

#include <chrono>
#include <string>
#include <utility>

#include "endless_target.h"
#include "platform_pair.h"
#include "process_cluster.h"

namespace endivecleat::test {
namespace {

constexpr int kCalls = 30;

/// Calls a cluster in which one target of four answers so. Requires that each idempotent call is
/// answered by another target or, as its attempts are limited, fails as broken, and that no status
/// of the faulty target reaches a caller.
void RequireNotPassedOn(const std::string& response, const std::string& repeated = "") {
  EndlessTarget faulty(response, repeated, std::chrono::milliseconds(20));
  bool first = true;
  ProcessCluster cluster(
      [&](uint16_t port) { return std::exchange(first, false) ? faulty.port() : port; });
  CHECK(cluster.Start());
  int answered = 0;
  for (int call = 0; call < kCalls; ++call) {
    const int status = cluster.Call(1, GetRequest("/bins")).status;
    CHECK_TEXT(status == 200 || status == 502 || status == 503, std::to_string(status).c_str());
    answered += status == 200 ? 1 : 0;
  }
  CHECK(faulty.requests() > 0);
  CHECK(answered >= kCalls - faulty.requests());
  // One attempt in a row may meet the faulty target twice only if no other is free.
  CHECK(answered > kCalls / 2);
}

/// Calls a deployment whose only target answers so, with a request that must not be sent again.
void RequireBadGateway(const std::string& response) {
  EndlessTarget faulty(response, "", std::chrono::milliseconds(20));
  PlatformPair pair(nullptr, faulty.port());
  CHECK(pair.Start());
  const int before = faulty.requests();
  const HttpResponse answer = ExchangeWith(pair.callers(), PostRequest("/invoices", "key-1"));
  LONGS_EQUAL(502, answer.status);
  LONGS_EQUAL(before + 1, faulty.requests());
}

std::string StatusLine(const std::string& status) {
  return "HTTP/1.1 " + status + " Text\r\nContent-Length: 0\r\n\r\n";
}

}  // namespace

TEST_GROUP(ProcessInvalidStatus){};

TEST(ProcessInvalidStatus, Of000IsNotPassedOn) { RequireNotPassedOn(StatusLine("000")); }

TEST(ProcessInvalidStatus, Of099IsNotPassedOn) { RequireNotPassedOn(StatusLine("099")); }

TEST(ProcessInvalidStatus, Of999IsNotPassedOn) { RequireNotPassedOn(StatusLine("999")); }

TEST(ProcessInvalidStatus, Unsolicited101IsNotPassedOn) { RequireNotPassedOn(StatusLine("101")); }

TEST(ProcessInvalidStatus, EndlessInterimResponsesAreNotPassedOn) {
  std::string interim;
  for (int count = 0; count < 1000; ++count) {
    interim += "HTTP/1.1 103 Early Hints\r\n\r\n";
  }
  RequireNotPassedOn("", interim);
}

TEST(ProcessInvalidStatus, Of099IsABadGatewayForARequestThatMayHaveRun) {
  RequireBadGateway(StatusLine("099"));
}

TEST(ProcessInvalidStatus, Of700IsABadGatewayForARequestThatMayHaveRun) {
  RequireBadGateway(StatusLine("700"));
}

}  // namespace endivecleat::test
