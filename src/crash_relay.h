// Exchanges crash counts between data centres through their control instances, so that a request
// that crashed targets in one data centre does not crash two more in each of the others.
#ifndef ENDIVECLEAT_CRASH_RELAY_H_
#define ENDIVECLEAT_CRASH_RELAY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "member_record.h"
#include "units.h"

namespace endivecleat {

/// Crashes of one fingerprint since its last success, summed over all targets of a data centre.
struct CrashTotal {
  uint64_t fingerprint = 0;
  uint32_t crashes = 0;  // 0: the request has succeeded since the last crash

  bool operator==(const CrashTotal&) const = default;
};

std::string EncodeCrashTotals(const std::vector<CrashTotal>& totals);
/// Throws UserError (kMessageMalformed).
std::vector<CrashTotal> DecodeCrashTotals(std::string_view bytes);

class CrashRelay {
 public:
  /// Reports of `control_instances` were made by relays and are not forwarded, since that would
  /// count a crash twice.
  explicit CrashRelay(std::set<InstanceId> control_instances)
      : control_instances_(std::move(control_instances)) {}

  /// Returns the totals of the own data centre that changed since the last call, to be sent to the
  /// other data centres.
  std::vector<CrashTotal> TakeChangedTotals(const std::vector<MemberCrashReport>& reports);
  /// Stores the totals of another data centre. Returns the changed sums over all other data
  /// centres, to be reported in the own one.
  std::vector<CrashTotal> Merge(const DataCentreId& from, const std::vector<CrashTotal>& totals);

 private:
  uint32_t ReceivedTotal(uint64_t fingerprint) const;

  std::set<InstanceId> control_instances_;
  std::map<uint64_t, uint32_t> sent_totals_;
  std::map<std::pair<uint64_t, DataCentreId>, uint32_t> received_totals_;
  std::map<uint64_t, uint32_t> reported_totals_;
};

}  // namespace endivecleat

#endif  // ENDIVECLEAT_CRASH_RELAY_H_
