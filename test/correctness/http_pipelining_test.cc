// Tests of pipelined requests that run concurrently. They guard against responses in the wrong
// order, a request that runs beside one that is not idempotent, requests that are read and never
// answered, and requests that run although their connection was closed before them.
#include <CppUTest/TestHarness.h>

#include <deque>
#include <string>
#include <vector>

#include "http_server.h"
#include "network_fixture.h"
#include "seeded_random.h"

using endivecleat::EventLoop;
using endivecleat::HttpRequest;
using endivecleat::HttpServer;
using endivecleat::HttpServerLimits;
using endivecleat::ResponseSink;
using endivecleat::SeededRandom;
using endivecleat::TimePoint;
using endivecleat::test::CountOccurrences;
using endivecleat::test::kAnyLocalPort;
using endivecleat::test::RawConnection;
using endivecleat::test::RunFor;
using endivecleat::test::RunUntil;

namespace {

std::string Get(const std::string& path, const std::string& fields = "") {
  return "GET " + path + " HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n";
}

std::string Post(const std::string& path) {
  return "POST " + path + " HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx";
}

constexpr size_t kMaxRequests = 4;
constexpr size_t kMaxBytes = 4096;
constexpr std::chrono::milliseconds kSettleTime(30);

HttpServerLimits Limits() {
  HttpServerLimits limits;
  limits.concurrent_requests = kMaxRequests;
  limits.concurrent_bytes = kMaxBytes;
  limits.transfer_timeout = std::chrono::milliseconds(100);
  return limits;
}

}  // namespace

TEST_GROUP(HttpPipelining) {
  EventLoop loop;
  std::vector<std::string> paths;
  std::vector<TimePoint> received;
  std::deque<ResponseSink> sinks;
  HttpServer server{loop, kAnyLocalPort, Limits(),
                    [this](const HttpRequest& request, const ResponseSink& sink) {
                      paths.push_back(request.path);
                      received.push_back(request.received_at);
                      sinks.push_back(sink);
                    }};

  void setup() override {
    server.AllowConcurrency([](const HttpRequest& request) { return request.method == "GET"; });
  }

  void WaitForRequests(size_t count) {
    CHECK(RunUntil(loop, [&] { return paths.size() >= count; }));
    LONGS_EQUAL(count, paths.size());
  }

  void WaitForText(const RawConnection& connection, const std::string& text) {
    CHECK(RunUntil(loop, [&] { return connection.received.find(text) != std::string::npos; }));
  }

  /// Sends the path of the request as the response.
  void Answer(size_t index) { sinks[index].Send({200, {}, "<" + paths[index] + ">"}); }

  void CheckOrder(const std::string& text, const std::vector<std::string>& expected) {
    size_t position = 0;
    for (const std::string& path : expected) {
      position = text.find("<" + path + ">", position);
      CHECK(position != std::string::npos);
    }
  }
};

TEST(HttpPipelining, RunsIdempotentRequestsTogetherAndAnswersInOrder) {
  RawConnection client(loop, server.address());
  client.Send(Get("/1") + Get("/2") + Get("/3"));
  WaitForRequests(3);
  LONGS_EQUAL(3, server.in_flight());
  Answer(2);
  Answer(1);
  RunFor(loop, kSettleTime);
  CHECK(client.received.empty());
  LONGS_EQUAL(3, server.in_flight());
  Answer(0);
  WaitForText(client, "</3>");
  CheckOrder(client.received, {"/1", "/2", "/3"});
  LONGS_EQUAL(0, server.in_flight());
  LONGS_EQUAL(2, server.pipelining().concurrent);
}

TEST(HttpPipelining, RequestThatIsNotIdempotentWaitsAndHoldsUpThoseBehind) {
  RawConnection client(loop, server.address());
  client.Send(Get("/1") + Get("/2") + Post("/3") + Get("/4"));
  WaitForRequests(2);
  RunFor(loop, kSettleTime);
  LONGS_EQUAL(2, paths.size());
  LONGS_EQUAL(3, server.in_flight());
  Answer(0);
  RunFor(loop, kSettleTime);
  LONGS_EQUAL(2, paths.size());
  Answer(1);
  WaitForRequests(3);
  RunFor(loop, kSettleTime);
  LONGS_EQUAL(3, paths.size());
  Answer(2);
  WaitForRequests(4);
  Answer(3);
  WaitForText(client, "</4>");
  CheckOrder(client.received, {"/1", "/2", "/3", "/4"});
  LONGS_EQUAL(1, server.pipelining().waited);
}

