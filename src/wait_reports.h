// What the targets of one service have lately reported of their waits, at a daemon whose callers
// use it. Decides whether a request has a chance anywhere before it is sent, and when a refused
// caller may come back.
#ifndef ENDIVECLEAT_WAIT_REPORTS_H_
#define ENDIVECLEAT_WAIT_REPORTS_H_

#include <map>
#include <optional>
#include <utility>

#include "service_policy.h"
#include "tenant_table.h"
#include "units.h"

namespace endivecleat {

/// Only recent reports count.
class WaitReports {
 public:
  /// A target refused a request whose like it would take after `time_until_room`.
  void Refused(TimePoint now, const InstanceId& instance, Priority priority,
               const TenantName& tenant, Duration time_until_room);
  /// The target took a request.
  void Taken(TimePoint now, const InstanceId& instance, Priority priority,
             const TenantName& tenant) {
    Refused(now, instance, priority, tenant, Duration{});
  }

  /// What the target reported, less the time since; nullopt without a recent report. A refusal says
  /// something about equally or less urgent requests, of the same tenant if equally urgent; a
  /// request that was taken, about equally or more urgent ones.
  std::optional<Duration> TimeUntilRoom(TimePoint now, const InstanceId& instance,
                                        Priority priority, const TenantName& tenant) const;
  /// The shortest time over the targets with a report; nullopt if there are fewer than kMinReports.
  std::optional<Duration> Shortest(TimePoint now, Priority priority,
                                   const TenantName& tenant) const;

  /// Recent reports of this many targets say whether there is room.
  static constexpr size_t kMinReports = 3;

 private:
  struct Report {
    TimePoint at;
    Duration time_until_room{};
  };
  using Like = std::pair<Priority, TenantName>;  // requests that wait in the same queue
  using Reports = std::map<Like, Report>;

  // After this time requests are sent again to see whether there is room.
  static constexpr Duration kLifetime = std::chrono::milliseconds(500);

  std::map<InstanceId, Reports> by_instance_;  // the latest of each kind
};

}  // namespace endivecleat

#endif  // ENDIVECLEAT_WAIT_REPORTS_H_
