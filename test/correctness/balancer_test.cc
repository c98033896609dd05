// Tests of Balancer and RetryBudget. They guard against calls to excluded or failing targets,
// unnecessary calls over billed links, and ejecting so many targets that the rest is overloaded.
#include "balancer.h"

#include <CppUTest/TestHarness.h>

#include <map>

#include "retry_budget.h"
#include "target_pattern.h"

using namespace endivecleat;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const TimePoint kStart = TimePoint{} + seconds(100);

InstanceId Instance(int number) { return InstanceId("i" + std::to_string(number)); }

Candidate Make(int number, Locality locality = Locality::kOwnDataCentre, uint64_t busy = 0) {
  const TargetId target("portal-" + std::to_string(number));
  return {{Instance(number), {}}, target, locality, {busy, 9}};
}

Balancer WithTargets(int count) {
  Balancer balancer(5);
  std::vector<Candidate> candidates;
  candidates.reserve(static_cast<size_t>(count));
  for (int number = 0; number < count; ++number) {
    candidates.push_back(Make(number));
  }
  balancer.SetCandidates(kStart, candidates, {"*"});
  return balancer;
}

std::map<InstanceId, int> Choices(Balancer& balancer, TimePoint now) {
  std::map<InstanceId, int> counts;
  for (int round = 0; round < 300; ++round) {
    ++counts[balancer.Choose(now, {})->instance];
  }
  return counts;
}

void Report(Balancer& balancer, TimePoint now, int number, AttemptResult result) {
  balancer.Sent(Instance(number));
  balancer.Finished(now, Instance(number), result, std::nullopt);
}

}  // namespace

TEST_GROUP(BalancerPattern){};

TEST(BalancerPattern, AllowsOnlyMatchingTargets) {
  CHECK(MatchesAnyPattern({"a-*"}, TargetId("a-1")));
  CHECK(MatchesAnyPattern({"x", "*-1"}, TargetId("a-1")));
  CHECK(MatchesAnyPattern({"a*b*c"}, TargetId("a1b2b3c")));
  CHECK_FALSE(MatchesAnyPattern({"a-*"}, TargetId("b-a-1")));
  CHECK_FALSE(MatchesAnyPattern({"a-1"}, TargetId("a-12")));
  Balancer balancer(1);
  balancer.SetCandidates(kStart, {Make(1), Make(2)}, {"portal-2"});
  CHECK(balancer.Choose(kStart, {})->instance == Instance(2));
}

TEST_GROUP(BalancerLocality){};

TEST(BalancerLocality, ChoosesAFartherTargetOnlyWhenNoNearerOneIsLeft) {
  Balancer balancer(2);
  balancer.SetCandidates(
      kStart, {Make(3, Locality::kOtherRegion), Make(2, Locality::kOwnRegion), Make(1)}, {"*"});
  CHECK(balancer.Choose(kStart, {})->instance == Instance(1));
  CHECK(balancer.Choose(kStart, {Instance(1)})->instance == Instance(2));
  CHECK(balancer.Choose(kStart, {Instance(1), Instance(2)})->instance == Instance(3));
  CHECK_FALSE(balancer.Choose(kStart, {Instance(1), Instance(2), Instance(3)}).has_value());
}

TEST_GROUP(BalancerLoad){};

TEST(BalancerLoad, PrefersTheLessLoadedTarget) {
  Balancer balancer(3);
  balancer.SetCandidates(kStart, {Make(1, Locality::kOwnDataCentre, 8), Make(2)}, {"*"});
  CHECK(balancer.Choose(kStart, {})->instance == Instance(2));
  for (int sent = 0; sent < 9; ++sent) {
    balancer.Sent(Instance(2));
  }
  CHECK(balancer.Choose(kStart, {})->instance == Instance(1));
}

TEST(BalancerLoad, PrefersTheLoadOfAnAnswerOverAnOlderGossipedOne) {
  Balancer balancer(3);
  const std::vector<Candidate> candidates{Make(1), Make(2, Locality::kOwnDataCentre, 4)};
  balancer.SetCandidates(kStart, candidates, {"*"});
  balancer.Sent(Instance(1));
  balancer.Finished(kStart, Instance(1), AttemptResult::kAnswered, TargetLoad{9, 9});
  balancer.SetCandidates(kStart + milliseconds(500), candidates, {"*"});
  CHECK(balancer.Choose(kStart, {})->instance == Instance(2));
  balancer.SetCandidates(kStart + seconds(2), candidates, {"*"});
  CHECK(balancer.Choose(kStart, {})->instance == Instance(1));
}

