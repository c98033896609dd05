// Counts in hundredths of a token, so that a percentage stays an integer.
#include "retry_budget.h"

#include <algorithm>

namespace endivecleat {

void RetryBudget::CountCall() {
  hundredths_ = std::min(hundredths_ + retry_percent_.value(), size_);
}

void RetryBudget::SetSize(RetryHundredths size) {
  size_ = size.value();
  hundredths_ = std::min(hundredths_, size_);
}

bool RetryBudget::TryTake(uint64_t tokens, bool urgent) {
  if (size_ < kHundredthsPerToken) {
    return false;
  }
  const uint64_t cost = std::min(tokens * kHundredthsPerToken, size_);
  const uint64_t reserved = urgent ? 0 : std::min(size_ / 2, size_ - cost);
  if (hundredths_ < cost + reserved) {
    return false;
  }
  hundredths_ -= cost;
  return true;
}

}  // namespace endivecleat
