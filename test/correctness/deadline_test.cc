// Tests of the deadline and trace headers and of CallRegistry. They guard against a deadline or
// trace that is lost or changed between two hops, and against cancelling an outgoing call that
// another incoming call still needs.
#include "deadline.h"

#include <CppUTest/TestHarness.h>

using namespace endivecleat;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;

namespace {
const TimePoint kStart = TimePoint{} + std::chrono::seconds(100);
const TraceId kTrace("4bf92f3577b34da6a3ce929d0e0e4736");
constexpr const char* kHeader = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";
}  // namespace

TEST_GROUP(DeadlineHeader){};

TEST(DeadlineHeader, IsParsedAndFormattedInMilliseconds) {
  CHECK(ParseTimeout("1500") == milliseconds(1500));
  CHECK(ParseTimeout("99999999999999999999") == kMaxTimeout);
  CHECK(FormatTimeout(kStart, kStart + Duration(1999)) == "1");
  CHECK(FormatTimeout(kStart, kStart - milliseconds(5)) == "0");
  CHECK(FormatTimeout(kStart, TimePoint::max()) == "3600000");
}

TEST_GROUP(TraceparentHeader){};

TEST(TraceparentHeader, IsParsedAndFormattedUnchanged) {
  const auto context = ParseTraceparent(kHeader);
  CHECK(context.has_value());
  CHECK(context->trace == kTrace);
  CHECK(context->parent == SpanId("00f067aa0ba902b7"));
  CHECK(context->sampled);
  STRCMP_EQUAL(kHeader, FormatTraceparent(*context).c_str());
}

TEST_GROUP(IncomingCallsOfATrace){};

TEST(IncomingCallsOfATrace, PropagateDeadlineAndCancellationToOutgoingCalls) {
  CallRegistry calls;
  const TimePoint early = kStart + milliseconds(50);
  const TimePoint late = kStart + milliseconds(2000);
  calls.AddIncoming(RequestNumber(1), kTrace, early);
  CHECK(calls.AddOutgoing(RequestNumber(10), kTrace, late) == early);
  CHECK(calls.AddOutgoing(RequestNumber(11), kTrace, kStart) == kStart);
  CHECK(calls.AddOutgoing(RequestNumber(12), TraceId("other"), late) == late);
  calls.RemoveOutgoing(RequestNumber(11));
  CHECK(calls.CancelIncoming(RequestNumber(1)) == std::vector{RequestNumber(10)});
  CHECK(calls.AddOutgoing(RequestNumber(13), kTrace, late) == late);
}

TEST(IncomingCallsOfATrace, KeepOutgoingCallThatAnotherIncomingCallMayNeed) {
  CallRegistry calls;
  calls.AddIncoming(RequestNumber(1), kTrace, kStart);
  calls.AddIncoming(RequestNumber(2), kTrace, kStart + milliseconds(9));
  CHECK(calls.AddOutgoing(RequestNumber(10), kTrace, TimePoint::max()) == kStart + milliseconds(9));
  CHECK(calls.CancelIncoming(RequestNumber(1)).empty());
  CHECK(calls.CancelIncoming(RequestNumber(2)) == std::vector{RequestNumber(10)});
}

TEST(IncomingCallsOfATrace, KeepOutgoingCallsAfterIncomingCallIsAnswered) {
  CallRegistry calls;
  calls.AddIncoming(RequestNumber(1), kTrace, kStart);
  calls.AddOutgoing(RequestNumber(10), kTrace, TimePoint::max());
  calls.RemoveIncoming(RequestNumber(1));
  CHECK(calls.CancelIncoming(RequestNumber(1)).empty());
}
