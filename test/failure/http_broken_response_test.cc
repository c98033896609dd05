// Tests of HttpClient against a target that truncates or garbles its response or drops the
// connection. They guard against a truncated response taken for a complete one, a retry of a
// request of which bytes were written, and a call that fails because of a stale connection.
#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

#include "http_client.h"
#include "network_fixture.h"

using endivecleat::Duration;
using endivecleat::EventLoop;
using endivecleat::HttpClient;
using endivecleat::HttpOutcome;
using endivecleat::HttpRequest;
using endivecleat::TimePoint;
using endivecleat::test::kLongTimeout;
using endivecleat::test::RawConnection;
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

// Guards against an answer that ends in the middle of its head and is passed on as a whole with an
// empty body: after each byte of the status line and the fields, before the empty line.
TEST(HttpBrokenResponse, EndedInItsHeadIsBrokenWhateverDelimitsTheBody) {
  for (const char* delimiter :
       {"", "Connection: close\r\n", "Content-Length: 0\r\n", "Transfer-Encoding: chunked\r\n"}) {
    const std::string head = "HTTP/1.1 200 OK\r\nX-Mark: 1\r\n" + std::string(delimiter) + "\r\n";
    for (size_t cut = 0; cut < head.size(); ++cut) {
      LONGS_EQUAL(HttpOutcome::kBroken, OutcomeOf(head.substr(0, cut)));
    }
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

// Guards against a target whose bytes never end: memory that grows with them, a call that holds its
// slot past its deadline, and a call without an outcome.
TEST_GROUP(HttpEndlessResponse) {
  static constexpr Duration kTimeout = std::chrono::milliseconds(800);
  static constexpr size_t kBodyLimit = 64U << 10U;
  static constexpr size_t kPartBytes = 16U << 10U;
  static constexpr size_t kUnsentTarget = 256U << 10U;

  EventLoop loop;
  RawListener target{loop};
  HttpClient client{loop,
                    target.address(),
                    {.connections = 1,
                     .limits = {.body = endivecleat::ByteCount(kBodyLimit),
                                .header = endivecleat::ByteCount(8U << 10U)},
                     .echoed_header = "Request-Id"}};
  std::vector<HttpOutcome> outcomes;
  TimePoint started;

  void Send() {
    HttpRequest request{"GET", "/", "", {}, "", ""};
    request.headers.Add("Request-Id", "mine");
    started = loop.now();
    client.Send(std::move(request), kTimeout,
                [this](HttpOutcome outcome) { outcomes.push_back(std::move(outcome)); });
  }

  /// Sends `start` and then `repeated` until the call has an outcome or the client closes. Requires
  /// that this is before the deadline of the call, or at it, and that the client then closes.
  HttpOutcome::Kind OutcomeOfEndless(const std::string& start, const std::string& repeated,
                                     Duration pause = Duration{}) {
    const size_t index = target.size();
    const size_t before = outcomes.size();
    Send();
    CHECK(RunUntil(loop, [&] { return target.HasReceived(index, "\r\n\r\n"); }));
    RawConnection& connection = *target.connections[index];
    connection.Send(start);
    std::string part = repeated;
    while (pause == Duration{} && part.size() < kPartBytes) {
      part += repeated;
    }
    while (outcomes.size() == before) {
      if (connection.unsent() < kUnsentTarget) {
        connection.Send(part);
      }
      RunFor(loop, std::max<Duration>(pause, std::chrono::microseconds(100)));
    }
    CHECK(loop.now() - started < kTimeout + kLongestDelay);
    CHECK(RunUntil(loop, [&] { return connection.ended(); }));
    LONGS_EQUAL(before + 1, outcomes.size());
    return outcomes.back().kind;
  }
  static constexpr Duration kLongestDelay = std::chrono::seconds(3);  // of a busy machine
};

TEST(HttpEndlessResponse, InAHeadIsBroken) {
  LONGS_EQUAL(HttpOutcome::kBroken, OutcomeOfEndless("", std::string(4096, 'x')));
  LONGS_EQUAL(HttpOutcome::kBroken, OutcomeOfEndless("", std::string(4096, '\0')));
  LONGS_EQUAL(HttpOutcome::kBroken, OutcomeOfEndless("", "\r\n"));
  LONGS_EQUAL(HttpOutcome::kBroken,
              OutcomeOfEndless("HTTP/1.1 200 OK\r\n", "X-More: and more\r\n"));
  LONGS_EQUAL(HttpOutcome::kBroken, OutcomeOfEndless("HTTP/1.1 200 OK\r\nX: ", "and more"));
}

TEST(HttpEndlessResponse, InABodyIsBroken) {
  const std::string head = "HTTP/1.1 200 OK\r\nRequest-Id: mine\r\n";
  const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
  LONGS_EQUAL(HttpOutcome::kBroken, OutcomeOfEndless(head + "\r\n", std::string(4096, 'x')));
  LONGS_EQUAL(HttpOutcome::kBroken, OutcomeOfEndless(chunked, "5\r\nhello\r\n"));
  LONGS_EQUAL(HttpOutcome::kBroken, OutcomeOfEndless(chunked + "5;", "extension;"));
  LONGS_EQUAL(HttpOutcome::kBroken, OutcomeOfEndless(chunked, std::string(4096, '0')));
  LONGS_EQUAL(HttpOutcome::kBroken, OutcomeOfEndless(chunked + "0\r\n", "X: trailer\r\n"));
}

TEST(HttpEndlessResponse, OfCompleteResponsesToOthersIsBroken) {
  LONGS_EQUAL(HttpOutcome::kBroken, OutcomeOfEndless("", "HTTP/1.1 100 Continue\r\n\r\n"));
  LONGS_EQUAL(
      HttpOutcome::kBroken,
      OutcomeOfEndless("", "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 2\r\n\r\nno"));
}

// A target that sends slowly cannot be told from a slow answer, except where its first bytes are no
// status line.
TEST(HttpEndlessResponse, InSmallPartsEndsAtTheDeadline) {
  constexpr Duration kPause = std::chrono::milliseconds(20);
  LONGS_EQUAL(HttpOutcome::kTimedOut, OutcomeOfEndless("HTTP/1.1 200 OK\r\nX: ", "x", kPause));
  LONGS_EQUAL(HttpOutcome::kBroken, OutcomeOfEndless("", "x", kPause));
}

TEST(HttpEndlessResponse, FreesItsConnectionForTheNextCall) {
  LONGS_EQUAL(HttpOutcome::kBroken, OutcomeOfEndless("", std::string(4096, 'x')));
  Send();
  const size_t index = target.size();
  CHECK(RunUntil(loop, [&] { return target.HasReceived(index, "\r\n\r\n"); }));
  target.connections[index]->Send(
      "HTTP/1.1 200 OK\r\nRequest-Id: mine\r\nContent-Length: 2\r\n\r\nok");
  CHECK(RunUntil(loop, [&] { return outcomes.size() == 2; }));
  LONGS_EQUAL(HttpOutcome::kAnswered, outcomes.back().kind);
}

// Guards against a status that no response may have and that is passed on as one, or is taken for
// that of an interim response, which leaves the call waiting until its timeout.
TEST(HttpBrokenResponse, InvalidStatusIsBroken) {
  for (const char* status : {"000", "001", "099", "600", "999", "1000", "2000", "2x0", "x00", "20",
                             "2", "", "-200", "-1", "+20", " 200", "0x1"}) {
    const std::string line = "HTTP/1.1 " + std::string(status) + " Text\r\n";
    LONGS_EQUAL_TEXT(HttpOutcome::kBroken, OutcomeOf(line + "Content-Length: 0\r\n\r\n"), status);
    LONGS_EQUAL_TEXT(HttpOutcome::kBroken, OutcomeOf(line + "\r\nHTTP/1.1 200 OK\r\n\r\n"), status);
  }
  LONGS_EQUAL(HttpOutcome::kBroken, OutcomeOf("HTTP/1.1\r\nContent-Length: 0\r\n\r\n"));
}

// The connection stays open, so that only the status can end the call.
TEST(HttpBrokenResponse, InvalidStatusEndsTheCallAtOnce) {
  for (const char* status : {"000", "099", "101", "600", "999"}) {
    const size_t index = target.size();
    const size_t before = outcomes.size();
    Send();
    WaitForRequest(index);
    target.connections[index]->Send("HTTP/1.1 " + std::string(status) +
                                    " Text\r\nContent-Length: 7\r\n\r\n");
    RunFor(loop, std::chrono::milliseconds(50));
    LONGS_EQUAL_TEXT(before + 1, outcomes.size(), status);
    LONGS_EQUAL_TEXT(HttpOutcome::kBroken, outcomes.back().kind, status);
  }
}

TEST(HttpBrokenResponse, EveryFinalStatusOfTheStandardIsAnswered) {
  for (const int status : {200, 204, 299, 304, 399, 404, 451, 499, 500, 599}) {
    LONGS_EQUAL(HttpOutcome::kAnswered, OutcomeOf("HTTP/1.1 " + std::to_string(status) +
                                                  " Text\r\nContent-Length: 0\r\n"
                                                  "\r\n"));
    LONGS_EQUAL(status, outcomes.back().response.status);
  }
}
