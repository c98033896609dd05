// Limits the retries that one daemon sends to one service, so that a failing service is not
// loaded with a multiple of its calls.
#ifndef ENDIVECLEAT_RETRY_BUDGET_H_
#define ENDIVECLEAT_RETRY_BUDGET_H_

#include <cstdint>

#include "service_policy.h"

namespace endivecleat {

/// A bucket that gains retry_percent of a token with each call and pays one token for each retry.
/// It starts full, so that the first failure after a start can be retried.
class RetryBudget {
 public:
  static constexpr uint64_t kMostTokens = 10;

  explicit RetryBudget(Percent retry_percent, uint64_t most_tokens = kMostTokens)
      : retry_percent_(retry_percent), most_tokens_(most_tokens) {
    hundredths_ = most_tokens * kHundredths;
  }

  /// The part of a burst that all daemons share. It may change as daemons come and go.
  void SetMostTokens(uint64_t most_tokens);

  void SetPercent(Percent retry_percent) { retry_percent_ = retry_percent; }
  /// Counts a call once, however many attempts it makes.
  void CountCall();
  /// Takes a token for one retry; false when there is none. The less urgent half of requests leaves
  /// half of the tokens to the others.
  bool TryTake(bool urgent = true) { return TryTake(1, urgent); }
  /// A retry that makes the target repeat its own calls costs more than one token.
  bool TryTake(uint64_t tokens, bool urgent);
  uint64_t tokens() const { return hundredths_ / kHundredths; }

 private:
  static constexpr uint64_t kHundredths = 100;

  Percent retry_percent_;
  uint64_t most_tokens_;
  uint64_t hundredths_;  // at most most_tokens_ * kHundredths
};

}  // namespace endivecleat

#endif  // ENDIVECLEAT_RETRY_BUDGET_H_
