// The policy of one service, as the configuration declares it and as admission, balancing and
// retries apply it.
#ifndef ENDIVECLEAT_SERVICE_POLICY_H_
#define ENDIVECLEAT_SERVICE_POLICY_H_

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

  bool operator==(const ServicePolicy&) const = default;
};

}  // namespace endivecleat

#endif  // ENDIVECLEAT_SERVICE_POLICY_H_
