// Targets of speed 0.5, 1, 1 and 1.5 behind the decision objects of the daemons, in virtual time.
// Guards against requests that are late at slow targets while fast ones have room, and against a
// loss where all targets are alike.
#include <CppUTest/TestHarness.h>

#include <cstdio>
#include <cstdlib>

#include "unequal_targets_simulation.h"

using namespace endivecleat;  // NOLINT(google-build-using-namespace)
using endivecleat::test::UnequalTargetsSimulation;
using std::chrono::seconds;

TEST_GROUP(UnequalTargets) {
  using Kinds = std::vector<UnequalTargetsSimulation::Kind>;
  const Kinds alike = {{1, 4}};
  const Kinds unequal = {{0.5, 4}, {1, 4}, {1, 4}, {1.5, 4}};
  // The slowest and one of the mean speed slow down when half of their slots are taken.
  const Kinds early = {{0.5, 2}, {1, 4}, {1, 2}, {1.5, 4}};

  /// Share of the requests in time, over a few seeds.
  static double InTime(const Kinds& kinds, int percent, bool adaptive) {
    constexpr uint64_t kSeeds = 3;
    double share = 0;
    for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
      UnequalTargetsSimulation simulation(
          {.kinds = kinds, .percent = percent, .adaptive = adaptive, .seed = seed});
      share += simulation.Run(seconds(15)).share_in_time() / kSeeds;
    }
    if (std::getenv("ENDIVECLEAT_PRINT") != nullptr) {
      std::printf("percent=%d adaptive=%d in_time=%.4f\n", percent, adaptive ? 1 : 0, share);
    }
    return share;
  }
};

TEST(UnequalTargets, ServeMoreRequestsInTimeWithTheAdaptiveLimit) {
  CHECK(InTime(unequal, 90, true) > InTime(unequal, 90, false) + 0.002);
  CHECK(InTime(unequal, 100, true) > InTime(unequal, 100, false) + 0.005);
}

TEST(UnequalTargets, ServeMoreRequestsInTimeWhereSomeSlowDownEarly) {
  CHECK(InTime(early, 80, true) > InTime(early, 80, false) + 0.004);
}

TEST(UnequalTargets, LoseNothingWhereAllAreAlike) {
  CHECK(InTime(alike, 80, true) > InTime(alike, 80, false) - 0.001);
  CHECK(InTime(alike, 90, true) > InTime(alike, 90, false) - 0.002);
  CHECK(InTime(alike, 120, true) > InTime(alike, 120, false) - 0.004);
}

// Guards against refusals at the caller's daemon of requests that would be served. Half of the
// requests are deferrable; the urgent ones alone need 40 to 150% of the capacity.
TEST(UnequalTargets, LoseNothingByRefusalsAtTheCallersDaemon) {
  const auto run = [&](int percent, bool refuse_early) {
    UnequalTargetsSimulation simulation({.kinds = alike,
                                         .percent = percent,
                                         .adaptive = true,
                                         .refuse_early = refuse_early,
                                         .deferrable_percent = 50});
    return simulation.Run(seconds(15));
  };
  for (const int percent : {80, 300}) {
    const auto without = run(percent, false);
    const auto with = run(percent, true);
    CHECK(with.urgent_in_time > 0.99 * without.urgent_in_time);
    CHECK(with.in_time > 0.99 * without.in_time);
    CHECK(percent > 80 || with.refused_early == 0);
  }
}
