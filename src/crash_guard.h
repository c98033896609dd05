// Stops a request that crashes every target which runs it. Each daemon has one guard; it counts
// the crashes of its own target and learns those of the data centre's other targets by gossip.
#ifndef ENDIVECLEAT_CRASH_GUARD_H_
#define ENDIVECLEAT_CRASH_GUARD_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "call_types.h"
#include "units.h"

namespace endivecleat {

/// XXH3-128 of a request as 32 hexadecimal digits. The path includes the query.
std::string RequestDigest(std::string_view method, std::string_view path, std::string_view body);

/// The first half of a request's digest: gossip carries fingerprints as 64-bit numbers.
Fingerprint FingerprintOf(std::string_view digest);
uint64_t FingerprintNumber(const Fingerprint& fingerprint);
Fingerprint FingerprintOfNumber(uint64_t number);

/// What one daemon reports of one fingerprint. Times are wall times, since monotonic times of two
/// processes cannot be compared.
struct CrashReport {
  Fingerprint fingerprint;
  std::vector<WallTime> crashes;  // ascending; the newest two at most
  WallTime last_success;          // 0: none since the first crash became known

  bool operator==(const CrashReport&) const = default;
};

enum class CrashVerdict { kRun, kStop };

enum class CallEnding { kAnswered, kTargetDied, kOther };

class CrashGuard {
 public:
  explicit CrashGuard(InstanceId self) : self_(std::move(self)) {}

  /// kStop after two crashes without a success in between, until 10 minutes after the last one.
  CrashVerdict Check(WallTime now, const Fingerprint& fingerprint) const;
  /// The number of crashes within the last 10 minutes and after the last success.
  size_t crashes(WallTime now, const Fingerprint& fingerprint) const;

  /// The target no longer runs the request. A death is numbered by the daemon; requests with the
  /// same fingerprint that ran when the target died count one crash together, else a popular
  /// request would be blocked at once.
  void End(WallTime now, const Fingerprint& fingerprint, CallEnding ending, uint64_t death);

  /// To be spread in the data centre.
  std::vector<CrashReport> OwnReports() const;
  /// Replaces what is known from this daemon. An empty list is that of a member that left.
  void Merge(const InstanceId& from, const std::vector<CrashReport>& reports);
  /// Forgets what is older than the time of blocking.
  void Tick(WallTime now);

 private:
  struct Record {
    std::vector<WallTime> crashes;
    WallTime last_success;
    uint64_t last_death = 0;  // of the own target
  };

  WallTime LastSuccess(const Fingerprint& fingerprint) const;
  bool Known(const Fingerprint& fingerprint) const;

  InstanceId self_;
  std::map<Fingerprint, std::map<InstanceId, Record>> records_;
};

}  // namespace endivecleat

#endif  // ENDIVECLEAT_CRASH_GUARD_H_
