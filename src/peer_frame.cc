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
constexpr unsigned kLastFragmentBit = 0x40;
constexpr unsigned kReservedBit = 0x80;
// Limits on the incomplete frames of one link, in bytes and in number. A correct peer stays below
// them, because it limits the unsent bytes of its own queue.
constexpr size_t kMaxPartialBytes = kMaxQueuedBytes + kMaxFrameBytes;
constexpr size_t kMaxPartialFrames = 1024;

void AppendBigEndian(std::string& out, uint32_t number, int bytes) {
  for (int i = bytes - 1; i >= 0; --i) {
    out.push_back(static_cast<char>((number >> (8U * static_cast<unsigned>(i))) & 0xFFU));
  }
}

uint32_t ReadBigEndian(std::string_view bytes) {
  uint32_t number = 0;
  for (const char byte : bytes) {
    number = (number << 8U) | static_cast<unsigned char>(byte);
  }
  return number;
}

void AppendFragment(std::string& out, uint32_t epoch, const PeerFrame& frame,
                    std::string_view payload, bool last) {
  const auto kind = static_cast<unsigned>(frame.kind);
  const unsigned first =
      static_cast<unsigned>(frame.channel) | (kind << kKindShift) | (last ? kLastFragmentBit : 0U);
  AppendBigEndian(out, first, 1);
  AppendBigEndian(out, static_cast<uint32_t>(payload.size()), 3);
  AppendBigEndian(out, frame.stream, 4);
  AppendBigEndian(out, epoch, 4);
  out.append(payload);
}

}  // namespace

bool FrameQueue::Push(PeerFrame frame) {
  const size_t bytes = frame.payload.size() + kFragmentHeaderBytes;
  if (frame.payload.size() > kMaxFrameBytes || queued_bytes_ + bytes > kMaxQueuedBytes) {
    return false;
  }
  queued_bytes_ += bytes;
  frames_.push_back({std::move(frame)});
  return true;
}

bool FrameQueue::Remove(PeerFrameKind kind, uint32_t stream) {
  const auto found = std::find_if(frames_.begin(), frames_.end(), [&](const QueuedFrame& queued) {
    return !queued.started && queued.frame.kind == kind && queued.frame.stream == stream;
  });
  if (found == frames_.end()) {
    return false;
  }
  queued_bytes_ -= found->frame.payload.size() + kFragmentHeaderBytes;
  frames_.erase(found);
  return true;
}

void FrameQueue::TakeFragments(uint32_t epoch, size_t bytes, std::string& out,
                               std::array<uint64_t, kPeerChannelCount>& counts) {
  const size_t limit = out.size() + bytes;
  while (!frames_.empty() && out.size() < limit) {
    QueuedFrame queued = std::move(frames_.front());
    frames_.pop_front();
    const std::string_view rest = std::string_view(queued.frame.payload).substr(queued.offset);
    const std::string_view payload = rest.substr(0, kMaxFragmentBytes);
    const bool last = payload.size() == rest.size();
    AppendFragment(out, epoch, queued.frame, payload, last);
    counts[static_cast<size_t>(queued.frame.channel)] += kFragmentHeaderBytes + payload.size();
    queued_bytes_ -= payload.size() + (queued.started ? 0 : kFragmentHeaderBytes);
    if (!last) {
      queued.started = true;
      queued.offset += payload.size();
      frames_.push_back(std::move(queued));
    }
  }
}

struct FrameReassembler::Fragment {
  PeerChannel channel;
  PeerFrameKind kind;
  bool last;
  uint32_t stream;
  uint32_t epoch;
  std::string_view payload;

  std::pair<PeerFrameKind, uint32_t> key() const { return {kind, stream}; }
};

bool FrameReassembler::Feed(std::string_view bytes, std::array<uint64_t, kPeerChannelCount>& counts,
                            const Handler& deliver) {
  if (!pending_.empty()) {
    pending_.append(bytes);
    bytes = pending_;
  }
  size_t consumed = 0;
  while (bytes.size() - consumed >= kFragmentHeaderBytes) {
    const std::string_view rest = bytes.substr(consumed);
    const uint32_t first = ReadBigEndian(rest.substr(0, 1));
    const size_t length = ReadBigEndian(rest.substr(1, 3));
    const size_t channel = first & kChannelMask;
    if (channel >= kPeerChannelCount || (first & kReservedBit) != 0 || length > kMaxFragmentBytes) {
      return false;
    }
    if (rest.size() < kFragmentHeaderBytes + length) {
      break;
    }
    const Fragment fragment = {static_cast<PeerChannel>(channel),
                               static_cast<PeerFrameKind>((first >> kKindShift) & kKindMask),
                               (first & kLastFragmentBit) != 0,
                               ReadBigEndian(rest.substr(4, 4)),
                               ReadBigEndian(rest.substr(8, 4)),
                               rest.substr(kFragmentHeaderBytes, length)};
    counts[channel] += kFragmentHeaderBytes + length;
    consumed += kFragmentHeaderBytes + length;
    if (!AddFragment(fragment, deliver)) {
      return false;
    }
  }
  std::string remaining(bytes.substr(consumed));
  pending_ = std::move(remaining);
  return true;
}

bool FrameReassembler::AddFragment(const Fragment& fragment, const Handler& deliver) {
  if (fragment.epoch != epoch_) {
    ++epoch_mismatches_;
    return true;
  }
  const auto found = partial_.find(fragment.key());
  if (found == partial_.end() && fragment.last) {
    deliver({fragment.channel, fragment.stream, fragment.kind, std::string(fragment.payload)});
    return true;
  }
  if (found == partial_.end() &&
      (partial_.size() >= kMaxPartialFrames || fragment.payload.empty())) {
    return false;
  }
  PeerFrame& frame = partial_[fragment.key()];
  frame.channel = fragment.channel;
  frame.kind = fragment.kind;
  frame.stream = fragment.stream;
  frame.payload.append(fragment.payload);
  partial_bytes_ += fragment.payload.size();
  if (frame.payload.size() > kMaxFrameBytes || partial_bytes_ > kMaxPartialBytes) {
    return false;
  }
  if (fragment.last) {
    PeerFrame complete = std::move(frame);
    partial_bytes_ -= complete.payload.size();
    partial_.erase(fragment.key());
    deliver(std::move(complete));
  }
  return true;
}

}  // namespace endivecleat
