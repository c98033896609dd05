// Tests of request bodies that are passed on while they arrive: from HttpServer through PeerNetwork
// to HttpClient and a target, over real sockets. They guard against bodies that are changed, held
// in memory as a whole, sent twice, or mixed with the next request, and against slots and
// connections that a body keeps after it has stopped.
#include <CppUTest/TestHarness.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "http_client.h"
#include "http_server.h"
#include "loopback.h"
#include "network_fixture.h"
#include "peer_network.h"
#include "seeded_random.h"
#include "whole_body.h"

using endivecleat::BodyStream;
using endivecleat::Duration;
using endivecleat::EventLoop;
using endivecleat::HttpClient;
using endivecleat::HttpOutcome;
using endivecleat::HttpRequest;
using endivecleat::HttpServer;
using endivecleat::HttpServerLimits;
using endivecleat::PeerChannel;
using endivecleat::PeerHandlers;
using endivecleat::PeerNetwork;
using endivecleat::PeerOutcome;
using endivecleat::PeerRequestId;
using endivecleat::PeerResponder;
using endivecleat::ResponseSink;
using endivecleat::SeededRandom;
using endivecleat::test::kAnyLocalPort;
using endivecleat::test::kLongTimeout;
using endivecleat::test::RawConnection;
using endivecleat::test::RawListener;
using endivecleat::test::RunFor;
using endivecleat::test::RunUntil;

