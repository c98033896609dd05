// A report counts down with the time since: the backlog is served meanwhile, and whether it grows
// again is known only from the next report.
#include "wait_reports.h"

#include <algorithm>

namespace endivecleat {

void WaitReports::Refused(TimePoint now, const InstanceId& instance, Priority priority,
                          const TenantName& tenant, Duration wait) {
  std::erase_if(by_instance_,
                [&](const auto& entry) { return now - entry.second.at >= kLifetime; });
  if (wait > Duration{}) {
    by_instance_[instance] = {now, priority, tenant, wait};
  }
}

std::optional<Duration> WaitReports::WaitAt(TimePoint now, const InstanceId& instance,
                                            Priority priority, const TenantName& tenant) const {
  const auto found = by_instance_.find(instance);
  if (found == by_instance_.end() || now - found->second.at >= kLifetime) {
    return std::nullopt;
  }
  const Report& report = found->second;
  const bool applies =
      report.priority < priority || (report.priority == priority && report.tenant == tenant);
  if (!applies) {
    return std::nullopt;
  }
  return std::max(report.wait - (now - report.at), Duration{});
}

std::optional<Duration> WaitReports::Shortest(TimePoint now, Priority priority,
                                              const TenantName& tenant) const {
  std::optional<Duration> shortest;
  size_t count = 0;
  for (const auto& [instance, report] : by_instance_) {
    if (const auto wait = WaitAt(now, instance, priority, tenant)) {
      ++count;
      shortest = shortest ? std::min(*shortest, *wait) : *wait;
    }
  }
  return count >= kMinReports ? shortest : std::nullopt;
}

}  // namespace endivecleat