TEST_GROUP(BalancerEjection){};

TEST(BalancerEjection, DoublesFrom200MillisecondsToFiveSeconds) {
  Balancer balancer = WithTargets(4);
  TimePoint now = kStart;
  for (const int64_t expected : {200, 400, 800, 1600, 3200, 5000, 5000}) {
    Report(balancer, now, 0, AttemptResult::kRefused);
    CHECK(balancer.is_ejected(now + milliseconds(expected - 1), Instance(0)));
    CHECK_FALSE(balancer.is_ejected(now + milliseconds(expected), Instance(0)));
    now += milliseconds(expected);
  }
  Report(balancer, now, 0, AttemptResult::kAnswered);
  Report(balancer, now, 0, AttemptResult::kFailed);
  CHECK_FALSE(balancer.is_ejected(now + milliseconds(200), Instance(0)));
}

TEST(BalancerEjection, LeavesAtLeastHalfOfTheTargets) {
  Balancer balancer = WithTargets(5);
  for (int number = 0; number < 5; ++number) {
    Report(balancer, kStart + milliseconds(number), number, AttemptResult::kFailed);
  }
  LONGS_EQUAL(3, Choices(balancer, kStart + milliseconds(10)).size());
  Balancer single = WithTargets(1);
  Report(single, kStart, 0, AttemptResult::kFailed);
  CHECK(single.Choose(kStart, {}).has_value());
}

TEST(BalancerEjection, IncludesATargetWithAHighErrorRate) {
  Balancer balancer = WithTargets(4);
  for (int answer = 0; answer < 10; ++answer) {
    Report(balancer, kStart, 1, AttemptResult::kErrorStatus);
  }
  CHECK_FALSE(Choices(balancer, kStart).contains(Instance(1)));
  Report(balancer, kStart, 2, AttemptResult::kErrorStatus);
  CHECK(Choices(balancer, kStart).contains(Instance(2)));
}

TEST(BalancerEjection, IgnoresCancelledAttempts) {
  Balancer balancer = WithTargets(4);
  Report(balancer, kStart, 1, AttemptResult::kCancelled);
  CHECK_FALSE(balancer.is_ejected(kStart, Instance(1)));
}

TEST_GROUP(BalancerDaemonUnreachable){};

// Guards against using up the retry budget: each call to the dead daemon of a data centre's only
// target costs a retry, and the membership removes the daemon only after the budget is empty.
TEST(BalancerDaemonUnreachable, GoesToAnotherDataCentreWhenItWasTheOnlyTarget) {
  Balancer balancer(3);
  balancer.SetCandidates(
      kStart, {Make(0), Make(1, Locality::kOwnRegion), Make(2, Locality::kOtherRegion)}, {"*"});
  Report(balancer, kStart, 0, AttemptResult::kUnreachable);
  CHECK(balancer.is_ejected(kStart, Instance(0)));
  CHECK(balancer.Choose(kStart, {})->instance == Instance(1));
  CHECK(balancer.Choose(kStart + seconds(1), {})->instance == Instance(0));
}

TEST(BalancerDaemonUnreachable, IsNotChosenEvenIfMoreThanHalfAreUnreachable) {
  Balancer balancer = WithTargets(4);
  for (const int number : {0, 1, 2}) {
    Report(balancer, kStart, number, AttemptResult::kUnreachable);
  }
  LONGS_EQUAL(300, Choices(balancer, kStart)[Instance(3)]);
}

TEST(BalancerDaemonUnreachable, IsTriedWhenNothingElseIsLeft) {
  Balancer balancer = WithTargets(2);
  Report(balancer, kStart, 0, AttemptResult::kUnreachable);
  Report(balancer, kStart, 1, AttemptResult::kUnreachable);
  CHECK(balancer.Choose(kStart, {}).has_value());
}

// Guards against cascading overload: calls refused by a data centre must not move to the next one.
TEST(BalancerDaemonUnreachable, ARefusalAloneKeepsCallsInTheDataCentre) {
  Balancer balancer(3);
  balancer.SetCandidates(kStart, {Make(0), Make(1, Locality::kOwnRegion)}, {"*"});
  Report(balancer, kStart, 0, AttemptResult::kRefused);
  CHECK(balancer.Choose(kStart, {})->instance == Instance(0));
}

TEST_GROUP(BalancerTargetGone){};

