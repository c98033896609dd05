// Merges each received datagram into the tables and queues what changed for gossip. Seeds, remote
// seeds, neighbours and members declared dead are contacted on timers with random jitter, so that a
// new member joins and the halves of a healed partition merge.
#include "membership.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace endivecleat {
namespace {

constexpr double kMembersAtLoadInterval = 64;  // with more, loads are gossiped less often
constexpr Duration kAloneSeedInterval = std::chrono::seconds(1);
constexpr Duration kSeedInterval = std::chrono::seconds(5);
constexpr Duration kDeadPingInterval = std::chrono::seconds(1);
constexpr Duration kSyncInterval = std::chrono::seconds(2);
constexpr Duration kFastSyncInterval = std::chrono::milliseconds(200);
constexpr Duration kJoinPhase = std::chrono::seconds(10);
// If the latest sync changed at least this many records, more are probably missing: sync again
// soon.
constexpr uint32_t kMinChangesForFastSync = 4;
constexpr Duration kRelayLifetime = std::chrono::seconds(2);
constexpr Duration kCorrectionInterval = std::chrono::milliseconds(250);
constexpr Duration kConfirmationTimeout = std::chrono::seconds(3);
constexpr size_t kMaxLeaveDatagrams = 8;
constexpr size_t kMaxSyncDatagrams = 4;
constexpr size_t kMaxSyncRecords = 40;
constexpr uint32_t kMismatchesBeforeSync = 3;  // fewer also occur while gossip is still spreading
constexpr size_t kMaxSyncTombstones = 24;

// Sorts members by region, then by data centre; equal in every process.
uint64_t LocalityRank(const MemberRecord& member) {
  const std::string& region = member.region.value();
  const std::string& data_centre = member.data_centre.value();
  const uint64_t region_rank = XXH3_64bits(region.data(), region.size()) >> kRegionShift
                                                                                << kRegionShift;
  return region_rank | (XXH3_64bits(data_centre.data(), data_centre.size()) & UINT32_MAX);
}

}  // namespace

Membership::Membership(const MemberRecord& self, MembershipSettings settings,
                       std::vector<Address> seeds, uint64_t seed, TimePoint now)
    : settings_(std::move(settings)),
      seeds_(std::move(seeds)),
      random_(seed),
      data_centre_hash_(HashOf(settings_.data_centre)),
      table_(self, settings_.suspicion_timeout, settings_.tombstone_lifetime),
      detector_(settings_.detector, random_.Next(), now),
      now_(now),
      started_at_(now),
      joined_at_(now),
      started_wall_(self.boot_time),
      next_seed_contact_(now),
      next_dead_ping_(now + kDeadPingInterval),
      next_sync_(now),
      next_load_update_(now) {
  std::erase(seeds_, self.address);
  std::erase(settings_.remote_seeds, self.address);
}

std::vector<Datagram> Membership::Tick(TimePoint now) {
  Datagrams out;
  if (left_) {
    return out;
  }
  AdvanceClock(now);
  ExpireAll();
  if (load_update_pending_ && now_ >= next_load_update_) {
    load_update_pending_ = false;
    next_load_update_ = now_ + LoadInterval();
    QueueUpdate(table_.self_key(), false);
  }
  RunDetector(&out);
  ContactSeeds(&out);
  PingDeadMembers(&out);
  return out;
}

// Each member receives the changes of all others, so the interval grows with their number.
Duration Membership::LoadInterval() const {
  const double factor = static_cast<double>(members().size()) / kMembersAtLoadInterval;
  return std::chrono::duration_cast<Duration>(settings_.load_interval * std::max(factor, 1.0));
}

