// The policy of one service, as the configuration declares it and as admission, balancing and
// retries apply it.
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

/// The defaults are those of a service that declares nothing but its targets.
struct ServicePolicy {
  SlotCount slots{9};                // requests that one target runs at the same time
  ConnectionCount connections{130};  // open connections to one target
  QueueLength queue_length{9};       // requests that wait for a slot of one target
  Duration queue_wait = std::chrono::milliseconds(100);
  Duration warm_up = std::chrono::seconds(5);  // from one slot to all of them
  Duration timeout = std::chrono::seconds(2);  // of a call whose caller names no deadline
  Percent retry_percent{10};                   // retries, in percent of first attempts
  AttemptCount max_attempts{2};                // of one call, with the first one
  ByteCount body_limit{4ULL << 20U};           // of a request and of an answer
  std::string health_path = "/healthz";        // answers 200 while the target is healthy

  bool operator==(const ServicePolicy&) const = default;
};

/// Rank of a class of requests; 0 is served first.
using Priority = StrongNumber<struct PriorityTag>;

/// What a route says of its requests. A zero duration or count leaves the service's figure in
/// force.
struct RoutePolicy {
  Duration timeout{};         // the longest time that a caller is kept waiting
  Duration objective{};       // an answer within it is worth most
  AttemptCount max_attempts;  // targets that one request may reach
  Priority priority{1};

  bool operator==(const RoutePolicy&) const = default;
};

/// What a caller may send, for all routes together. A zero leaves the listener's own limit in
/// force.
struct CallerLimits {
  ByteCount header_bytes;
  ByteCount body_bytes;
  Duration header_timeout{};
  Duration idle_timeout{};

  bool operator==(const CallerLimits&) const = default;
};

}  // namespace endivecleat

#endif  // ENDIVECLEAT_SERVICE_POLICY_H_
