// Frames between processes of the mesh, and how they pass on a link: cut into pieces, so that a
// large frame holds up the small ones behind it for one piece only. No sockets.
#ifndef ENDIVECLEAT_PEER_FRAME_H_
#define ENDIVECLEAT_PEER_FRAME_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace endivecleat {

enum class PeerChannel : uint8_t {
  kConfigLog,
  kOnceLog,
  kDistribution,
  kCall,
  kLedger,
  kSummary,
  kOperations,  // what operators ask of a daemon
  kCrashTotals,
};
constexpr size_t kPeerChannels = 8;

enum class PeerKind : uint8_t { kMessage, kRequest, kResponse, kCancel };

/// A response and a cancel carry the stream number of their request.
struct PeerFrame {
  PeerChannel channel = PeerChannel::kConfigLog;
  uint32_t stream = 0;
  PeerKind kind = PeerKind::kMessage;
  std::string payload;

  bool operator==(const PeerFrame&) const = default;
};

constexpr size_t kMaxFrameBytes = 8U << 20U;     // payload of one frame
constexpr size_t kMaxPieceBytes = 64U << 10U;    // payload of one piece
constexpr size_t kMaxWaitingBytes = 16U << 20U;  // unsent bytes of one link
// Header of a piece: flags and channel (1), length (3), stream (4), epoch (4); big-endian.
constexpr size_t kPieceHeaderBytes = 12;

/// Frames that wait to be sent on one link. Small frames keep their order among themselves; a frame
/// of several pieces lets the others pass between its pieces.
class FrameQueue {
 public:
  /// False, and the frame is dropped, when it is too large or the queue is full.
  bool Push(PeerFrame frame);

  /// Removes a frame of which no piece has been taken. False when there is none.
  bool Remove(PeerKind kind, uint32_t stream);

  /// Appends pieces to `out`, at most one piece beyond `bytes`, and counts them by channel.
  void Take(uint32_t epoch, size_t bytes, std::string& out,
            std::array<uint64_t, kPeerChannels>& counts);

  bool empty() const { return frames_.empty(); }
  size_t waiting_bytes() const { return waiting_bytes_; }

 private:
  struct Waiting {
    PeerFrame frame;
    size_t offset = 0;     // payload bytes already taken
    bool started = false;  // at least one piece was taken
  };

  std::deque<Waiting> frames_;
  size_t waiting_bytes_ = 0;
};

/// Puts the pieces that arrive on one link together again.
class FrameReader {
 public:
  using Handler = std::function<void(PeerFrame)>;

  explicit FrameReader(uint32_t epoch) : epoch_(epoch) {}

  /// Takes the next bytes of the link and hands over each frame that is complete. False when the
  /// bytes break the format or its bounds: the link is of no further use then.
  bool Feed(std::string_view bytes, std::array<uint64_t, kPeerChannels>& counts,
            const Handler& deliver);

  /// Pieces dropped because they carry another epoch than the link's.
  uint64_t wrong_epochs() const { return wrong_epochs_; }

 private:
  struct Piece;

  bool Accept(const Piece& piece, const Handler& deliver);

  uint32_t epoch_;
  std::string pending_;  // less than one piece
  std::map<std::pair<PeerKind, uint32_t>, PeerFrame> partial_;
  size_t partial_bytes_ = 0;
  uint64_t wrong_epochs_ = 0;
};

}  // namespace endivecleat

#endif  // ENDIVECLEAT_PEER_FRAME_H_
