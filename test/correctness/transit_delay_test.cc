// Guards against requests that run after their caller has given up, since the time that they spent
// on a full network link does not count.
#include "transit_delay.h"

#include <CppUTest/TestHarness.h>

using namespace endivecleat;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {
const TimePoint kStart = TimePoint{} + seconds(1000);
// The sender's clock has another origin.
TimePoint Sent(Duration since_start) { return TimePoint{} + seconds(5) + since_start; }
}  // namespace

TEST_GROUP(TransitDelayOfASender) { TransitDelay delay; };

TEST(TransitDelayOfASender, CountsTheWaitBeyondTheFastestMessage) {
  CHECK(delay.Arrived(kStart + milliseconds(30), "a", Sent(Duration{})) == Duration{});
  CHECK(delay.Arrived(kStart + milliseconds(730), "a", Sent(milliseconds(100))) ==
        milliseconds(600));
  CHECK(delay.Arrived(kStart + milliseconds(831), "a", Sent(milliseconds(800))) == milliseconds(1));
}

TEST(TransitDelayOfASender, LearnsAFasterMessageAtOnce) {
  CHECK(delay.Arrived(kStart + milliseconds(500), "a", Sent(Duration{})) == Duration{});
  CHECK(delay.Arrived(kStart + milliseconds(610), "a", Sent(milliseconds(600))) == Duration{});
  CHECK(delay.Arrived(kStart + milliseconds(1100), "a", Sent(milliseconds(700))) ==
        milliseconds(390));
}

TEST(TransitDelayOfASender, KeepsSendersApart) {
  delay.Arrived(kStart, "a", Sent(Duration{}));
  CHECK(delay.Arrived(kStart + seconds(2), "b", Sent(Duration{})) == Duration{});
}

// Guards against a sender whose clock was set back: all of its later messages would be taken for
// late.
TEST(TransitDelayOfASender, BelievesASenderAgainTwoPeriodsAfterItsClockWasSetBack) {
  constexpr Duration kPeriod = TransitDelay::kPeriod;
  delay.Arrived(kStart, "a", Sent(Duration{}));
  const Duration step = seconds(3);
  CHECK(delay.Arrived(kStart + seconds(4), "a", Sent(seconds(4) - step)) == step);
  delay.Arrived(kStart + kPeriod, "a", Sent(kPeriod - step));
  CHECK(delay.Arrived(kStart + 2 * kPeriod, "a", Sent(2 * kPeriod - step)) == Duration{});
}

TEST(TransitDelayOfASender, ForgetsAfterALongPause) {
  delay.Arrived(kStart, "a", Sent(Duration{}));
  constexpr Duration kPause = 3 * TransitDelay::kPeriod;
  CHECK(delay.Arrived(kStart + kPause, "a", Sent(kPause - seconds(10))) == Duration{});
}
