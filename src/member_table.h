// One member's view of its data centre: the member records, suspicions and tombstones, and the
// rules for merging gossip about other members. Membership owns the table and sends the results.
#ifndef ENDIVECLEAT_MEMBER_TABLE_H_
#define ENDIVECLEAT_MEMBER_TABLE_H_

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "member_record.h"
#include "units.h"

namespace endivecleat {

/// For anti-entropy, members are hashed into buckets: two members exchange one hash per bucket and
/// then only the records of the buckets that differ.
inline constexpr size_t kMemberBuckets = 32;

class MemberTable {
 public:
  enum class MergeOutcome {
    kIgnored,     // not newer than the stored state
    kRefreshed,   // load or configuration version changed
    kChanged,     // a member was added or removed, or its state or status changed
    kRefuted,     // a suspicion or death that the member has already refuted
    kTombstoned,  // outdated: the member has died, left or been superseded
    kUnknown,     // an update of a member without a stored record
  };
  struct PeerState {
    MemberKey key;
    bool suspect = false;
    TimePoint suspect_until;
    uint64_t suspect_refutation = 0;  // only a higher refutation count lifts the suspicion
    uint64_t stable_hash = 0;         // of the fields that the bucket hashes cover, without load
  };
  struct Tombstone {
    uint64_t sequence = 0;  // only a higher refutation count restores the member
    MemberStatus status = MemberStatus::kDead;
    Address address;
    TimePoint expires_at;
  };

  MemberTable(const MemberRecord& self, Duration suspicion_timeout, Duration tombstone_lifetime);

  /// Index 0 is this member itself; the others are in no particular order.
  const std::vector<MemberRecord>& records() const { return records_; }
  const MemberRecord& self() const { return records_.front(); }
  MemberKey self_key() const { return peers_.front().key; }
  const PeerState& peer(size_t index) const { return peers_[index]; }
  std::optional<size_t> Find(MemberKey key) const;
  /// Returns the given addresses that belong to no listed member.
  std::vector<Address> UnlistedAddresses(const std::vector<Address>& addresses) const;
  const Tombstone* FindTombstone(MemberKey key) const;
  const std::unordered_map<MemberKey, Tombstone>& tombstones() const { return tombstones_; }
  const std::array<uint64_t, kMemberBuckets>& buckets() const { return buckets_; }
  static size_t BucketOf(MemberKey key) { return key.value() % kMemberBuckets; }
  /// Incremented when a member is added, removed or restarted.
  uint64_t revision() const { return revision_; }

  void SetSelf(const MemberRecord& self);
  /// Merge a record or update of another member; the caller handles those about this member.
  MergeOutcome MergeRecord(TimePoint now, const MemberRecord& record);
  MergeOutcome MergeUpdate(TimePoint now, const MemberUpdate& update);
  /// Suspects a member after a failed probe of this member. Returns false if the member is unknown
  /// or already suspected.
  bool Suspect(TimePoint now, MemberKey key) { return SuspectAt(now, key, 0); }
  /// Lifts every pending suspicion.
  void ClearSuspicions();
  /// Declares dead and removes the members whose suspicion timed out. Returns the updates that tell
  /// the others.
  std::vector<MemberUpdate> ExpireSuspects(TimePoint now);
  void ExpireTombstones(TimePoint now);
  /// Removes a member without leaving a tombstone, because its state is unknown.
  void Forget(MemberKey key);
  /// Stores the configuration version that a member sent; ignores older versions.
  void SetConfigVersion(MemberKey key, ConfigVersion version, const std::string& digest);

  /// The digest that any member sent for a version, or an empty string. Needed because updates
  /// carry a version without its digest.
  std::string DigestOf(ConfigVersion version) const;

  /// Encodes the tombstones and records of the marked buckets, the records from index `first` on in
  /// circular order.
  std::vector<std::string> EncodeBuckets(const std::vector<bool>& buckets, size_t first,
                                         size_t max_records, size_t max_tombstones) const;

  /// The known state of a member as an update to send; nullopt if the member is unknown.
  std::optional<MemberUpdate> MakeUpdate(MemberKey key) const;

 private:
  bool SuspectAt(TimePoint now, MemberKey key, uint64_t sequence);
  bool RaiseTombstone(const MemberUpdate& update);
  bool LiftSuspicion(size_t index, uint64_t sequence);
  MergeOutcome Insert(const MemberRecord& record);
  void Remove(size_t index);
  void ReplaceWithTombstone(TimePoint now, size_t index, uint64_t sequence, MemberStatus status);
  void StoreDigest(ConfigVersion version, const std::string& digest);
  void SetRecord(size_t index, const MemberRecord& record);
  void Rehash(size_t index);

  Duration suspicion_timeout_;
  Duration tombstone_lifetime_;
  std::vector<MemberRecord> records_;  // never empty
  std::vector<PeerState> peers_;       // parallel to records_
  std::unordered_map<MemberKey, size_t> index_;
  std::unordered_map<InstanceId, MemberKey>
      current_keys_;  // the latest run of each listed instance
  std::unordered_map<MemberKey, Tombstone> tombstones_;
  std::map<ConfigVersion, std::string> digests_;  // of the highest 16 versions
  std::array<uint64_t, kMemberBuckets> buckets_{};
  uint64_t revision_ = 0;
};

}  // namespace endivecleat

#endif  // ENDIVECLEAT_MEMBER_TABLE_H_
