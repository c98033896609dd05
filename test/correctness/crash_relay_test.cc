// Tests of CrashRelay. They guard against a request that crashes two targets in each data centre,
// and against relayed reports that are sent back and counted twice.
#include "crash_relay.h"

#include <CppUTest/TestHarness.h>

using endivecleat::CrashRelay;
using endivecleat::CrashTotal;
using endivecleat::DataCentreId;
using endivecleat::Duration;
using endivecleat::InstanceId;
using endivecleat::MemberCrashReport;
using endivecleat::WallTime;

namespace {

MemberCrashReport Report(const std::string& reporter, uint32_t count, uint64_t at) {
  return {InstanceId(reporter), 7, count, WallTime(at), Duration{}};
}

using Totals = std::vector<CrashTotal>;

}  // namespace

TEST_GROUP(CrashRelay) { CrashRelay relay{{InstanceId("control")}}; };

TEST(CrashRelay, SendsTotalOnceAndAgainWhenItChanges) {
  CHECK(relay.TakeChangedTotals({Report("one", 1, 10)}) == Totals({{7, 1}}));
  CHECK(relay.TakeChangedTotals({Report("one", 1, 10)}).empty());
  CHECK(relay.TakeChangedTotals({Report("one", 1, 10), Report("two", 1, 11)}) == Totals({{7, 2}}));
}

TEST(CrashRelay, SendsZeroAfterSuccess) {
  relay.TakeChangedTotals({Report("one", 1, 10)});
  CHECK(relay.TakeChangedTotals({Report("one", 1, 10), Report("two", 0, 12)}) == Totals({{7, 0}}));
}

TEST(CrashRelay, DoesNotSendReportsOfControlInstances) {
  CHECK(relay.TakeChangedTotals({Report("control", 2, 10)}).empty());
}

TEST(CrashRelay, ReportsSumOverOtherDataCentres) {
  CHECK(relay.Merge(DataCentreId("a"), {{7, 1}}) == Totals({{7, 1}}));
  CHECK(relay.Merge(DataCentreId("b"), {{7, 1}}) == Totals({{7, 2}}));
  CHECK(relay.Merge(DataCentreId("b"), {{7, 1}}).empty());
  CHECK(relay.Merge(DataCentreId("a"), {{7, 0}}) == Totals({{7, 1}}));
}

TEST(CrashRelay, TotalsSurviveEncodingAndDecoding) {
  const Totals totals = {{7, 1}, {UINT64_MAX, 0}};
  CHECK(endivecleat::DecodeCrashTotals(endivecleat::EncodeCrashTotals(totals)) == totals);
}
