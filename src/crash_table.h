// The crash reports that a member holds: the newest of each reporter on each request fingerprint.
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

  /// True when the report is newer than the held one and has not expired.
  bool Merge(TimePoint now, const MemberCrashReport& report);
  /// A report of the member itself, with a time later than that of its previous one.
  MemberCrashReport MakeOwn(const InstanceId& self, uint64_t fingerprint, uint32_t count,
                            WallTime at) const;
  void Expire(TimePoint now);
  std::vector<MemberCrashReport> reports(TimePoint now) const;
  /// Equal for equal sets of reports.
  uint64_t hash() const { return hash_; }

 private:
  struct Held {
    MemberCrashReport report;
    TimePoint known_since;
  };
  Duration lifetime_;
  std::map<std::pair<InstanceId, uint64_t>, Held> held_;
  uint64_t hash_ = 0;
};

/// A hash that identifies the subject of a report.
uint64_t SubjectOf(const MemberCrashReport& report);

}  // namespace endivecleat

#endif  // ENDIVECLEAT_CRASH_TABLE_H_
