// Sends malformed, oversized and truncated requests to HttpServer. Guards against requests that
// crash the server, that reach a handler although they are malformed, or whose body is parsed as
// another request (request smuggling).
#include <CppUTest/TestHarness.h>

#include <deque>

#include "http_server.h"
#include "network_fixture.h"
#include "seeded_random.h"

using endivecleat::ByteCount;
using endivecleat::EventLoop;
using endivecleat::HttpRequest;
using endivecleat::HttpServer;
using endivecleat::HttpServerLimits;
using endivecleat::ResponseSink;
using endivecleat::SeededRandom;
using endivecleat::test::CountOf;
using endivecleat::test::kAnyLocalPort;
using endivecleat::test::RawConnection;
using endivecleat::test::RunFor;
using endivecleat::test::RunUntil;

TEST_GROUP(HttpMalformed) {
  EventLoop loop;
  std::deque<HttpRequest> requests;
  HttpServerLimits limits{.message = {.body = ByteCount(1000), .header = ByteCount(4096)}};
  HttpServer server{loop, kAnyLocalPort, limits,
                    [this](HttpRequest request, const ResponseSink& sink) {
                      requests.push_back(std::move(request));
                      sink.Send({200, {}, "served"});
                    }};

  void CheckRefused(const std::string& bytes, int status) {
    RawConnection caller(loop, server.address());
    caller.Send(bytes);
    CHECK(RunUntil(loop, [&] { return caller.ended; }));
    const std::string expected = "HTTP/1.1 " + std::to_string(status) + " ";
    STRCMP_EQUAL(expected.c_str(), caller.received.substr(0, expected.size()).c_str());
    LONGS_EQUAL(1, CountOf(caller.received, "HTTP/1.1 "));
    LONGS_EQUAL(0, requests.size());
  }

  void CheckStillServes() {
    RawConnection caller(loop, server.address());
    caller.Send("GET /alive HTTP/1.1\r\nHost: h\r\n\r\n");
    CHECK(RunUntil(loop, [&] { return caller.received.ends_with("served"); }));
  }
};

TEST(HttpMalformed, Garbage) {
  CheckRefused("\x01\x02\xff garbage\r\n\r\n", 400);
  CheckRefused("GET\r\n\r\n", 400);
  CheckRefused("GET / HTTP/9.x\r\nHost: h\r\n\r\n", 400);
  CheckRefused("GET / HTTP/1.1\r\nHost h\r\n\r\n", 400);
  CheckRefused("GET / HTTP/1.1\r\nHost : h\r\n\r\n", 400);
  CheckRefused("GET relative HTTP/1.1\r\nHost: h\r\n\r\n", 400);
}

TEST(HttpMalformed, MissingOrDoubleHost) {
  CheckRefused("GET / HTTP/1.1\r\n\r\n", 400);
  CheckRefused("GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", 400);
}

TEST(HttpMalformed, OversizedHeaders) {
  CheckRefused("GET / HTTP/1.1\r\nHost: h\r\nX: " + std::string(5000, 'x') + "\r\n\r\n", 431);
  CheckRefused("GET /" + std::string(5000, 'x') + " HTTP/1.1\r\nHost: h\r\n\r\n", 431);
  std::string many = "GET / HTTP/1.1\r\nHost: h\r\n";
  for (int i = 0; i < 500; ++i) {
    many += "X-" + std::to_string(i) + ": value\r\n";
  }
  CheckRefused(many + "\r\n", 431);
}

TEST(HttpMalformed, OversizedHeaderInSmallPieces) {
  RawConnection caller(loop, server.address());
  caller.Send("GET / HTTP/1.1\r\nHost: h\r\n");
  for (int i = 0; i < 500 && !caller.ended; ++i) {
    caller.Send("X-" + std::to_string(i) + ": value\r\n");
    RunFor(loop, std::chrono::microseconds(100));
  }
  CHECK(RunUntil(loop, [&] { return caller.ended; }));
  LONGS_EQUAL(1, CountOf(caller.received, "HTTP/1.1 431 "));
}

