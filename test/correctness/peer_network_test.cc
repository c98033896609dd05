// Guards against answers that are matched to the wrong request, large frames that block small ones,
// frames that are damaged by fragmentation and reassembly, and traffic counters that differ from
// the bytes sent. FrameQueue and FrameReader are tested without sockets, PeerNetwork over loopback.
#include "peer_network.h"

#include <CppUTest/TestHarness.h>

#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "network_fixture.h"
#include "seeded_random.h"

using endivecleat::Address;
using endivecleat::Duration;
using endivecleat::EventLoop;
using endivecleat::FrameQueue;
using endivecleat::FrameReader;
using endivecleat::kMaxFrameBytes;
using endivecleat::kMaxPieceBytes;
using endivecleat::kMaxWaitingBytes;
using endivecleat::kPeerChannels;
using endivecleat::kPieceHeaderBytes;
using endivecleat::PeerChannel;
using endivecleat::PeerFrame;
using endivecleat::PeerHandler;
using endivecleat::PeerKind;
using endivecleat::PeerNetwork;
using endivecleat::PeerOutcome;
using endivecleat::PeerReplier;
using endivecleat::PeerRequestId;
using endivecleat::SeededRandom;
using endivecleat::test::kAnyLocalPort;
using endivecleat::test::kLongTimeout;
using endivecleat::test::RunUntil;

namespace {

using Counts = std::array<uint64_t, kPeerChannels>;

std::string Bytes(uint64_t seed, size_t size) {
  SeededRandom random(seed);
  std::string bytes(size, '\0');
  for (char& each : bytes) {
    each = static_cast<char>(random.Below(256));
  }
  return bytes;
}

}  // namespace

TEST_GROUP(PeerFrameCutting) {
  FrameQueue queue;
  Counts sent = {};
  Counts received = {};
  std::vector<PeerFrame> arrived;

  std::string TakeAll(uint32_t epoch) {
    std::string out;
    while (!queue.empty()) {
      queue.Take(epoch, kMaxPieceBytes, out, sent);
    }
    return out;
  }

  bool Feed(FrameReader & reader, const std::string& bytes) {
    return reader.Feed(bytes, received,
                       [this](PeerFrame frame) { arrived.push_back(std::move(frame)); });
  }
};

TEST(PeerFrameCutting, RestoresFramesWhateverThePartsTheyArriveIn) {
  const std::vector<PeerFrame> frames = {
      {PeerChannel::kSummary, 1, PeerKind::kMessage, ""},
      {PeerChannel::kCall, 2, PeerKind::kRequest, Bytes(1, kMaxPieceBytes)},
      {PeerChannel::kCall, 3, PeerKind::kRequest, Bytes(2, 3 * kMaxPieceBytes + 1)},
      {PeerChannel::kLedger, 0xFFFFFFFF, PeerKind::kResponse, "x"}};
  for (const PeerFrame& frame : frames) {
    CHECK(queue.Push(frame));
  }
  const std::string bytes = TakeAll(77);
  LONGS_EQUAL(0, queue.waiting_bytes());
  FrameReader reader(77);
  SeededRandom random(3);
  for (size_t at = 0; at < bytes.size();) {
    const size_t count = 1 + random.Below(5000);
    CHECK(Feed(reader, bytes.substr(at, count)));
    at += count;
  }
  LONGS_EQUAL(frames.size(), arrived.size());
  for (const PeerFrame& frame : frames) {
    CHECK(std::find(arrived.begin(), arrived.end(), frame) != arrived.end());
  }
  CHECK(sent == received);
}

TEST(PeerFrameCutting, LetsASmallFrameOvertakeALargeOne) {
  CHECK(queue.Push(
      {PeerChannel::kDistribution, 1, PeerKind::kMessage, std::string(kMaxFrameBytes, 'l')}));
  CHECK(queue.Push({PeerChannel::kCall, 2, PeerKind::kRequest, "small"}));
  std::string out;
  queue.Take(1, kMaxPieceBytes, out, sent);
  queue.Take(1, kMaxPieceBytes, out, sent);
  FrameReader reader(1);
  CHECK(Feed(reader, out));
  LONGS_EQUAL(1, arrived.size());
  STRCMP_EQUAL("small", arrived[0].payload.c_str());
}