TEST(BalancerTargetGone, IsNotChosenAndIsRemovedWhenItsAttemptsEnd) {
  Balancer balancer = WithTargets(2);
  balancer.Sent(Instance(0));
  balancer.SetCandidates(kStart, {Make(1)}, {"*"});
  CHECK_FALSE(Choices(balancer, kStart).contains(Instance(0)));
  balancer.Finished(kStart, Instance(0), AttemptResult::kFailed, std::nullopt);
  LONGS_EQUAL(1, balancer.size());
}

TEST_GROUP(RetryBudgetUsedUp){};

TEST(RetryBudgetUsedUp, AllowsRetriesOfATenthOfTheCalls) {
  RetryBudget budget(Percent(10));
  int taken = 0;
  while (budget.TryTake()) {
    ++taken;
  }
  LONGS_EQUAL(10, taken);
  for (int call = 0; call < 1000; ++call) {
    budget.CountCall();
    taken += budget.TryTake() ? 1 : 0;
  }
  LONGS_EQUAL(110, taken);
}

// Targets and data centres with unequal load or speed.
TEST_GROUP(BalancerUnequalLoad) {
  Balancer balancer{7};
  void Answer(int number, int64_t milliseconds_taken, int times = 8) {
    for (int answer = 0; answer < times; ++answer) {
      balancer.Sent(Instance(number));
      balancer.Finished(kStart, Instance(number), AttemptResult::kAnswered, std::nullopt,
                        milliseconds(milliseconds_taken));
    }
  }
};

TEST(BalancerUnequalLoad, LeavesTheDataCentreToAvoidALongWait) {
  balancer.SetCandidates(kStart,
                         {Make(1, Locality::kOwnDataCentre, 14), Make(2, Locality::kOwnRegion, 2),
                          Make(3, Locality::kOtherRegion, 0)},
                         {"*"});
  CHECK(balancer.Choose(kStart, {})->instance == Instance(2));
}

TEST(BalancerUnequalLoad, StaysInTheOwnDataCentreForAShortWait) {
  balancer.SetCandidates(
      kStart, {Make(1, Locality::kOwnDataCentre, 9), Make(2, Locality::kOwnRegion, 8)}, {"*"});
  CHECK(balancer.Choose(kStart, {})->instance == Instance(1));
}

TEST(BalancerUnequalLoad, CrossesTheBilledLinkOnlyForAWaitAboveItsCost) {
  const auto chosen = [&](uint64_t busy) {
    balancer.SetCandidates(
        kStart + seconds(2),
        {Make(1, Locality::kOwnDataCentre, busy), Make(3, Locality::kOtherRegion, 0)}, {"*"});
    return balancer.Choose(kStart + seconds(2), {})->instance;
  };
  CHECK(chosen(18) == Instance(1));
  CHECK(chosen(60) == Instance(3));
}

// Guards against using a billed link only to be faster than the objective requires.
TEST(BalancerUnequalLoad, StaysNearWhileASlowerTargetMeetsTheObjective) {
  const std::vector<Candidate> candidates = {Make(1), Make(2, Locality::kOwnRegion)};
  balancer.SetCandidates(kStart, candidates, {"*"});
  Answer(1, 150);
  Answer(2, 100);
  CHECK(balancer.Choose(kStart, {}, {.objective_left = milliseconds(600)})->instance ==
        Instance(1));
  CHECK(balancer.Choose(kStart, {}, {.objective_left = milliseconds(150)})->instance ==
        Instance(2));
}

TEST(BalancerUnequalLoad, PrefersAFasterTargetUntilItIsFull) {
  balancer.SetCandidates(kStart, {Make(1), Make(2)}, {"*"});
  Answer(1, 600);
  Answer(2, 100);
  std::map<InstanceId, int> counts = Choices(balancer, kStart);
  LONGS_EQUAL(300, counts[Instance(2)]);
  balancer.SetCandidates(kStart, {Make(1), Make(2, Locality::kOwnDataCentre, 90)}, {"*"});
  CHECK(balancer.Choose(kStart, {})->instance == Instance(1));
}

TEST(BalancerUnequalLoad, TriesASlowTargetAgainAfterAWhile) {
  balancer.SetCandidates(kStart, {Make(1), Make(2)}, {"*"});
  Answer(1, 2000);
  Answer(2, 100);
  CHECK(Choices(balancer, kStart + seconds(6)).contains(Instance(1)));
}

