// The state that PeerNetwork keeps of one WebSocket link between two processes of the mesh, the
// header fields of the handshake that opens a link, and the backoff between attempts.
#ifndef ENDIVECLEAT_PEER_LINK_H_
#define ENDIVECLEAT_PEER_LINK_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "peer_frame.h"
#include "peer_network.h"
#include "peer_upload.h"
#include "seeded_random.h"
#include "units.h"

struct lws;

namespace endivecleat {

/// The header fields that the connecting side adds to its WebSocket handshake.
struct PeerHandshake {
  std::string token;
  uint32_t epoch = 0;        // identifies this link; each of its fragments carries it
  Address listen;            // where the connecting side accepts links
  bool acknowledges = true;  // the connecting side acknowledges fragments of large responses
};

/// Writes the header fields at `*position` and advances it. Returns false if they do not fit before
/// `end`.
bool WriteHandshake(lws* wsi, const PeerHandshake& handshake, unsigned char** position,
                    unsigned char* end);

/// Reads the header fields on the accepting side. Returns nullopt if one is missing or malformed. A
/// wildcard listen address (0.0.0.0 or ::) is replaced by the source address of the connection.
std::optional<PeerHandshake> ReadHandshake(lws* wsi);

/// Compares digests of the tokens in constant time, so that the duration does not tell how much of
/// a guessed token is right.
bool TokensEqual(const std::string& left, const std::string& right);

/// Delay before the next attempt to open a link after this many consecutive failures (at least 1).
/// It doubles from 100 ms up to 300 ms; jitter subtracts up to half of it.
Duration BackoffDelay(unsigned failures, SeededRandom& random);

/// State of one received request, shared by its link and all copies of its PeerResponder.
struct PeerResponder::State {
  // Empty after the response or a cancel.
  std::function<bool(std::string payload, std::shared_ptr<void> hold)> send;
  std::function<void()> on_cancel;
  // Starts to receive the body of the request; empty without the link.
  std::function<std::shared_ptr<BodyStream>(std::optional<uint64_t> length)> receive_body;
  bool cancelled = false;
};

/// Marks the request as cancelled and runs the task set by PeerResponder::OnCancel.
void CancelRequest(PeerResponder::State& state);

/// One link, from the start of its handshake until it is closed.
struct PeerLink {
  PeerLink(uint64_t link_id, bool is_outbound, Address peer_address, uint32_t link_epoch,
           bool acknowledges = false)
      : id(link_id),
        outbound(is_outbound),
        peer(std::move(peer_address)),
        epoch(link_epoch),
        peer_acknowledges(acknowledges),
        reassembler(link_epoch) {}

  const uint64_t id;
  const bool outbound;  // opened by this process, which sends the requests; the peer responds
  const Address peer;   // where the peer accepts links
  const uint32_t epoch;
  const bool peer_acknowledges;  // the peer acknowledges fragments of large responses
  lws* wsi = nullptr;
  bool open = false;
  bool detached = false;  // gets no more messages or requests; closes when its requests have ended
  bool has_successor = false;  // a second link to the peer is being opened
  // When bytes were last written to it and last arrived on it; before that, when it was opened or,
  // until it is open, when the attempt began.
  TimePoint last_sent_at;
  TimePoint last_received_at;
  FrameQueue send_queue;
  FrameReassembler reassembler;
  uint32_t next_stream = 1;
  std::map<uint32_t, PeerRequestId> sent_requests;  // sent on this link, without a response yet
  // Received on this link and not responded to yet. Both maps are keyed by stream.
  std::map<uint32_t, std::shared_ptr<PeerResponder::State>> received_requests;
  // Bodies that are sent or received; they may outlive the response.
  std::map<uint32_t, std::shared_ptr<UploadSender>> sent_uploads;
  std::map<uint32_t, std::shared_ptr<UploadReceiver>> received_uploads;
};

/// Logs that a link has closed or could not be opened, and what was under way on it.
void LogLostLink(const PeerLink& link, TimePoint now);

/// Logs that nothing arrives on a link, so that a new one replaces it.
void LogSilentLink(const PeerLink& link, TimePoint now);

}  // namespace endivecleat

#endif  // ENDIVECLEAT_PEER_LINK_H_