TEST(PeerFrameCutting, RefusesWhatExceedsItsBounds) {
  CHECK_FALSE(queue.Push(
      {PeerChannel::kCall, 1, PeerKind::kMessage, std::string(kMaxFrameBytes + 1, 'x')}));
  const std::string large(kMaxFrameBytes - kPieceHeaderBytes, 'x');
  CHECK(queue.Push({PeerChannel::kCall, 2, PeerKind::kMessage, large}));
  CHECK(queue.Push({PeerChannel::kCall, 3, PeerKind::kMessage, large}));
  LONGS_EQUAL(kMaxWaitingBytes, queue.waiting_bytes());
  CHECK_FALSE(queue.Push({PeerChannel::kCall, 4, PeerKind::kMessage, ""}));
  CHECK(queue.Remove(PeerKind::kMessage, 3));
  CHECK(queue.Push({PeerChannel::kCall, 5, PeerKind::kMessage, ""}));
}

TEST(PeerFrameCutting, RemovesOnlyAFrameThatHasNotStarted) {
  CHECK(queue.Push({PeerChannel::kCall, 1, PeerKind::kRequest, std::string(200000, 'x')}));
  CHECK(queue.Push({PeerChannel::kCall, 2, PeerKind::kRequest, "y"}));
  std::string out;
  queue.Take(1, 1, out, sent);
  CHECK_FALSE(queue.Remove(PeerKind::kRequest, 1));
  CHECK_FALSE(queue.Remove(PeerKind::kResponse, 2));
  CHECK(queue.Remove(PeerKind::kRequest, 2));
}

TEST_GROUP(PeerNetworkLinked) {
  struct Inbound {
    Address from;
    PeerChannel channel;
    std::string payload;
    std::optional<PeerReplier> replier;
  };

  EventLoop loop;
  std::deque<Inbound> messages;
  std::deque<Inbound> requests;
  std::deque<std::pair<Address, std::string>> datagrams;
  PeerHandler handler{[this](const Address& from, PeerChannel channel, std::string payload) {
                        messages.push_back({from, channel, std::move(payload), std::nullopt});
                      },
                      [this](const Address& from, PeerChannel channel, std::string payload,
                             const PeerReplier& replier) {
                        requests.push_back({from, channel, std::move(payload), replier});
                      },
                      [this](const Address& from, std::string datagram) {
                        datagrams.emplace_back(from, std::move(datagram));
                      }};
  PeerNetwork server{loop, kAnyLocalPort, "token", handler, 1};
  PeerNetwork client{loop, kAnyLocalPort, "token", {}, 2};
  std::deque<PeerOutcome> outcomes;

  PeerRequestId Request(std::string payload, Duration timeout = kLongTimeout) {
    return client.Request(server.address(), PeerChannel::kCall, std::move(payload), timeout,
                          [this](PeerOutcome outcome) { outcomes.push_back(std::move(outcome)); });
  }

  void WaitForRequests(size_t count) {
    CHECK(RunUntil(loop, [&] { return requests.size() >= count; }));
  }

  void WaitForOutcomes(size_t count) {
    CHECK(RunUntil(loop, [&] { return outcomes.size() >= count; }));
  }
};

TEST(PeerNetworkLinked, MatchesAnswersThatComeOutOfOrder) {
  for (int i = 0; i < 10; ++i) {
    Request("request " + std::to_string(i));
  }
  LONGS_EQUAL(10, client.outstanding());
  WaitForRequests(10);
  CHECK(requests[0].from == client.address());
  for (size_t i = 10; i-- > 0;) {
    CHECK(requests[i].replier->Reply("answer to " + requests[i].payload));
    CHECK_FALSE(requests[i].replier->Reply("again"));
  }
  WaitForOutcomes(10);
  for (size_t i = 0; i < 10; ++i) {
    const std::string expected = "answer to request " + std::to_string(9 - i);
    LONGS_EQUAL(PeerOutcome::kAnswered, outcomes[i].kind);
    STRCMP_EQUAL(expected.c_str(), outcomes[i].payload.c_str());
  }
  LONGS_EQUAL(0, client.outstanding());
  LONGS_EQUAL(0, client.dropped_answers());
  LONGS_EQUAL(2, client.open_links() + server.open_links());
}

TEST(PeerNetworkLinked, CarriesTheLargestFrameBothWays) {
  const std::string large = Bytes(4, kMaxFrameBytes);
  Request(large);
  WaitForRequests(1);
  CHECK(requests[0].payload == large);
  requests[0].replier->Reply(large);
  WaitForOutcomes(1);
  CHECK(outcomes[0].payload == large);
}

TEST(PeerNetworkLinked, AnswersSmallRequestsBehindALargeOne) {
  Request(std::string(kMaxFrameBytes, 'l'));
  Request("small");
  WaitForRequests(1);
  STRCMP_EQUAL("small", requests[0].payload.c_str());
  WaitForRequests(2);
}

TEST(PeerNetworkLinked, RefusesAFrameThatIsTooLarge) {
  Request(std::string(kMaxFrameBytes + 1, 'x'));
  CHECK(outcomes.empty());
  WaitForOutcomes(1);
  LONGS_EQUAL(PeerOutcome::kNotSent, outcomes[0].kind);
}

