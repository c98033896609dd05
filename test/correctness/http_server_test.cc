// Tests of HttpServer, and of the timers and posted tasks of EventLoop. They guard against requests
// that reach the handler modified or twice, responses in the wrong order on a pipelined connection,
// a shutdown that aborts a request in flight, and timers or tasks that run wrongly or not at all.
#include "http_server.h"

#include <CppUTest/TestHarness.h>

#include <atomic>
#include <deque>
#include <stdexcept>
#include <thread>
#include <vector>

#include "network_fixture.h"

using endivecleat::ByteCount;
using endivecleat::EventLoop;
using endivecleat::HttpClient;
using endivecleat::HttpOutcome;
using endivecleat::HttpRequest;
using endivecleat::HttpServer;
using endivecleat::HttpServerLimits;
using endivecleat::ResponseSink;
using endivecleat::test::Call;
using endivecleat::test::CountOccurrences;
using endivecleat::test::kAnyLocalPort;
using endivecleat::test::kLongTimeout;
using endivecleat::test::RawConnection;
using endivecleat::test::RunUntil;

TEST_GROUP(HttpServerServing) {
  EventLoop loop;
  std::deque<HttpRequest> requests;
  std::deque<ResponseSink> sinks;
  HttpServer server{loop, kAnyLocalPort, HttpServerLimits{},
                    [this](HttpRequest request, const ResponseSink& sink) {
                      requests.push_back(std::move(request));
                      sinks.push_back(sink);
                    }};

  void WaitForRequests(size_t count) {
    CHECK(RunUntil(loop, [&] { return requests.size() >= count; }));
  }

  void WaitForText(const RawConnection& connection, const std::string& text) {
    CHECK(RunUntil(loop, [&] { return connection.received.find(text) != std::string::npos; }));
  }
};

TEST(HttpServerServing, DeliversTheRequestUnchanged) {
  RawConnection client(loop, server.address());
  client.Send(
      "POST /a%2Fb//c/../d?x=1&y=%20z HTTP/1.1\r\nHost: bins\r\nX-Unknown-Field: kept\r\n"
      "IDEMPOTENCY-KEY: k1\r\nCookie: a=b\r\nCookie: c=d\r\nContent-Length: 5\r\n\r\nhello");
  WaitForRequests(1);
  const HttpRequest& request = requests[0];
  STRCMP_EQUAL("POST", request.method.c_str());
  STRCMP_EQUAL("/a%2Fb//c/../d", request.path.c_str());
  STRCMP_EQUAL("x=1&y=%20z", request.query.c_str());
  STRCMP_EQUAL("hello", request.body.c_str());
  STRCMP_EQUAL("127.0.0.1", request.peer_ip.c_str());
  STRCMP_EQUAL("kept", request.headers.ValueOr("x-unknown-field", "").c_str());
  STRCMP_EQUAL("k1", request.headers.ValueOr("Idempotency-Key", "").c_str());
  LONGS_EQUAL(6, request.headers.size());
}

TEST(HttpServerServing, ReadsAChunkedBody) {
  RawConnection client(loop, server.address());
  client.Send(
      "POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
      "3\r\nabc\r\nA\r\n0123456789\r\n0\r\n\r\n");
  WaitForRequests(1);
  STRCMP_EQUAL("abc0123456789", requests[0].body.c_str());
}

TEST(HttpServerServing, SendsContinueToClientThatExpectsIt) {
  RawConnection client(loop, server.address());
  client.Send("POST /c HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n");
  WaitForText(client, "HTTP/1.1 100 Continue\r\n\r\n");
  client.Send("ok");
  WaitForRequests(1);
  STRCMP_EQUAL("ok", requests[0].body.c_str());
}

TEST(HttpServerServing, ProcessesPipelinedRequestsInOrderOneAtATime) {
  RawConnection client(loop, server.address());
  client.Send(
      "GET /1 HTTP/1.1\r\nHost: h\r\n\r\nPOST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\n"
      "twoGET /3 HTTP/1.1\r\nHost: h\r\n\r\n");
  for (size_t i = 0; i < 3; ++i) {
    WaitForRequests(i + 1);
    LONGS_EQUAL(i + 1, requests.size());
    sinks[i].Send({200, {}, "answer " + requests[i].path});
  }
  WaitForText(client, "answer /3");
  const std::string& text = client.received;
  CHECK(text.find("answer /1") < text.find("answer /2"));
  CHECK(text.find("answer /2") < text.find("answer /3"));
  STRCMP_EQUAL("two", requests[1].body.c_str());
}

TEST(HttpServerServing, RespondsToHeadWithContentLengthAndNoBody) {
  RawConnection client(loop, server.address());
  client.Send("HEAD /h HTTP/1.1\r\nHost: h\r\n\r\nGET /g HTTP/1.1\r\nHost: h\r\n\r\n");
  WaitForRequests(1);
  sinks[0].Send({200, {}, "12345"});
  WaitForRequests(2);
  sinks[1].Send({200, {}, "get"});
  WaitForText(client, "get");
  LONGS_EQUAL(0, CountOccurrences(client.received, "12345"));
  LONGS_EQUAL(1, CountOccurrences(client.received, "Content-Length: 5\r\n"));
}

