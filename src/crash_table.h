// The crash reports known to a gossip member: the newest one per reporter and request fingerprint,
// with a hash over all of them for anti-entropy. Used by Membership.
#ifndef ENDIVECLEAT_CRASH_TABLE_H_
#define ENDIVECLEAT_CRASH_TABLE_H_

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "member_record.h"
#include "units.h"

namespace endivecleat {

class CrashTable {
 public:
  explicit CrashTable(Duration lifetime) : lifetime_(lifetime) {}

  /// Stores the report and returns true if it is newer than the stored one and has not expired.
  bool Merge(TimePoint now, const MemberCrashReport& report);
  /// Returns a report of the member itself, with a time later than that of its previous report. It
  /// is not stored.
  MemberCrashReport MakeOwnReport(const InstanceId& self, uint64_t fingerprint, uint32_t count,
                                  WallTime at) const;
  void Expire(TimePoint now);
  std::vector<MemberCrashReport> reports(TimePoint now) const;
  /// Hash over the stored reports; equal sets of reports have equal hashes.
  uint64_t hash() const { return hash_; }

 private:
  struct StoredReport {
    MemberCrashReport report;
    TimePoint created_at;
  };
  Duration lifetime_;
  std::map<std::pair<InstanceId, uint64_t>, StoredReport> reports_;
  uint64_t hash_ = 0;
};

/// A hash that identifies the subject of a report, which is its reporter and fingerprint.
uint64_t GossipKeyOf(const MemberCrashReport& report);

}  // namespace endivecleat

#endif  // ENDIVECLEAT_CRASH_TABLE_H_