std::vector<Datagram> Membership::Receive(TimePoint now, const Address& from,
                                          std::string_view datagram) {
  Datagrams out;
  if (left_ || datagram.size() > settings_.datagram_bytes) {
    return out;
  }
  const std::optional<DatagramContent> content = DecodeDatagram(settings_.mesh_token, datagram);
  if (!content || content->header.sender == table_.self_key()) {
    return out;
  }
  AdvanceClock(now);
  const DatagramHeader& header = content->header;
  if (header.data_centre != data_centre_hash_) {
    if (header.kind == DatagramKind::kSyncRequest) {
      AnswerRemoteSyncRequest(from, *content, &out);
    }
    return out;
  }
  detector_.Heard(now_);
  Merge(*content);
  switch (header.kind) {
    case DatagramKind::kPing:
      Send(from, header.sender, Header(DatagramKind::kAck, header.nonce), &out);
      break;
    case DatagramKind::kAck:
      HandleAck(*content, &out);
      break;
    case DatagramKind::kPingRequest:
      HandlePingRequest(from, *content, &out);
      break;
    case DatagramKind::kSyncRequest:
      AnswerSyncRequest(from, *content, &out);
      break;
    case DatagramKind::kSync:
      break;
    case DatagramKind::kIntroduce:
      for (const Address& address : content->introduced) {
        if (address != table_.self().address) {
          SendSyncRequest(address, &out);
        }
      }
      return out;
  }
  CompareViews(from, *content, &out);
  return out;
}

void Membership::UpdateSelf(TimePoint now, const MemberRecord& self) {
  AdvanceClock(now);
  MemberRecord next = table_.self();
  next.service = self.service;
  next.target = self.target;
  next.state = self.state;
  next.slots = self.slots;
  next.target_version = self.target_version;
  const bool record_changed = next != table_.self();
  next.free_slots = self.free_slots;
  next.config_version = self.config_version;
  next.config_digest = self.config_digest;
  if (next == table_.self()) {
    return;
  }
  ++next.sequence;
  const bool new_version = next.config_version != table_.self().config_version;
  table_.SetSelf(next);
  if (record_changed) {
    QueueRecord(next);
  } else if (new_version) {
    QueueUpdate(table_.self_key(), false);
  } else {
    load_update_pending_ = true;
  }
}

std::vector<Datagram> Membership::Leave(TimePoint now) {
  Datagrams out;
  if (left_) {
    return out;
  }
  AdvanceClock(now);
  MemberUpdate leave_update{
      .key = table_.self_key(), .sequence = table_.self().sequence, .status = MemberStatus::kLeft};
  queue_.Clear();
  queue_.Push(GossipQueue::Kind::kUpdate, leave_update.key.value(), true, kMaxLeaveDatagrams,
              EncodeItem(leave_update));
  const size_t others = members().size() - 1;
  const size_t first = random_.Below(others);
  for (size_t i = 0; i < std::min(kMaxLeaveDatagrams, others); ++i) {
    const size_t index = 1 + (first + i) % others;
    Send(members()[index].address, table_.peer(index).key, Header(DatagramKind::kSync, 0), &out);
  }
  left_ = true;
  return out;
}

bool Membership::IsSuspect(const MemberRecord& member) const {
  const std::optional<size_t> index = table_.Find(KeyOf(member));
  return index && table_.peer(*index).suspect;
}

std::vector<PeerVersion> Membership::peer_versions() const {
  std::vector<PeerVersion> versions;
  versions.reserve(members().size());
  for (size_t i = 1; i < members().size(); ++i) {
    const MemberRecord& member = members()[i];
    const std::string digest = member.config_digest.empty() ? table_.DigestOf(member.config_version)
                                                            : member.config_digest;
    versions.push_back({member.instance, member.config_version, digest});
  }
  return versions;
}

void Membership::ReportCrash(TimePoint now, uint64_t fingerprint, uint32_t count) {
  AdvanceClock(now);
  MergeCrash(crashes_.MakeOwnReport(table_.self().instance, fingerprint, count, WallNow()), true);
}

void Membership::MergeSummary(const DataCentreSummary& summary) {
  if (summary.data_centre == settings_.data_centre) {
    return;
  }
  std::set<ServiceName> listed;
  for (const ServiceSummary& service : summary.services) {
    listed.insert(service.service);
    MergeSummaryEntry({summary.data_centre, summary.region, summary.made_at, Duration{}, service},
                      true);
  }
  for (SummaryEntry& stored : summaries_.entries(now_)) {
    if (stored.data_centre == summary.data_centre && !listed.contains(stored.service.service)) {
      stored.made_at = summary.made_at;
      stored.age = Duration{};
      stored.service = ServiceSummary{.service = stored.service.service};
      MergeSummaryEntry(stored, true);
    }
  }
  const SummaryRenewal renewal{summary.data_centre, summary.made_at, Duration{}};
  summaries_.Renew(now_, renewal);
  queue_.Push(GossipQueue::Kind::kOther, GossipKeyOf(summary.data_centre, ServiceName()), false,
              TransmitCount(false), EncodeItem(renewal));
}

