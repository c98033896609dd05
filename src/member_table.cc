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

constexpr size_t kDigestsKept = 16;
constexpr uint64_t kSuperseded = std::numeric_limits<uint64_t>::max();

uint64_t StableHash(MemberKey key, const MemberRecord& record) {
  const std::string text = record.address.text() + '/' + record.service.value() + '/' +
                           record.target.value() + '/' + std::to_string(record.slots) + '/' +
                           TargetStateName(record.state);
  return XXH3_64bits_withSeed(text.data(), text.size(), key.value());
}

}  // namespace

MemberTable::MemberTable(const MemberRecord& self, Duration suspicion, Duration tombstone_lifetime)
    : suspicion_(suspicion), tombstone_lifetime_(tombstone_lifetime) {
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
    peers_.front() = Peer{.key = key};
    index_[key] = 0;
    current_[self.instance] = key;
    ++revision_;
  }
  SetRecord(0, self);
}

MemberTable::Outcome MemberTable::MergeRecord(TimePoint now, const MemberRecord& record) {
  const MemberKey key = KeyOf(record);
  if (const Tombstone* tombstone = FindTombstone(key)) {
    if (RefutationOf(record.sequence) <= RefutationOf(tombstone->sequence)) {
      return Outcome::kTombstoned;
    }
  }
  const auto known = current_.find(record.instance);
  if (known == current_.end()) {
    return Insert(record);
  }
  if (known->second != key) {
    const size_t index = index_.at(known->second);
    if (record.boot_time < records_[index].boot_time) {
      tombstones_[key] = {kSuperseded, MemberStatus::kLeft, {}, now + tombstone_lifetime_};
      return Outcome::kTombstoned;
    }
    Bury(now, index, kSuperseded, MemberStatus::kLeft);
    return Insert(record);
  }
  const size_t index = index_.at(key);
  if (record.sequence <= records_[index].sequence) {
    return Outcome::kIgnored;
  }
  const bool refuted = LiftedBy(index, record.sequence);
  const uint64_t before = peers_[index].stable_hash;
  SetRecord(index, record);
  return refuted || before != peers_[index].stable_hash ? Outcome::kChanged : Outcome::kRefreshed;
}

MemberTable::Outcome MemberTable::MergeUpdate(TimePoint now, const MemberUpdate& update) {
  const bool alive = update.status == MemberStatus::kAlive;
  if (const Tombstone* tombstone = FindTombstone(update.key)) {
    if (!alive) {
      return Outcome::kIgnored;
    }
    const bool newer = RefutationOf(update.sequence) > RefutationOf(tombstone->sequence);
    return newer ? Outcome::kUnknown : Outcome::kTombstoned;
  }
  const std::optional<size_t> index = Find(update.key);
  if (!index) {
    if (update.status == MemberStatus::kDead || update.status == MemberStatus::kLeft) {
      tombstones_[update.key] = {update.sequence, update.status, {}, now + tombstone_lifetime_};
      return Outcome::kChanged;
    }
    return Outcome::kUnknown;
  }
  MemberRecord& record = records_[*index];
  if (!alive) {
    if (RefutationOf(update.sequence) < RefutationOf(record.sequence)) {
      return Outcome::kRefuted;
    }
    if (update.status == MemberStatus::kSuspect) {
      return SuspectAt(now, update.key, update.sequence) ? Outcome::kChanged : Outcome::kIgnored;
    }
    Bury(now, *index, update.sequence, update.status);
    return Outcome::kChanged;
  }
  if (update.sequence <= record.sequence) {
    return Outcome::kIgnored;
  }
  const bool refuted = LiftedBy(*index, update.sequence);
  record.sequence = update.sequence;
  record.load = update.load;
  SetConfigVersion(update.key, update.config_version, {});
  return refuted ? Outcome::kChanged : Outcome::kRefreshed;
}

bool MemberTable::SuspectAt(TimePoint now, MemberKey key, uint64_t sequence) {
  const std::optional<size_t> index = Find(key);
  if (!index || *index == 0 || peers_[*index].suspect) {
    return false;
  }
  Peer& peer = peers_[*index];
  peer.suspect = true;
  peer.suspect_until = now + suspicion_;
  peer.suspect_refutation =
      std::max(RefutationOf(records_[*index].sequence), RefutationOf(sequence));
  return true;
}

