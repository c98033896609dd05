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
using endivecleat::test::CountOccurrences;
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

  void CheckRejected(const std::string& bytes, int status) {
    RawConnection client(loop, server.address());
    client.Send(bytes);
    CHECK(RunUntil(loop, [&] { return client.closed_by_peer; }));
    const std::string expected = "HTTP/1.1 " + std::to_string(status) + " ";
    STRCMP_EQUAL(expected.c_str(), client.received.substr(0, expected.size()).c_str());
    LONGS_EQUAL(1, CountOccurrences(client.received, "HTTP/1.1 "));
    LONGS_EQUAL(0, requests.size());
  }

  void CheckStillServes() {
    RawConnection client(loop, server.address());
    client.Send("GET /alive HTTP/1.1\r\nHost: h\r\n\r\n");
    CHECK(RunUntil(loop, [&] { return client.received.ends_with("served"); }));
  }
};

TEST(HttpMalformed, MalformedRequestLineOrHeaderFieldIsRejected) {
  CheckRejected("\x01\x02\xff garbage\r\n\r\n", 400);
  CheckRejected("GET\r\n\r\n", 400);
  CheckRejected("GET / HTTP/9.x\r\nHost: h\r\n\r\n", 400);
  CheckRejected("GET / HTTP/1.1\r\nHost h\r\n\r\n", 400);
  CheckRejected("GET / HTTP/1.1\r\nHost : h\r\n\r\n", 400);
  CheckRejected("GET relative HTTP/1.1\r\nHost: h\r\n\r\n", 400);
}

TEST(HttpMalformed, MissingOrDuplicateHostIsRejected) {
  CheckRejected("GET / HTTP/1.1\r\n\r\n", 400);
  CheckRejected("GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", 400);
}

TEST(HttpMalformed, OversizedHeaderIsRejected) {
  CheckRejected("GET / HTTP/1.1\r\nHost: h\r\nX: " + std::string(5000, 'x') + "\r\n\r\n", 431);
  CheckRejected("GET /" + std::string(5000, 'x') + " HTTP/1.1\r\nHost: h\r\n\r\n", 431);
  std::string many = "GET / HTTP/1.1\r\nHost: h\r\n";
  for (int i = 0; i < 500; ++i) {
    many += "X-" + std::to_string(i) + ": value\r\n";
  }
  CheckRejected(many + "\r\n", 431);
}

TEST(HttpMalformed, OversizedHeaderInSmallWritesIsRejected) {
  RawConnection client(loop, server.address());
  client.Send("GET / HTTP/1.1\r\nHost: h\r\n");
  for (int i = 0; i < 500 && !client.closed_by_peer; ++i) {
    client.Send("X-" + std::to_string(i) + ": value\r\n");
    RunFor(loop, std::chrono::microseconds(100));
  }
  CHECK(RunUntil(loop, [&] { return client.closed_by_peer; }));
  LONGS_EQUAL(1, CountOccurrences(client.received, "HTTP/1.1 431 "));
}

// Each piece completes a field and begins the name of the next one: a parser that grants each piece
// the whole limit accepts fields without an end.
TEST(HttpMalformed, OversizedHeaderInPiecesThatBeginTheNextFieldIsRejected) {
  RawConnection client(loop, server.address());
  client.Send("GET / HTTP/1.1\r\nHost: h\r\nX");
  for (int i = 0; i < 1000 && !client.closed_by_peer; ++i) {
    client.Send("-" + std::to_string(i) + ": value\r\nX");
    RunFor(loop, std::chrono::microseconds(100));
  }
  CHECK(RunUntil(loop, [&] { return client.closed_by_peer; }));
  LONGS_EQUAL(1, CountOccurrences(client.received, "HTTP/1.1 431 "));
  LONGS_EQUAL(0, requests.size());
}

