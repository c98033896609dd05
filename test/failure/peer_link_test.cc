// Guards against accepting a response that belongs to an earlier link, a restarted peer or no
// request at all, and against accepting peers without the token. Also covers closed links,
// malformed bytes and the backoff.
#include "peer_link.h"

#include <CppUTest/TestHarness.h>
#include <openssl/evp.h>
#include <openssl/sha.h>

#include <array>
#include <deque>
#include <string>

#include "network_fixture.h"
#include "peer_network.h"

using endivecleat::Address;
using endivecleat::BackoffDelay;
using endivecleat::EventLoop;
using endivecleat::FrameQueue;
using endivecleat::FrameReassembler;
using endivecleat::kFragmentHeaderBytes;
using endivecleat::kPeerChannelCount;
using endivecleat::PeerChannel;
using endivecleat::PeerFrame;
using endivecleat::PeerFrameKind;
using endivecleat::PeerHandlers;
using endivecleat::PeerNetwork;
using endivecleat::PeerOutcome;
using endivecleat::PeerResponder;
using endivecleat::SeededRandom;
using endivecleat::test::CountOccurrences;
using endivecleat::test::kAnyLocalPort;
using endivecleat::test::kLongTimeout;
using endivecleat::test::RawConnection;
using endivecleat::test::RawListener;
using endivecleat::test::RunFor;
using endivecleat::test::RunUntil;

namespace {

std::string FieldOf(const std::string& head, const std::string& name) {
  const size_t at = head.find(name + ": ");
  if (at == std::string::npos) {
    return "";
  }
  const size_t start = at + name.size() + 2;
  return head.substr(start, head.find("\r\n", start) - start);
}

std::string AcceptKey(const std::string& key) {
  const std::string text = key + "258EAFA5-E914-47DA-95CA-C5AB0DC85B11";
  std::array<unsigned char, SHA_DIGEST_LENGTH> digest = {};
  SHA1(reinterpret_cast<const unsigned char*>(text.data()), text.size(), digest.data());
  std::array<unsigned char, 64> encoded = {};
  const int size = EVP_EncodeBlock(encoded.data(), digest.data(), digest.size());
  return {reinterpret_cast<const char*>(encoded.data()), static_cast<size_t>(size)};
}

/// An unmasked binary WebSocket message with a payload below 126 bytes, as a server sends it.
std::string ServerMessage(const std::string& payload) {
  return std::string("\x82") + static_cast<char>(payload.size()) + payload;
}

std::string EncodeFragment(uint32_t epoch, const PeerFrame& frame) {
  FrameQueue queue;
  queue.Push(frame);
  std::string out;
  std::array<uint64_t, kPeerChannelCount> counts = {};
  queue.TakeFragments(epoch, 1, out, counts);
  return out;
}

/// Whether a binary message has arrived after the handshake. Client messages are masked; they are
/// not decoded, because the tests know the stream numbers.
bool HasClientMessage(const std::string& bytes) {
  const size_t head = bytes.find("\r\n\r\n");
  return head != std::string::npos && bytes.find('\x82', head) != std::string::npos;
}

}  // namespace

/// PeerNetwork against a raw socket that completes the handshake and sends the bytes of each test.
TEST_GROUP(PeerLinkToScriptedPeer) {
  EventLoop loop;
  RawListener peer{loop};
  PeerNetwork network{loop, kAnyLocalPort, "token", {}, 5};
  std::deque<PeerOutcome> outcomes;

  void Request() {
    network.Request(peer.address(), PeerChannel::kCall, "question", kLongTimeout,
                    [this](PeerOutcome outcome) { outcomes.push_back(std::move(outcome)); });
  }

  /// Completes the handshake of the connection with this index, waits for its request and returns
  /// its epoch.
  uint32_t AcceptLink(size_t index) {
    CHECK(RunUntil(loop, [&] { return peer.HasReceived(index, "\r\n\r\n"); }));
    const std::string head = peer.connections[index]->received;
    STRCMP_EQUAL("Bearer token", FieldOf(head, "authorization").c_str());
    peer.connections[index]->Send(
        "HTTP/1.1 101 Switching Protocols\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
        "Sec-WebSocket-Accept: " +
        AcceptKey(FieldOf(head, "Sec-WebSocket-Key")) +
        "\r\nSec-WebSocket-Protocol: endivecleat\r\n\r\n");
    CHECK(RunUntil(loop, [&] { return HasClientMessage(peer.connections[index]->received); }));
    return static_cast<uint32_t>(std::stoul(FieldOf(head, "endivecleat-epoch")));
  }

  void Respond(size_t index, uint32_t epoch, uint32_t stream, const std::string& payload,
               PeerChannel channel = PeerChannel::kCall) {
    peer.connections[index]->Send(
        ServerMessage(EncodeFragment(epoch, {channel, stream, PeerFrameKind::kResponse, payload})));
  }

  void WaitForOutcomes(size_t count) {
    CHECK(RunUntil(loop, [&] { return outcomes.size() >= count; }));
  }
};

