// Times and token counts of quotas that their owner and their clients have in common.
#ifndef ENDIVECLEAT_QUOTA_LIMITS_H_
#define ENDIVECLEAT_QUOTA_LIMITS_H_

#include <chrono>

#include "tenant_table.h"
#include "units.h"

namespace endivecleat {

/// A daemon lends its share to an owner for this long from the sending of each request on.
constexpr Duration kQuotaDelegation = std::chrono::milliseconds(1250);
/// Between two requests of a daemon that needs no token.
constexpr Duration kQuotaPeriod = std::chrono::milliseconds(500);
/// Leased tokens expire after this time, or when the share of the daemon is no longer lent. Long,
/// since each renewal costs bytes, and a token that is renewed is leased twice for a moment.
constexpr Duration kQuotaLease = std::chrono::seconds(12);
/// Daemons that were members within this time count, since they may be cut off and serve callers.
constexpr Duration kQuotaMemberMemory = std::chrono::minutes(10);
/// The time over which the requests of a tenant are counted.
constexpr Duration kQuotaWindow = std::chrono::seconds(5);

/// The most requests of a tenant in any kQuotaWindow: (5 R + B) x 1.1 + 20. A part of it is kept
/// back for what is used from own shares while the owner changes.
inline double WindowLimitOf(const TenantQuota& quota) {
  constexpr double kSeconds = std::chrono::duration<double>(kQuotaWindow).count();
  constexpr double kFactor = 1.1;
  constexpr double kExtra = 20;
  constexpr double kUsedPart = 0.96;
  return kUsedPart * ((kSeconds * quota.rate_per_second + quota.burst) * kFactor + kExtra);
}

/// What may be used and leased at once where the requests before are not known. At a steady rate R
/// the requests of the window are 5 R, and those of before leave it as fast as new ones come.
inline double UnknownPastLimitOf(const TenantQuota& quota) {
  constexpr double kSeconds = std::chrono::duration<double>(kQuotaWindow).count();
  constexpr double kPart = 0.6;
  return kPart * (WindowLimitOf(quota) - kSeconds * quota.rate_per_second);
}

}  // namespace endivecleat

#endif  // ENDIVECLEAT_QUOTA_LIMITS_H_
