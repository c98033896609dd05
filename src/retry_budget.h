// Retry budget of one daemon for one service. Limits retries to a percentage of the calls, so that
// retries do not multiply the load of a failing service.
#ifndef ENDIVECLEAT_RETRY_BUDGET_H_
#define ENDIVECLEAT_RETRY_BUDGET_H_

#include <cstdint>

#include "service_policy.h"

namespace endivecleat {

/// Hundredths of a retry token. A daemon's share of a burst that hundreds of daemons share is a few
/// tokens, of which whole numbers would leave out up to a half.
using RetryHundredths = StrongNumber<struct RetryHundredthsTag>;

/// Token bucket. Each call adds retry_percent hundredths of a token, each retry takes a token. It
/// starts full, so that the first failures after a start can be retried.
class RetryBudget {
 public:
  static constexpr RetryHundredths kDefaultSize{1000};

  explicit RetryBudget(Percent retry_percent, RetryHundredths size = kDefaultSize)
      : retry_percent_(retry_percent), size_(size.value()), hundredths_(size.value()) {}

  /// Sets the bucket size: this daemon's share of a burst limit that all daemons share. Changes as
  /// daemons join and leave.
  void SetSize(RetryHundredths size);

  void SetPercent(Percent retry_percent) { retry_percent_ = retry_percent; }
  /// Credits one call. To be called once per call, not once per attempt.
  void CountCall();
  /// Takes a token for one retry; returns false if there is none. Half of the bucket is reserved
  /// for urgent requests, but never so much that a full bucket allows no other retry.
  bool TryTake(bool urgent = true) { return TryTake(1, urgent); }
  /// As above, for a retry that costs several tokens because the target repeats its own calls. A
  /// bucket of at least one token that is smaller than the cost allows the retry when it is full.
  bool TryTake(uint64_t tokens, bool urgent);
  uint64_t tokens() const { return hundredths_ / kHundredthsPerToken; }

 private:
  static constexpr uint64_t kHundredthsPerToken = 100;

  Percent retry_percent_;
  uint64_t size_;        // in hundredths
  uint64_t hundredths_;  // at most size_
};

}  // namespace endivecleat

#endif  // ENDIVECLEAT_RETRY_BUDGET_H_