TEST(HttpMalformed, BadContentLength) {
  for (const char* length : {"abc", "-1", "+5", "1 2", "5,6", "99999999999999999999", ""}) {
    CheckRefused(
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::string(length) + "\r\n\r\nhello",
        400);
  }
  CheckRefused("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello",
               400);
}

TEST(HttpMalformed, BothContentLengthAndChunked) {
  CheckRefused(
      "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n"
      "0\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n",
      400);
}

TEST(HttpMalformed, BodyWithoutLength) { CheckRefused("POST / HTTP/1.1\r\nHost: h\r\n\r\n", 411); }

TEST(HttpMalformed, BodyBeyondTheLimit) {
  CheckRefused("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1001\r\n\r\n", 413);
  std::string chunked = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (int i = 0; i < 20; ++i) {
    chunked += "64\r\n" + std::string(100, 'x') + "\r\n";
  }
  CheckRefused(chunked + "0\r\n\r\n", 413);
}

TEST(HttpMalformed, BadChunks) {
  const std::string head = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
  CheckRefused(head + "zz\r\nhello\r\n", 400);
  CheckRefused(head + "2\r\nhello\r\n0\r\n\r\n", 400);
  CheckRefused(head + "ffffffffffffffffff\r\nhello\r\n", 400);
}

TEST(HttpMalformed, UnknownMethodOrCoding) {
  CheckRefused("BREW / HTTP/1.1\r\nHost: h\r\n\r\n", 501);
  CheckRefused("CONNECT h:80 HTTP/1.1\r\nHost: h\r\n\r\n", 501);
  CheckRefused("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip\r\n\r\nhello", 501);
  CheckRefused("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
               501);
}

TEST(HttpMalformed, TruncatedBodyReachesNoHandler) {
  RawConnection caller(loop, server.address());
  caller.Send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nhello");
  caller.CloseAfterSending();
  CHECK(RunUntil(loop, [&] { return server.connections() == 0; }));
  LONGS_EQUAL(0, requests.size());
  CheckStillServes();
}

TEST(HttpMalformed, BadRequestBehindAGoodOneEndsThePipeline) {
  RawConnection caller(loop, server.address());
  caller.Send(
      "GET /good HTTP/1.1\r\nHost: h\r\n\r\nnonsense\r\n\r\nGET /after HTTP/1.1\r\nHost: h\r\n"
      "\r\n");
  CHECK(RunUntil(loop, [&] { return caller.ended; }));
  LONGS_EQUAL(1, requests.size());
  LONGS_EQUAL(1, CountOf(caller.received, "HTTP/1.1 200"));
  LONGS_EQUAL(1, CountOf(caller.received, "HTTP/1.1 400"));
}

TEST(HttpMalformed, RequestInSingleBytesIsReadAsOne) {
  RawConnection caller(loop, server.address());
  const std::string text =
      "POST /slow HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
      "5;ext=1\r\nhello\r\n0\r\nTrailer: t\r\n\r\n";
  for (const char each : text) {
    caller.Send(std::string(1, each));
    RunFor(loop, std::chrono::microseconds(100));
  }
  CHECK(RunUntil(loop, [&] { return requests.size() == 1; }));
  STRCMP_EQUAL("hello", requests[0].body.c_str());
}

// Random mutations of a valid request, generated from a fixed seed.
TEST(HttpMalformed, MutatedRequestsNeverStopTheServer) {
  SeededRandom random(7);
  const std::string valid =
      "POST /p?q=1 HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nConnection: close\r\n\r\nhello";
  for (int round = 0; round < 300; ++round) {
    std::string mutated = valid;
    for (uint64_t i = 0; i <= random.Below(4); ++i) {
      const size_t at = random.Below(mutated.size());
      if (random.Chance(30)) {
        mutated.erase(at, random.Below(6));
      } else {
        mutated[at] = static_cast<char>(random.Below(256));
      }
      mutated += " ";
    }
    RawConnection caller(loop, server.address());
    caller.Send(mutated);
    caller.CloseAfterSending();
    RunFor(loop, std::chrono::microseconds(300));
  }
  CheckStillServes();
}
