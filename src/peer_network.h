// The network between processes of the mesh: WebSocket links by address, opened when needed, with
// requests, answers and one-way messages on them, and datagrams on the same port number.
#ifndef ENDIVECLEAT_PEER_NETWORK_H_
#define ENDIVECLEAT_PEER_NETWORK_H_

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include "event_loop.h"
#include "peer_frame.h"
#include "units.h"

namespace endivecleat {

using PeerRequestId = StrongNumber<struct PeerRequestIdTag>;

/// What became of a request. Every request gets exactly one outcome unless it is cancelled.
struct PeerOutcome {
  enum Kind {
    kAnswered,
    kNotSent,   ///< no byte of the request was written, so the peer cannot have run it
    kBroken,    ///< the link ended after the request was written, wholly or in part
    kTimedOut,  ///< the request was written and no answer came in time
  };
  Kind kind = kNotSent;
  std::string payload;  // of the answer; empty unless kAnswered
};

/// The way back to the sender of one request. Copies share it; used on the loop's thread.
class PeerReplier {
 public:
  /// Answers the request; only the first call has an effect. False when the answer cannot be sent:
  /// the link has ended, the request was cancelled, or the link's queue is full.
  bool Reply(std::string payload) const;

  /// Runs the task when the sender cancels the request or its link ends before it is answered, at
  /// once when that has happened already.
  void OnCancel(std::function<void()> task) const;

  bool cancelled() const;

  /// Known to the implementation only.
  struct State;
  explicit PeerReplier(std::shared_ptr<State> state) : state_(std::move(state)) {}

 private:
  std::shared_ptr<State> state_;
};

/// Receives what peers send. `from` is the address on which the sender listens; for a datagram, the
/// address that it came from. An unset function drops its events.
struct PeerHandler {
  std::function<void(const Address& from, PeerChannel, std::string payload)> message;
  std::function<void(const Address& from, PeerChannel, std::string payload, PeerReplier)> request;
  std::function<void(const Address& from, std::string datagram)> datagram;
};

struct ByteCounters {
  uint64_t sent = 0;
  uint64_t received = 0;
};

/// Bytes exchanged with one peer, piece headers included, WebSocket and TCP overhead excluded.
struct PeerTraffic {
  std::array<ByteCounters, kPeerChannels> channels;  // by PeerChannel
  ByteCounters datagrams;
};

/// Used on the loop's thread; destroyed before the loop and not from within a handler or callback.
///
/// A link that cannot be opened, or whose peer refuses the token, is not tried again for a delay
/// that doubles from 100 ms to 1 s, with jitter. Until then requests get kNotSent and messages are
/// refused.
class PeerNetwork {
 public:
  using Callback = std::function<void(PeerOutcome)>;

  /// Listens at once on TCP and UDP; port 0 chooses one that is free for both. The token is what
  /// both ends of every link must have. The seed drives jitter and epochs. Throws
  /// std::system_error.
  PeerNetwork(EventLoop& loop, const Address& listen, std::string token, PeerHandler handler,
              uint64_t seed);

  /// Closes all links; outstanding callbacks do not run.
  ~PeerNetwork();
  PeerNetwork(const PeerNetwork&) = delete;
  PeerNetwork& operator=(const PeerNetwork&) = delete;

  /// The address with the port in use.
  const Address& address() const;

  /// Sends a one-way message (kind kMessage; the stream number is assigned here). False when it is
  /// refused: too large, the link's queue is full, or the link is waiting to be tried again. A
  /// message that was taken is lost when the link ends.
  bool Send(const Address& to, PeerFrame frame);

  /// Sends a request and calls back exactly once, never inside this call.
  PeerRequestId Request(const Address& to, PeerChannel channel, std::string payload,
                        Duration timeout, Callback callback);

  /// Forgets the request: its callback does not run, and the peer is told when it has the request.
  void Cancel(PeerRequestId request);

  /// False when the kernel does not take the datagram.
  bool SendDatagram(const Address& to, const std::string& datagram);

  const std::map<Address, PeerTraffic>& traffic() const;

  /// Answers dropped because their link, epoch or stream was not the expected one.
  uint64_t dropped_answers() const;
  /// Handshakes refused because of a wrong token.
  uint64_t refused_handshakes() const;
  /// Requests that are not finished.
  size_t outstanding() const;
  /// Links that are open, in both directions.
  size_t open_links() const;

  /// Known to the implementation only.
  class Impl;

 private:
  std::unique_ptr<Impl> impl_;
};

}  // namespace endivecleat

#endif  // ENDIVECLEAT_PEER_NETWORK_H_
