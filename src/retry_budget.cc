// Counts in hundredths of a token, so that a percentage stays an integer.
#include "retry_budget.h"

#include <algorithm>

namespace endivecleat {

void RetryBudget::CountCall() {
  hundredths_ = std::min(hundredths_ + retry_percent_.value(), max_tokens_ * kHundredths);
}

void RetryBudget::SetMaxTokens(uint64_t max_tokens) {
  max_tokens_ = max_tokens;
  hundredths_ = std::min(hundredths_, max_tokens_ * kHundredths);
}

bool RetryBudget::TryTake(uint64_t tokens, bool urgent) {
  const uint64_t reserved = urgent ? 0 : max_tokens_ * kHundredths / 2;
  if (hundredths_ < tokens * kHundredths + reserved) {
    return false;
  }
  hundredths_ -= tokens * kHundredths;
  return true;
}

}  // namespace endivecleat
