// Records and peers are parallel vectors with swap-removal; a bucket hash is the XOR of the stable
// hashes of its members, so that it is updated incrementally.
#include "member_table.h"

#include <xxhash.h>

#include <algorithm>
#include <limits>
#include <string>
#include <utility>

namespace endivecleat {
namespace {

constexpr size_t kMaxDigests = 16;
constexpr uint64_t kSupersededSequence = std::numeric_limits<uint64_t>::max();

uint64_t StableHash(MemberKey key, const MemberRecord& record) {
  const std::string text = record.address.text() + '/' + record.service.value() + '/' +
                           record.target.value() + '/' + std::to_string(record.slots) + '/' +
                           TargetStateName(record.state);
  return XXH3_64bits_withSeed(text.data(), text.size(), key.value());
}

}  // namespace

MemberTable::MemberTable(const MemberRecord& self, Duration suspicion_timeout,
                         Duration tombstone_lifetime)
    : suspicion_timeout_(suspicion_timeout), tombstone_lifetime_(tombstone_lifetime) {
  Insert(self);
}

std::optional<size_t> MemberTable::Find(MemberKey key) const {
  const auto found = index_.find(key);
  return found == index_.end() ? std::nullopt : std::optional(found->second);
}

const MemberTable::Tombstone* MemberTable::FindTombstone(MemberKey key) const {
  const auto found = tombstones_.find(key);
  return found == tombstones_.end() ? nullptr : &found->second;
}

void MemberTable::SetSelf(const MemberRecord& self) {
  const MemberKey key = KeyOf(self);
  if (key != peers_.front().key) {
    index_.erase(peers_.front().key);
    buckets_[BucketOf(peers_.front().key)] ^= peers_.front().stable_hash;
    peers_.front() = PeerState{.key = key};
    index_[key] = 0;
    current_keys_[self.instance] = key;
    ++revision_;
  }
  SetRecord(0, self);
}

MemberTable::MergeOutcome MemberTable::MergeRecord(TimePoint now, const MemberRecord& record) {
  const MemberKey key = KeyOf(record);
  if (const Tombstone* tombstone = FindTombstone(key)) {
    if (RefutationCount(record.sequence) <= RefutationCount(tombstone->sequence)) {
      return MergeOutcome::kTombstoned;
    }
  }
  const auto known = current_keys_.find(record.instance);
  if (known == current_keys_.end()) {
    return Insert(record);
  }
  if (known->second != key) {
    const size_t index = index_.at(known->second);
    if (record.boot_time < records_[index].boot_time) {
      tombstones_[key] = {kSupersededSequence, MemberStatus::kLeft, {}, now + tombstone_lifetime_};
      return MergeOutcome::kTombstoned;
    }
    ReplaceWithTombstone(now, index, kSupersededSequence, MemberStatus::kLeft);
    return Insert(record);
  }
  const size_t index = index_.at(key);
  if (record.sequence <= records_[index].sequence) {
    return MergeOutcome::kIgnored;
  }
  const bool refuted = LiftSuspicion(index, record.sequence);
  const uint64_t before = peers_[index].stable_hash;
  SetRecord(index, record);
  return refuted || before != peers_[index].stable_hash ? MergeOutcome::kChanged
                                                        : MergeOutcome::kRefreshed;
}

MemberTable::MergeOutcome MemberTable::MergeUpdate(TimePoint now, const MemberUpdate& update) {
  const bool alive = update.status == MemberStatus::kAlive;
  if (const Tombstone* tombstone = FindTombstone(update.key)) {
    if (!alive) {
      return RaiseTombstone(update) ? MergeOutcome::kChanged : MergeOutcome::kIgnored;
    }
    const bool newer = RefutationCount(update.sequence) > RefutationCount(tombstone->sequence);
    return newer ? MergeOutcome::kUnknown : MergeOutcome::kTombstoned;
  }
  const std::optional<size_t> index = Find(update.key);
  if (!index) {
    if (update.status == MemberStatus::kDead || update.status == MemberStatus::kLeft) {
      tombstones_[update.key] = {update.sequence, update.status, {}, now + tombstone_lifetime_};
      return MergeOutcome::kChanged;
    }
    return MergeOutcome::kUnknown;
  }
  MemberRecord& record = records_[*index];
  if (!alive) {
    if (RefutationCount(update.sequence) < RefutationCount(record.sequence)) {
      return MergeOutcome::kRefuted;
    }
    if (update.status == MemberStatus::kSuspect) {
      return SuspectAt(now, update.key, update.sequence) ? MergeOutcome::kChanged
                                                         : MergeOutcome::kIgnored;
    }
    ReplaceWithTombstone(now, *index, update.sequence, update.status);
    return MergeOutcome::kChanged;
  }
  if (update.sequence <= record.sequence) {
    return MergeOutcome::kIgnored;
  }
  const bool refuted = LiftSuspicion(*index, update.sequence);
  record.sequence = update.sequence;
  record.free_slots = update.free_slots;
  SetConfigVersion(update.key, update.config_version, {});
  return refuted ? MergeOutcome::kChanged : MergeOutcome::kRefreshed;
}

// A member may die right after it has refuted a suspicion, of which only some have heard. Without
// the later count, a delayed datagram with that refutation would list the dead member again.
bool MemberTable::RaiseTombstone(const MemberUpdate& update) {
  Tombstone& tombstone = tombstones_.at(update.key);
  if (update.status == MemberStatus::kSuspect ||
      RefutationCount(update.sequence) <= RefutationCount(tombstone.sequence)) {
    return false;
  }
  tombstone.sequence = update.sequence;
  return true;
}

bool MemberTable::SuspectAt(TimePoint now, MemberKey key, uint64_t sequence) {
  const std::optional<size_t> index = Find(key);
  if (!index || *index == 0 || peers_[*index].suspect) {
    return false;
  }
  PeerState& peer = peers_[*index];
  peer.suspect = true;
  peer.suspect_until = now + suspicion_timeout_;
  peer.suspect_refutation =
      std::max(RefutationCount(records_[*index].sequence), RefutationCount(sequence));
  return true;
}

bool MemberTable::LiftSuspicion(size_t index, uint64_t sequence) {
  PeerState& peer = peers_[index];
  const bool lifted = peer.suspect && RefutationCount(sequence) > peer.suspect_refutation;
  peer.suspect = peer.suspect && !lifted;
  return lifted;
}

void MemberTable::ClearSuspicions() {
  for (PeerState& peer : peers_) {
    peer.suspect = false;
  }
}

std::vector<MemberUpdate> MemberTable::ExpireSuspects(TimePoint now) {
  std::vector<MemberUpdate> dead;
  for (size_t index = 1; index < peers_.size();) {
    if (!peers_[index].suspect || now < peers_[index].suspect_until) {
      ++index;
      continue;
    }
    // Others may have suspected a later refutation than the one that is known here.
    const uint64_t sequence =
        std::max(records_[index].sequence, peers_[index].suspect_refutation << kRefutationShift);
    dead.push_back({.key = peers_[index].key, .sequence = sequence, .status = MemberStatus::kDead});
    ReplaceWithTombstone(now, index, sequence, MemberStatus::kDead);
  }
  return dead;
}

void MemberTable::ExpireTombstones(TimePoint now) {
  std::erase_if(tombstones_, [now](const auto& item) { return now >= item.second.expires_at; });
}

void MemberTable::Forget(MemberKey key) {
  const std::optional<size_t> index = Find(key);
  if (index && *index != 0) {
    Remove(*index);
  }
}

void MemberTable::SetConfigVersion(MemberKey key, ConfigVersion version,
                                   const std::string& digest) {
  const std::optional<size_t> index = Find(key);
  if (!index || version < records_[*index].config_version) {
    return;
  }
  StoreDigest(version, digest);
  MemberRecord& record = records_[*index];
  if (!digest.empty() || version != record.config_version) {
    record.config_digest = digest;
  }
  record.config_version = version;
}

std::optional<MemberUpdate> MemberTable::MakeUpdate(MemberKey key) const {
  if (const std::optional<size_t> index = Find(key)) {
    const MemberRecord& record = records_[*index];
    return MemberUpdate{key, record.sequence,
                        peers_[*index].suspect ? MemberStatus::kSuspect : MemberStatus::kAlive,
                        record.free_slots, record.config_version};
  }
  if (const Tombstone* tombstone = FindTombstone(key)) {
    return MemberUpdate{.key = key, .sequence = tombstone->sequence, .status = tombstone->status};
  }
  return std::nullopt;
}

void MemberTable::StoreDigest(ConfigVersion version, const std::string& digest) {
  if (digest.empty()) {
    return;
  }
  digests_[version] = digest;
  if (digests_.size() > kMaxDigests) {
    digests_.erase(digests_.begin());
  }
}

std::string MemberTable::DigestOf(ConfigVersion version) const {
  const auto found = digests_.find(version);
  return found == digests_.end() ? std::string() : found->second;
}

std::vector<std::string> MemberTable::EncodeBuckets(const std::vector<bool>& buckets, size_t first,
                                                    size_t max_records,
                                                    size_t max_tombstones) const {
  std::vector<std::string> items;
  for (const auto& [key, tombstone] : tombstones_) {
    if (buckets[BucketOf(key)] && items.size() < max_tombstones) {
      items.push_back(EncodeItem(*MakeUpdate(key)));
    }
  }
  const size_t max_items = items.size() + max_records;
  for (size_t i = 0; i < records_.size() && items.size() < max_items; ++i) {
    const size_t index = (first + i) % records_.size();
    if (buckets[BucketOf(peers_[index].key)]) {
      items.push_back(EncodeItem(records_[index]));
    }
  }
  return items;
}

MemberTable::MergeOutcome MemberTable::Insert(const MemberRecord& record) {
  const MemberKey key = KeyOf(record);
  tombstones_.erase(key);
  records_.push_back(record);
  peers_.push_back(PeerState{.key = key});
  index_[key] = records_.size() - 1;
  current_keys_[record.instance] = key;
  Rehash(records_.size() - 1);
  ++revision_;
  return MergeOutcome::kChanged;
}

void MemberTable::Remove(size_t index) {
  buckets_[BucketOf(peers_[index].key)] ^= peers_[index].stable_hash;
  index_.erase(peers_[index].key);
  current_keys_.erase(records_[index].instance);
  const size_t last = records_.size() - 1;
  if (index != last) {
    records_[index] = std::move(records_[last]);
    peers_[index] = peers_[last];
    index_[peers_[index].key] = index;
  }
  records_.pop_back();
  peers_.pop_back();
  ++revision_;
}

// A member that dies may have refuted its suspicion just before, unheard. So a refutation counts
// only if it is one more than that: a live member makes it when it hears that it is listed as dead.
void MemberTable::ReplaceWithTombstone(TimePoint now, size_t index, uint64_t sequence,
                                       MemberStatus status) {
  if (status == MemberStatus::kDead) {
    sequence = NextRefutationSequence(std::max(sequence, records_[index].sequence));
  }
  tombstones_[peers_[index].key] = {sequence, status, records_[index].address,
                                    now + tombstone_lifetime_};
  Remove(index);
}

void MemberTable::SetRecord(size_t index, const MemberRecord& record) {
  records_[index] = record;
  StoreDigest(record.config_version, record.config_digest);
  Rehash(index);
}

void MemberTable::Rehash(size_t index) {
  PeerState& peer = peers_[index];
  const uint64_t hash = StableHash(peer.key, records_[index]);
  buckets_[BucketOf(peer.key)] ^= peer.stable_hash ^ hash;
  peer.stable_hash = hash;
}

std::vector<Address> MemberTable::UnlistedAddresses(const std::vector<Address>& addresses) const {
  std::vector<Address> unlisted;
  for (const Address& address : addresses) {
    const bool member = std::any_of(records().begin(), records().end(),
                                    [&](const MemberRecord& m) { return m.address == address; });
    if (!member) {
      unlisted.push_back(address);
    }
  }
  return unlisted;
}

}  // namespace endivecleat
