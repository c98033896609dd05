// A connection is chosen by a scan over all of them: a few thousand entries, and only when a limit
// is exceeded, which costs less than accepting or reading the connection that exceeds it.
#include "ingress_budget.h"

#include <algorithm>
#include <utility>

namespace endivecleat {
namespace {

// A request that holds less than this is never refused for the bytes of others while its client
// makes progress: the largest published head is 16 KiB, and the head and its fields are both held.
constexpr size_t kSmallRequestBytes = 48U << 10U;
// Refusing a connection that holds less frees nothing worth it: its buffers are of this size.
constexpr size_t kMinRefusableBytes = 4U << 10U;
// A client that has sent or read nothing for this long makes no progress.
constexpr Duration kStalledAfter = std::chrono::seconds(1);
// Added to the time without progress, so that bytes decide between connections that all progress.
constexpr Duration kStallOffset = std::chrono::milliseconds(100);

constexpr Duration kLogInterval = std::chrono::seconds(10);

}  // namespace

IngressLimits FitToDescriptors(IngressLimits limits, uint64_t descriptor_limit) {
  const uint64_t left = descriptor_limit > limits.reserved_descriptors
                            ? descriptor_limit - limits.reserved_descriptors
                            : 0;
  const uint64_t most = std::max<uint64_t>({left, descriptor_limit / 4, 1});
  limits.connections = std::min<uint64_t>(limits.connections, most);
  limits.connections_per_address = std::min(limits.connections_per_address, limits.connections);
  return limits;
}

std::string_view IngressLimitName(IngressLimit limit) {
  switch (limit) {
    case IngressLimit::kBytes:
      return "bytes";
    case IngressLimit::kConnections:
      return "connections";
    case IngressLimit::kConnectionsPerAddress:
      return "connections_per_address";
    case IngressLimit::kPartialRequests:
      return "partial_requests";
    case IngressLimit::kPartialRequestsPerAddress:
      return "partial_requests_per_address";
    case IngressLimit::kHeaderTimeout:
      return "header_timeout";
    case IngressLimit::kBodyRate:
      return "body_bytes_per_second";
    case IngressLimit::kEmptyLines:
      return "empty_lines";
    case IngressLimit::kHeaderBytes:
      return "header_bytes";
    case IngressLimit::kBodyBytes:
      return "body_bytes";
    case IngressLimit::kUnreadResponse:
      break;
  }
  return "unread_response";
}

std::optional<IngressBudget::HolderId> IngressBudget::Add(const std::string& address, TimePoint now,
                                                          Refuse refuse) {
  if (!MakeRoom(now, address)) {
    return std::nullopt;
  }
  const HolderId id(next_id_++);
  AddressCounts& counts = addresses_[address];
  ++counts.connections;
  holders_.emplace(id, Holder{.address = address,
                              .counts = &counts,
                              .refuse = std::move(refuse),
                              .last_progress = now});
  return id;
}

bool IngressBudget::MakeRoom(TimePoint now, const std::string& address) {
  const auto found = addresses_.find(address);
  if (found != addresses_.end() && found->second.connections >= limits_.connections_per_address) {
    const auto victim = FindLeastProgress(now, &address, false);
    if (!victim) {
      CountRefusal(IngressLimit::kConnectionsPerAddress);
      return false;
    }
    RefuseHolder(*victim, IngressLimit::kConnectionsPerAddress);
    Remove(*victim);
  }
  if (holders_.size() >= limits_.connections) {
    const auto victim = FindLeastProgress(now, nullptr, false);
    if (!victim) {
      CountRefusal(IngressLimit::kConnections);
      return false;
    }
    RefuseHolder(*victim, IngressLimit::kConnections);
    Remove(*victim);
  }
  return true;
}

void IngressBudget::Remove(HolderId id) {
  const auto found = holders_.find(id);
  if (found == holders_.end()) {
    return;
  }
  RemoveCounts(found->second);
  if (--found->second.counts->connections == 0) {
    addresses_.erase(found->second.address);
  }
  holders_.erase(found);
}

void IngressBudget::RemoveCounts(const Holder& holder) {
  bytes_ -= holder.held.bytes;
  if (holder.phase == Phase::kReading) {
    --partial_requests_;
    --holder.counts->partial_requests;
  }
}

void IngressBudget::Update(HolderId id, const Held& held, Phase phase, TimePoint now,
                           bool progress) {
  const auto found = holders_.find(id);
  if (found == holders_.end()) {
    return;
  }
  Holder& holder = found->second;
  RemoveCounts(holder);
  holder.held = held;
  holder.phase = phase;
  holder.has_served = holder.has_served || phase == Phase::kRunning;
  if (progress) {
    holder.last_progress = now;
  }
  bytes_ += held.bytes;
  peak_bytes_ = std::max(peak_bytes_, bytes_);
  if (phase == Phase::kReading) {
    ++partial_requests_;
    ++holder.counts->partial_requests;
  }
}

void IngressBudget::Enforce(TimePoint now) {
  // A refused connection updates what it holds, which must not start another refusal inside this
  // one: the calls would nest as deep as there are connections to refuse.
  if (std::exchange(enforcing_, true)) {
    return;
  }
  EnforceBytes(now);
  EnforcePartialRequests(now);
  enforcing_ = false;
}

void IngressBudget::EnforceBytes(TimePoint now) {
  while (bytes_ > limits_.bytes.value()) {
    const auto victim = FindLargest(now);
    if (!victim) {
      break;
    }
    RefuseHolder(*victim, IngressLimit::kBytes);
  }
}

void IngressBudget::EnforcePartialRequests(TimePoint now) {
  while (partial_requests_ > limits_.partial_requests) {
    const auto victim = FindLeastProgress(now, nullptr, true);
    if (!victim) {
      break;
    }
    RefuseHolder(*victim, IngressLimit::kPartialRequests);
  }
  if (partial_requests_ <= limits_.partial_requests_per_address) {
    return;
  }
  for (const auto& [address, counts] : addresses_) {
    if (counts.partial_requests > limits_.partial_requests_per_address) {
      const std::string crowded = address;
      if (const auto victim = FindLeastProgress(now, &crowded, true)) {
        RefuseHolder(*victim, IngressLimit::kPartialRequestsPerAddress);
      }
      return;  // at most one request has begun since the last call
    }
  }
}

void IngressBudget::RefuseHolder(HolderId id, IngressLimit limit) {
  CountRefusal(limit);
  Holder& holder = holders_.at(id);
  RemoveCounts(holder);
  holder.held = {};
  holder.phase = Phase::kIdle;
  holder.refused = true;
  const Refuse refuse = holder.refuse;  // a copy, because it may remove the holder
  refuse(limit);
}

std::optional<uint64_t> IngressBudget::TakeLogCount(IngressLimit limit, TimePoint now) {
  LogState& logged = logged_.at(static_cast<size_t>(limit));
  if (logged.at && now - *logged.at < kLogInterval) {
    return std::nullopt;
  }
  logged.at = now;
  return refused(limit) - std::exchange(logged.refused, refused(limit));
}

std::optional<IngressBudget::HolderId> IngressBudget::FindLargest(TimePoint now) const {
  std::optional<HolderId> largest;
  uint64_t largest_score = 0;
  for (const auto& [id, holder] : holders_) {
    const Duration stall = now - holder.last_progress;
    const size_t refusable = holder.held.refusable;
    const size_t least = stall < kStalledAfter ? kSmallRequestBytes : kMinRefusableBytes;
    if (holder.refused || refusable < least) {
      continue;
    }
    const uint64_t score = refusable * static_cast<uint64_t>((stall + kStallOffset).count());
    if (score > largest_score) {
      largest = id;
      largest_score = score;
    }
  }
  return largest;
}

std::optional<IngressBudget::HolderId> IngressBudget::FindLeastProgress(TimePoint now,
                                                                        const std::string* address,
                                                                        bool only_partial) const {
  std::optional<HolderId> least;
  std::pair<bool, Duration> least_rank;
  for (const auto& [id, holder] : holders_) {
    const bool eligible =
        holder.phase == Phase::kReading || (holder.phase == Phase::kIdle && !only_partial);
    if (!eligible || (only_partial && holder.refused) ||
        (address != nullptr && holder.address != *address)) {
      continue;
    }
    // Connections that have served a request before come last.
    const std::pair<bool, Duration> rank(!holder.has_served, now - holder.last_progress);
    if (!least || rank > least_rank) {
      least = id;
      least_rank = rank;
    }
  }
  return least;
}

}  // namespace endivecleat
