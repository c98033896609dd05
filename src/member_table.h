// The members of a data centre that one member knows, with the suspicions and the tombstones, and
// the rules by which news about a member is accepted.
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

/// Members are compared in parts: two members exchange one hash of each bucket and then only the
/// records of the buckets that differ.
inline constexpr size_t kMemberBuckets = 32;

class MemberTable {
 public:
  enum class Outcome {
    kIgnored,     // not newer than what is known
    kRefreshed,   // load or configuration version changed
    kChanged,     // a member was added or removed, or its state or status changed
    kRefuted,     // suspects a member that has refuted this suspicion
    kTombstoned,  // claims that a member is alive which is known to have died or left
    kUnknown,     // an update of a member whose record is not known
  };
  struct Peer {
    MemberKey key;
    bool suspect = false;
    TimePoint suspect_until;
    uint64_t suspect_refutation = 0;  // a record with a higher count lifts the suspicion
    uint64_t stable_hash = 0;         // of what the bucket hashes cover
  };
  struct Tombstone {
    uint64_t sequence = 0;  // a record with a higher refutation count brings the member back
    MemberStatus status = MemberStatus::kDead;
    Address address;
    TimePoint expires_at;
  };

  MemberTable(const MemberRecord& self, Duration suspicion, Duration tombstone_lifetime);

  /// Index 0 is the member itself; the others are in no order.
  const std::vector<MemberRecord>& records() const { return records_; }
  const MemberRecord& self() const { return records_.front(); }
  MemberKey self_key() const { return peers_.front().key; }
  const Peer& peer(size_t index) const { return peers_[index]; }
  std::optional<size_t> Find(MemberKey key) const;
  /// Those of the addresses that no member has.
  std::vector<Address> Absent(const std::vector<Address>& addresses) const;
  const Tombstone* FindTombstone(MemberKey key) const;
  const std::unordered_map<MemberKey, Tombstone>& tombstones() const { return tombstones_; }
  const std::array<uint64_t, kMemberBuckets>& buckets() const { return buckets_; }
  static size_t BucketOf(MemberKey key) { return key.value() % kMemberBuckets; }
  /// Counts additions, removals and restarts of members.
  uint64_t revision() const { return revision_; }

  void SetSelf(const MemberRecord& self);
  /// News about other members only.
  Outcome MergeRecord(TimePoint now, const MemberRecord& record);
  Outcome MergeUpdate(TimePoint now, const MemberUpdate& update);
  /// Suspects a member from its own evidence. False when it is suspected already.
  bool Suspect(TimePoint now, MemberKey key) { return SuspectAt(now, key, 0); }
  /// Lifts every suspicion that has not become a verdict.
  void ClearSuspicions();
  /// Removes the suspects whose time is over; their updates say so to the others.
  std::vector<MemberUpdate> ExpireSuspects(TimePoint now);
  void ExpireTombstones(TimePoint now);
  /// Removes a member without a tombstone: nothing is known about it any more.
  void Forget(MemberKey key);
  /// A member's own datagram told its configuration version.
  void SetConfigVersion(MemberKey key, ConfigVersion version, const std::string& digest);

  /// The digest that some member told for a version, or an empty string: updates carry no digests.
  std::string DigestOf(ConfigVersion version) const;

  /// The encoded records, from an index on, and tombstones of the marked buckets.
  std::vector<std::string> Encode(const std::vector<bool>& buckets, size_t first,
                                  size_t most_records, size_t most_tombstones) const;

  /// What is known about a member, as an update to send.
  std::optional<MemberUpdate> Describe(MemberKey key) const;

 private:
  bool SuspectAt(TimePoint now, MemberKey key, uint64_t sequence);
  bool LiftedBy(size_t index, uint64_t sequence);
  Outcome Insert(const MemberRecord& record);
  void Remove(size_t index);
  void Bury(TimePoint now, size_t index, uint64_t sequence, MemberStatus status);
  void NoteDigest(ConfigVersion version, const std::string& digest);
  void SetRecord(size_t index, const MemberRecord& record);
  void Rehash(size_t index);

  Duration suspicion_;
  Duration tombstone_lifetime_;
  std::vector<MemberRecord> records_;  // never empty
  std::vector<Peer> peers_;            // parallel to records_
  std::unordered_map<MemberKey, size_t> index_;
  std::unordered_map<InstanceId, MemberKey> current_;  // the newest run of each known instance
  std::unordered_map<MemberKey, Tombstone> tombstones_;
  std::map<ConfigVersion, std::string> digests_;  // of the newest few versions
  std::array<uint64_t, kMemberBuckets> buckets_{};
  uint64_t revision_ = 0;
};

}  // namespace endivecleat

#endif  // ENDIVECLEAT_MEMBER_TABLE_H_
