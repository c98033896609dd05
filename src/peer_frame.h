// Frames that the processes of the mesh exchange, and their encoding on a link. A frame is split
// into fragments, and the fragments of several frames are interleaved, so that a large frame delays
// a small one by one fragment only. Large responses go after all other frames, one short fragment
// at a time, as far as BulkWindow allows; the receiver acknowledges each of these fragments. Does
// no I/O; peer_network.h sends the bytes.
#ifndef ENDIVECLEAT_PEER_FRAME_H_
#define ENDIVECLEAT_PEER_FRAME_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace endivecleat {

/// The part of the system that a frame belongs to. The values are part of the wire format.
enum class PeerChannel : uint8_t {
  kConfigLog,
  kOnceLog,
  kConfigDistribution,
  kCall,
  kOnceLedger,
  kDataCentreSummary,
  kOperatorRequests,  // operator requests to a daemon
  kCrashTotals,
  kQuota,  // sent only where tenants have quotas; a process of the version before closes the link
  kRolloutEvidence,  // reports of daemons to control instances; see rollout_evidence.h
};
constexpr size_t kPeerChannelCount = 10;

/// The values are part of the wire format. A process of an earlier version that does not state in
/// the handshake that it acknowledges knows the first four only, and gets no others. The frames of
/// an upload are exchanged only for a request whose attempt announces a body (call_message.h).
enum class PeerFrameKind : uint8_t {
  kMessage = 0,
  kRequest = 1,
  kResponse = 2,
  kCancel = 3,
  kAcknowledgement = 4,  // of one fragment of a large response; without a payload
  kUploadData = 5,       // a piece of a request's body, acknowledged; empty at the end of the body
  kBulkResponse = 6,     // a large response, whose fragments are acknowledged
  kUploadCredit = 7,     // bytes of the body that may be sent, in decimal; 0: no more is wanted
};

/// One message on a link. A response or a cancel carries the stream number of its request.
struct PeerFrame {
  PeerChannel channel = PeerChannel::kConfigLog;
  uint32_t stream = 0;
  PeerFrameKind kind = PeerFrameKind::kMessage;
  std::string payload;

  bool operator==(const PeerFrame&) const = default;
};

constexpr size_t kMaxFrameBytes = 8U << 20U;       // payload of one frame
constexpr size_t kMaxFragmentBytes = 64U << 10U;   // payload of one fragment
constexpr size_t kMaxQueuedBytes = 16U << 20U;     // unsent bytes of one link
constexpr size_t kBulkFragmentBytes = 16U << 10U;  // payload of one fragment of a large response
/// Responses to calls from this size on are large.
constexpr size_t kMinBulkResponseBytes = 32U << 10U;
// Fragment header: flags and channel (1 byte), payload length (3), stream (4), epoch (4),
// big-endian.
constexpr size_t kFragmentHeaderBytes = 12;

/// The send queue of one link. It sends one fragment of each frame in turn (round robin): frames of
/// a single fragment keep their order, and overtake a frame of several fragments.
class FrameQueue {
 public:
  /// Returns false and drops the frame if it is too large or the queue is full. `hold` is released
  /// when the whole frame has been taken or dropped.
  bool Push(PeerFrame frame, std::shared_ptr<void> hold = nullptr);

  /// Removes a frame of which no fragment has been taken. Returns false if there is none.
  bool Remove(PeerFrameKind kind, uint32_t stream);

  /// Drops what is left of a large response that nobody waits for. If a fragment of it has been
  /// taken, an empty last fragment follows, so that the receiver drops what it has.
  void CancelBulk(uint32_t stream);
  /// Drops the queued pieces of an upload.
  void DropUpload(uint32_t stream);

  /// Appends fragments to `out` until `bytes` bytes have been added or no frame but large responses
  /// is left; the last fragment may exceed `bytes`. Adds the encoded size of each fragment to its
  /// channel's count.
  void TakeFragments(uint32_t epoch, size_t bytes, std::string& out,
                     std::array<uint64_t, kPeerChannelCount>& counts);
  /// Appends the next fragment of a large response and returns its encoded size. Requires
  /// has_bulk().
  size_t TakeBulkFragment(uint32_t epoch, std::string& out,
                          std::array<uint64_t, kPeerChannelCount>& counts);

  bool empty() const { return frames_.empty() && bulk_.empty(); }
  bool has_urgent() const { return !frames_.empty(); }
  bool has_bulk() const { return !bulk_.empty(); }
  size_t queued_bytes() const { return queued_bytes_; }

 private:
  struct QueuedFrame {
    PeerFrame frame;
    std::shared_ptr<void> hold;
    size_t offset = 0;     // payload bytes already taken
    bool started = false;  // at least one fragment was taken
  };

  size_t TakeNext(std::deque<QueuedFrame>& frames, uint32_t epoch, size_t max_payload,
                  std::string& out, std::array<uint64_t, kPeerChannelCount>& counts);

  std::deque<QueuedFrame> frames_;  // all but large responses
  std::deque<QueuedFrame> bulk_;    // large responses
  size_t queued_bytes_ = 0;
};

/// Reassembles the frames of one link from its received fragments.
class FrameReassembler {
 public:
  using Handler = std::function<void(PeerFrame)>;
  using BulkHandler = std::function<void(PeerChannel, uint32_t stream)>;

  explicit FrameReassembler(uint32_t epoch) : epoch_(epoch) {}

  /// Consumes received bytes, which may end anywhere in a fragment, and calls `deliver` for each
  /// completed frame, and `on_bulk` for each fragment of a large response. Returns false if the
  /// bytes are malformed or exceed a limit; the link must then be closed.
  bool Feed(std::string_view bytes, std::array<uint64_t, kPeerChannelCount>& counts,
            const Handler& deliver, const BulkHandler& on_bulk = nullptr);

  /// Number of fragments dropped because their epoch is not the link's.
  uint64_t epoch_mismatches() const { return epoch_mismatches_; }

 private:
  struct Fragment;

  bool AddFragment(const Fragment& fragment, const Handler& deliver);

  uint32_t epoch_;
  std::string pending_;  // received bytes of an incomplete fragment
  std::map<std::pair<PeerFrameKind, uint32_t>, PeerFrame> partial_;  // by kind and stream
  size_t partial_bytes_ = 0;
  uint64_t epoch_mismatches_ = 0;
};

}  // namespace endivecleat

#endif  // ENDIVECLEAT_PEER_FRAME_H_
