// Tests of HttpClient against a target that truncates or garbles its response or drops the
// connection. They guard against a truncated response taken for a complete one, a retry of a
// request of which bytes were written, and a call that fails because of a stale connection.
#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

#include "http_client.h"
#include "network_fixture.h"

using endivecleat::EventLoop;
using endivecleat::HttpClient;
using endivecleat::HttpOutcome;
using endivecleat::test::kLongTimeout;
using endivecleat::test::RawListener;
using endivecleat::test::RunFor;
using endivecleat::test::RunUntil;

TEST_GROUP(HttpBrokenResponse) {
  EventLoop loop;
  RawListener target{loop};
  HttpClient client{loop, target.address(), 1};
  std::vector<HttpOutcome> outcomes;

  void Send(const std::string& method = "GET", const std::string& body = "") {
    client.Send({method, "/", "", {}, body, ""}, kLongTimeout,
                [this](HttpOutcome outcome) { outcomes.push_back(std::move(outcome)); });
  }

  void WaitForRequest(size_t connection) {
    CHECK(RunUntil(loop, [&] { return target.HasReceived(connection, "\r\n\r\n"); }));
    target.connections[connection]->received.clear();
  }

  void WaitForOutcomes(size_t count) {
    CHECK(RunUntil(loop, [&] { return outcomes.size() >= count; }));
  }

  /// The outcome of a call when the target sends these bytes and then closes the connection.
  HttpOutcome::Kind OutcomeOf(const std::string& bytes) {
    const size_t index = target.size();
    const size_t before = outcomes.size();
    Send();
    WaitForRequest(index);
    target.connections[index]->Send(bytes);
    target.connections[index]->CloseAfterSending();
    WaitForOutcomes(before + 1);
    return outcomes.back().kind;
  }
};

TEST(HttpBrokenResponse, TruncatedAnywhereIsBroken) {
  const std::string by_length = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n0123456789";
  const std::string chunked =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n";
  for (const std::string& response : {by_length, chunked}) {
    for (size_t cut = 0; cut < response.size(); ++cut) {
      LONGS_EQUAL(HttpOutcome::kBroken, OutcomeOf(response.substr(0, cut)));
    }
    LONGS_EQUAL(HttpOutcome::kAnswered, OutcomeOf(response));
  }
}

TEST(HttpBrokenResponse, WithoutLengthIsCompleteAfterOrderlyClose) {
  LONGS_EQUAL(HttpOutcome::kAnswered, OutcomeOf("HTTP/1.0 200 OK\r\n\r\nwhole"));
  STRCMP_EQUAL("whole", outcomes.back().response.body.c_str());
}

TEST(HttpBrokenResponse, WithoutLengthIsBrokenAfterConnectionReset) {
  Send();
  WaitForRequest(0);
  target.connections[0]->Send("HTTP/1.0 200 OK\r\n\r\nmaybe cut");
  RunFor(loop, std::chrono::milliseconds(50));
  target.connections[0]->Reset();
  WaitForOutcomes(1);
  LONGS_EQUAL(HttpOutcome::kBroken, outcomes.back().kind);
}

TEST(HttpBrokenResponse, MalformedOrOversizedIsBroken) {
  LONGS_EQUAL(HttpOutcome::kBroken, OutcomeOf("nonsense\r\n\r\n"));
  LONGS_EQUAL(HttpOutcome::kBroken, OutcomeOf("HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n"));
  LONGS_EQUAL(HttpOutcome::kBroken,
              OutcomeOf("HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n"));
  LONGS_EQUAL(HttpOutcome::kBroken,
              OutcomeOf("HTTP/1.1 200 OK\r\nX: " + std::string(100000, 'x') + "\r\n\r\n"));
}

TEST(HttpBrokenResponse, InterimResponseIsNotTheFinalOne) {
  LONGS_EQUAL(HttpOutcome::kBroken, OutcomeOf("HTTP/1.1 100 Continue\r\n\r\n"));
  LONGS_EQUAL(HttpOutcome::kAnswered,
              OutcomeOf("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n"));
  LONGS_EQUAL(204, outcomes.back().response.status);
}

TEST(HttpBrokenResponse, RequestIsNotRetriedAfterBytesWereWritten) {
  Send("POST", "once");
  CHECK(RunUntil(loop, [&] { return target.HasReceived(0, "once"); }));
  target.connections[0]->Close();
  WaitForOutcomes(1);
  LONGS_EQUAL(HttpOutcome::kBroken, outcomes[0].kind);
  LONGS_EQUAL(1, target.size());
}

TEST(HttpBrokenResponse, UnsolicitedBytesCloseTheConnection) {
  Send();
  WaitForRequest(0);
  target.connections[0]->Send(
      "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: "
      "5\r\n\r\nwrong");
  WaitForOutcomes(1);
  Send();
  WaitForRequest(1);
  target.connections[1]->Send("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nright");
  WaitForOutcomes(2);
  STRCMP_EQUAL("right", outcomes[1].response.body.c_str());
}

TEST(HttpBrokenResponse, StaleConnectionIsReplacedWithoutFailure) {
  for (size_t round = 0; round < 5; ++round) {
    Send("POST", "body");
    WaitForRequest(round);
    target.connections[round]->Send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    WaitForOutcomes(round + 1);
    target.connections[round]->Close();  // not yet noticed by the client when the next call starts
  }
  for (const HttpOutcome& outcome : outcomes) {
    LONGS_EQUAL(HttpOutcome::kAnswered, outcome.kind);
  }
}

TEST(HttpBrokenResponse, WaitingCallsContinueAfterBrokenOne) {
  Send();
  Send();
  WaitForRequest(0);
  target.connections[0]->Close();
  WaitForOutcomes(1);
  LONGS_EQUAL(HttpOutcome::kBroken, outcomes[0].kind);
  WaitForRequest(1);
  target.connections[1]->Send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  WaitForOutcomes(2);
  LONGS_EQUAL(HttpOutcome::kAnswered, outcomes[1].kind);
}