TEST(HttpServerServing, ClosesConnectionAfterResponseWhenRequested) {
  RawConnection client(loop, server.address());
  client.Send("GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  WaitForRequests(1);
  sinks[0].Send({200, {}, "bye"});
  CHECK(RunUntil(loop, [&] { return client.closed_by_peer; }));
  CHECK(client.received.ends_with("bye"));
}

TEST(HttpServerServing, SendsLargeResponseInFull) {
  HttpClient client(loop, server.address(), 1);
  const std::string body(4U << 20U, 'x');
  HttpOutcome outcome;
  bool done = false;
  client.Send({"GET", "/big", "", {}, "", ""}, kLongTimeout, [&](HttpOutcome result) {
    outcome = std::move(result);
    done = true;
  });
  WaitForRequests(1);
  sinks[0].Send({200, {{"X-Custom", "back"}}, body});
  CHECK(RunUntil(loop, [&] { return done; }));
  LONGS_EQUAL(HttpOutcome::kAnswered, outcome.kind);
  CHECK(outcome.response.body == body);
  STRCMP_EQUAL("back", outcome.response.headers.ValueOr("x-custom", "").c_str());
}

TEST(HttpServerServing, NotifiesHandlerWhenClientDisconnects) {
  bool disconnected = false;
  RawConnection client(loop, server.address());
  client.Send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  WaitForRequests(1);
  LONGS_EQUAL(1, server.in_flight());
  sinks[0].OnDisconnect([&] { disconnected = true; });
  client.Close();
  CHECK(RunUntil(loop, [&] { return disconnected; }));
  CHECK(sinks[0].disconnected());
  LONGS_EQUAL(0, server.in_flight());
  sinks[0].Send({200, {}, "too late"});
}

TEST(HttpServerServing, SendsOnlyTheFirstResponse) {
  RawConnection client(loop, server.address());
  client.Send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  WaitForRequests(1);
  sinks[0].Send({200, {}, "first"});
  sinks[0].Send({200, {}, "second"});
  client.Send("GET /next HTTP/1.1\r\nHost: h\r\n\r\n");
  WaitForRequests(2);
  sinks[0].Send({200, {}, "third"});
  sinks[1].Send({200, {}, "next"});
  WaitForText(client, "next");
  LONGS_EQUAL(1, CountOccurrences(client.received, "first"));
  LONGS_EQUAL(2, CountOccurrences(client.received, "HTTP/1.1 200 OK"));
}

TEST(HttpServerServing, OmitsResponseFieldWithLineBreak) {
  RawConnection client(loop, server.address());
  client.Send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  WaitForRequests(1);
  sinks[0].Send({200, {{"X-Bad", "a\r\nSet-Cookie: stolen"}}, "body"});
  WaitForText(client, "body");
  LONGS_EQUAL(0, CountOccurrences(client.received, "stolen"));
}

TEST(HttpServerServing, StopAcceptingFinishesRequestsInFlightAndClosesIdleConnections) {
  RawConnection idle(loop, server.address());
  RawConnection busy(loop, server.address());
  CHECK(RunUntil(loop, [&] { return server.connections() == 2; }));
  busy.Send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  WaitForRequests(1);
  server.StopAccepting();
  LONGS_EQUAL(1, server.connections());
  LONGS_EQUAL(1, server.in_flight());
  HttpClient late(loop, server.address(), 1);
  LONGS_EQUAL(HttpOutcome::kNotSent, Call(loop, late, {"GET", "/", "", {}, "", ""}).kind);
  sinks[0].Send({200, {}, "finished"});
  CHECK(RunUntil(loop, [&] { return busy.closed_by_peer && idle.closed_by_peer; }));
  CHECK(busy.received.ends_with("finished"));
  LONGS_EQUAL(1, CountOccurrences(busy.received, "Connection: close\r\n"));
  LONGS_EQUAL(0, server.in_flight());
}

TEST(HttpServerServing, StopAcceptingServesRequestThatIsStillInTheReceiveBuffer) {
  RawConnection client(loop, server.address());
  CHECK(RunUntil(loop, [&] { return server.connections() == 1; }));
  const int descriptor = *endivecleat::ConnectTcp(server.address());
  CHECK(RunUntil(loop, [&] { return server.connections() == 2; }));
  const std::string request = "GET /last HTTP/1.1\r\nHost: h\r\n\r\n";
  LONGS_EQUAL(request.size(), write(descriptor, request.data(), request.size()));
  server.StopAccepting();
  LONGS_EQUAL(1, requests.size());
  LONGS_EQUAL(1, server.in_flight());
  close(descriptor);
}

TEST_GROUP(EventLoopRunning) { EventLoop loop; };

TEST(EventLoopRunning, RunsTimersInOrderAndSkipsCancelledOnes) {
  std::vector<int> order;
  loop.RunAfter(std::chrono::milliseconds(3), [&] { order.push_back(2); });
  const auto cancelled = loop.RunAfter(std::chrono::milliseconds(2), [&] { order.push_back(0); });
  loop.RunAfter(std::chrono::microseconds(500), [&] { order.push_back(1); });
  loop.Cancel(cancelled);
  for (int i = 0; i < 20000; ++i) {
    loop.Cancel(loop.RunAfter(std::chrono::seconds(i % 7), [&] { order.push_back(-1); }));
  }
  CHECK(RunUntil(loop, [&] { return order.size() >= 2; }));
  CHECK((order == std::vector<int>{1, 2}));
}

TEST(EventLoopRunning, RunsTasksPostedByAnotherThread) {
  std::atomic<int> count = 0;
  std::thread poster([&] {
    for (int i = 0; i < 1000; ++i) {
      loop.Post([&] { ++count; });
    }
  });
  CHECK(RunUntil(loop, [&] { return count == 1000; }));
  poster.join();
}

TEST(EventLoopRunning, RunRethrowsExceptionOfTask) {
  loop.Post([] { throw std::runtime_error("broken"); });
  CHECK_THROWS(std::runtime_error, loop.Run());
}
