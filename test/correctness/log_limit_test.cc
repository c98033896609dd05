// Guards against a log volume that grows with the load, and against dropped lines that are not
// reported.
#include "log_limit.h"

#include <CppUTest/TestHarness.h>

using endivecleat::LogLimit;
using endivecleat::WallTime;

TEST_GROUP(LogLimitUnderLoad) { LogLimit limit; };

TEST(LogLimitUnderLoad, WritesABoundedNumberOfLinesASecondForEachEvent) {
  uint64_t written = 0;
  for (uint64_t line = 0; line < 5000; ++line) {
    written += limit.Admit(WallTime(10'000 + line / 5), "failed") ? 1 : 0;
  }
  LONGS_EQUAL(LogLimit::kLinesPerSecond, written);
  CHECK(limit.Admit(WallTime(10'999), "other"));
}

TEST(LogLimitUnderLoad, ReportsWhatItPassedOver) {
  for (uint64_t line = 0; line < LogLimit::kLinesPerSecond + 7; ++line) {
    limit.Admit(WallTime(10'000), "failed");
  }
  CHECK(limit.TakeDropped().empty());
  CHECK(limit.Admit(WallTime(11'000), "failed"));
  const auto dropped = limit.TakeDropped();
  LONGS_EQUAL(1, dropped.size());
  STRCMP_EQUAL("failed", dropped[0].first.c_str());
  LONGS_EQUAL(7, dropped[0].second);
  CHECK(limit.TakeDropped().empty());
}
