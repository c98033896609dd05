#include "retry_budget.h"

#include <algorithm>

namespace endivecleat {

void RetryBudget::CountCall() {
  hundredths_ = std::min(hundredths_ + retry_percent_.value(), kMostTokens * kHundredths);
}

bool RetryBudget::TryTake() {
  if (hundredths_ < kHundredths) {
    return false;
  }
  hundredths_ -= kHundredths;
  return true;
}

}  // namespace endivecleat
