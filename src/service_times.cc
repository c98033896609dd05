// The first request with an objective sets its average.
#include "service_times.h"

#include <chrono>

namespace endivecleat {
namespace {

// Deviations above the average that nine in ten service times stay below, if they are distributed
// like those of most services, with a long tail.
constexpr int kBoundDeviations = 2;

}  // namespace

void ServiceTimes::Add(Duration objective, Duration service_time) {
  all_ = Updated(all_, service_time);
  const auto found = by_objective_.find(objective);
  if (found != by_objective_.end()) {
    found->second = Updated(found->second, service_time);
  } else if (by_objective_.size() < kMaxObjectives) {
    by_objective_.emplace(objective, Average{service_time, Duration{}});
  }
}

Duration ServiceTimes::Of(Duration objective) const { return Find(objective).mean; }

Duration ServiceTimes::UpperBound(Duration objective) const {
  const Average& average = Find(objective);
  return average.mean + average.deviation * kBoundDeviations;
}

ServiceTimes::Average ServiceTimes::Updated(const Average& average, Duration newest) const {
  if (average.mean == Duration{}) {
    return {newest, Duration{}};
  }
  const Duration distance = std::chrono::abs(newest - average.mean);
  return {average.mean + (newest - average.mean) / divisor_,
          average.deviation + (distance - average.deviation) / divisor_};
}

const ServiceTimes::Average& ServiceTimes::Find(Duration objective) const {
  const auto found = by_objective_.find(objective);
  return found == by_objective_.end() ? all_ : found->second;
}

}  // namespace endivecleat
