// Blocks poison requests, which crash every target that runs them. Each daemon has one guard. It
// counts the crashes of its own target per request fingerprint and receives those of the data
// centre's other targets by gossip (see crash_report_exchange.h).
#ifndef ENDIVECLEAT_CRASH_GUARD_H_
#define ENDIVECLEAT_CRASH_GUARD_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "call_headers.h"
#include "call_types.h"
#include "http_message.h"
#include "units.h"

namespace endivecleat {

/// XXH3-128 of a request as 32 hexadecimal digits. The path includes the query.
std::string RequestDigest(std::string_view method, std::string_view path, std::string_view body);

/// The fingerprint of a request to `service`, from all that decides what the target does with it:
/// service, method, host, path, query, origin service and body. The field named by
/// `names.origin_service` must be the one that the target gets, not the one that the caller sent.
Fingerprint FingerprintOf(const ServiceName& service, const CallHeaders& names,
                          const HttpRequest& request);
uint64_t FingerprintNumber(const Fingerprint& fingerprint);
Fingerprint FingerprintOfNumber(uint64_t number);

/// One daemon's report on one fingerprint. Times are wall-clock times, since monotonic clocks of
/// two processes cannot be compared.
struct CrashReport {
  Fingerprint fingerprint;
  std::vector<WallTime> crashes;  // ascending; at most the newest two
  WallTime last_success;          // 0: no success since the first known crash

  bool operator==(const CrashReport&) const = default;
};

enum class CrashVerdict { kRun, kStop };

enum class CallEnding { kAnswered, kTargetDied, kOther };

class CrashGuard {
 public:
  explicit CrashGuard(InstanceId self) : self_(std::move(self)) {}

  /// Returns kStop after two crashes without a success since, until fewer than two of them are
  /// younger than 10 minutes.
  CrashVerdict Check(WallTime now, const Fingerprint& fingerprint) const;
  /// Number of crashes within the last 10 minutes and after the last success.
  size_t crashes(WallTime now, const Fingerprint& fingerprint) const;

  /// Records that the target no longer runs the request. `death` is the daemon's running number of
  /// target deaths: requests with the same fingerprint that were running when the target died count
  /// as one crash, since otherwise a single death would block a popular request.
  void RecordEnding(WallTime now, const Fingerprint& fingerprint, CallEnding ending,
                    uint64_t death);

  /// This daemon's reports, to be gossiped in the data centre.
  std::vector<CrashReport> OwnReports() const;
  /// Replaces all reports of the daemon `from`. An empty list stands for a member that left.
  void Merge(const InstanceId& from, const std::vector<CrashReport>& reports);
  /// Removes records whose newest crash and success are both older than 10 minutes.
  void Tick(WallTime now);

 private:
  struct Record {
    std::vector<WallTime> crashes;
    WallTime last_success;
    uint64_t last_death = 0;  // number of the death counted last; only for the own target
  };

  WallTime LastSuccess(const Fingerprint& fingerprint) const;
  bool HasRecord(const Fingerprint& fingerprint) const;

  InstanceId self_;
  std::map<Fingerprint, std::map<InstanceId, Record>> records_;
};

}  // namespace endivecleat

#endif  // ENDIVECLEAT_CRASH_GUARD_H_
