// Retry budget of one daemon for one service. Limits retries to a percentage of the calls, so that
// retries do not multiply the load of a failing service.
#ifndef ENDIVECLEAT_RETRY_BUDGET_H_
#define ENDIVECLEAT_RETRY_BUDGET_H_

#include <cstdint>

#include "service_policy.h"

namespace endivecleat {

/// Token bucket. Each call adds retry_percent hundredths of a token, each retry takes a token. It
/// starts full, so that the first failures after a start can be retried.
class RetryBudget {
 public:
  static constexpr uint64_t kMaxTokens = 10;

  explicit RetryBudget(Percent retry_percent, uint64_t max_tokens = kMaxTokens)
      : retry_percent_(retry_percent), max_tokens_(max_tokens) {
    hundredths_ = max_tokens * kHundredths;
  }

  /// Sets the bucket size: this daemon's share of a burst limit that all daemons share. Changes as
  /// daemons join and leave.
  void SetMaxTokens(uint64_t max_tokens);

  void SetPercent(Percent retry_percent) { retry_percent_ = retry_percent; }
  /// Credits one call. To be called once per call, not once per attempt.
  void CountCall();
  /// Takes a token for one retry; returns false if there is none. Half of the bucket is reserved
  /// for urgent requests.
  bool TryTake(bool urgent = true) { return TryTake(1, urgent); }
  /// As above, for a retry that costs several tokens because the target repeats its own calls.
  bool TryTake(uint64_t tokens, bool urgent);
  uint64_t tokens() const { return hundredths_ / kHundredths; }

 private:
  static constexpr uint64_t kHundredths = 100;

  Percent retry_percent_;
  uint64_t max_tokens_;
  uint64_t hundredths_;  // at most max_tokens_ * kHundredths
};

}  // namespace endivecleat

#endif  // ENDIVECLEAT_RETRY_BUDGET_H_