TEST(HttpPipelining, LimitsTheNumberOfRequestsOfAConnection) {
  RawConnection client(loop, server.address());
  std::string requests;
  for (size_t i = 0; i < kMaxRequests + 2; ++i) {
    requests += Get("/" + std::to_string(i));
  }
  client.Send(requests);
  WaitForRequests(kMaxRequests);
  RunFor(loop, kSettleTime);
  LONGS_EQUAL(kMaxRequests, paths.size());
  Answer(0);
  WaitForRequests(kMaxRequests + 1);
}

TEST(HttpPipelining, LimitsTheBytesOfRequestsAndWaitingResponses) {
  RawConnection client(loop, server.address());
  client.Send(Get("/1", "X: " + std::string(kMaxBytes, 'x') + "\r\n") + Get("/2"));
  WaitForRequests(1);
  RunFor(loop, kSettleTime);
  LONGS_EQUAL(1, paths.size());
  Answer(0);
  WaitForRequests(2);
  client.Send(Get("/3"));
  WaitForRequests(3);
  sinks[2].Send({200, {}, std::string(kMaxBytes, 'y')});
  client.Send(Get("/4"));
  RunFor(loop, kSettleTime);
  LONGS_EQUAL(3, paths.size());
  Answer(1);
  WaitForRequests(4);
}

TEST(HttpPipelining, RequestBehindOneThatClosesTheConnectionIsNotRead) {
  RawConnection client(loop, server.address());
  client.Send(Get("/1") + Get("/2", "Connection: close\r\n") + Get("/3"));
  WaitForRequests(2);
  Answer(1);
  Answer(0);
  CHECK(RunUntil(loop, [&] { return client.closed_by_peer; }));
  CheckOrder(client.received, {"/1", "/2"});
  LONGS_EQUAL(2, paths.size());
  LONGS_EQUAL(0, server.in_flight());
}

TEST(HttpPipelining, MalformedRequestIsRejectedAfterTheResponsesBeforeIt) {
  RawConnection client(loop, server.address());
  client.Send(Get("/1") + "NONSENSE\r\n\r\n" + Get("/3"));
  WaitForRequests(1);
  RunFor(loop, kSettleTime);
  CHECK(client.received.empty());
  Answer(0);
  CHECK(RunUntil(loop, [&] { return client.closed_by_peer; }));
  CHECK(client.received.find("</1>") < client.received.find("HTTP/1.1 400 "));
  CHECK(client.received.find("HTTP/1.1 400 ") != std::string::npos);
  LONGS_EQUAL(1, paths.size());
}

TEST(HttpPipelining, RequestThatStopsHalfwayIsRejectedAfterTheResponsesBeforeIt) {
  RawConnection client(loop, server.address());
  client.Send(Get("/1") + "GET /2 HTTP/1.1\r\nHo");
  WaitForRequests(1);
  RunFor(loop, std::chrono::milliseconds(300));
  CHECK(client.received.empty());
  Answer(0);
  CHECK(RunUntil(loop, [&] { return client.closed_by_peer; }));
  CHECK(client.received.find("</1>") < client.received.find("HTTP/1.1 408 "));
  CHECK(client.received.find("HTTP/1.1 408 ") != std::string::npos);
}

TEST(HttpPipelining, ContinueFollowsTheResponsesBeforeIt) {
  RawConnection client(loop, server.address());
  client.Send(Get("/1") +
              "POST /2 HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\n");
  WaitForRequests(1);
  RunFor(loop, std::chrono::milliseconds(300));
  CHECK(client.received.empty());
  Answer(0);
  WaitForText(client, "100 Continue");
  CHECK(client.received.find("</1>") < client.received.find("100 Continue"));
  client.Send("x");
  WaitForRequests(2);
  Answer(1);
  WaitForText(client, "</2>");
}