// Guards against a target that seems idle since its answers don't arrive: a full link, or a process
// that answers nothing.
TEST(BalancerUnequalLoad, LeavesATargetWhoseAttemptsEndCancelledWithoutAnAnswer) {
  balancer.SetCandidates(kStart, {Make(1), Make(2, Locality::kOwnRegion)}, {"*"});
  const ChoiceTerms terms{.objective_left = milliseconds(250), .objective = milliseconds(250)};
  for (const int number : {1, 2}) {
    balancer.Sent(Instance(number));
    balancer.Finished(kStart, Instance(number), AttemptResult::kAnswered, std::nullopt,
                      milliseconds(60), milliseconds(250));
  }
  CHECK(balancer.Choose(kStart, {}, terms)->instance == Instance(1));
  balancer.Sent(Instance(1));
  balancer.Finished(kStart, Instance(1), AttemptResult::kCancelled, std::nullopt, milliseconds(10),
                    milliseconds(250));
  CHECK(balancer.Choose(kStart, {}, terms)->instance == Instance(1));
  for (int attempt = 0; attempt < 2; ++attempt) {
    balancer.Sent(Instance(1));
    balancer.Finished(kStart, Instance(1), AttemptResult::kCancelled, std::nullopt,
                      milliseconds(700), milliseconds(250));
  }
  CHECK(balancer.Choose(kStart, {}, terms)->instance == Instance(2));
}

TEST(BalancerUnequalLoad, GivesANewTargetItsShare) {
  balancer.SetCandidates(kStart, {Make(1), Make(2)}, {"*"});
  Answer(1, 100);
  Answer(2, 100);
  balancer.SetCandidates(kStart, {Make(1), Make(2), Make(3)}, {"*"});
  CHECK(Choices(balancer, kStart)[Instance(3)] > 50);
}

TEST(BalancerUnequalLoad, ExpectsNoWaitWhileASlotIsFree) {
  balancer.SetCandidates(kStart, {Make(1, Locality::kOwnDataCentre, 30), Make(2)}, {"*"});
  CHECK(balancer.ExpectedWait() == Duration{});
  balancer.SetCandidates(kStart, {Make(1, Locality::kOwnDataCentre, 17)}, {"*"});
  CHECK(balancer.ExpectedWait() == milliseconds(100));
}

TEST_GROUP(BalancerFreeSlot) {
  Balancer balancer{7};
  const ChoiceTerms terms{.free_slot_only = true};
};

TEST(BalancerFreeSlot, LeavesOutTargetsThatWereFullAMomentAgo) {
  balancer.SetCandidates(kStart, {Make(1), Make(2, Locality::kOwnRegion)}, {"*"});
  balancer.Sent(Instance(1));
  balancer.Finished(kStart, Instance(1), AttemptResult::kBusy, TargetLoad{9, 9});
  CHECK(balancer.Choose(kStart, {}, terms)->instance == Instance(2));
  CHECK_FALSE(balancer.Choose(kStart, {Instance(2)}, terms).has_value());
  CHECK(balancer.Choose(kStart + milliseconds(100), {}, terms)->instance == Instance(1));
}

TEST(BalancerFreeSlot, StaysInTheRegionWhileItHasTargets) {
  balancer.SetCandidates(kStart, {Make(1), Make(3, Locality::kOtherRegion)}, {"*"});
  CHECK_FALSE(balancer.Choose(kStart, {Instance(1)}, terms).has_value());
  CHECK(balancer.Choose(kStart, {Instance(1)}, {})->instance == Instance(3));
  balancer.SetCandidates(kStart, {Make(3, Locality::kOtherRegion)}, {"*"});
  CHECK(balancer.Choose(kStart, {}, terms)->instance == Instance(3));
}

// Guards against requests refused in a full region beside another one with free slots, and against
// offers on the billed link while the other region is as full.
TEST(BalancerFreeSlot, LeavesTheRegionWhenItsOffersFindNoSlotAndTheOtherReportsLessLoad) {
  constexpr int kTargetsOfRegion = 20;
  const TimePoint later = kStart + seconds(2);
  const auto crosses = [&](uint64_t busy_elsewhere) {
    std::vector<Candidate> candidates;
    for (int number = 0; number < kTargetsOfRegion; ++number) {
      candidates.push_back(Make(number, Locality::kOwnDataCentre, 9));
      candidates.push_back(Make(100 + number, Locality::kOtherRegion, busy_elsewhere));
    }
    balancer.SetCandidates(later, candidates, {"*"});
    return balancer.Choose(later, {}, terms)->instance.value().size() ==
           Instance(100).value().size();
  };
  CHECK_FALSE(crosses(4));
  for (int offer = 0; offer < 100; ++offer) {
    balancer.Sent(Instance(1));
    balancer.Finished(kStart + milliseconds(1500), Instance(1), AttemptResult::kBusy, std::nullopt,
                      std::nullopt, Duration{}, true);
  }
  CHECK(crosses(4));
  CHECK_FALSE(crosses(9));
}

