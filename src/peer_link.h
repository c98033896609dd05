// One WebSocket link between two processes of the mesh, as PeerNetwork keeps it, and the rules for
// the handshake that opens it.
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
#include "seeded_random.h"
#include "units.h"

struct lws;

namespace endivecleat {

/// What the opening side states in the header fields of its handshake.
struct PeerHandshake {
  std::string token;
  uint32_t epoch = 0;
  Address listen;  // where the opening side listens
};

/// Appends the header fields to the client's handshake. False when they do not fit.
bool WriteHandshake(lws* wsi, const PeerHandshake& handshake, unsigned char** position,
                    unsigned char* end);

/// Reads the header fields on the accepting side; nullopt when one is missing or malformed. An
/// unspecified listening address is replaced by the one that the connection comes from.
std::optional<PeerHandshake> ReadHandshake(lws* wsi);

/// Compares in a time that depends on neither token.
bool TokensEqual(const std::string& left, const std::string& right);

/// Delay before a link is tried again after this many failures in a row (at least 1): 100 ms
/// doubling to 300 ms, of which a random half is taken off.
Duration BackoffDelay(unsigned failures, SeededRandom& random);

/// The receiving side of one request, shared by the link and the PeerReplier's copies.
struct PeerReplier::State {
  std::function<bool(std::string)> send;  // empty once answered or cancelled
  std::function<void()> on_cancel;
  bool cancelled = false;
};

/// Marks the request as cancelled and tells its handler.
void CancelRequest(PeerReplier::State& state);

struct PeerLink {
  PeerLink(uint64_t link_id, bool opened_here, Address other_end, uint32_t link_epoch)
      : id(link_id),
        outbound(opened_here),
        peer(std::move(other_end)),
        epoch(link_epoch),
        reader(link_epoch) {}

  const uint64_t id;
  const bool outbound;  // opened by this process: it sends requests, the other end answers
  const Address peer;   // where the other end listens
  const uint32_t epoch;
  lws* wsi = nullptr;
  bool open = false;
  FrameQueue queue;
  FrameReader reader;
  uint32_t next_stream = 1;
  std::map<uint32_t, PeerRequestId> requests;  // sent here and unanswered, by stream
  std::map<uint32_t, std::shared_ptr<PeerReplier::State>> serving;  // received here, unanswered
};

}  // namespace endivecleat

#endif  // ENDIVECLEAT_PEER_LINK_H_