namespace {

constexpr size_t kBodyBytes = 3U << 20U;
constexpr Duration kStallTimeout = std::chrono::milliseconds(200);
constexpr std::chrono::milliseconds kSettleTime(50);
constexpr char kOk[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

std::string RandomText(uint64_t seed, size_t size) {
  SeededRandom random(seed);
  std::string text(size, '\0');
  for (char& each : text) {
    each = static_cast<char>('a' + random.Below(26));
  }
  return text;
}

std::string Head(const std::string& path, size_t length, const std::string& fields = "") {
  return "PUT " + path + " HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(length) +
         "\r\n" + fields + "\r\n";
}

HttpServerLimits Limits() {
  HttpServerLimits limits;
  limits.message.body = endivecleat::ByteCount(100U << 10U);
  limits.message.streamed_body = endivecleat::ByteCount(32U << 20U);
  limits.body_timeout = kStallTimeout;
  limits.transfer_timeout = std::chrono::milliseconds(200);
  return limits;
}

}  // namespace

/// A caller's process (server and first network), the target's process (second network and client)
/// and the target, in one loop. Paths that begin with /up are streamed.
TEST_GROUP(Upload) {
  EventLoop loop;
  RawListener target{loop};
  HttpClient client{loop, target.address(), 2};
  HttpClient* use_client = &client;
  bool target_refuses = false;
  int attempts = 0;
  std::optional<HttpOutcome> outcome;
  std::optional<PeerOutcome> peer_outcome;
  std::shared_ptr<BodyStream> received_body;
  std::shared_ptr<BodyStream> caller_body;
  PeerNetwork near{loop, kAnyLocalPort, "token", PeerHandlers{}, 1};
  std::unique_ptr<PeerNetwork> far = std::make_unique<PeerNetwork>(
      loop, kAnyLocalPort, "token",
      PeerHandlers{
          .on_request = [this](const endivecleat::Address&, PeerChannel, const std::string& payload,
                               const PeerResponder& responder) { OnAttempt(payload, responder); }},
      2);
  PeerRequestId peer_request;
  bool disconnected = false;
  std::vector<std::string> small_bodies;
  HttpServer server{loop, kAnyLocalPort, Limits(),
                    [this](const HttpRequest& request, const ResponseSink& sink) {
                      OnCallerRequest(request, sink);
                    }};

  void setup() override {
    server.StreamBodies([](const HttpRequest& request) { return request.path.starts_with("/up"); });
  }

  void OnCallerRequest(const HttpRequest& request, const ResponseSink& sink) {
    if (!request.body_stream) {
      small_bodies.push_back(request.body);
      sink.Send({200, {}, "small"});
      return;
    }
    caller_body = request.body_stream;
    sink.OnDisconnect([this] {
      disconnected = true;
      near.Cancel(peer_request);
    });
    const std::string length =
        caller_body->length() ? std::to_string(*caller_body->length()) : "chunked";
    Offer(length, sink, 2);
  }

  /// Offers the request to the target's process, again if it is refused before the body is opened.
  void Offer(const std::string& length, const ResponseSink& sink, int offers) {
    ++attempts;
    peer_request =
        near.Request(far->address(), PeerChannel::kCall, length, kLongTimeout,
                     [this, length, sink, offers](PeerOutcome result) {
                       if (result.payload == "refused" && !caller_body->opened() && offers > 1) {
                         target_refuses = false;
                         Offer(length, sink, offers - 1);
                         return;
                       }
                       const bool answered =
                           result.kind == PeerOutcome::kAnswered && result.payload != "refused";
                       peer_outcome = std::move(result);
                       sink.Send({answered ? 200 : 502, {}, peer_outcome->payload});
                       if (!answered) {
                         caller_body->Cancel();
                       }
                     });
    near.SendBody(peer_request, caller_body);
  }

  void OnAttempt(const std::string& payload, const PeerResponder& responder) {
    received_body = responder.ReceiveBody(
        payload == "chunked" ? std::nullopt : std::optional<uint64_t>(std::stoull(payload)));
    if (target_refuses) {
      responder.Respond("refused");
      return;
    }
    HttpRequest request{"PUT", "/target", "", {}, ""};
    request.body_stream = received_body;
    use_client->Send(std::move(request), kLongTimeout, [this, responder](HttpOutcome result) {
      responder.Respond(result.kind == HttpOutcome::kAnswered ? result.response.body : "refused");
      outcome = std::move(result);
    });
  }

  void WaitForText(const RawConnection& connection, const std::string& text) {
    CHECK(RunUntil(loop, [&] { return connection.received.find(text) != std::string::npos; }));
  }

  /// The bytes that the target has received behind the head of the request.
  std::string TargetBody() const {
    if (target.size() == 0) {
      return "";
    }
    const std::string& text = target.connections[0]->received;
    const size_t end = text.find("\r\n\r\n");
    return end == std::string::npos ? "" : text.substr(end + 4);
  }

  void WaitForTargetBody(size_t size) {
    CHECK(RunUntil(loop, [&] { return TargetBody().size() >= size; }));
  }
};

TEST(Upload, TargetGetsTheWholeBodyUnchanged) {
  const std::string body = RandomText(1, kBodyBytes);
  RawConnection caller(loop, server.address());
  caller.Send(Head("/up", body.size()) + body);
  WaitForTargetBody(body.size());
  CHECK(TargetBody() == body);
  LONGS_EQUAL(0, target.connections[0]->received.find("PUT /target HTTP/1.1\r\n"));
  target.connections[0]->Send(kOk);
  WaitForText(caller, "ok");
  LONGS_EQUAL(0, server.in_flight());
  LONGS_EQUAL(1, server.uploads().completed);
  LONGS_EQUAL(1, attempts);
}

TEST(Upload, ChunkedBodyIsPassedOnInChunks) {
  RawConnection caller(loop, server.address());
  caller.Send("PUT /up HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n");
  WaitForTargetBody(1);
  STRCMP_EQUAL("5\r\nhello\r\n", TargetBody().c_str());
  caller.Send("6\r\n world\r\n0\r\n\r\n");
  WaitForTargetBody(26);
  STRCMP_EQUAL("5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n", TargetBody().c_str());
  target.connections[0]->Send(kOk);
  WaitForText(caller, "ok");
}

TEST(Upload, SmallBodyIsDeliveredWhole) {
  RawConnection caller(loop, server.address());
  caller.Send(Head("/up", 5) + "hel");
  RunFor(loop, kSettleTime);
  CHECK(small_bodies.empty());
  caller.Send("lo");
  WaitForText(caller, "small");
  STRCMP_EQUAL("hello", small_bodies.at(0).c_str());
}

TEST(Upload, BodyOfAnotherRouteKeepsItsLimit) {
  RawConnection caller(loop, server.address());
  caller.Send(Head("/other", 200000));
  CHECK(RunUntil(loop, [&] { return caller.closed_by_peer; }));
  CHECK(caller.received.starts_with("HTTP/1.1 413 "));
  RawConnection chunked(loop, server.address());
  chunked.Send("PUT /other HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n30000\r\n" +
               std::string(0x30000, 'x'));
  CHECK(RunUntil(loop, [&] { return chunked.closed_by_peer; }));
  CHECK(chunked.received.starts_with("HTTP/1.1 413 "));
  LONGS_EQUAL(0, attempts);
}

TEST(Upload, BodyAboveTheLimitOfUploadsIsRejected) {
  RawConnection caller(loop, server.address());
  caller.Send(Head("/up", 33U << 20U));
  CHECK(RunUntil(loop, [&] { return caller.closed_by_peer; }));
  CHECK(caller.received.starts_with("HTTP/1.1 413 "));
  LONGS_EQUAL(0, attempts);
}

TEST(Upload, TargetThatReadsNothingHoldsBackTheCaller) {
  // The listening socket accepts connections in the kernel; nobody reads from them.
  const int silent = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in any = endivecleat::test::Loopback(0);
  const int buffer_bytes = 16384;
  setsockopt(silent, SOL_SOCKET, SO_RCVBUF, &buffer_bytes, sizeof(buffer_bytes));
  LONGS_EQUAL(0, bind(silent, endivecleat::test::AsSockaddr(any), sizeof(any)));
  LONGS_EQUAL(0, listen(silent, 4));
  socklen_t size = sizeof(any);
  getsockname(silent, reinterpret_cast<sockaddr*>(&any), &size);
  HttpClient silent_client(loop, {"127.0.0.1", ntohs(any.sin_port)}, 1);
  RawConnection caller(loop, server.address());
  constexpr size_t kLarge = 24U << 20U;
  use_client = &silent_client;
  caller.Send(Head("/up", kLarge) + std::string(kLarge, 'x'));
  CHECK(RunUntil(loop, [&] { return received_body != nullptr; }));
  RunFor(loop, std::chrono::milliseconds(500));
  CHECK(caller.unsent() > 0);
  CHECK(caller_body->buffered() <= BodyStream::kWindowBytes + (256U << 10U));
  CHECK(received_body->buffered() <= BodyStream::kWindowBytes);
  LONGS_EQUAL(0, server.uploads().completed);
  CHECK(!disconnected);  // the timeout for progress does not apply while the target holds it back
  caller.Close();
  CHECK(RunUntil(loop, [&] { return silent_client.connections() == 0; }));
  close(silent);
}

TEST(Upload, RefusedBeforeTheBodyIsOpenedIsOfferedAgain) {
  target_refuses = true;
  const std::string body = RandomText(2, kBodyBytes);
  RawConnection caller(loop, server.address());
  caller.Send(Head("/up", body.size()) + body);
  WaitForTargetBody(body.size());
  CHECK(TargetBody() == body);
  LONGS_EQUAL(2, attempts);
  target.connections[0]->Send(kOk);
  WaitForText(caller, "ok");
}

TEST(Upload, EarlyResponseLeavesExactlyTheRestOfTheBodyToTheTarget) {
  const std::string body = RandomText(3, kBodyBytes);
  RawConnection caller(loop, server.address());
  caller.Send(Head("/up", body.size()) + body.substr(0, kBodyBytes / 2));
  WaitForTargetBody(kBodyBytes / 2);
  target.connections[0]->Send(kOk);
  WaitForText(caller, "ok");
  LONGS_EQUAL(1, server.in_flight());
  // Another request uses another connection to the target meanwhile.
  bool other_done = false;
  client.Send({"GET", "/other", "", {}, ""}, kLongTimeout,
              [&](const HttpOutcome&) { other_done = true; });
  CHECK(RunUntil(loop, [&] { return target.HasReceived(1, "GET /other"); }));
  target.connections[1]->Send(kOk);
  CHECK(RunUntil(loop, [&] { return other_done; }));
  caller.Send(body.substr(kBodyBytes / 2) + "GET /next HTTP/1.1\r\nHost: h\r\n\r\n");
  WaitForTargetBody(body.size());
  WaitForText(caller, "small");
  RunFor(loop, kSettleTime);
  CHECK(TargetBody() == body);
  LONGS_EQUAL(0, server.in_flight());
  LONGS_EQUAL(2, client.connections());
}

TEST(Upload, CallerThatClosesEndsTheConnectionToTheTarget) {
  RawConnection caller(loop, server.address());
  caller.Send(Head("/up", kBodyBytes) + std::string(kBodyBytes / 2, 'x'));
  WaitForTargetBody(kBodyBytes / 2);
  caller.Close();
  CHECK(RunUntil(loop, [&] { return target.connections[0]->closed_by_peer; }));
  CHECK(RunUntil(loop, [&] { return outcome.has_value(); }));
  LONGS_EQUAL(HttpOutcome::kBroken, outcome->kind);
  CHECK(disconnected);
  LONGS_EQUAL(0, client.connections());
  LONGS_EQUAL(1, attempts);
}

TEST(Upload, CallerThatClosesAfterAnEarlyResponseEndsTheConnectionToTheTarget) {
  RawConnection caller(loop, server.address());
  caller.Send(Head("/up", kBodyBytes) + std::string(kBodyBytes / 2, 'x'));
  WaitForTargetBody(kBodyBytes / 2);
  target.connections[0]->Send(kOk);
  WaitForText(caller, "ok");
  caller.Close();
  CHECK(RunUntil(loop, [&] { return target.connections[0]->closed_by_peer; }));
  LONGS_EQUAL(0, server.in_flight());
}

TEST(Upload, BodyThatStopsHalfwayEndsTheConnectionToTheTarget) {
  RawConnection caller(loop, server.address());
  caller.Send(Head("/up", kBodyBytes) + std::string(kBodyBytes / 2, 'x'));
  WaitForTargetBody(kBodyBytes / 2);
  CHECK(RunUntil(loop, [&] { return target.connections[0]->closed_by_peer; }));
  CHECK(RunUntil(loop, [&] { return caller.closed_by_peer && outcome.has_value(); }));
  LONGS_EQUAL(1, server.uploads().stalled);
  LONGS_EQUAL(0, server.in_flight());
}

TEST(Upload, BrokenLinkFailsTheRequestWithoutAnotherAttempt) {
  RawConnection caller(loop, server.address());
  caller.Send(Head("/up", kBodyBytes) + std::string(kBodyBytes / 2, 'x'));
  WaitForTargetBody(kBodyBytes / 2);
  far.reset();
  WaitForText(caller, "HTTP/1.1 502 ");
  LONGS_EQUAL(PeerOutcome::kBroken, peer_outcome->kind);
  LONGS_EQUAL(1, attempts);
  CHECK(RunUntil(loop, [&] { return target.connections[0]->closed_by_peer; }));
}

TEST(Upload, RestOfARefusedBodyIsDiscardedUpToABound) {
  RawConnection little(loop, server.address());
  little.Send(Head("/up", 300000) + std::string(100000, 'x'));
  WaitForTargetBody(100000);
  target.connections[0]->Close();
  WaitForText(little, "HTTP/1.1 502 ");
  little.Send(std::string(200000, 'x') + "GET /next HTTP/1.1\r\nHost: h\r\n\r\n");
  WaitForText(little, "small");
  CHECK(!little.closed_by_peer);

  RawConnection much(loop, server.address());
  much.Send(Head("/up", kBodyBytes) + std::string(100000, 'x'));
  CHECK(RunUntil(loop, [&] { return target.size() == 2; }));
  RunFor(loop, kSettleTime);
  target.connections[1]->Close();
  WaitForText(much, "HTTP/1.1 502 ");
  much.Send(std::string(kBodyBytes - 100000, 'x') + "GET /next HTTP/1.1\r\nHost: h\r\n\r\n");
  CHECK(RunUntil(loop, [&] { return much.closed_by_peer; }));
  LONGS_EQUAL(1, small_bodies.size());
}

TEST(Upload, MalformedChunkEndsTheRequest) {
  RawConnection caller(loop, server.address());
  caller.Send("PUT /up HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n");
  WaitForTargetBody(1);
  caller.Send("zz\r\n");
  CHECK(RunUntil(loop, [&] { return caller.closed_by_peer; }));
  CHECK(caller.received.starts_with("HTTP/1.1 400 "));
  CHECK(RunUntil(loop, [&] { return target.connections[0]->closed_by_peer; }));
  LONGS_EQUAL(0, server.in_flight());
}

// Guards against pieces in the wrong order: the writer adds the next one while a piece is taken.
TEST(Upload, WholeBodyKeepsItsOrderWhenItsWriterContinuesAtOnce) {
  const std::string body = RandomText(4, kBodyBytes);
  const auto stream = std::make_shared<BodyStream>(body.size());
  size_t written = 0;
  const auto write = [&] {
    if (written < body.size()) {
      const size_t piece = std::min<size_t>(50000, body.size() - written);
      written += piece;
      stream->Write(std::string_view(body).substr(written - piece, piece));
      if (written == body.size()) {
        stream->End();
      }
    }
  };
  stream->SetWriterListener(write);
  std::optional<std::string> whole;
  endivecleat::ReadWholeBody(stream, endivecleat::ByteCount(kBodyBytes),
                             [&](std::optional<std::string> result) { whole = std::move(result); });
  CHECK(whole == body);
}

TEST(Upload, WholeBodyAboveItsLimitIsNotHeld) {
  const auto stream = std::make_shared<BodyStream>(std::nullopt);
  std::optional<std::string> whole = "";
  endivecleat::ReadWholeBody(stream, endivecleat::ByteCount(10),
                             [&](std::optional<std::string> result) { whole = std::move(result); });
  stream->Write("0123456789");
  CHECK(whole == "");
  stream->Write("x");
  CHECK_FALSE(whole.has_value());
}

// Random sizes, pieces and moments of the response on kept connections: guards against a byte that
// is lost, repeated, or passed on to another request.
TEST(Upload, RandomUploadsArriveUnchanged) {
  std::string sent;
  HttpServer counting(loop, kAnyLocalPort, HttpServerLimits{},
                      [&](const HttpRequest& request, const ResponseSink& sink) {
                        CHECK(request.body == sent);
                        sink.Send({200, {}, "<" + std::to_string(request.body.size()) + ">"});
                      });
  HttpClient counted(loop, counting.address(), 1);
  use_client = &counted;
  RawConnection caller(loop, server.address());
  for (uint64_t seed = 1; seed <= 40; ++seed) {
    SeededRandom random(seed);
    const size_t size = (65U << 10U) + random.Below(500000);
    sent = RandomText(seed, size);
    caller.received.clear();
    if (random.Below(2) == 0) {
      caller.Send(Head("/up", size));
      for (size_t position = 0; position < size;) {
        const size_t piece = std::min<size_t>(1 + random.Below(100000), size - position);
        caller.Send(sent.substr(position, piece));
        position += piece;
        RunFor(loop, std::chrono::microseconds(random.Below(500)));
      }
    } else {
      std::string chunks = "PUT /up HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
      for (size_t position = 0; position < size;) {
        const size_t piece = std::min<size_t>(1 + random.Below(40000), size - position);
        char head_of_chunk[20];
        snprintf(head_of_chunk, sizeof(head_of_chunk), "%zx\r\n", piece);
        chunks += head_of_chunk + sent.substr(position, piece) + "\r\n";
        position += piece;
      }
      caller.Send(chunks + "0\r\n\r\n");
    }
    WaitForText(caller, "<" + std::to_string(size) + ">");
  }
}
