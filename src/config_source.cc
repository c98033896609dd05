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

std::vector<PeerMessage> ConfigSource::Hold(TimePoint now, ConfigTextPtr text) {
  std::vector<PeerMessage> out;
  if (newest() && text->version <= newest()->version) {
    return out;
  }
  history_bytes_ += text->text.size();
  history_.push_back(std::move(text));
  while (history_.size() > 1 && (history_.size() > settings_.history ||
                                 history_bytes_ > settings_.history_bytes.value())) {
    history_bytes_ -= history_.front()->text.size();
    history_.pop_front();
  }
  ServeWaiting(now, &out);
  return out;
}

std::vector<PeerMessage> ConfigSource::Publish(TimePoint now, ConfigTextPtr text,
                                               const std::vector<InstanceId>& peers) {
  if (newest() && text->version <= newest()->version) {
    return {};
  }
  std::vector<PeerMessage> out = Hold(now, std::move(text));
  for (const InstanceId& peer : ChooseRandom(peers, settings_.notices, &random_)) {
    out.push_back({peer, Notice()});
  }
  return out;
}

void ConfigSource::Heard(TimePoint now, ConfigVersion version) {
  if (version == refused_) {
    return;
  }
  if (version >= heard_ || now - heard_at_ > settings_.heard_lifetime) {
    heard_ = version;
    heard_at_ = now;
  }
}

void ConfigSource::Refuse(ConfigVersion version) {
  refused_ = version;
  if (heard_ == version) {
    heard_ = ConfigVersion();
  }
}

std::vector<PeerMessage> ConfigSource::Receive(TimePoint now, const InstanceId& from,
                                               const ConfigMessage& message) {
  std::vector<PeerMessage> out;
  switch (message.kind) {
    case Kind::kHello:
      Heard(now, message.version);
      if (newest()) {
        out.push_back({from, Notice()});
      }
      return out;
    case Kind::kPull:
      Heard(now, message.version);
      return HandlePull(now, from, message);
    case Kind::kNotice: {
      Heard(now, message.version);
      const auto found = under_way_.find(from);
      if (found != under_way_.end() && message.version >= found->second.version) {
        under_way_.erase(found);
        ServeWaiting(now, &out);
      }
      return out;
    }
    default:
      return out;
  }
}

std::vector<PeerMessage> ConfigSource::Tick(TimePoint now) {
  std::vector<PeerMessage> out;
  std::erase_if(under_way_, [now](const auto& item) { return now >= item.second.expires_at; });
  ServeWaiting(now, &out);
  while (!waiting_.empty() && now - waiting_.front().since >= settings_.queue_wait) {
    out.push_back({waiting_.front().from, Busy()});
    waiting_.pop_front();
  }
  return out;
}

ConfigMessage ConfigSource::Notice() const {
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
bool ConfigSource::MayServe(TimePoint now, ConfigVersion have) const {
  if (!newest()) {
    return false;
  }
  const bool heard_lately = now - heard_at_ <= settings_.heard_lifetime;
  const bool outdated = heard_lately && newest()->version < heard_;
  return !outdated || have > ConfigVersion();
}

std::vector<PeerMessage> ConfigSource::HandlePull(TimePoint now, const InstanceId& from,
                                                  const ConfigMessage& pull) {
  std::vector<PeerMessage> out;
  std::erase_if(waiting_, [&](const Waiting& waiting) { return waiting.from == from; });
  under_way_.erase(from);  // a repeated pull means that the earlier transfer is over or lost
  if (newest() && pull.version >= newest()->version) {
    out.push_back({from, Notice()});
    return out;
  }
  if (waiting_.size() >= settings_.queue_length) {
    out.push_back({from, Busy()});
    return out;
  }
  waiting_.push_back({from, pull, now});
  ServeWaiting(now, &out);
  return out;
}

void ConfigSource::ServeWaiting(TimePoint now, std::vector<PeerMessage>* out) {
  while (under_way_.size() < settings_.transfers) {
    const auto place = std::find_if(waiting_.begin(), waiting_.end(), [&](const Waiting& each) {
      return MayServe(now, each.pull.version);
    });
    if (place == waiting_.end()) {
      return;
    }
    const Waiting next = std::move(*place);
    waiting_.erase(place);
    if (next.pull.version >= newest()->version) {
      out->push_back({next.from, Notice()});
      continue;
    }
    under_way_[next.from] = {newest()->version, now + settings_.transfer_time};
    out->push_back({next.from, MakeTransfer(next.pull)});
  }
}

ConfigMessage ConfigSource::MakeTransfer(const ConfigMessage& pull) {
  const ConfigText* base = FindBase(pull.version, pull.digest);
  const ConfigVersion from = base == nullptr ? ConfigVersion() : base->version;
  if (!encoded_ || encoded_->from != from || encoded_->to != newest()->version) {
    encoded_ = Encoded{from, newest()->version, codec_.encode(base, *newest())};
  }
  ConfigMessage transfer = Notice();
  transfer.kind = Kind::kTransfer;
  transfer.transfer = encoded_->transfer.kind;
  transfer.bytes = encoded_->transfer.bytes;
  if (transfer.transfer == TransferKind::kDelta) {
    transfer.base = pull.version;
  }
  return transfer;
}

ConfigMessage ConfigSource::Busy() {
  const auto spread = static_cast<uint64_t>((settings_.retry_max - settings_.retry_min).count());
  ConfigMessage busy{.kind = Kind::kBusy};
  busy.retry_after = settings_.retry_min + Duration(random_.Below(spread + 1));
  return busy;
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
