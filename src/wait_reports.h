// What the targets of one service have lately reported of their waits, at a daemon whose callers
// use it. Decides whether a request has a chance anywhere before it is sent, and when a refused
// caller may come back.
#ifndef ENDIVECLEAT_WAIT_REPORTS_H_
#define ENDIVECLEAT_WAIT_REPORTS_H_

#include <map>
#include <optional>

#include "service_policy.h"
#include "tenant_table.h"
#include "units.h"

namespace endivecleat {

/// Only recent reports of refusals count. A target that took a request has none.
class WaitReports {
 public:
  /// A target refused a request that would have waited for `wait` there.
  void Refused(TimePoint now, const InstanceId& instance, Priority priority,
               const TenantName& tenant, Duration wait);
  /// The target took a request.
  void Taken(const InstanceId& instance) { by_instance_.erase(instance); }

  /// The wait that the target reported to an equally or more urgent request, less the time since;
  /// nullopt without a recent report. Requests of other tenants with the same priority tell
  /// nothing.
  std::optional<Duration> WaitAt(TimePoint now, const InstanceId& instance, Priority priority,
                                 const TenantName& tenant) const;
  /// The shortest wait over the targets with a report; nullopt if there are fewer than kMinReports.
  std::optional<Duration> Shortest(TimePoint now, Priority priority,
                                   const TenantName& tenant) const;

  /// Recent reports of this many targets say how long waits are.
  static constexpr size_t kMinReports = 3;

 private:
  struct Report {
    TimePoint at;
    Priority priority;
    TenantName tenant;
    Duration wait{};
  };

  // After this time requests are sent again to see whether there is room. Longer than a caller that
  // was refused stays away, so that those that come back together don't all cross the links.
  static constexpr Duration kLifetime = std::chrono::milliseconds(500);

  std::map<InstanceId, Report> by_instance_;  // the latest of each
};

}  // namespace endivecleat

#endif  // ENDIVECLEAT_WAIT_REPORTS_H_
