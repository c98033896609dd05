// Implements the pull queue, the slots of concurrent transfers and the history of delta bases.
#include "config_source.h"

#include <algorithm>
#include <utility>

namespace endivecleat {

using Kind = ConfigMessage::Kind;

std::vector<InstanceId> ChooseRandom(std::vector<InstanceId> from, size_t count,
                                     SeededRandom* random) {
  count = std::min(count, from.size());
  for (size_t i = 0; i < count; ++i) {
    std::swap(from[i], from[i + random->Below(from.size() - i)]);
  }
  from.resize(count);
  return from;
}

ConfigSource::ConfigSource(ConfigSourceSettings settings, TransferCodec codec, uint64_t seed)
    : settings_(settings), codec_(std::move(codec)), random_(seed) {}

std::vector<PeerMessage> ConfigSource::Store(TimePoint now, ConfigTextPtr text) {
  std::vector<PeerMessage> out;
  if (newest() && text->version <= newest()->version) {
    return out;
  }
  cached_transfers_.clear();
  history_bytes_ += text->text.size();
  history_.push_back(std::move(text));
  while (history_.size() > 1 && (history_.size() > settings_.history ||
                                 history_bytes_ > settings_.history_bytes.value())) {
    history_bytes_ -= history_.front()->text.size();
    history_.pop_front();
  }
  ServeQueue(now, &out);
  return out;
}

std::vector<PeerMessage> ConfigSource::Publish(TimePoint now, ConfigTextPtr text,
                                               const std::vector<InstanceId>& peers) {
  if (newest() && text->version <= newest()->version) {
    return {};
  }
  std::vector<PeerMessage> out = Store(now, std::move(text));
  for (const InstanceId& peer : NoticeReceivers(now, peers)) {
    out.push_back({peer, MakeNotice()});
  }
  return out;
}

std::vector<InstanceId> ConfigSource::NoticeReceivers(TimePoint now,
                                                      const std::vector<InstanceId>& peers) {
  std::erase_if(pullers_,
                [&](const auto& item) { return now - item.second > settings_.puller_lifetime; });
  std::vector<InstanceId> receivers = ChooseRandom(peers, settings_.notice_fanout, &random_);
  for (const auto& [puller, at] : pullers_) {
    if (std::find(receivers.begin(), receivers.end(), puller) == receivers.end()) {
      receivers.push_back(puller);
    }
  }
  return receivers;
}

void ConfigSource::RecordPuller(TimePoint now, const InstanceId& from) {
  pullers_[from] = now;
  if (pullers_.size() > settings_.notice_fanout) {
    pullers_.erase(std::min_element(
        pullers_.begin(), pullers_.end(),
        [](const auto& one, const auto& other) { return one.second < other.second; }));
  }
}

void ConfigSource::NoteKnownVersion(TimePoint now, ConfigVersion version) {
  if (version == rejected_) {
    return;
  }
  if (version >= newest_known_ || now - newest_known_at_ > settings_.known_version_lifetime) {
    newest_known_ = version;
    newest_known_at_ = now;
  }
}

void ConfigSource::MarkRejected(ConfigVersion version) {
  rejected_ = version;
  if (newest_known_ == version) {
    newest_known_ = ConfigVersion();
  }
}

std::vector<PeerMessage> ConfigSource::Receive(TimePoint now, const InstanceId& from,
                                               const ConfigMessage& message) {
  std::vector<PeerMessage> out;
  switch (message.kind) {
    case Kind::kHello:
      NoteKnownVersion(now, message.version);
      if (newest()) {
        out.push_back({from, MakeNotice()});
      }
      return out;
    case Kind::kPull:
      NoteKnownVersion(now, message.version);
      return HandlePull(now, from, message);
    case Kind::kNotice: {
      NoteKnownVersion(now, message.version);
      const auto found = in_flight_.find(from);
      if (found != in_flight_.end() && message.version >= found->second.version) {
        in_flight_.erase(found);
        ServeQueue(now, &out);
      }
      if (newest() && message.version < newest()->version) {
        out.push_back({from, MakeNotice()});
      }
      return out;
    }
    default:
      return out;
  }
}

std::vector<PeerMessage> ConfigSource::Tick(TimePoint now) {
  std::vector<PeerMessage> out;
  std::erase_if(in_flight_, [&](const auto& item) {
    const auto& [peer, transfer] = item;
    if (now < transfer.expires_at) {
      return false;
    }
    events_.push_back({.kind = ConfigEvent::Kind::kTransferExpired,
                       .peer = peer,
                       .version = transfer.version,
                       .waited = now - transfer.sent_at});
    return true;
  });
  ServeQueue(now, &out);
  while (!queue_.empty() && now - queue_.front().since >= settings_.queue_wait) {
    out.push_back(RefusePull(now, queue_.front()));
    queue_.pop_front();
  }
  return out;
}

ConfigMessage ConfigSource::MakeNotice() const {
  ConfigMessage notice{.kind = Kind::kNotice};
  if (newest()) {
    notice.version = newest()->version;
    notice.digest = newest()->digest;
  }
  return notice;
}

// A daemon without a configuration must not start with a version that is known to be outdated. A
// daemon with an older version is served anyway: during rapid changes every source knows of a newer
// version than it stores, and withholding would leave all daemons behind.
bool ConfigSource::MayServe(TimePoint now, ConfigVersion requester_version) const {
  if (!newest()) {
    return false;
  }
  const bool is_recent = now - newest_known_at_ <= settings_.known_version_lifetime;
  const bool outdated = is_recent && newest()->version < newest_known_;
  return !outdated || requester_version > ConfigVersion();
}

std::vector<PeerMessage> ConfigSource::HandlePull(TimePoint now, const InstanceId& from,
                                                  const ConfigMessage& pull) {
  std::vector<PeerMessage> out;
  RecordPuller(now, from);
  std::erase_if(queue_, [&](const QueuedPull& queued) { return queued.from == from; });
  in_flight_.erase(from);  // a repeated pull means that the earlier transfer is over or lost
  if (newest() && pull.version >= newest()->version) {
    out.push_back({from, MakeNotice()});
    return out;
  }
  if (queue_.size() >= settings_.queue_length) {
    out.push_back(RefusePull(now, {from, pull, now}));
    return out;
  }
  queue_.push_back({from, pull, now});
  ServeQueue(now, &out);
  return out;
}

void ConfigSource::ServeQueue(TimePoint now, std::vector<PeerMessage>* out) {
  while (BytesInFlight() < settings_.max_transfer_bytes) {
    const auto next_pull = std::find_if(queue_.begin(), queue_.end(), [&](const QueuedPull& each) {
      return MayServe(now, each.pull.version);
    });
    if (next_pull == queue_.end()) {
      return;
    }
    const QueuedPull next = std::move(*next_pull);
    queue_.erase(next_pull);
    if (next.pull.version >= newest()->version) {
      out->push_back({next.from, MakeNotice()});
      continue;
    }
    out->push_back({next.from, MakeTransfer(next.pull)});
    const ConfigMessage& transfer = out->back().message;
    in_flight_[next.from] = {newest()->version, ByteCount(transfer.bytes.size()), now,
                             now + settings_.transfer_time};
    events_.push_back({.kind = ConfigEvent::Kind::kTransferSent,
                       .peer = next.from,
                       .version = transfer.version,
                       .base = transfer.base,
                       .bytes = ByteCount(transfer.bytes.size()),
                       .waited = now - next.since});
  }
}

ByteCount ConfigSource::BytesInFlight() const {
  uint64_t bytes = 0;
  for (const auto& [peer, transfer] : in_flight_) {
    bytes += transfer.bytes.value();
  }
  return ByteCount(bytes);
}

ConfigMessage ConfigSource::MakeTransfer(const ConfigMessage& pull) {
  const ConfigText* base = FindBase(pull.version, pull.digest);
  const ConfigVersion from = base == nullptr ? ConfigVersion() : base->version;
  auto cached = cached_transfers_.find(from);
  if (cached == cached_transfers_.end()) {
    cached = cached_transfers_.emplace(from, codec_.encode(base, *newest())).first;
  }
  ConfigMessage transfer = MakeNotice();
  transfer.kind = Kind::kTransfer;
  transfer.transfer = cached->second.kind;
  transfer.bytes = cached->second.bytes;
  if (transfer.transfer == TransferKind::kDelta) {
    transfer.base = pull.version;
  }
  return transfer;
}

ConfigMessage ConfigSource::MakeBusy() {
  const auto jitter = static_cast<uint64_t>((settings_.retry_max - settings_.retry_min).count());
  ConfigMessage busy{.kind = Kind::kBusy};
  busy.retry_after = settings_.retry_min + Duration(random_.Below(jitter + 1));
  return busy;
}

PeerMessage ConfigSource::RefusePull(TimePoint now, const QueuedPull& refused) {
  events_.push_back({.kind = ConfigEvent::Kind::kBusySent,
                     .peer = refused.from,
                     .version = newest() ? newest()->version : ConfigVersion(),
                     .waited = now - refused.since});
  return {refused.from, MakeBusy()};
}

const ConfigText* ConfigSource::FindBase(ConfigVersion version, const std::string& digest) const {
  for (const ConfigTextPtr& text : history_) {
    if (text->version == version && text->digest == digest) {
      return text.get();
    }
  }
  return nullptr;
}

}  // namespace endivecleat
