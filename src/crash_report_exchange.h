// Transfers crash reports between a daemon's CrashGuard and the gossip of its data centre
// (Membership). It converts between the formats: gossip holds one count and one time per reporter
// and fingerprint, whereas the guard needs the times of the crashes and of the last success.
#ifndef ENDIVECLEAT_CRASH_REPORT_EXCHANGE_H_
#define ENDIVECLEAT_CRASH_REPORT_EXCHANGE_H_

#include <cstdint>
#include <map>

#include "crash_guard.h"
#include "membership.h"
#include "units.h"

namespace endivecleat {

class CrashReportExchange {
 public:
  explicit CrashReportExchange(InstanceId self) : self_(std::move(self)) {}

  /// Publishes by gossip what the guard recorded since the last call.
  void Publish(TimePoint now, const CrashGuard& guard, Membership& membership);
  /// Merges into the guard the gossiped reports of other instances, and those of this instance from
  /// before its restart.
  void Collect(const Membership& membership, CrashGuard& guard);

 private:
  struct Published {
    uint32_t crashes = 0;
    WallTime last_success;
  };

  InstanceId self_;
  std::map<Fingerprint, Published> published_;  // reports published since this process started
};

}  // namespace endivecleat

#endif  // ENDIVECLEAT_CRASH_REPORT_EXCHANGE_H_