TEST(PeerLinkToScriptedPeer, DropsUnknownStreamsWrongEpochsAndRepeatedResponses) {
  Request();
  const uint32_t epoch = AcceptLink(0);
  Respond(0, epoch, 99, "unknown stream");
  Respond(0, epoch + 1, 1, "wrong epoch");
  Respond(0, epoch, 1, "wrong channel", PeerChannel::kOnceLedger);
  Respond(0, epoch, 1, "right");
  Respond(0, epoch, 1, "again");
  CHECK(RunUntil(loop, [&] { return network.dropped_frames() == 4; }));
  LONGS_EQUAL(1, outcomes.size());
  STRCMP_EQUAL("right", outcomes[0].payload.c_str());
}

TEST(PeerLinkToScriptedPeer, DropsTheResponseOfAnEarlierLinkThatUsedTheSameStream) {
  Request();
  const uint32_t first_epoch = AcceptLink(0);
  peer.connections[0]->Close();
  WaitForOutcomes(1);
  LONGS_EQUAL(PeerOutcome::kBroken, outcomes[0].kind);
  Request();
  const uint32_t second_epoch = AcceptLink(1);
  CHECK(first_epoch != second_epoch);
  Respond(1, first_epoch, 1, "answer to the first request");
  Respond(1, second_epoch, 1, "answer to the second request");
  WaitForOutcomes(2);
  STRCMP_EQUAL("answer to the second request", outcomes[1].payload.c_str());
  LONGS_EQUAL(1, network.dropped_frames());
}

TEST(PeerLinkToScriptedPeer, ClosesALinkThatReceivesMalformedBytes) {
  Request();
  AcceptLink(0);
  peer.connections[0]->Send(ServerMessage(std::string(12, '\xFF')));
  WaitForOutcomes(1);
  LONGS_EQUAL(PeerOutcome::kBroken, outcomes[0].kind);
  CHECK(RunUntil(loop, [&] { return peer.connections[0]->closed_by_peer; }));
}

TEST(PeerLinkToScriptedPeer, ReportsATimeoutBeforeTheLinkIsOpenAsNotSent) {
  network.Request(peer.address(), PeerChannel::kCall, "question", std::chrono::milliseconds(50),
                  [this](PeerOutcome outcome) { outcomes.push_back(std::move(outcome)); });
  WaitForOutcomes(1);
  LONGS_EQUAL(PeerOutcome::kNotSent, outcomes[0].kind);
  Request();
  AcceptLink(0);
  const std::string& received = peer.connections[0]->received;
  const size_t head = received.find("\r\n\r\n") + 4;
  // One masked message (6 bytes of header) with one fragment that carries "question".
  LONGS_EQUAL(6 + kFragmentHeaderBytes + 8, received.size() - head);
}

TEST(PeerLinkToScriptedPeer, ReportsAFailedHandshakeAsNotSent) {
  Request();
  CHECK(RunUntil(loop, [&] { return peer.HasReceived(0, "\r\n\r\n"); }));
  peer.connections[0]->Send("HTTP/1.1 403 Forbidden\r\nContent-Length: 0\r\n\r\n");
  WaitForOutcomes(1);
  LONGS_EQUAL(PeerOutcome::kNotSent, outcomes[0].kind);
  Request();  // during the backoff: rejected without another connection attempt
  WaitForOutcomes(2);
  LONGS_EQUAL(PeerOutcome::kNotSent, outcomes[1].kind);
  LONGS_EQUAL(1, peer.size());
}

TEST_GROUP(PeerLinkFailing) {
  EventLoop loop;
  std::deque<PeerResponder> repliers;
  PeerHandlers handler{nullptr,
                       [this](const Address&, PeerChannel, const std::string&,
                              const PeerResponder& replier) { repliers.push_back(replier); },
                       nullptr};
  std::deque<PeerOutcome> outcomes;

  void Request(PeerNetwork & from, const Address& to) {
    from.Request(to, PeerChannel::kCall, "question", kLongTimeout,
                 [this](PeerOutcome outcome) { outcomes.push_back(std::move(outcome)); });
  }

  void WaitForOutcomes(size_t count) {
    CHECK(RunUntil(loop, [&] { return outcomes.size() >= count; }));
  }
};

TEST(PeerLinkFailing, WrongTokenIsRefused) {
  PeerNetwork server(loop, kAnyLocalPort, "token", handler, 1);
  PeerNetwork client(loop, kAnyLocalPort, "wrong", {}, 2);
  Request(client, server.address());
  WaitForOutcomes(1);
  LONGS_EQUAL(PeerOutcome::kNotSent, outcomes[0].kind);
  LONGS_EQUAL(1, server.rejected_handshakes());
  LONGS_EQUAL(0, server.open_links());
  CHECK(repliers.empty());
}

