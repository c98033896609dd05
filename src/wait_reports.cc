// A report counts down with the time since: the backlog is served meanwhile, and whether it grows
// again is known only from the next report.
#include "wait_reports.h"

#include <algorithm>

namespace endivecleat {

void WaitReports::Refused(TimePoint now, const InstanceId& instance, Priority priority,
                          const TenantName& tenant, Duration time_until_room) {
  Reports& reports = by_instance_[instance];
  std::erase_if(reports, [&](const auto& entry) { return now - entry.second.at >= kLifetime; });
  reports[{priority, tenant}] = {now, time_until_room};
}

std::optional<Duration> WaitReports::TimeUntilRoom(TimePoint now, const InstanceId& instance,
                                                   Priority priority,
                                                   const TenantName& tenant) const {
  const auto found = by_instance_.find(instance);
  if (found == by_instance_.end()) {
    return std::nullopt;
  }
  std::optional<Duration> shortest;
  for (const auto& [like, report] : found->second) {
    const bool taken = report.time_until_room == Duration{};
    const bool applies =
        like == Like{priority, tenant} || (taken ? like.first > priority : like.first < priority);
    if (applies && now - report.at < kLifetime) {
      const Duration left = std::max(report.time_until_room - (now - report.at), Duration{});
      shortest = shortest ? std::min(*shortest, left) : left;
    }
  }
  return shortest;
}

std::optional<Duration> WaitReports::Shortest(TimePoint now, Priority priority,
                                              const TenantName& tenant) const {
  std::optional<Duration> shortest;
  size_t count = 0;
  for (const auto& [instance, reports] : by_instance_) {
    if (const auto wait = TimeUntilRoom(now, instance, priority, tenant)) {
      ++count;
      shortest = shortest ? std::min(*shortest, *wait) : *wait;
    }
  }
  return count >= kMinReports ? shortest : std::nullopt;
}

}  // namespace endivecleat