// Guards against large responses that cross the billed link since the own region is full: a late
// answer costs less.
TEST(BalancerFreeSlot, KeepsLargeResponsesInAFullRegion) {
  std::vector<Candidate> candidates;
  for (int number = 0; number < 20; ++number) {
    candidates.push_back(Make(number, Locality::kOwnDataCentre, 9));
    candidates.push_back(Make(100 + number, Locality::kOtherRegion, 0));
  }
  balancer.SetCandidates(kStart, candidates, {"*"});
  for (int offer = 0; offer < 400; ++offer) {
    balancer.Sent(Instance(offer % 20));
    balancer.Finished(kStart, Instance(offer % 20), AttemptResult::kBusy, TargetLoad{9, 9},
                      std::nullopt, Duration{}, true);
  }
  CHECK(balancer.Choose(kStart, {}, terms).has_value());
  CHECK_FALSE(
      balancer.Choose(kStart, {}, {.free_slot_only = true, .large_response = true}).has_value());
}

// Guards against choosing by the service times of other, longer requests.
TEST(BalancerUnequalLoad, KeepsServiceTimesOfDifferentObjectivesApart) {
  balancer.SetCandidates(kStart, {Make(1), Make(2, Locality::kOwnRegion)}, {"*"});
  for (int answer = 0; answer < 8; ++answer) {
    balancer.Sent(Instance(1));
    balancer.Finished(kStart, Instance(1), AttemptResult::kAnswered, std::nullopt,
                      milliseconds(400), milliseconds(800));
    for (const int number : {1, 2}) {
      balancer.Sent(Instance(number));
      balancer.Finished(kStart, Instance(number), AttemptResult::kAnswered, std::nullopt,
                        milliseconds(40), milliseconds(150));
    }
  }
  const ChoiceTerms short_call{.objective_left = milliseconds(150), .objective = milliseconds(150)};
  CHECK(balancer.Choose(kStart, {}, short_call)->instance == Instance(1));
}

// Guards against large responses that cross billed links to avoid a wait.
TEST(BalancerUnequalLoad, KeepsLargeResponsesNear) {
  balancer.SetCandidates(
      kStart, {Make(1, Locality::kOwnDataCentre, 14), Make(2, Locality::kOwnRegion, 2)}, {"*"});
  CHECK(balancer.Choose(kStart, {}, {.large_response = true})->instance == Instance(1));
  balancer.SetCandidates(
      kStart, {Make(1, Locality::kOwnDataCentre, 90), Make(3, Locality::kOtherRegion, 0)}, {"*"});
  CHECK(balancer.Choose(kStart, {}, {.large_response = true})->instance == Instance(1));
}

// Guards against requests and answers that fill the narrow links of instances whose own target is
// free.
TEST(BalancerUnequalLoad, PrefersTheTargetOfTheOwnInstance) {
  Candidate own = Make(1);
  own.own_instance = true;
  balancer.SetCandidates(kStart, {own, Make(2), Make(3)}, {"*"});
  CHECK(Choices(balancer, kStart)[Instance(1)] > 290);
  own.load = {14, 9};
  balancer.SetCandidates(kStart, {own, Make(2), Make(3)}, {"*"});
  CHECK(Choices(balancer, kStart)[Instance(1)] < 100);
}

// Guards against offers that find no free slot and fill the network links of the targets'
// instances.
TEST(BalancerFreeSlot, IsAskedForSeldomWhereRefusalsAreFrequentAndSlow) {
  constexpr int kOffers = 200;
  const auto made_after_refusals_that_took = [&](Duration taken) {
    balancer.SetCandidates(kStart, {Make(1), Make(2), Make(3)}, {"*"});
    int made = 0;
    for (int offer = 0; offer < kOffers; ++offer) {
      balancer.Sent(Instance(1));
      balancer.Finished(kStart, Instance(1), AttemptResult::kBusy, std::nullopt, taken,
                        milliseconds(250), true);
      made += offer >= kOffers / 2 && balancer.Choose(kStart, {}, terms) ? 1 : 0;
    }
    return made;
  };
  LONGS_EQUAL(kOffers / 2, made_after_refusals_that_took(milliseconds(2)));
  CHECK(made_after_refusals_that_took(milliseconds(60)) < kOffers / 10);
}
