// Encodes and decodes the fragment header, and limits the memory that queued and incomplete frames
// may take.
#include "peer_frame.h"

#include <algorithm>
#include <optional>

namespace endivecleat {
namespace {

// First byte of a fragment header: channel in the low 4 bits, the low 2 bits of the kind in the
// next 2, then the flag of the frame's last fragment, then the third bit of the kind.
constexpr unsigned kChannelMask = 0x0F;
constexpr unsigned kKindShift = 4;
constexpr unsigned kKindMask = 0x03;
constexpr unsigned kLastFragmentBit = 0x40;
constexpr unsigned kHighKindBit = 0x80;
constexpr unsigned kHighKindValue = 4;
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
  const unsigned first = static_cast<unsigned>(frame.channel) | ((kind & kKindMask) << kKindShift) |
                         (last ? kLastFragmentBit : 0U) |
                         (kind >= kHighKindValue ? kHighKindBit : 0U);
  AppendBigEndian(out, first, 1);
  AppendBigEndian(out, static_cast<uint32_t>(payload.size()), 3);
  AppendBigEndian(out, frame.stream, 4);
  AppendBigEndian(out, epoch, 4);
  out.append(payload);
}

bool IsBulk(PeerFrameKind kind) {
  return kind == PeerFrameKind::kBulkResponse || kind == PeerFrameKind::kUploadData;
}

PeerFrameKind ReadKind(uint32_t first) {
  const unsigned number =
      ((first >> kKindShift) & kKindMask) | ((first & kHighKindBit) != 0 ? kHighKindValue : 0U);
  return static_cast<PeerFrameKind>(number);
}

}  // namespace

bool FrameQueue::Push(PeerFrame frame, std::shared_ptr<void> hold) {
  const size_t bytes = frame.payload.size() + kFragmentHeaderBytes;
  if (frame.payload.size() > kMaxFrameBytes || queued_bytes_ + bytes > kMaxQueuedBytes) {
    return false;
  }
  queued_bytes_ += bytes;
  auto& frames = IsBulk(frame.kind) ? bulk_ : frames_;
  frames.push_back({std::move(frame), std::move(hold)});
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

void FrameQueue::CancelBulk(uint32_t stream) {
  const auto found = std::find_if(bulk_.begin(), bulk_.end(), [&](const QueuedFrame& queued) {
    return queued.frame.stream == stream;
  });
  if (found == bulk_.end()) {
    return;
  }
  queued_bytes_ -= found->frame.payload.size() - found->offset;
  if (found->started) {
    found->frame.payload.resize(found->offset);
    return;
  }
  queued_bytes_ -= kFragmentHeaderBytes;
  bulk_.erase(found);
}

void FrameQueue::DropUpload(uint32_t stream) {
  std::erase_if(bulk_, [&](const QueuedFrame& queued) {
    const bool dropped =
        queued.frame.kind == PeerFrameKind::kUploadData && queued.frame.stream == stream;
    queued_bytes_ -= dropped ? queued.frame.payload.size() + kFragmentHeaderBytes : 0;
    return dropped;
  });
}

void FrameQueue::TakeFragments(uint32_t epoch, size_t bytes, std::string& out,
                               std::array<uint64_t, kPeerChannelCount>& counts) {
  const size_t limit = out.size() + bytes;
  while (!frames_.empty() && out.size() < limit) {
    TakeNext(frames_, epoch, kMaxFragmentBytes, out, counts);
  }
}

size_t FrameQueue::TakeBulkFragment(uint32_t epoch, std::string& out,
                                    std::array<uint64_t, kPeerChannelCount>& counts) {
  return TakeNext(bulk_, epoch, kBulkFragmentBytes, out, counts);
}

// Takes a fragment of the first frame, and moves the frame to the end unless it was the last one.
size_t FrameQueue::TakeNext(std::deque<QueuedFrame>& frames, uint32_t epoch, size_t max_payload,
                            std::string& out, std::array<uint64_t, kPeerChannelCount>& counts) {
  QueuedFrame queued = std::move(frames.front());
  frames.pop_front();
  const std::string_view rest = std::string_view(queued.frame.payload).substr(queued.offset);
  const std::string_view payload = rest.substr(0, max_payload);
  const bool last = payload.size() == rest.size();
  AppendFragment(out, epoch, queued.frame, payload, last);
  const size_t encoded_size = kFragmentHeaderBytes + payload.size();
  counts[static_cast<size_t>(queued.frame.channel)] += encoded_size;
  queued_bytes_ -= payload.size() + (queued.started ? 0 : kFragmentHeaderBytes);
  if (!last) {
    queued.started = true;
    queued.offset += payload.size();
    frames.push_back(std::move(queued));
  }
  return encoded_size;
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
                            const Handler& deliver, const BulkHandler& on_bulk) {
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
    const PeerFrameKind kind = ReadKind(first);
    if (channel >= kPeerChannelCount || length > kMaxFragmentBytes) {
      return false;
    }
    if (rest.size() < kFragmentHeaderBytes + length) {
      break;
    }
    const Fragment fragment = {
        static_cast<PeerChannel>(channel), kind,
        (first & kLastFragmentBit) != 0,   ReadBigEndian(rest.substr(4, 4)),
        ReadBigEndian(rest.substr(8, 4)),  rest.substr(kFragmentHeaderBytes, length)};
    counts[channel] += kFragmentHeaderBytes + length;
    consumed += kFragmentHeaderBytes + length;
    const bool current = fragment.epoch == epoch_;
    if (current && IsBulk(kind) && on_bulk) {
      on_bulk(fragment.channel, fragment.stream);
    }
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
