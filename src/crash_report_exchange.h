// Carries crash reports between a daemon's crash guard and the gossip of its data centre. Gossip
// holds one number and one time for each reporter and fingerprint; the guard wants times of crashes
// and of the last success.
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

  /// Gives gossip what the guard counted since the last call.
  void Spread(TimePoint now, const CrashGuard& guard, Membership& membership);
  /// Gives the guard what gossip knows from others, and from this instance before its restart.
  void Learn(const Membership& membership, CrashGuard& guard);

 private:
  struct Sent {
    uint32_t crashes = 0;
    WallTime last_success;
  };

  InstanceId self_;
  std::map<Fingerprint, Sent> sent_;  // what gossip has from this run
};

}  // namespace endivecleat

#endif  // ENDIVECLEAT_CRASH_REPORT_EXCHANGE_H_