DataCentreSummary Membership::OwnSummary() const {
  return {settings_.data_centre, settings_.region, WallNow(), SummariseServices(members())};
}

WallTime Membership::WallNow() const {
  const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(now_ - started_at_);
  return WallTime(started_wall_.value() + static_cast<uint64_t>(elapsed.count()));
}

DatagramHeader Membership::Header(DatagramKind kind, uint32_t nonce) const {
  return {.kind = kind,
          .data_centre = data_centre_hash_,
          .sender = table_.self_key(),
          .nonce = nonce,
          .config_version = table_.self().config_version,
          .config_digest = table_.self().config_digest,
          .view_hash = ViewHash()};
}

void Membership::Send(const Address& to, MemberKey receiver, const DatagramHeader& header,
                      Datagrams* out) {
  std::string datagram = BeginDatagram(header);
  // Tell a receiver that is listed as suspect or dead, so that it can refute this if it is alive.
  const std::optional<MemberUpdate> known_state = table_.MakeUpdate(receiver);
  if (known_state && known_state->status != MemberStatus::kAlive) {
    datagram += EncodeItem(*known_state);
  }
  GossipQueue::Limits limits;
  limits.bytes = settings_.datagram_bytes - kDatagramTrailerBytes;
  queue_.Fill(limits, &datagram);
  out->push_back({to, EndDatagram(std::move(datagram), settings_.mesh_token)});
}

void Membership::SendSyncRequest(const Address& to, Datagrams* out) {
  DatagramHeader header = Header(DatagramKind::kSyncRequest, 0);
  header.part_hashes = EncodePartHashes(PartHashes());
  std::string datagram = BeginDatagram(header);
  datagram += EncodeItem(table_.self());
  out->push_back({to, EndDatagram(std::move(datagram), settings_.mesh_token)});
}

std::vector<uint32_t> Membership::PartHashes() const {
  std::vector<uint32_t> part_hashes;
  for (const uint64_t bucket : table_.buckets()) {
    part_hashes.push_back(static_cast<uint32_t>(bucket));
  }
  part_hashes.push_back(static_cast<uint32_t>(crashes_.hash()));
  part_hashes.push_back(static_cast<uint32_t>(summaries_.hash()));
  return part_hashes;
}

uint64_t Membership::ViewHash() const {
  const std::vector<uint32_t> part_hashes = PartHashes();
  return XXH3_64bits(part_hashes.data(), part_hashes.size() * sizeof(uint32_t));
}

uint32_t Membership::TransmitCount(bool urgent) const {
  const double members_log = std::ceil(std::log10(static_cast<double>(members().size() + 1)));
  return (urgent ? 4 : 2) * std::max(1U, static_cast<uint32_t>(members_log));
}

void Membership::QueueUpdate(MemberKey key, bool urgent) {
  if (const std::optional<MemberUpdate> update = table_.MakeUpdate(key)) {
    if (update->status == MemberStatus::kDead || update->status == MemberStatus::kLeft) {
      queue_.Erase(GossipQueue::Kind::kRecord, key.value());
    }
    queue_.Push(GossipQueue::Kind::kUpdate, key.value(), urgent, TransmitCount(urgent),
                EncodeItem(*update));
  }
}

void Membership::QueueRecord(const MemberRecord& record) {
  queue_.Push(GossipQueue::Kind::kRecord, KeyOf(record).value(), true, TransmitCount(true),
              EncodeItem(record));
}

void Membership::QueueSelf() {
  QueueRecord(table_.self());
  QueueUpdate(table_.self_key(), true);
}

void Membership::Refute(uint64_t sequence) {
  MemberRecord self = table_.self();
  self.sequence = NextRefutationSequence(std::max(self.sequence, sequence));
  table_.SetSelf(self);
  QueueSelf();
}

