// Guards against attempts whose end tells the balancer nothing, or is reported twice.
#include "attempt_tracker.h"

#include <CppUTest/TestHarness.h>

#include <string>

using namespace endivecleat;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const TimePoint kStart = TimePoint{} + seconds(100);
constexpr Duration kObjective = milliseconds(250);

}  // namespace

/// Two targets: the near one is chosen until it is found to be slow.
TEST_GROUP(AttemptsOfCalls) {
  const InstanceId near{"near"};
  const InstanceId far{"far"};
  Balancer balancer{7};
  TimePoint now = kStart;
  int attempts = 0;

  void setup() override {
    balancer.SetCandidates(
        now, {{{near, {}}, {}, Locality::kOwnDataCentre}, {{far, {}}, {}, Locality::kOwnRegion}},
        {"*"});
    for (const InstanceId& instance : {near, far}) {
      End(instance, milliseconds(60), AttemptResult::kAnswered);
    }
  }
  /// One call with one attempt, which ends after `time`.
  void End(const InstanceId& instance, Duration time, AttemptResult result) {
    AttemptTracker tracker(balancer, kObjective);
    const AttemptId attempt("attempt-" + std::to_string(++attempts));
    tracker.Sent(now, attempt, instance, false);
    now += time;
    tracker.Ended(now, attempt, result);
    tracker.Ended(now, attempt, result);  // without effect
  }
  InstanceId Chosen() {
    return balancer.Choose(now, {}, {.objective_left = kObjective, .objective = kObjective})
        ->instance;
  }
};

// A full link or a process that answers nothing: its slots are free and its reports of load low.
TEST(AttemptsOfCalls, KeptGoingToATargetThatAnsweredNoneBeforeItsCallerGaveUp) {
  CHECK(Chosen() == near);
  for (int attempt = 0; attempt < 2; ++attempt) {
    End(near, milliseconds(700), AttemptResult::kCancelled);
  }
  CHECK(Chosen() == far);
}

TEST(AttemptsOfCalls, CancelledEarlierThanATargetAnswersTellNothing) {
  for (int attempt = 0; attempt < 8; ++attempt) {
    End(near, milliseconds(10), AttemptResult::kCancelled);
  }
  CHECK(Chosen() == near);
}

TEST(AttemptsOfCalls, KeepTheInstanceOfTheLatest) {
  AttemptTracker tracker(balancer, kObjective);
  CHECK_FALSE(tracker.latest_instance().has_value());
  tracker.Sent(now, AttemptId("1"), near, true);
  tracker.Sent(now, AttemptId("2"), far, false);
  CHECK(*tracker.latest_instance() == far);
  tracker.Ended(now, AttemptId("1"), AttemptResult::kBusy);
  tracker.Ended(now, AttemptId("2"), AttemptResult::kAnswered);
  CHECK(*tracker.latest_instance() == far);
}
