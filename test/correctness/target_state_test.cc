// Tests of AnnouncedTarget. They guard against full load on a target before its warm-up has ended,
// against requests to a target that has left, and against a wrong health endpoint that takes a
// target out of service although it answers calls.
#include "target_state.h"

#include <CppUTest/TestHarness.h>

using endivecleat::AnnouncedTarget;
using endivecleat::Announcement;
using endivecleat::Duration;
using endivecleat::ServiceName;
using endivecleat::TargetId;
using endivecleat::TargetSettings;
using endivecleat::TargetState;
using endivecleat::TimePoint;

namespace {
TimePoint At(int64_t milliseconds) {
  return TimePoint{} + std::chrono::milliseconds(100'000 + milliseconds);
}
Announcement Portal() {
  return {ServiceName("portal-ayto"), TargetId("portal-ayto-1"), {"10.0.0.1", 80}, 9, 130};
}
}  // namespace

TEST_GROUP(TargetAnnounced) {
  AnnouncedTarget target{TargetSettings{}};
  void setup() override { target.Announce(At(0), Portal()); }
  void WarmUp() {
    target.Announce(At(4000), Portal());
    target.Tick(At(5000));
  }
};

TEST(TargetAnnounced, WarmsUpLinearly) {
  LONGS_EQUAL(1, target.usable_slots(At(0)));
  LONGS_EQUAL(5, target.usable_slots(At(2500)));
  WarmUp();
  CHECK(target.state() == TargetState::kReady);
  LONGS_EQUAL(9, target.usable_slots(At(5000)));
}

TEST(TargetAnnounced, FailsWhenAnnouncementExpires) {
  WarmUp();
  target.Tick(At(9999));
  CHECK(target.state() == TargetState::kReady);
  target.Tick(At(10'000));
  CHECK(target.state() == TargetState::kFailed);
  target.ProbeResult(At(10'100), true);
  CHECK(target.state() == TargetState::kFailed);
}

TEST(TargetAnnounced, FailsAfterTwoFailedProbesInARow) {
  WarmUp();
  target.ProbeResult(At(6000), false);
  target.ProbeResult(At(6500), true);
  target.ProbeResult(At(8000), false);
  CHECK(target.state() == TargetState::kReady);
  target.ProbeResult(At(9000), false);
  CHECK(target.state() == TargetState::kFailed);
  LONGS_EQUAL(0, target.usable_slots(At(9000)));
}

TEST(TargetAnnounced, StaysReadyWhenCallSucceedsBetweenFailedProbes) {
  WarmUp();
  target.ProbeResult(At(6000), false);
  target.CallSucceeded(At(7000));
  target.ProbeResult(At(8000), false);
  CHECK(target.state() == TargetState::kReady);
}

TEST(TargetAnnounced, WarmsUpAgainAfterFailure) {
  WarmUp();
  target.CallFailed(At(6000));
  CHECK(target.state() == TargetState::kFailed);
  target.ProbeResult(At(7000), true);
  CHECK(target.state() == TargetState::kWarming);
  LONGS_EQUAL(1, target.usable_slots(At(7000)));
}

TEST(TargetAnnounced, LeavesAfterDrainIsComplete) {
  WarmUp();
  target.Drain(At(6000));
  target.Announce(At(6500), Portal());
  CHECK(target.state() == TargetState::kDraining);
  LONGS_EQUAL(0, target.usable_slots(At(6500)));
  target.Drained(At(7000));
  CHECK(target.state() == TargetState::kLeft);
  CHECK_FALSE(target.ProbeDue(At(9000)));
}

// A target renews its announcement every 2 s; a renewal must not end an operator's drain.
TEST(TargetAnnounced, HeldDrainSurvivesAnnouncementRenewal) {
  WarmUp();
  target.DrainAndHold(At(6000));
  target.Drained(At(6100));
  target.Announce(At(6500), Portal());
  CHECK(target.state() == TargetState::kLeft);
  target.Announce(At(8500), Portal());
  LONGS_EQUAL(0, target.usable_slots(At(8500)));
}

TEST(TargetAnnounced, OwnDrainEndsHeldDrainAtNextAnnouncement) {
  WarmUp();
  target.DrainAndHold(At(6000));
  target.Drained(At(6100));
  target.Drain(At(7000));
  target.Announce(At(9000), Portal());
  CHECK(target.state() == TargetState::kWarming);
}

TEST(TargetAnnounced, IsProbedEveryTwoSeconds) {
  CHECK(target.ProbeDue(At(0)));
  CHECK_FALSE(target.ProbeDue(At(1999)));
  CHECK(target.ProbeDue(At(2000)));
}

TEST(TargetAnnounced, WarmsUpWhenAnotherTargetReplacesIt) {
  WarmUp();
  Announcement other = Portal();
  other.target = TargetId("portal-ayto-2");
  target.Announce(At(6000), other);
  CHECK(target.state() == TargetState::kWarming);
}

TEST_GROUP(UnresponsiveTarget) {
  AnnouncedTarget target{TargetSettings{.warm_up = Duration{}}};
  void setup() override {
    target.Announce(At(0), Portal());
    target.Tick(At(0));
    CHECK(target.ProbeDue(At(0)));
    target.ProbeResult(At(5), true);
  }
  /// Sends calls that are never answered, and passes or fails the probes that are due. Returns the
  /// time in milliseconds at which the target counts as failed, or -1.
  int64_t FailedAt(int64_t from, int64_t until, bool answers_probes) {
    for (int64_t now = from; now < until; now += 50) {
      target.CallStarted(At(now));
      if (target.ProbeDue(At(now))) {
        target.ProbeResult(At(now + 400), answers_probes);
      }
      if (target.state() == TargetState::kFailed) {
        return now;
      }
    }
    return -1;
  }
};

// Guards against a target that hangs with its connections open and receives requests until its
// announcement expires.
TEST(UnresponsiveTarget, FailsEarlyWhenNeitherCallsNorProbesAreAnswered) {
  const int64_t failed = FailedAt(100, 5000, false);
  CHECK(failed > 0);
  CHECK(failed <= 100 + 1500);
}

TEST(UnresponsiveTarget, StaysReadyWhileProbesPass) { LONGS_EQUAL(-1, FailedAt(100, 5000, true)); }

TEST(UnresponsiveTarget, StaysReadyWhileCallsSucceed) {
  for (int64_t now = 100; now < 5000; now += 50) {
    target.CallStarted(At(now));
    if (now % 600 == 0) {
      target.CallSucceeded(At(now));
    }
    if (target.ProbeDue(At(now))) {
      target.ProbeResult(At(now + 400), false);
    }
    CHECK(target.state() == TargetState::kReady);
  }
}