TEST(PeerNetworkLinked, RefusesFramesWhenTheQueueOfALinkIsFull) {
  int taken = 0;
  while (taken < 100 && client.Send(server.address(), {PeerChannel::kSummary, 0, PeerKind::kMessage,
                                                       std::string(1U << 20U, 'x')})) {
    ++taken;
  }
  LONGS_EQUAL(15, taken);
  CHECK(RunUntil(loop, [&] { return messages.size() == 15; }));
  CHECK(client.Send(server.address(), {PeerChannel::kSummary, 0, PeerKind::kMessage, "again"}));
}

TEST(PeerNetworkLinked, DeliversMessagesInOrderWithTheSendersAddress) {
  for (int i = 0; i < 100; ++i) {
    CHECK(client.Send(server.address(),
                      {PeerChannel::kOnceLog, 0, PeerKind::kMessage, std::to_string(i)}));
  }
  CHECK(RunUntil(loop, [&] { return messages.size() == 100; }));
  for (size_t i = 0; i < 100; ++i) {
    STRCMP_EQUAL(std::to_string(i).c_str(), messages[i].payload.c_str());
    CHECK(messages[i].from == client.address());
    CHECK(messages[i].channel == PeerChannel::kOnceLog);
  }
}

TEST(PeerNetworkLinked, CancelTellsThePeerAndRunsNoCallback) {
  bool cancelled = false;
  const PeerRequestId request = Request("to be cancelled");
  WaitForRequests(1);
  requests[0].replier->OnCancel([&] { cancelled = true; });
  client.Cancel(request);
  CHECK(RunUntil(loop, [&] { return cancelled; }));
  CHECK(requests[0].replier->cancelled());
  CHECK_FALSE(requests[0].replier->Reply("too late"));
  CHECK(outcomes.empty());
}

TEST(PeerNetworkLinked, CancelBeforeSendingSendsNothing) {
  client.Cancel(Request("never sent"));
  Request("sent");
  WaitForRequests(1);
  STRCMP_EQUAL("sent", requests[0].payload.c_str());
}

TEST(PeerNetworkLinked, TimesOutAndDropsTheLateAnswer) {
  Request("slow", std::chrono::milliseconds(100));
  WaitForRequests(1);
  const PeerReplier replier = *requests[0].replier;
  WaitForOutcomes(1);
  LONGS_EQUAL(PeerOutcome::kTimedOut, outcomes[0].kind);
  CHECK(RunUntil(loop, [&] { return replier.cancelled(); }));
}

TEST(PeerNetworkLinked, CountsBytesByPeerAndChannel) {
  Request("12345");
  WaitForRequests(1);
  requests[0].replier->Reply("123");
  WaitForOutcomes(1);
  const auto call = static_cast<size_t>(PeerChannel::kCall);
  const auto& sent = client.traffic().at(server.address()).channels[call];
  const auto& received = server.traffic().at(client.address()).channels[call];
  LONGS_EQUAL(kPieceHeaderBytes + 5, sent.sent);
  LONGS_EQUAL(kPieceHeaderBytes + 3, sent.received);
  LONGS_EQUAL(kPieceHeaderBytes + 5, received.received);
  LONGS_EQUAL(kPieceHeaderBytes + 3, received.sent);
}

TEST(PeerNetworkLinked, ExchangesDatagramsOnTheSamePort) {
  CHECK(client.SendDatagram(server.address(), "ping"));
  CHECK(RunUntil(loop, [&] { return !datagrams.empty(); }));
  CHECK(datagrams[0].first == client.address());
  STRCMP_EQUAL("ping", datagrams[0].second.c_str());
  LONGS_EQUAL(4, server.traffic().at(client.address()).datagrams.received);
  LONGS_EQUAL(4, client.traffic().at(server.address()).datagrams.sent);
}

TEST(PeerNetworkLinked, HandlerMaySendFromWithinItsCall) {
  handler = {};
  PeerNetwork echo(loop, kAnyLocalPort, "token",
                   {nullptr,
                    [&](const Address& from, PeerChannel channel, std::string payload,
                        const PeerReplier& replier) {
                      server.Send(from, {channel, 0, PeerKind::kMessage, "seen"});
                      replier.Reply(std::move(payload));
                    },
                    nullptr},
                   3);
  bool done = false;
  server.Request(echo.address(), PeerChannel::kLedger, "echo", kLongTimeout,
                 [&](const PeerOutcome& outcome) { done = outcome.payload == "echo"; });
  CHECK(RunUntil(loop, [&] { return done && messages.size() == 1; }));
}
