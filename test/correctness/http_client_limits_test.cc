// Tests the limits of HttpServer on its clients over real sockets. Guards against a head or a body
// that is received without a time limit, against a refusal of heads and of chunked bodies of legal
// size, and against requests behind a rejected one that are read.
#include <CppUTest/TestHarness.h>

#include <deque>
#include <memory>
#include <string>

#include "http_server.h"
#include "network_fixture.h"

using namespace endivecleat;        // NOLINT(google-build-using-namespace)
using namespace endivecleat::test;  // NOLINT(google-build-using-namespace)

namespace {

constexpr size_t kPublishedHeadBytes = 16384;

HttpServerLimits Limits() {
  HttpServerLimits limits;
  limits.transfer_timeout = std::chrono::milliseconds(400);
  limits.ingress = std::make_shared<IngressBudget>(IngressLimits{
      .bytes = ByteCount(1U << 20U), .connections = 4, .body_bytes_per_second = 10'000});
  return limits;
}

/// A request head of this many bytes with its empty line.
std::string HeadOf(size_t bytes) {
  const std::string start = "GET / HTTP/1.1\r\nHost: h\r\nX: ";
  return start + std::string(bytes - start.size() - 4, 'x') + "\r\n\r\n";
}

}  // namespace

TEST_GROUP(HttpClientLimits) {
  EventLoop loop;
  std::deque<HttpRequest> requests;
  HttpServerLimits limits = Limits();
  HttpServer server{loop, kAnyLocalPort, limits,
                    [this](HttpRequest request, const ResponseSink& sink) {
                      requests.push_back(std::move(request));
                      sink.Send({200, {}, "served"});
                    }};

  void RequireStatus(const std::string& bytes, int status) {
    RawConnection client(loop, server.address());
    client.Send(bytes);
    const std::string expected = "HTTP/1.1 " + std::to_string(status) + " ";
    CHECK(RunUntil(loop, [&] { return client.received.starts_with(expected); }));
  }
};

TEST(HttpClientLimits, HeadOfThePublishedSizeIsServedAndALargerOneRejected) {
  server.SetHeaderLimits(ByteCount(kPublishedHeadBytes), {});
  RequireStatus(HeadOf(kPublishedHeadBytes), 200);
  RequireStatus(HeadOf(kPublishedHeadBytes + 1000), 431);
  LONGS_EQUAL(1, limits.ingress->refused(IngressLimit::kHeaderBytes));
  server.SetHeaderLimits({}, {});
  RequireStatus(HeadOf(kPublishedHeadBytes + 1000), 200);
}

TEST(HttpClientLimits, HeadWithoutEndIsRejectedInTime) {
  server.SetHeaderLimits({}, std::chrono::milliseconds(200));
  RequireStatus("GET / HTTP/1.1\r\nHost: h\r\n", 408);
  LONGS_EQUAL(1, limits.ingress->refused(IngressLimit::kHeaderTimeout));
}

TEST(HttpClientLimits, BodyThatStopsIsRejectedInTime) {
  RequireStatus("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n123456789", 408);
  LONGS_EQUAL(1, limits.ingress->refused(IngressLimit::kBodyRate));
  CHECK(requests.empty());
}

TEST(HttpClientLimits, BodyThatIsTooSlowIsRejected) {
  RawConnection client(loop, server.address());
  client.Send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n");
  for (int byte = 0; byte < 200 && client.received.empty(); ++byte) {
    client.Send("b");
    RunFor(loop, std::chrono::milliseconds(10));
  }
  CHECK(client.received.starts_with("HTTP/1.1 408 "));
}

TEST(HttpClientLimits, EmptyLinesAreAcceptedUpToANumber) {
  std::string lines;
  for (int line = 0; line < 64; ++line) {
    lines += "\r\n";
  }
  RequireStatus(lines + "GET / HTTP/1.1\r\nHost: h\r\n\r\n", 200);
  RequireStatus(lines + "\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n", 400);
  LONGS_EQUAL(1, limits.ingress->refused(IngressLimit::kEmptyLines));
}

TEST(HttpClientLimits, ChunksOfOneByteAreServedAndExtensionsWithoutEndAreNot) {
  const std::string head = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
  std::string small;
  for (int chunk = 0; chunk < 50'000; ++chunk) {
    small += "1\r\nc\r\n";
  }
  RequireStatus(head + small + "0\r\n\r\n", 200);
  LONGS_EQUAL(50'000, requests.back().body.size());
  std::string extended;
  for (int chunk = 0; chunk < 100; ++chunk) {
    extended += "1;x=" + std::string(10'000, 'x') + "\r\nc\r\n";
  }
  RequireStatus(head + extended, 400);
  LONGS_EQUAL(1, requests.size());
}

TEST(HttpClientLimits, BodiesBeyondTheBudgetAreRefusedBeforeTheyRun) {
  const std::string body =
      "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 600001\r\n\r\n" + std::string(600'000, 'b');
  RawConnection one(loop, server.address());
  one.Send(body);
  RawConnection two(loop, server.address());
  two.Send(body);
  const auto refused = [](const RawConnection& client) {
    return client.received.starts_with("HTTP/1.1 503 ");
  };
  CHECK(RunUntil(loop, [&] { return refused(one) || refused(two); }));
  const RawConnection& client = refused(one) ? one : two;
  CHECK(client.received.find("Connection: close") != std::string::npos);
  CHECK(requests.empty());
  RequireStatus("GET / HTTP/1.1\r\nHost: h\r\n\r\n", 200);
}

TEST(HttpClientLimits, NewConnectionIsServedWhenOthersIdle) {
  std::deque<std::unique_ptr<RawConnection>> idle;
  for (int count = 0; count < 4; ++count) {
    idle.push_back(std::make_unique<RawConnection>(loop, server.address()));
  }
  CHECK(RunUntil(loop, [&] { return server.connections() == 4; }));
  RequireStatus("GET / HTTP/1.1\r\nHost: h\r\n\r\n", 200);
  LONGS_EQUAL(1, limits.ingress->refused(IngressLimit::kConnections));
}
