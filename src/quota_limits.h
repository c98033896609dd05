// Times and token counts of quotas that their owner and their clients have in common. They follow
// from one bound: in a window of 5 s a tenant may run (5 R + B) x 1.1 + 20 requests, where R is its
// rate and B its burst. A window serves at most what is stored at its start, in buckets and as
// leased tokens, and what accrues in it, 5 R. So 0.5 R + 1.1 B + 20 tokens may be stored. These are
// split into the depth of an owner's bucket and a margin for the change of owners.
#ifndef ENDIVECLEAT_QUOTA_LIMITS_H_
#define ENDIVECLEAT_QUOTA_LIMITS_H_

#include <algorithm>
#include <chrono>

#include "tenant_table.h"
#include "units.h"

namespace endivecleat {

/// A daemon lends its share to an owner for this long from the sending of each request on.
constexpr Duration kQuotaDelegation = std::chrono::milliseconds(1500);
/// Between two requests of a daemon that needs no token. The margin of a change of owners assumes
/// at most half a second.
constexpr Duration kQuotaPeriod = std::chrono::milliseconds(500);
/// Leased tokens expire after this time. Long, since a tenant with few requests at a daemon would
/// otherwise cost an entry in each message.
constexpr Duration kQuotaLease = std::chrono::seconds(4);
/// The same for a daemon that has used another owner within the time of kQuotaLease.
constexpr Duration kQuotaShortLease = std::chrono::seconds(1);
/// Daemons that were members within this time count, since they may be cut off and serve callers.
constexpr Duration kQuotaMemberMemory = std::chrono::minutes(10);

/// Tokens that may be stored for a tenant, over all processes.
struct QuotaDepth {
  double steady = 0;  // at an owner and the daemons that have used it for longer than kQuotaLease
  double margin = 0;  // the same for daemons that came to it since
};

inline QuotaDepth DepthOf(const TenantQuota& quota) {
  constexpr double kRateSeconds = 0.5;
  constexpr double kBurstFactor = 1.1;
  constexpr double kExtra = 20;
  const double stored =
      kRateSeconds * quota.rate_per_second + kBurstFactor * quota.burst + kExtra;
  constexpr double kSteadyExtra = 16;
  const double steady = std::max(kBurstFactor * quota.burst + kSteadyExtra, stored / 2);
  return {steady, stored - steady};
}

}  // namespace endivecleat

#endif  // ENDIVECLEAT_QUOTA_LIMITS_H_