TEST(PeerLinkFailing, MissingTokenAndPlainHttpAreRefused) {
  PeerNetwork server(loop, kAnyLocalPort, "token", handler, 1);
  for (const char* fields :
       {"", "Upgrade: h2c\r\nConnection: Upgrade, HTTP2-Settings\r\nHTTP2-Settings: AAMAAABk\r\n",
        "Upgrade: websocket\r\nConnection: Upgrade\r\nSec-WebSocket-Version: 13\r\n"
        "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\nSec-WebSocket-Protocol: endivecleat\r\n",
        "Upgrade: websocket\r\nConnection: Upgrade\r\nSec-WebSocket-Version: 13\r\n"
        "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\nAuthorization: Bearer token\r\n"}) {
    RawConnection caller(loop, server.address());
    caller.Send("GET / HTTP/1.1\r\nHost: h\r\n" + std::string(fields) + "\r\n");
    CHECK(RunUntil(loop, [&] { return caller.closed_by_peer; }));
    LONGS_EQUAL(0, CountOccurrences(caller.received, "101 Switching"));
  }
  LONGS_EQUAL(0, server.open_links());
}

TEST(PeerLinkFailing, ConnectionThatSendsNothingIsClosed) {
  const PeerNetwork server(loop, kAnyLocalPort, "token", handler, 1);
  const RawConnection silent(loop, server.address());
  CHECK(RunUntil(loop, [&] { return silent.closed_by_peer; }));
}

TEST(PeerLinkFailing, RequestInFlightIsBrokenWhenThePeerShutsDown) {
  auto server = std::make_unique<PeerNetwork>(loop, kAnyLocalPort, "token", handler, 1);
  PeerNetwork client(loop, kAnyLocalPort, "token", {}, 2);
  Request(client, server->address());
  CHECK(RunUntil(loop, [&] { return repliers.size() == 1; }));
  server.reset();
  WaitForOutcomes(1);
  LONGS_EQUAL(PeerOutcome::kBroken, outcomes[0].kind);
  CHECK(repliers[0].cancelled());
  CHECK_FALSE(repliers[0].Respond("to nobody"));
}

TEST(PeerLinkFailing, HandlerIsNotifiedWhenTheSenderShutsDown) {
  PeerNetwork server(loop, kAnyLocalPort, "token", handler, 1);
  auto client = std::make_unique<PeerNetwork>(loop, kAnyLocalPort, "token", PeerHandlers{}, 2);
  Request(*client, server.address());
  CHECK(RunUntil(loop, [&] { return repliers.size() == 1; }));
  bool cancelled = false;
  repliers[0].OnCancel([&] { cancelled = true; });
  client.reset();
  CHECK(RunUntil(loop, [&] { return cancelled; }));
  CHECK(outcomes.empty());
}

TEST(PeerLinkFailing, ReconnectsToAPeerThatRestarts) {
  auto server = std::make_unique<PeerNetwork>(loop, kAnyLocalPort, "token", handler, 1);
  const Address address = server->address();
  server.reset();
  PeerNetwork client(loop, kAnyLocalPort, "token", {}, 2);
  Request(client, address);
  WaitForOutcomes(1);
  LONGS_EQUAL(PeerOutcome::kNotSent, outcomes[0].kind);
  PeerNetwork successor(loop, address, "token", handler, 3);
  const PeerFrame hello = {PeerChannel::kDataCentreSummary, 0, PeerFrameKind::kMessage, "hello"};
  bool accepted = client.Send(address, hello);
  CHECK_FALSE(accepted);  // the first backoff delay is at least 50 ms
  for (int attempt = 0; attempt < 1000 && !accepted; ++attempt) {
    RunFor(loop, std::chrono::milliseconds(10));
    accepted = client.Send(address, hello);
  }
  CHECK(accepted);
  Request(client, address);
  CHECK(RunUntil(loop, [&] { return repliers.size() == 1; }));
  repliers[0].Respond("back");
  WaitForOutcomes(2);
  STRCMP_EQUAL("back", outcomes[1].payload.c_str());
}

TEST(PeerLinkFailing, MutatedBytesNeverCrashTheReassembler) {
  SeededRandom random(11);  // fixed seed, so that every run makes the same mutations
  const std::string valid =
      EncodeFragment(1, {PeerChannel::kCall, 1, PeerFrameKind::kRequest, std::string(1000, 'x')});
  std::array<uint64_t, kPeerChannelCount> counts = {};
  for (int round = 0; round < 2000; ++round) {
    FrameReassembler reassembler(1);
    std::string bytes = valid + valid;
    for (int i = 0; i < 4; ++i) {
      bytes[random.Below(40)] = static_cast<char>(random.Below(256));
    }
    size_t payload = 0;
    reassembler.Feed(bytes, counts,
                     [&](const PeerFrame& frame) { payload += frame.payload.size(); });
    CHECK(payload <= bytes.size());
  }
}

TEST(PeerLinkFailing, BackoffDoublesUpToItsMaximumWithSeededJitter) {
  SeededRandom random(1);
  SeededRandom same(1);
  for (unsigned failures = 1; failures < 12; ++failures) {
    const int64_t full = std::min(100000LL << (failures - 1), 300000LL);
    const int64_t delay = BackoffDelay(failures, random).count();
    CHECK(delay <= full);
    CHECK(delay >= full / 2);
    LONGS_EQUAL(delay, BackoffDelay(failures, same).count());
  }
}
