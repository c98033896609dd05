// Implements the pull protocol: Hello messages after a start, candidate selection, verification of
// transfers, and election of the relays that contact other data centres.
#include "config_replica.h"

#include <xxhash.h>

#include <algorithm>

#include "errors.h"

namespace endivecleat {
namespace {

using Kind = ConfigMessage::Kind;

// Polls of all daemons that start together spread over this part of their interval.
constexpr uint64_t kConfirmJitterDivisor = 4;
// While no control instance can tell, as in a data centre that is cut off, so many are asked one
// after the other, and then one in each interval.
constexpr size_t kMaxContactsAtOnce = 2;
// After this time a nearer control instance is tried again.
constexpr Duration kContactLifetime = std::chrono::seconds(10);
constexpr Duration kRelayCheckInterval = std::chrono::milliseconds(500);

bool Contains(const std::vector<InstanceId>& instances, const InstanceId& instance) {
  return std::find(instances.begin(), instances.end(), instance) != instances.end();
}

}  // namespace

ConfigReplica::ConfigReplica(InstanceId self, ConfigReplicaSettings settings, TransferCodec codec,
                             Installer installer, uint64_t seed, TimePoint now)
    : self_(std::move(self)),
      settings_(std::move(settings)),
      codec_(codec),
      installer_(std::move(installer)),
      random_(seed),
      source_(settings_.source, std::move(codec), random_.Next()),
      last_control_contact_(now) {
  const auto jitter = static_cast<uint64_t>(settings_.start_jitter.count());
  next_control_hello_ = now + Duration(random_.Below(jitter + 1));
  next_peer_hello_ = next_control_hello_;
  earliest_pull_at_ = next_control_hello_ + settings_.hello_wait;
  next_remote_poll_ = earliest_pull_at_;
}

std::vector<PeerMessage> ConfigReplica::Receive(TimePoint now, const InstanceId& from,
                                                const ConfigMessage& message) {
  Messages out;
  if (Contains(settings_.local_controls, from)) {
    last_control_contact_ = now;
  }
  constexpr auto kLearned = ConfigEvent::Kind::kVersionNoticed;
  switch (message.kind) {
    case Kind::kHello:
    case Kind::kPull:
      RecordOffer(now, from, message.version, message.digest, kLearned);
      out = source_.Receive(now, from, message);
      break;
    case Kind::kNotice:
      out = source_.Receive(now, from, message);
      RecordOffer(now, from, message.version, message.digest, kLearned);
      if (const auto candidate = candidates_.find(from); candidate != candidates_.end()) {
        candidate->second.last_notice_at = now;
        earliest_pull_at_ = std::min(earliest_pull_at_, now + settings_.offer_delay);
      }
      unanswered_hellos_.erase(from);
      if (from == contact_) {
        contact_asked_at_.reset();
        contacts_failed_ = 0;
      }
      remote_poll_answered_ = remote_poll_answered_ || IsRemote(from);
      if (pull_ && pull_->from == from && message.version <= own_version()) {
        pull_.reset();  // the source has no newer version
      }
      break;
    case Kind::kTransfer:
      HandleTransfer(now, from, message, &out);
      break;
    case Kind::kBusy:
      ++counters_.busy;
      if (pull_ && pull_->from == from) {
        EndPull(now, ConfigEvent::Kind::kPullBusy);
      }
      candidates_[from].busy_until = now + message.retry_after;
      if (from == contact_ && contact_asked_at_) {
        UseNextContact(now);
      }
      break;
  }
  PullIfNeeded(now, &out);
  return out;
}

std::vector<PeerMessage> ConfigReplica::Tick(TimePoint now, const std::vector<PeerVersion>& peers) {
  Messages out = source_.Tick(now);
  SetPeers(now, peers);
  Prune(now);
  if (pull_ && now - pull_->sent_at >= settings_.pull_timeout) {
    ++counters_.timeouts;
    AvoidPeer(now, pull_->from, settings_.avoid_after_timeout);
    EndPull(now, ConfigEvent::Kind::kPullTimedOut);
  }
  SendHellos(now, &out);
  PollRemote(now, &out);
  PullIfNeeded(now, &out);
  ConfirmVersion(now, &out);
  return out;
}

std::vector<PeerMessage> ConfigReplica::NotDelivered(TimePoint now, const InstanceId& to) {
  Messages out;
  if (to == contact_ && contact_asked_at_) {
    UseNextContact(now);
  }
  if (pull_ && pull_->from == to) {
    AvoidPeer(now, to, settings_.avoid_after_timeout);
    EndPull(now, ConfigEvent::Kind::kPullNotDelivered);
    PullIfNeeded(now, &out);
  }
  return out;
}

ConfigMessage ConfigReplica::MakeOwnMessage(Kind kind) const {
  ConfigMessage message = source_.MakeNotice();
  message.kind = kind;
  return message;
}

void ConfigReplica::RecordOffer(TimePoint now, const InstanceId& from, ConfigVersion version,
                                const std::string& digest, ConfigEvent::Kind learned) {
  if (version <= own_version()) {
    candidates_.erase(from);
    return;
  }
  if (version > newest_offered_) {
    newest_offered_ = version;
    events_.push_back(
        {.kind = learned, .peer = from, .version = version, .waited = now - last_control_contact_});
  }
  source_.NoteKnownVersion(now, version);
  const auto [found, added] = candidates_.try_emplace(from);
  Candidate& candidate = found->second;
  if (added || candidate.version <= own_version()) {
    candidate.first_offer_at = now;
  }
  candidate.last_offer_at = now;
  if (version >= candidate.version) {
    candidate.version = version;
    candidate.digest = digest;
  }
}

void ConfigReplica::HandleTransfer(TimePoint now, const InstanceId& from,
                                   const ConfigMessage& transfer, Messages* out) {
  if (pull_ && pull_->from == from) {
    EndPull(now, ConfigEvent::Kind::kPullAnswered);
    events_.back().version = transfer.version;
    events_.back().base = transfer.base;
    events_.back().bytes = ByteCount(transfer.bytes.size());
  }
  ConfigTextPtr text = VerifyAndInstall(now, from, transfer);
  if (!text) {
    return;
  }
  ++counters_.installed;
  *out = source_.Store(now, std::move(text));
  std::erase_if(candidates_,
                [this](const auto& item) { return item.second.version <= own_version(); });
  // The successor in the sorted list of daemons is always notified. With random choice alone, one
  // daemon in twenty gets no notice and learns of the version only by gossip.
  std::vector<InstanceId> notified;
  if (!peers_.empty() && settings_.notice_fanout > 0) {
    const auto next = std::upper_bound(peers_.begin(), peers_.end(), self_);
    notified = ChooseRandom(peers_, settings_.notice_fanout - 1, &random_);
    notified.push_back(next == peers_.end() ? peers_.front() : *next);
  }
  notified.push_back(from);  // acknowledges the transfer
  std::sort(notified.begin(), notified.end());
  notified.erase(std::unique(notified.begin(), notified.end()), notified.end());
  for (const InstanceId& peer : notified) {
    out->push_back({peer, source_.MakeNotice()});
  }
}

ConfigTextPtr ConfigReplica::VerifyAndInstall(TimePoint now, const InstanceId& from,
                                              const ConfigMessage& transfer) {
  if (transfer.version <= own_version()) {
    ++counters_.discarded_old;
    return nullptr;
  }
  const bool delta = transfer.transfer == TransferKind::kDelta;
  if (delta && (!in_force() || transfer.base != own_version())) {
    ++counters_.discarded_base;  // raced with another transfer, so the sender is not avoided
    return nullptr;
  }
  std::optional<std::string> text =
      codec_.decode(transfer.transfer, delta ? in_force().get() : nullptr, transfer.bytes);
  if (!text || codec_.digest(*text) != transfer.digest) {
    ++counters_.discarded_damaged;
    AvoidPeer(now, from, settings_.avoid_after_bad_transfer);
    return nullptr;
  }
  bool valid = false;
  try {
    valid = installer_(transfer.version, *text);
  } catch (const UserError&) {
    valid = false;
  }
  if (!valid) {
    ++counters_.discarded_invalid;
    rejected_ = {transfer.version, transfer.digest};
    source_.MarkRejected(transfer.version);
    AvoidPeer(now, from, settings_.avoid_after_bad_transfer);
    return nullptr;
  }
  return std::make_shared<const ConfigText>(
      ConfigText{transfer.version, transfer.digest, std::move(*text)});
}

void ConfigReplica::EndPull(TimePoint now, ConfigEvent::Kind how) {
  events_.push_back({.kind = how,
                     .peer = pull_->from,
                     .version = pull_->version,
                     .waited = now - pull_->sent_at});
  pull_.reset();
}

ConfigEvents ConfigReplica::TakeEvents() {
  ConfigEvents events = std::exchange(events_, {});
  for (ConfigEvent& event : source_.TakeEvents()) {
    events.push_back(std::move(event));
  }
  return events;
}

void ConfigReplica::AvoidPeer(TimePoint now, const InstanceId& from, Duration time) {
  avoided_until_[from] = now + time;
}

void ConfigReplica::SendHellos(TimePoint now, Messages* out) {
  if (in_force() || now < next_control_hello_) {
    return;
  }
  hello_sent_ = true;
  next_control_hello_ = now + std::min(settings_.control_hello_interval, settings_.hello_wait);
  std::vector<InstanceId> receivers = settings_.local_controls;
  if (now >= next_peer_hello_) {
    next_peer_hello_ = now + settings_.hello_wait;
    for (InstanceId& peer : ChooseRandom(peers_, settings_.hello_peers, &random_)) {
      receivers.push_back(std::move(peer));
    }
  }
  for (const InstanceId& peer : receivers) {
    unanswered_hellos_.insert(peer);
    out->push_back({peer, MakeOwnMessage(Kind::kHello)});
  }
}

void ConfigReplica::PollRemote(TimePoint now, Messages* out) {
  if (now < next_remote_poll_ || settings_.remote_controls.empty()) {
    return;
  }
  if (!IsRelay()) {
    next_remote_poll_ = now + kRelayCheckInterval;
    return;
  }
  next_remote_poll_ = now + (local_control_alive_ ? settings_.remote_poll_interval
                                                  : settings_.remote_poll_interval_without_control);
  if (!remote_poll_answered_) {
    remote_index_ = (remote_index_ + 1) % settings_.remote_controls.size();
  }
  remote_poll_answered_ = false;
  out->push_back({settings_.remote_controls[remote_index_], MakeOwnMessage(Kind::kHello)});
}

void ConfigReplica::ConfirmVersion(TimePoint now, Messages* out) {
  const std::vector<InstanceId>& controls = settings_.local_controls;
  // A pull shows as well whether its source answers.
  if (!in_force() || controls.empty() || pull_) {
    return;
  }
  if (contact_asked_at_ && now - *contact_asked_at_ >= settings_.confirm_timeout) {
    UseNextContact(now);
  }
  if (contact_asked_at_ || now < next_confirm_) {
    return;
  }
  if (!Contains(controls, contact_) || now - contact_since_ > kContactLifetime) {
    contact_ = controls.front();
    contact_since_ = now;
  }
  const auto spread =
      static_cast<uint64_t>(settings_.confirm_interval.count()) / kConfirmJitterDivisor;
  next_confirm_ =
      now + settings_.confirm_interval - Duration(static_cast<int64_t>(random_.Below(spread + 1)));
  contact_asked_at_ = now;
  out->push_back({contact_, MakeOwnMessage(Kind::kHello)});
}

void ConfigReplica::UseNextContact(TimePoint now) {
  const std::vector<InstanceId>& controls = settings_.local_controls;
  const auto found = std::find(controls.begin(), controls.end(), contact_);
  contact_ =
      found == controls.end() || found + 1 == controls.end() ? controls.front() : *(found + 1);
  contact_since_ = now;
  contact_asked_at_.reset();
  ++contacts_failed_;
  next_confirm_ = contacts_failed_ <= kMaxContactsAtOnce ? now : now + settings_.confirm_interval;
}

// A version that only gossip tells of may be held by any member, however far and busy. The contact
// is asked first.
bool ConfigReplica::WaitsForContact(TimePoint now, TimePoint first_offer) const {
  return in_force() && Contains(settings_.local_controls, contact_) &&
         now - first_offer < settings_.confirm_timeout;
}

void ConfigReplica::PullIfNeeded(TimePoint now, Messages* out) {
  const bool all_answered = hello_sent_ && unanswered_hellos_.empty();
  if (pull_ || (!in_force() && now < earliest_pull_at_ && !all_answered)) {
    return;
  }
  ConfigVersion best = own_version();
  // While changes follow one another, the sources of the newest version may be busy; a version in
  // between that another can send now is better than none.
  for (const auto& [instance, candidate] : candidates_) {
    if (now >= candidate.busy_until && IsUsable(now, instance, candidate)) {
      best = std::max(best, candidate.version);
    }
  }
  // Gossip may still list instances that have become unreachable, so the pull goes to one with the
  // most recent direct notice. A control instance goes before daemons, whose links and processors
  // are needed for calls; it answers busy when it is at its limit.
  using Rank = std::pair<bool, TimePoint>;
  std::vector<InstanceId> holders;
  Rank highest{false, TimePoint{}};
  for (const auto& [instance, candidate] : candidates_) {
    const bool holds = candidate.version == best && best > own_version();
    const bool noticed = candidate.last_notice_at > TimePoint{};
    const Rank rank{noticed && Contains(settings_.local_controls, instance),
                    candidate.last_notice_at};
    if (!holds || !IsUsable(now, instance, candidate) || now < candidate.busy_until ||
        rank < highest) {
      continue;
    }
    if (rank > highest) {
      holders.clear();
      highest = rank;
    }
    holders.push_back(instance);
  }
  if (holders.empty()) {
    return;
  }
  if (highest.second == TimePoint{} &&
      WaitsForContact(now, candidates_.at(holders.front()).first_offer_at)) {
    next_confirm_ = now;
    return;
  }
  pull_ = Pull{holders[random_.Below(holders.size())], best, now};
  ++counters_.pulls;
  out->push_back({pull_->from, MakeOwnMessage(Kind::kPull)});
}

bool ConfigReplica::IsRemote(const InstanceId& instance) const {
  return Contains(settings_.remote_controls, instance);
}

bool ConfigReplica::IsUsable(TimePoint now, const InstanceId& instance,
                             const Candidate& candidate) const {
  const auto avoided = avoided_until_.find(instance);
  if (avoided != avoided_until_.end() && now < avoided->second) {
    return false;
  }
  if (rejected_ && rejected_->first == candidate.version && rejected_->second == candidate.digest) {
    return false;
  }
  if (IsRemote(instance)) {
    const bool delay_passed = now - candidate.first_offer_at >= settings_.remote_pull_delay;
    return IsRelay() && (!local_control_alive_ || delay_passed);
  }
  return true;
}

bool ConfigReplica::IsRelay() const {
  // Rendezvous hashing by data centre and version, among the daemons with the same version. If all
  // daemons were ranked, the lowest hashes of each version could belong to daemons with another
  // version, and no daemon would be a relay.
  const auto rank = [this](const InstanceId& instance) {
    const std::string text = settings_.data_centre.value() + '/' + instance.value();
    return XXH3_64bits_withSeed(text.data(), text.size(), own_version().value());
  };
  const uint64_t own_rank = rank(self_);
  size_t lower = 0;
  for (const InstanceId& peer : same_version_peers_) {
    lower += rank(peer) < own_rank ? 1 : 0;
  }
  return lower < settings_.max_relays;
}

void ConfigReplica::SetPeers(TimePoint now, const std::vector<PeerVersion>& peers) {
  peers_.clear();
  same_version_peers_.clear();
  local_control_alive_ = false;
  for (const PeerVersion& peer : peers) {
    if (Contains(settings_.local_controls, peer.instance)) {
      local_control_alive_ = true;
    } else {
      peers_.push_back(peer.instance);
      if (peer.version == own_version()) {
        same_version_peers_.push_back(peer.instance);
      }
    }
    RecordOffer(now, peer.instance, peer.version, peer.digest, ConfigEvent::Kind::kVersionGossiped);
  }
  std::sort(peers_.begin(), peers_.end());
}

void ConfigReplica::SetLocalControls(std::vector<InstanceId> controls) {
  if (!controls.empty()) {
    settings_.local_controls = std::move(controls);
  }
}

void ConfigReplica::Prune(TimePoint now) {
  std::erase_if(candidates_, [&](const auto& item) {
    return now - item.second.last_offer_at > settings_.candidate_lifetime;
  });
  std::erase_if(avoided_until_, [now](const auto& item) { return now >= item.second; });
}

}  // namespace endivecleat