TEST(HttpPipelining, ClosingTheConnectionCancelsAllItsRequests) {
  auto client = std::make_unique<RawConnection>(loop, server.address());
  client->Send(Get("/1") + Get("/2") + Get("/3") + Post("/4"));
  WaitForRequests(3);
  Answer(1);
  int cancelled = 0;
  sinks[0].OnDisconnect([&] { ++cancelled; });
  sinks[1].OnDisconnect([&] { ++cancelled; });
  sinks[2].OnDisconnect([&] { ++cancelled; });
  client->Close();
  CHECK(RunUntil(loop, [&] { return server.connections() == 0; }));
  LONGS_EQUAL(2, cancelled);
  LONGS_EQUAL(0, server.in_flight());
  LONGS_EQUAL(3, paths.size());
  Answer(0);
}

TEST(HttpPipelining, DrainingServerAnswersWhatItHasRead) {
  RawConnection client(loop, server.address());
  client.Send(Get("/1") + Get("/2") + Post("/3") + Get("/4"));
  WaitForRequests(2);
  server.DisableKeepAlive();
  server.StopAccepting();
  Answer(0);
  Answer(1);
  WaitForRequests(3);
  Answer(2);
  CHECK(RunUntil(loop, [&] { return client.closed_by_peer; }));
  CheckOrder(client.received, {"/1", "/2", "/3"});
  LONGS_EQUAL(1, CountOccurrences(client.received, "Connection: close\r\n"));
  LONGS_EQUAL(3, paths.size());
  LONGS_EQUAL(0, server.in_flight());
}

TEST(HttpPipelining, TimeBehindAnotherRequestCounts) {
  RawConnection client(loop, server.address());
  client.Send(Post("/1"));
  WaitForRequests(1);
  client.Send(Get("/2"));
  RunFor(loop, kSettleTime);
  const TimePoint later = loop.now();
  client.Send(Get("/3"));
  RunFor(loop, kSettleTime);
  Answer(0);
  WaitForRequests(3);
  CHECK(received[1] < later);
  CHECK(received[2] >= later);
  CHECK(received[2] < loop.now() - kSettleTime / 2);
}

// Random requests in random pieces, with responses in random order: guards against a lost or
// repeated request, a wrong order of responses, and a request that runs beside one that is not
// idempotent.
TEST(HttpPipelining, AnswersRandomSequencesInOrder) {
  constexpr uint64_t kSeeds = 200;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    SeededRandom random(seed);
    paths.clear();
    sinks.clear();
    RawConnection client(loop, server.address());
    const size_t count = 1 + random.Below(12);
    std::string bytes;
    std::vector<std::string> expected;
    for (size_t i = 0; i < count; ++i) {
      const bool idempotent = random.Below(3) > 0;
      expected.push_back((idempotent ? "/g" : "/p") + std::to_string(i));
      bytes += idempotent ? Get(expected.back()) : Post(expected.back());
    }
    std::vector<size_t> open;
    size_t seen = 0;
    size_t sent = 0;
    size_t answered = 0;
    while (answered < count) {
      if (sent < bytes.size()) {
        const size_t piece = std::min<size_t>(1 + random.Below(120), bytes.size() - sent);
        client.Send(bytes.substr(sent, piece));
        sent += piece;
      }
      RunFor(loop, std::chrono::microseconds(200));
      for (; seen < paths.size(); ++seen) {
        STRCMP_EQUAL(expected[seen].c_str(), paths[seen].c_str());
        open.push_back(seen);
      }
      const bool exclusive =
          std::any_of(open.begin(), open.end(), [&](size_t each) { return paths[each][1] == 'p'; });
      CHECK(!exclusive || open.size() == 1);
      if (!open.empty() && random.Below(2) == 0) {
        const size_t chosen = random.Below(open.size());
        Answer(open[chosen]);
        open.erase(open.begin() + static_cast<std::ptrdiff_t>(chosen));
        ++answered;
      }
    }
    WaitForText(client, "<" + expected.back() + ">");
    CheckOrder(client.received, expected);
    LONGS_EQUAL(count, CountOccurrences(client.received, "HTTP/1.1 200 OK"));
    LONGS_EQUAL(0, server.in_flight());
    client.Close();
    CHECK(RunUntil(loop, [&] { return server.connections() == 0; }));
  }
}