TEST(HttpMalformed, HeaderOfExactlyTheLimitIsAcceptedAndOneByteMoreIsRejected) {
  const std::string start = "GET / HTTP/1.1\r\nHost: h\r\nX: ";
  const size_t padding = limits.message.header.value() - start.size() - 4;
  RawConnection client(loop, server.address());
  client.Send(start + std::string(padding, 'x') + "\r\n\r\n");
  CHECK(RunUntil(loop, [&] { return client.received.ends_with("served"); }));
  requests.clear();
  CheckRejected(start + std::string(padding + 1, 'x') + "\r\n\r\n", 431);
}

TEST(HttpMalformed, InvalidContentLengthIsRejected) {
  for (const char* length : {"abc", "-1", "+5", "1 2", "5,6", "99999999999999999999", ""}) {
    CheckRejected(
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::string(length) + "\r\n\r\nhello",
        400);
  }
  CheckRejected("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello",
                400);
}

TEST(HttpMalformed, ContentLengthWithChunkedCodingIsRejected) {
  CheckRejected(
      "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n"
      "0\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n",
      400);
}

TEST(HttpMalformed, PostWithoutLengthIsRejected) {
  CheckRejected("POST / HTTP/1.1\r\nHost: h\r\n\r\n", 411);
}

TEST(HttpMalformed, BodyBeyondTheLimitIsRejected) {
  CheckRejected("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1001\r\n\r\n", 413);
  std::string chunked = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (int i = 0; i < 20; ++i) {
    chunked += "64\r\n" + std::string(100, 'x') + "\r\n";
  }
  CheckRejected(chunked + "0\r\n\r\n", 413);
}

TEST(HttpMalformed, InvalidChunksAreRejected) {
  const std::string head = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
  CheckRejected(head + "zz\r\nhello\r\n", 400);
  CheckRejected(head + "2\r\nhello\r\n0\r\n\r\n", 400);
  CheckRejected(head + "ffffffffffffffffff\r\nhello\r\n", 400);
}

TEST(HttpMalformed, UnsupportedMethodOrTransferCodingIsRejected) {
  CheckRejected("BREW / HTTP/1.1\r\nHost: h\r\n\r\n", 501);
  CheckRejected("CONNECT h:80 HTTP/1.1\r\nHost: h\r\n\r\n", 501);
  CheckRejected("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip\r\n\r\nhello", 501);
  CheckRejected("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
                501);
}

TEST(HttpMalformed, TruncatedBodyReachesNoHandler) {
  RawConnection client(loop, server.address());
  client.Send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nhello");
  client.CloseAfterSending();
  CHECK(RunUntil(loop, [&] { return server.connections() == 0; }));
  LONGS_EQUAL(0, requests.size());
  CheckStillServes();
}

TEST(HttpMalformed, MalformedPipelinedRequestClosesTheConnection) {
  RawConnection client(loop, server.address());
  client.Send(
      "GET /good HTTP/1.1\r\nHost: h\r\n\r\nnonsense\r\n\r\nGET /after HTTP/1.1\r\nHost: h\r\n"
      "\r\n");
  CHECK(RunUntil(loop, [&] { return client.closed_by_peer; }));
  LONGS_EQUAL(1, requests.size());
  LONGS_EQUAL(1, CountOccurrences(client.received, "HTTP/1.1 200"));
  LONGS_EQUAL(1, CountOccurrences(client.received, "HTTP/1.1 400"));
}

TEST(HttpMalformed, RequestSentByteByByteIsDeliveredOnce) {
  RawConnection client(loop, server.address());
  const std::string text =
      "POST /slow HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
      "5;ext=1\r\nhello\r\n0\r\nTrailer: t\r\n\r\n";
  for (const char character : text) {
    client.Send(std::string(1, character));
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
      const size_t position = random.Below(mutated.size());
      if (random.Chance(30)) {
        mutated.erase(position, random.Below(6));
      } else {
        mutated[position] = static_cast<char>(random.Below(256));
      }
      mutated += " ";
    }
    RawConnection client(loop, server.address());
    client.Send(mutated);
    client.CloseAfterSending();
    RunFor(loop, std::chrono::microseconds(300));
  }
  CheckStillServes();
}
