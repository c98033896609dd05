// Encodes and decodes the fragment header, and limits the memory that queued and incomplete frames
// may take.
#include "peer_frame.h"

#include <algorithm>
#include <optional>

namespace endivecleat {
namespace {

// First byte of a fragment header: channel in the low 4 bits, kind in the next 2, then the flag of
// the frame's last fragment. The top bit must be 0.
constexpr unsigned kChannelMask = 0x0F;
constexpr unsigned kKindShift = 4;
constexpr unsigned kKindMask = 0x03;
constexpr unsigned kLastBit = 0x40;
constexpr unsigned kUnusedBit = 0x80;
// Limits on the incomplete frames of one link, in bytes and in number. A correct peer stays below
// them, because it limits the unsent bytes of its own queue.
constexpr size_t kMaxPartialBytes = kMaxWaitingBytes + kMaxFrameBytes;
constexpr size_t kMaxPartialFrames = 1024;

void AppendNumber(std::string& out, uint32_t number, int bytes) {
  for (int i = bytes - 1; i >= 0; --i) {
    out.push_back(static_cast<char>((number >> (8U * static_cast<unsigned>(i))) & 0xFFU));
  }
}

uint32_t ReadNumber(std::string_view bytes) {
  uint32_t number = 0;
  for (const char each : bytes) {
    number = (number << 8U) | static_cast<unsigned char>(each);
  }
  return number;
}

void AppendPiece(std::string& out, uint32_t epoch, const PeerFrame& frame, std::string_view part,
                 bool last) {
  const auto kind = static_cast<unsigned>(frame.kind);
  const unsigned first =
      static_cast<unsigned>(frame.channel) | (kind << kKindShift) | (last ? kLastBit : 0U);
  AppendNumber(out, first, 1);
  AppendNumber(out, static_cast<uint32_t>(part.size()), 3);
  AppendNumber(out, frame.stream, 4);
  AppendNumber(out, epoch, 4);
  out.append(part);
}

}  // namespace

bool FrameQueue::Push(PeerFrame frame) {
  const size_t bytes = frame.payload.size() + kPieceHeaderBytes;
  if (frame.payload.size() > kMaxFrameBytes || waiting_bytes_ + bytes > kMaxWaitingBytes) {
    return false;
  }
  waiting_bytes_ += bytes;
  frames_.push_back({std::move(frame)});
  return true;
}

bool FrameQueue::Remove(PeerKind kind, uint32_t stream) {
  const auto found = std::find_if(frames_.begin(), frames_.end(), [&](const Waiting& waiting) {
    return !waiting.started && waiting.frame.kind == kind && waiting.frame.stream == stream;
  });
  if (found == frames_.end()) {
    return false;
  }
  waiting_bytes_ -= found->frame.payload.size() + kPieceHeaderBytes;
  frames_.erase(found);
  return true;
}

void FrameQueue::Take(uint32_t epoch, size_t bytes, std::string& out,
                      std::array<uint64_t, kPeerChannels>& counts) {
  const size_t limit = out.size() + bytes;
  while (!frames_.empty() && out.size() < limit) {
    Waiting waiting = std::move(frames_.front());
    frames_.pop_front();
    const std::string_view rest = std::string_view(waiting.frame.payload).substr(waiting.offset);
    const std::string_view part = rest.substr(0, kMaxPieceBytes);
    const bool last = part.size() == rest.size();
    AppendPiece(out, epoch, waiting.frame, part, last);
    counts[static_cast<size_t>(waiting.frame.channel)] += kPieceHeaderBytes + part.size();
    waiting_bytes_ -= part.size() + (waiting.started ? 0 : kPieceHeaderBytes);
    if (!last) {
      waiting.started = true;
      waiting.offset += part.size();
      frames_.push_back(std::move(waiting));
    }
  }
}

struct FrameReader::Piece {
  PeerChannel channel;
  PeerKind kind;
  bool last;
  uint32_t stream;
  uint32_t epoch;
  std::string_view part;

  std::pair<PeerKind, uint32_t> key() const { return {kind, stream}; }
};

bool FrameReader::Feed(std::string_view bytes, std::array<uint64_t, kPeerChannels>& counts,
                       const Handler& deliver) {
  if (!pending_.empty()) {
    pending_.append(bytes);
    bytes = pending_;
  }
  size_t taken = 0;
  while (bytes.size() - taken >= kPieceHeaderBytes) {
    const std::string_view rest = bytes.substr(taken);
    const uint32_t first = ReadNumber(rest.substr(0, 1));
    const size_t length = ReadNumber(rest.substr(1, 3));
    const size_t channel = first & kChannelMask;
    if (channel >= kPeerChannels || (first & kUnusedBit) != 0 || length > kMaxPieceBytes) {
      return false;
    }
    if (rest.size() < kPieceHeaderBytes + length) {
      break;
    }
    const Piece piece = {
        static_cast<PeerChannel>(channel), static_cast<PeerKind>((first >> kKindShift) & kKindMask),
        (first & kLastBit) != 0,           ReadNumber(rest.substr(4, 4)),
        ReadNumber(rest.substr(8, 4)),     rest.substr(kPieceHeaderBytes, length)};
    counts[channel] += kPieceHeaderBytes + length;
    taken += kPieceHeaderBytes + length;
    if (!Accept(piece, deliver)) {
      return false;
    }
  }
  std::string kept(bytes.substr(taken));
  pending_ = std::move(kept);
  return true;
}

bool FrameReader::Accept(const Piece& piece, const Handler& deliver) {
  if (piece.epoch != epoch_) {
    ++wrong_epochs_;
    return true;
  }
  const auto found = partial_.find(piece.key());
  if (found == partial_.end() && piece.last) {
    deliver({piece.channel, piece.stream, piece.kind, std::string(piece.part)});
    return true;
  }
  if (found == partial_.end() && (partial_.size() >= kMaxPartialFrames || piece.part.empty())) {
    return false;
  }
  PeerFrame& frame = partial_[piece.key()];
  frame.channel = piece.channel;
  frame.kind = piece.kind;
  frame.stream = piece.stream;
  frame.payload.append(piece.part);
  partial_bytes_ += piece.part.size();
  if (frame.payload.size() > kMaxFrameBytes || partial_bytes_ > kMaxPartialBytes) {
    return false;
  }
  if (piece.last) {
    PeerFrame whole = std::move(frame);
    partial_bytes_ -= whole.payload.size();
    partial_.erase(piece.key());
    deliver(std::move(whole));
  }
  return true;
}

}  // namespace endivecleat
