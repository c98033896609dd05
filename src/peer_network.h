// Communication between the processes of the mesh: requests, responses and one-way messages over
// WebSocket links, which are opened on demand for each address, and UDP datagrams on the same port
// number.
#ifndef ENDIVECLEAT_PEER_NETWORK_H_
#define ENDIVECLEAT_PEER_NETWORK_H_

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "body_stream.h"
#include "event_loop.h"
#include "peer_frame.h"
#include "units.h"

namespace endivecleat {

using PeerRequestId = StrongNumber<struct PeerRequestIdTag>;

/// The result of a request. Each request gets exactly one outcome unless it is cancelled.
struct PeerOutcome {
  enum Kind {
    kAnswered,
    kNotSent,   ///< no byte of the request was written, so the peer cannot have executed it
    kBroken,    ///< the link closed after at least a part of the request was written
    kTimedOut,  ///< the request was at least partly written and no response arrived in time
  };
  Kind kind = kNotSent;
  std::string payload;  // of the response; empty unless kAnswered
};

/// Sends the response to one received request. Copies share their state. For use on the loop's
/// thread only.
class PeerResponder {
 public:
  /// Sends the response; only the first call has an effect. Returns false if the response cannot be
  /// queued: it is too large, the link is closed, the request was cancelled, or the link's send
  /// queue is full. `hold` is released when the response has been written or can't be.
  bool Respond(std::string payload, std::shared_ptr<void> hold = nullptr) const;

  /// Runs the task when the sender cancels the request or the link closes before the response;
  /// immediately if that has already happened.
  void OnCancel(std::function<void()> task) const;

  bool cancelled() const;

  /// Receives the body that the sender of the request streams with PeerNetwork::SendBody. The
  /// sender sends none of it before the stream is opened. Must be called by the handler of the
  /// request. The stream is cancelled when the request is cancelled or the link closes.
  std::shared_ptr<BodyStream> ReceiveBody(std::optional<uint64_t> length) const;

  /// Defined in peer_link.h.
  struct State;
  explicit PeerResponder(std::shared_ptr<State> state) : state_(std::move(state)) {}

 private:
  std::shared_ptr<State> state_;
};

/// Callbacks for what peers send. `from` is the address on which the sender listens, or the source
/// address of a datagram. Whatever has no callback is dropped.
struct PeerHandlers {
  std::function<void(const Address& from, PeerChannel, std::string payload)> on_message;
  std::function<void(const Address& from, PeerChannel, std::string payload, PeerResponder)>
      on_request;
  std::function<void(const Address& from, std::string datagram)> on_datagram;
};

struct ByteCounters {
  uint64_t sent = 0;
  uint64_t received = 0;
};

/// Bytes exchanged with one peer, including fragment headers but no WebSocket or TCP overhead.
struct PeerTraffic {
  std::array<ByteCounters, kPeerChannelCount> channels;  // by PeerChannel
  ByteCounters datagrams;
};

/// For use on the loop's thread only. Must be destroyed before the loop, and not from within a
/// handler or callback.
///
/// After a failed attempt to open a link, or a token that the peer rejects, the next attempt waits
/// for BackoffDelay (see peer_link.h). Until then requests to that address end with kNotSent and
/// messages are rejected.
class PeerNetwork {
 public:
  using Callback = std::function<void(PeerOutcome)>;

  /// Starts listening on TCP and UDP; port 0 chooses a port that is free for both. Both ends of a
  /// link must have the same token. The seed determines jitter and epochs. Throws std::system_error
  /// if the port cannot be bound.
  PeerNetwork(EventLoop& loop, const Address& listen, std::string token, PeerHandlers handler,
              uint64_t seed);

  /// Closes all links. Callbacks of outstanding requests do not run.
  ~PeerNetwork();
  PeerNetwork(const PeerNetwork&) = delete;
  PeerNetwork& operator=(const PeerNetwork&) = delete;

  /// The listen address, with the actual port.
  const Address& address() const;

  /// Queues a one-way message; sets the frame's kind and stream number. Returns false if the
  /// message is too large, the link's send queue is full, or the link is in backoff. A queued
  /// message is lost if the link closes before it is delivered.
  bool Send(const Address& to, PeerFrame frame);

  /// Sends a request and runs the callback exactly once unless the request is cancelled, never from
  /// within this call.
  PeerRequestId Request(const Address& to, PeerChannel channel, std::string payload,
                        Duration timeout, Callback callback);

  /// Streams the body of a request that was just sent, as far as the peer allows. Nothing is read
  /// from the body before the peer opens it. It goes on after the response unless the peer has not
  /// opened it by then. The peer must have been told by the request's payload.
  void SendBody(PeerRequestId request, std::shared_ptr<BodyStream> body);

  /// Drops the request without running its callback, and sends a cancel frame to the peer if any
  /// part of the request was written.
  void Cancel(PeerRequestId request);

  /// To be called when a request has waited longer than an answer takes. If nothing has arrived on
  /// its link since it was written, opens a second link to that address, which replaces the first
  /// unless that shows meanwhile that it works. Returns false if the request has an outcome.
  bool ReplaceLinkIfSilent(PeerRequestId request);

  /// Returns false if the kernel rejects the datagram.
  bool SendDatagram(const Address& to, const std::string& datagram);

  /// By the peer's listen address, or by the datagrams' source address.
  const std::map<Address, PeerTraffic>& traffic() const;

  /// Number of frames and fragments dropped because their direction, epoch, stream or channel was
  /// not the expected one.
  uint64_t dropped_frames() const;
  /// Number of handshakes rejected for a wrong token or a missing or malformed header field.
  uint64_t rejected_handshakes() const;
  /// Number of requests without an outcome.
  size_t outstanding_requests() const;
  /// Number of open links, both outbound and inbound.
  size_t open_links() const;

  /// Defined in peer_network_impl.h.
  class Impl;

 private:
  std::unique_ptr<Impl> impl_;
};

}  // namespace endivecleat

#endif  // ENDIVECLEAT_PEER_NETWORK_H_
