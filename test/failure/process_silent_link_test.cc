// Guards against a link between two processes that has gone silent without being closed and is used
// again for each later request, and against one that is never open since its handshake takes longer
// than an attempt may: versions of the configuration reached daemons seconds late. A relay on
// loopback stops forwarding on its connections and serves new ones, or forwards late.
#include <CppUTest/TestHarness.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "network_fixture.h"
#include "peer_network.h"

using endivecleat::Address;
using endivecleat::Duration;
using endivecleat::EventLoop;
using endivecleat::PeerChannel;
using endivecleat::PeerHandlers;
using endivecleat::PeerNetwork;
using endivecleat::PeerOutcome;
using endivecleat::PeerResponder;
using endivecleat::test::kAnyLocalPort;
using endivecleat::test::kLongTimeout;
using endivecleat::test::RawConnection;
using endivecleat::test::RawListener;
using endivecleat::test::RunUntil;

namespace {

constexpr Duration kForwardInterval = std::chrono::milliseconds(2);
constexpr Duration kAnswerTimeout = std::chrono::milliseconds(300);

/// Forwards connections to an address. Those that it has silenced stay open, and what is sent on
/// them is lost.
class SilencingRelay {
 public:
  SilencingRelay(EventLoop& loop, Address upstream)
      : loop_(loop), upstream_(std::move(upstream)), listener_(loop) {
    Forward();
  }
  ~SilencingRelay() { loop_.Cancel(timer_); }
  SilencingRelay(const SilencingRelay&) = delete;
  SilencingRelay& operator=(const SilencingRelay&) = delete;

  const Address& address() const { return listener_.address(); }
  size_t connections() const { return listener_.size(); }
  void SilenceOpenConnections() { silenced_ = listener_.size(); }
  /// New bytes are forwarded this much later; at first at once.
  void SetDelay(Duration delay) { delay_ = delay; }

 private:
  void Forward() {
    timer_ = loop_.RunAfter(kForwardInterval, [this] { Forward(); });
    for (size_t i = 0; i < listener_.size(); ++i) {
      if (i == upstreams_.size()) {
        upstreams_.push_back(std::make_unique<RawConnection>(loop_, upstream_));
      }
      RawConnection& caller = *listener_.connections[i];
      if (i >= silenced_) {
        Pass(caller, *upstreams_[i]);
        Pass(*upstreams_[i], caller);
      }
    }
  }

  void Pass(RawConnection& from, RawConnection& to) {
    std::string bytes = std::exchange(from.received, "");
    if (delay_ == Duration{}) {
      to.Send(std::move(bytes));
    } else if (!bytes.empty()) {
      loop_.RunAfter(delay_, [&to, bytes = std::move(bytes)] { to.Send(bytes); });
    }
  }

  EventLoop& loop_;
  Address upstream_;
  RawListener listener_;
  std::vector<std::unique_ptr<RawConnection>> upstreams_;  // by the index of their caller
  Duration delay_{};
  size_t silenced_ = 0;  // the first connections, up to here
  endivecleat::TimerId timer_;
};

}  // namespace

TEST_BASE(PeersAcrossARelay) {
  EventLoop loop;
  PeerNetwork server{loop, kAnyLocalPort, "token",
                     PeerHandlers{.on_message = nullptr,
                                  .on_request =
                                      [](const Address&, PeerChannel, const std::string& payload,
                                         const PeerResponder& responder) {
                                        responder.Respond("answer to " + payload);
                                      },
                                  .on_datagram = nullptr},
                     1};
  SilencingRelay relay{loop, server.address()};
  PeerNetwork client{loop, kAnyLocalPort, "token", PeerHandlers{}, 2};

  PeerOutcome Request(Duration timeout) {
    std::optional<PeerOutcome> outcome;
    client.Request(relay.address(), PeerChannel::kConfigDistribution, "question", timeout,
                   [&](PeerOutcome ended) { outcome = std::move(ended); });
    RunUntil(loop, [&] { return outcome.has_value(); });
    return outcome.value_or(PeerOutcome{});
  }
};

TEST_GROUP_BASE(ProcessLinkGoneSilent, PeersAcrossARelay){};

TEST(ProcessLinkGoneSilent, ARequestAfterOneWithoutAnswerIsAnswered) {
  CHECK_EQUAL(PeerOutcome::kAnswered, Request(kLongTimeout).kind);
  relay.SilenceOpenConnections();
  CHECK_EQUAL(PeerOutcome::kTimedOut, Request(kAnswerTimeout).kind);
  const PeerOutcome next = Request(std::chrono::seconds(2));
  CHECK_EQUAL(PeerOutcome::kAnswered, next.kind);
  STRCMP_EQUAL("answer to question", next.payload.c_str());
}

TEST_GROUP_BASE(ProcessLinkOpenedSlowly, PeersAcrossARelay){};

TEST(ProcessLinkOpenedSlowly, IsOpenAfterAFewAttempts) {
  constexpr int kMostAttempts = 20;  // some end at once, while the next attempt to open it waits
  constexpr Duration kBetweenAttempts = std::chrono::milliseconds(200);
  relay.SetDelay(std::chrono::milliseconds(400));  // 800 ms for the two ways of a handshake
  PeerOutcome outcome;
  for (int attempt = 0; attempt < kMostAttempts && outcome.kind != PeerOutcome::kAnswered;
       ++attempt) {
    outcome = Request(std::chrono::seconds(4));
    endivecleat::test::RunFor(loop, kBetweenAttempts);
  }
  CHECK_EQUAL(PeerOutcome::kAnswered, outcome.kind);
}