void Membership::AdvanceClock(TimePoint now) {
  const bool frozen = now - now_ > settings_.freeze_threshold;
  now_ = std::max(now_, now);
  if (!frozen) {
    return;
  }
  // The state from before the freeze is outdated: do not gossip it, and do not suspect members
  // whose acks this member missed.
  detector_.Reset(now_);
  queue_.Clear();
  relays_.clear();
  table_.ClearSuspicions();
  unconfirmed_.clear();
  for (size_t i = 1; i < members().size(); ++i) {
    unconfirmed_.insert(table_.peer(i).key);
  }
  unconfirmed_until_ = now_ + kConfirmationTimeout;
  Refute(table_.self().sequence);
  next_sync_ = now_;
  joined_at_ = now_;
}

void Membership::DropUnconfirmed(TimePoint now) {
  if (unconfirmed_.empty() || now < unconfirmed_until_) {
    return;
  }
  for (const MemberKey key : unconfirmed_) {
    table_.Forget(key);
  }
  unconfirmed_.clear();
}

void Membership::ExpireAll() {
  DropUnconfirmed(now_);
  for (const MemberUpdate& dead : table_.ExpireSuspects(now_)) {
    QueueUpdate(dead.key, true);
  }
  table_.ExpireTombstones(now_);
  summaries_.Expire(now_);
  crashes_.Expire(now_);
  std::erase_if(relays_, [this](const auto& item) { return now_ >= item.second.expires_at; });
  std::erase_if(corrected_at_,
                [this](const auto& item) { return now_ - item.second >= kCorrectionInterval; });
}

void Membership::UpdateRing() {
  if (ring_revision_ == table_.revision()) {
    return;
  }
  ring_revision_ = table_.revision();
  std::vector<RingMember> others;
  for (size_t i = 1; i < members().size(); ++i) {
    others.push_back({LocalityRank(members()[i]), table_.peer(i).key});
  }
  detector_.SetMembers({LocalityRank(table_.self()), table_.self_key()}, std::move(others));
}

void Membership::RunDetector(Datagrams* out) {
  UpdateRing();
  const FailureDetector::Actions actions = detector_.Tick(now_);
  for (const MemberKey key : actions.failed) {
    if (table_.Suspect(now_, key)) {
      QueueUpdate(key, true);
    }
  }
  for (const FailureDetector::Ping& ping : actions.pings) {
    const MemberRecord& record = members()[*table_.Find(ping.member)];
    Send(record.address, ping.member, Header(DatagramKind::kPing, ping.nonce), out);
  }
  for (const FailureDetector::IndirectPing& ping : actions.indirect_pings) {
    DatagramHeader header = Header(DatagramKind::kPingRequest, ping.nonce);
    header.member_to_ping = ping.member;
    Send(members()[*table_.Find(ping.relay)].address, ping.relay, header, out);
  }
}

void Membership::ContactSeeds(Datagrams* out) {
  if (now_ < next_seed_contact_) {
    return;
  }
  const bool alone = members().size() == 1;
  const std::vector<Address> unlisted = table_.UnlistedAddresses(seeds_);
  if (!unlisted.empty()) {
    SendSyncRequest(unlisted[random_.Below(unlisted.size())], out);
  }
  // Only about two members of a group without seeds send requests to other data centres.
  const bool without_seeds = !seeds_.empty() && unlisted.size() == seeds_.size();
  const bool ask_remote =
      alone ? now_ - started_at_ >= kAloneSeedInterval : random_.Below(members().size()) < 2;
  if (without_seeds && ask_remote && !settings_.remote_seeds.empty()) {
    SendSyncRequest(settings_.remote_seeds[random_.Below(settings_.remote_seeds.size())], out);
  }
  // While no control instance runs anywhere, a restarted member can only join through these.
  const std::vector<Address> neighbours =
      without_seeds ? table_.UnlistedAddresses(settings_.neighbours) : std::vector<Address>();
  if (!neighbours.empty()) {
    SendSyncRequest(neighbours[random_.Below(neighbours.size())], out);
  }
  const Duration interval = alone ? kAloneSeedInterval : kSeedInterval;
  next_seed_contact_ =
      now_ + interval / 2 + Duration(random_.Below(static_cast<uint64_t>(interval.count())));
}

