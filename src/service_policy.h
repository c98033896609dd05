// Policies that the configuration declares for services, routes and callers. Admission, Balancer,
// Call and the HTTP listener apply them.
#ifndef ENDIVECLEAT_SERVICE_POLICY_H_
#define ENDIVECLEAT_SERVICE_POLICY_H_

#include <cstdint>
#include <string>

#include "units.h"

namespace endivecleat {

using SlotCount = StrongNumber<struct SlotCountTag>;
using ConnectionCount = StrongNumber<struct ConnectionCountTag>;
using QueueLength = StrongNumber<struct QueueLengthTag>;
using AttemptCount = StrongNumber<struct AttemptCountTag>;
using Percent = StrongNumber<struct PercentTag>;

/// Policy of a service. The defaults apply to a service that declares only its targets.
struct ServicePolicy {
  SlotCount slots{9};                // requests that one target runs at the same time
  ConnectionCount connections{130};  // open connections to one target
  QueueLength queue_length{9};       // requests that wait for a slot of one target
  Duration queue_wait = std::chrono::milliseconds(100);  // the longest wait for a slot
  Duration warm_up = std::chrono::seconds(5);            // ramp from one slot to all of them
  Duration timeout = std::chrono::seconds(2);            // of a call whose caller sets no timeout
  Percent retry_percent{10};                             // retries, in percent of first attempts
  AttemptCount max_attempts{2};                          // of one call, including the first
  ByteCount body_limit{4ULL << 20U};                     // of a request or an answer
  std::string health_path = "/healthz";                  // returns 200 while the target is healthy

  bool operator==(const ServicePolicy&) const = default;
};

/// Priority class of a request; 0 is the most urgent.
using Priority = StrongNumber<struct PriorityTag>;

/// Policy of a route. Where a duration or count is zero, the service's value applies.
struct RoutePolicy {
  Duration timeout{};         // default for, and upper bound of, the caller's timeout
  Duration objective{};       // latency objective (SLO) of an answer
  AttemptCount max_attempts;  // targets that may receive one request
  Priority priority{1};

  bool operator==(const RoutePolicy&) const = default;
};

/// Limits on requests of callers, for all routes. Where a value is zero, the listener's own limit
/// applies.
struct CallerLimits {
  ByteCount header_bytes;
  ByteCount body_bytes;
  Duration header_timeout{};
  Duration idle_timeout{};

  bool operator==(const CallerLimits&) const = default;
};

}  // namespace endivecleat

#endif  // ENDIVECLEAT_SERVICE_POLICY_H_
