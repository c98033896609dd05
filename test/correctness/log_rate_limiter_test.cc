// Guards against a log volume that grows with the load, and against dropped lines that are not
// reported.
#include "log_rate_limiter.h"

#include <CppUTest/TestHarness.h>

using endivecleat::LogRateLimiter;
using endivecleat::WallTime;

TEST_GROUP(LogRateLimiterUnderLoad) { LogRateLimiter limiter; };

TEST(LogRateLimiterUnderLoad, LimitsTheLinesPerSecondOfEachEvent) {
  uint64_t written = 0;
  for (uint64_t line = 0; line < 5000; ++line) {
    written += limiter.Admit(WallTime(10'000 + line / 5), "failed") ? 1 : 0;
  }
  LONGS_EQUAL(LogRateLimiter::kMaxLinesPerSecond, written);
  CHECK(limiter.Admit(WallTime(10'999), "other"));
}

TEST(LogRateLimiterUnderLoad, ReportsTheNumberOfDroppedLines) {
  for (uint64_t line = 0; line < LogRateLimiter::kMaxLinesPerSecond + 7; ++line) {
    limiter.Admit(WallTime(10'000), "failed");
  }
  CHECK(limiter.TakeDropped().empty());
  CHECK(limiter.Admit(WallTime(11'000), "failed"));
  const auto dropped = limiter.TakeDropped();
  LONGS_EQUAL(1, dropped.size());
  STRCMP_EQUAL("failed", dropped[0].first.c_str());
  LONGS_EQUAL(7, dropped[0].second);
  CHECK(limiter.TakeDropped().empty());
}