void Membership::PingDeadMembers(Datagrams* out) {
  if (now_ < next_dead_ping_) {
    return;
  }
  next_dead_ping_ = now_ + kDeadPingInterval;
  std::vector<std::pair<MemberKey, Address>> dead;
  for (const auto& [key, tombstone] : table_.tombstones()) {
    if (tombstone.status == MemberStatus::kDead && !tombstone.address.ip.empty()) {
      dead.emplace_back(key, tombstone.address);
    }
  }
  // All members together ping each dead member about twice a second.
  if (dead.empty() || random_.Below(members().size()) >= 2 * dead.size()) {
    return;
  }
  std::sort(dead.begin(), dead.end());  // the iteration order of the hash map is unspecified
  const auto& [key, address] = dead[random_.Below(dead.size())];
  Send(address, key, Header(DatagramKind::kPing, 0), out);
}

void Membership::Merge(const DatagramContent& content) {
  // The items of a sync are already known to other members, so they are not forwarded.
  const bool forward = content.header.kind != DatagramKind::kSync || content.records.empty();
  unconfirmed_.erase(content.header.sender);
  for (const MemberRecord& record : content.records) {
    unconfirmed_.erase(KeyOf(record));
    MergeRecord(record, forward);
  }
  for (const MemberUpdate& update : content.updates) {
    MergeUpdate(update, forward);
  }
  for (const MemberCrashReport& report : content.crash_reports) {
    MergeCrash(report, forward);
  }
  for (const SummaryEntry& entry : content.summary_entries) {
    MergeSummaryEntry(entry, forward);
  }
  for (const SummaryRenewal& renewal : content.summary_renewals) {
    if (summaries_.Renew(now_, renewal)) {
      queue_.Push(GossipQueue::Kind::kOther, GossipKeyOf(renewal.data_centre, ServiceName()), false,
                  TransmitCount(false), EncodeItem(renewal));
    }
  }
  table_.SetConfigVersion(content.header.sender, content.header.config_version,
                          content.header.config_digest);
}

void Membership::MergeRecord(const MemberRecord& record, bool forward) {
  if (record.instance == table_.self().instance) {
    MemberRecord self = table_.self();
    if (record.boot_time > self.boot_time) {
      // The wall clock was set back after an earlier run. Take a later boot time to supersede it.
      self.boot_time = record.boot_time.next();
      table_.SetSelf(self);
      QueueSelf();
    } else if (record.boot_time == self.boot_time && record.sequence > self.sequence) {
      Refute(record.sequence);
    }
    return;
  }
  switch (table_.MergeRecord(now_, record)) {
    case MemberTable::MergeOutcome::kChanged:
      if (forward) {
        QueueRecord(record);
      } else {
        ++sync_changes_;
      }
      break;
    case MemberTable::MergeOutcome::kRefreshed:
      if (forward) {
        QueueUpdate(KeyOf(record), false);
      }
      break;
    case MemberTable::MergeOutcome::kTombstoned:
      QueueCorrection(KeyOf(record));
      break;
    default:
      break;
  }
}

void Membership::MergeUpdate(const MemberUpdate& update, bool forward) {
  if (update.key == table_.self_key()) {
    const bool alive = update.status == MemberStatus::kAlive;
    if (!alive && RefutationCount(update.sequence) >= RefutationCount(table_.self().sequence)) {
      Refute(update.sequence);
    }
    return;
  }
  switch (table_.MergeUpdate(now_, update)) {
    case MemberTable::MergeOutcome::kChanged:
      QueueUpdate(update.key, true);
      break;
    case MemberTable::MergeOutcome::kRefreshed:
      if (forward) {
        QueueUpdate(update.key, false);
      }
      break;
    case MemberTable::MergeOutcome::kRefuted:
    case MemberTable::MergeOutcome::kTombstoned:
      QueueCorrection(update.key);
      break;
    default:
      break;
  }
}

void Membership::QueueCorrection(MemberKey key) {
  if (corrected_at_.emplace(key, now_).second) {
    QueueUpdate(key, true);
  }
}