bool MemberTable::LiftedBy(size_t index, uint64_t sequence) {
  Peer& peer = peers_[index];
  const bool lifted = peer.suspect && RefutationOf(sequence) > peer.suspect_refutation;
  peer.suspect = peer.suspect && !lifted;
  return lifted;
}

void MemberTable::ClearSuspicions() {
  for (Peer& peer : peers_) {
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
    dead.push_back({.key = peers_[index].key,
                    .sequence = records_[index].sequence,
                    .status = MemberStatus::kDead});
    Bury(now, index, records_[index].sequence, MemberStatus::kDead);
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
  NoteDigest(version, digest);
  MemberRecord& record = records_[*index];
  if (!digest.empty() || version != record.config_version) {
    record.config_digest = digest;
  }
  record.config_version = version;
}

std::optional<MemberUpdate> MemberTable::Describe(MemberKey key) const {
  if (const std::optional<size_t> index = Find(key)) {
    const MemberRecord& record = records_[*index];
    return MemberUpdate{key, record.sequence,
                        peers_[*index].suspect ? MemberStatus::kSuspect : MemberStatus::kAlive,
                        record.load, record.config_version};
  }
  if (const Tombstone* tombstone = FindTombstone(key)) {
    return MemberUpdate{.key = key, .sequence = tombstone->sequence, .status = tombstone->status};
  }
  return std::nullopt;
}

void MemberTable::NoteDigest(ConfigVersion version, const std::string& digest) {
  if (digest.empty()) {
    return;
  }
  digests_[version] = digest;
  if (digests_.size() > kDigestsKept) {
    digests_.erase(digests_.begin());
  }
}

std::string MemberTable::DigestOf(ConfigVersion version) const {
  const auto found = digests_.find(version);
  return found == digests_.end() ? std::string() : found->second;
}

std::vector<std::string> MemberTable::Encode(const std::vector<bool>& buckets, size_t first,
                                             size_t most_records, size_t most_tombstones) const {
  std::vector<std::string> items;
  for (const auto& [key, tombstone] : tombstones_) {
    if (buckets[BucketOf(key)] && items.size() < most_tombstones) {
      items.push_back(EncodeItem(*Describe(key)));
    }
  }
  const size_t most = items.size() + most_records;
  for (size_t i = 0; i < records_.size() && items.size() < most; ++i) {
    const size_t index = (first + i) % records_.size();
    if (buckets[BucketOf(peers_[index].key)]) {
      items.push_back(EncodeItem(records_[index]));
    }
  }
  return items;
}

MemberTable::Outcome MemberTable::Insert(const MemberRecord& record) {
  const MemberKey key = KeyOf(record);
  tombstones_.erase(key);
  records_.push_back(record);
  peers_.push_back(Peer{.key = key});
  index_[key] = records_.size() - 1;
  current_[record.instance] = key;
  Rehash(records_.size() - 1);
  ++revision_;
  return Outcome::kChanged;
}

void MemberTable::Remove(size_t index) {
  buckets_[BucketOf(peers_[index].key)] ^= peers_[index].stable_hash;
  index_.erase(peers_[index].key);
  current_.erase(records_[index].instance);
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

void MemberTable::Bury(TimePoint now, size_t index, uint64_t sequence, MemberStatus status) {
  tombstones_[peers_[index].key] = {sequence, status, records_[index].address,
                                    now + tombstone_lifetime_};
  Remove(index);
}

void MemberTable::SetRecord(size_t index, const MemberRecord& record) {
  records_[index] = record;
  NoteDigest(record.config_version, record.config_digest);
  Rehash(index);
}

void MemberTable::Rehash(size_t index) {
  Peer& peer = peers_[index];
  const uint64_t hash = StableHash(peer.key, records_[index]);
  buckets_[BucketOf(peer.key)] ^= peer.stable_hash ^ hash;
  peer.stable_hash = hash;
}

std::vector<Address> MemberTable::Absent(const std::vector<Address>& addresses) const {
  std::vector<Address> absent;
  for (const Address& address : addresses) {
    const bool member = std::any_of(records().begin(), records().end(),
                                    [&](const MemberRecord& m) { return m.address == address; });
    if (!member) {
      absent.push_back(address);
    }
  }
  return absent;
}

}  // namespace endivecleat
