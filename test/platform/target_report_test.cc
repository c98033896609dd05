// Tests decoding and ordering of target reports. Guards against accepting malformed reports, and
// against outdated reports that bring back a target that has left or was replaced.
#include "target_report.h"

#include <CppUTest/TestHarness.h>

#include <nlohmann/json.hpp>

#include "errors.h"

using namespace endivecleat;            // NOLINT(google-build-using-namespace)
using namespace endivecleat::platform;  // NOLINT(google-build-using-namespace)
using Json = nlohmann::json;

namespace {

Json Body() {
  return {{"service", "huvo11a"}, {"address", "10.128.0.9:8080"},
          {"zone", "hobart-a"},   {"version", "v1"},
          {"slots", 9},           {"state", "ready"},
          {"coldLeftMs", 1500},   {"seq", 4},
          {"born", 1700000000000}};
}

bool IsRejected(const std::string& body) {
  try {
    DecodeTargetReport("i-1", body);
  } catch (const UserError& error) {
    return error.code() == ResultCode::kBadRequest;
  }
  return false;
}

TargetReport Report(const std::string& id, uint64_t started, uint64_t sequence) {
  TargetReport report;
  report.target = TargetId(id);
  report.started_at = WallTime(started);
  report.sequence = sequence;
  return report;
}

}  // namespace

TEST_GROUP(TargetReportDecoding){};

TEST(TargetReportDecoding, ReadsEachField) {
  const TargetReport report = DecodeTargetReport("i-1", Body().dump());
  CHECK(report.target == TargetId("i-1"));
  CHECK(report.service == ServiceName("huvo11a"));
  CHECK(report.address == Address({"10.128.0.9", 8080}));
  LONGS_EQUAL(9, report.slots);
  CHECK_FALSE(report.leaving);
  LONGS_EQUAL(4, report.sequence);
  LONGS_EQUAL(1700000000000, report.started_at.value());
}

TEST(TargetReportDecoding, RejectsMissingFieldsAndWrongTypes) {
  for (const char* field : {"service", "address", "slots", "state", "coldLeftMs", "seq", "born"}) {
    Json missing = Body();
    missing.erase(field);
    CHECK_TEXT(IsRejected(missing.dump()), field);
    for (const Json& other : {Json(nullptr), Json(-1), Json(1.5), Json::array(), Json("")}) {
      Json changed = Body();
      changed[field] = other;
      CHECK_TEXT(IsRejected(changed.dump()), field);
    }
  }
}

// A report of another writer must neither end the process nor outdate the reports that follow.
TEST(TargetReportDecoding, RejectsDeepNestingNumbersTooLargeAndPortsOutOfRange) {
  constexpr size_t kDepth = 1'000'000;
  CHECK(IsRejected(std::string(kDepth, '[') + std::string(kDepth, ']')));
  CHECK(IsRejected(std::string(kDepth, '{')));
  const std::string whole = Body().dump();
  const std::string nested =
      R"({"more":)" + std::string(kDepth, '[') + std::string(kDepth, ']') + "," + whole.substr(1);
  CHECK(IsRejected(nested));
  for (const char* field : {"slots", "coldLeftMs", "seq", "born"}) {
    for (const char* number : {"1e999", "-1e999", "1e30", "99999999999999999999999",
                               "18446744073709551615", "9007199254740993"}) {
      Json changed = Body();
      changed[field] = "@";
      std::string text = changed.dump();
      text.replace(text.find("\"@\""), 3, number);
      CHECK_TEXT(IsRejected(text), (std::string(field) + " " + number).c_str());
    }
  }
  for (const char* address : {"10.128.0.9:65536", "10.128.0.9:0", "10.128.0.9:-1",
                              "10.128.0.9:", "10.128.0.9:99999999999999999999", "10.128.0.9:80x"}) {
    Json changed = Body();
    changed["address"] = address;
    CHECK_TEXT(IsRejected(changed.dump()), address);
  }
}

TEST(TargetReportDecoding, RejectsMalformedReports) {
  for (const char* body : {"", "[]", "7", "{", "\xff\xfe", "null"}) {
    CHECK_TEXT(IsRejected(body), body);
  }
  Json unknown_state = Body();
  unknown_state["state"] = "asleep";
  CHECK(IsRejected(unknown_state.dump()));
}

TEST(TargetReportDecoding, ReadsSlotsFromALoad) {
  CHECK(ParseLoadSlots("3,0,8") == 8U);
  // A fourth figure, the speed of the machine, was taken for the slots.
  CHECK(ParseLoadSlots("3,0,8,140") == 8U);
  for (const char* load : {"", "8", "3,0,", "3,0,x", "3,0,0", "3,0,-1", "1,2,3 "}) {
    CHECK_TEXT(!ParseLoadSlots(load).has_value(), load);
  }
}

TEST_GROUP(TargetReportOrder) { TargetReportFilter reports; };

TEST(TargetReportOrder, RejectsReportsThatAreNotNewer) {
  CHECK(reports.Accept(Report("a", 10, 5)));
  CHECK_FALSE(reports.Accept(Report("a", 10, 5)));
  CHECK_FALSE(reports.Accept(Report("a", 10, 4)));
  CHECK(reports.Accept(Report("a", 10, 6)));
}

TEST(TargetReportOrder, RejectsAnEarlierTargetOfTheInstance) {
  CHECK(reports.Accept(Report("b", 20, 1)));
  CHECK_FALSE(reports.Accept(Report("a", 10, 99)));
}

TEST(TargetReportOrder, AcceptsANewStartWithTheSameIdAndResetSequence) {
  CHECK(reports.Accept(Report("a", 10, 50)));
  CHECK(reports.Accept(Report("a", 20, 1)));
}

TEST(TargetReportOrder, RejectsLateReportsOfATargetThatHasLeft) {
  CHECK(reports.Accept(Report("a", 10, 5)));
  CHECK(reports.MarkLeft(TargetId("a"), WallTime(12)));
  CHECK_FALSE(reports.Accept(Report("a", 10, 6)));
  CHECK(reports.Accept(Report("b", 11, 1)));
  CHECK_FALSE(reports.MarkLeft(TargetId("a"), WallTime(12)));
}

// Guards against a restarted daemon that keeps sending requests to a target that is leaving.
TEST(TargetReportOrder, AcceptsTheLeaveOfATargetThatHasNotReported) {
  reports.SetProbedTarget(TargetId("a"));
  CHECK_FALSE(reports.MarkLeft(TargetId("b"), WallTime(12)));
  CHECK(reports.MarkLeft(TargetId("a"), WallTime(12)));
  CHECK_FALSE(reports.Accept(Report("a", 10, 7)));
  CHECK(reports.Accept(Report("a", 13, 1)));
}

TEST_GROUP(TargetReportOfAStart){};

TEST(TargetReportOfAStart, IsInTheFutureOnlyBeyondADifferenceOfClocks) {
  const WallTime now(1'700'000'000'000);
  CHECK_FALSE(StartsInTheFuture(Report("i-1", 1'700'000'005'000, 1), now));
  CHECK_FALSE(StartsInTheFuture(Report("i-1", 1'699'000'000'000, 1), now));
  CHECK(StartsInTheFuture(Report("i-1", 1'700'003'600'000, 1), now));
  CHECK(StartsInTheFuture(Report("i-1", (uint64_t{1} << 53U) - 1, 1), now));
}