void Membership::MergeCrash(const MemberCrashReport& report, bool forward) {
  if (crashes_.Merge(now_, report) && forward) {
    queue_.Push(GossipQueue::Kind::kOther, GossipKeyOf(report), true, TransmitCount(true),
                EncodeItem(report));
  }
}

void Membership::MergeSummaryEntry(const SummaryEntry& entry, bool forward) {
  if (entry.data_centre != settings_.data_centre && summaries_.Merge(now_, entry) && forward) {
    queue_.Push(GossipQueue::Kind::kOther, GossipKeyOf(entry.data_centre, entry.service.service),
                false, TransmitCount(false), EncodeItem(entry));
  }
}

void Membership::HandleAck(const DatagramContent& content, Datagrams* out) {
  detector_.Acknowledge(content.header.nonce);
  const auto relay = relays_.find(content.header.nonce);
  if (relay == relays_.end()) {
    return;
  }
  Send(relay->second.origin, MemberKey(), Header(DatagramKind::kAck, relay->second.origin_nonce),
       out);
  relays_.erase(relay);
}

void Membership::HandlePingRequest(const Address& from, const DatagramContent& content,
                                   Datagrams* out) {
  const std::optional<size_t> index = table_.Find(content.header.member_to_ping);
  if (!index || *index == 0) {
    return;
  }
  const auto nonce = static_cast<uint32_t>(random_.Next());
  relays_[nonce] = {from, content.header.nonce, now_ + kRelayLifetime};
  Send(members()[*index].address, content.header.member_to_ping, Header(DatagramKind::kPing, nonce),
       out);
}

void Membership::AnswerSyncRequest(const Address& from, const DatagramContent& content,
                                   Datagrams* out) {
  const std::vector<bool> differs = DifferingParts(PartHashes(), content.header.part_hashes);
  std::vector<std::string> items = table_.EncodeBuckets(differs, random_.Below(members().size()),
                                                        kMaxSyncRecords, kMaxSyncTombstones);
  const std::vector<MemberCrashReport> crashes = crash_reports();
  for (size_t i = 0; differs[kMemberBuckets] && i < std::min(kMaxSyncRecords, crashes.size());
       ++i) {
    items.push_back(EncodeItem(crashes[i]));
  }
  const std::vector<SummaryEntry> entries = summaries_.entries(now_);
  const size_t start = random_.Below(entries.size());
  for (size_t i = 0; differs[kMemberBuckets + 1] && i < std::min(kMaxSyncRecords, entries.size());
       ++i) {
    items.push_back(EncodeItem(entries[(start + i) % entries.size()]));
  }
  for (std::string& datagram : PackItems(Header(DatagramKind::kSync, 0), items, kMaxSyncDatagrams,
                                         settings_.datagram_bytes, settings_.mesh_token)) {
    out->push_back({from, std::move(datagram)});
  }
}

void Membership::AnswerRemoteSyncRequest(const Address& from, const DatagramContent& content,
                                         Datagrams* out) {
  DatagramHeader header = Header(DatagramKind::kIntroduce, 0);
  header.data_centre = content.header.data_centre;
  std::string datagram = BeginDatagram(header);
  const std::vector<Address> others = introductions_.Introduce(now_, header.data_centre, from);
  for (const Address& address : others) {
    AppendIntroduced(address, &datagram);
  }
  if (!others.empty()) {
    out->push_back({from, EndDatagram(std::move(datagram), settings_.mesh_token)});
  }
}

void Membership::CompareViews(const Address& from, const DatagramContent& content, Datagrams* out) {
  if (content.header.view_hash == ViewHash()) {
    view_mismatches_ = 0;
    return;
  }
  ++view_mismatches_;
  // A member that recently started or resumed, or whose latest sync changed many records, requests
  // the next sync after the first mismatch.
  const bool behind = now_ - joined_at_ < kJoinPhase || sync_changes_ >= kMinChangesForFastSync;
  if (now_ < next_sync_ || (!behind && view_mismatches_ < kMismatchesBeforeSync)) {
    return;
  }
  const Duration interval = behind ? kFastSyncInterval : kSyncInterval;
  next_sync_ = now_ + interval + Duration(random_.Below(static_cast<uint64_t>(interval.count())));
  sync_changes_ = 0;
  SendSyncRequest(from, out);
}

}  // namespace endivecleat
