// Tests of FairQueue and ServiceShare. They guard against tenants that pay for the burst of another
// one, against an order of requests without a tenant that differs from that of their start times,
// and against deferrable work that is starved or that delays urgent work.
#include "fair_queue.h"

#include <CppUTest/TestHarness.h>

#include <map>
#include <string>
#include <vector>

#include "admission.h"
#include "seeded_random.h"
#include "service_share.h"

using namespace endivecleat;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const TimePoint kStart = TimePoint{} + seconds(100);
constexpr Duration kLong = milliseconds(800);
constexpr Duration kShort = milliseconds(200);

Duration CostOf(Duration objective) { return objective / 4; }

WaitingRequest Request(uint64_t number, const std::string& tenant, Duration objective = kShort) {
  return {RequestNumber(number), TenantName(tenant), objective, TimePoint::max(), TimePoint::max()};
}

}  // namespace

TEST_GROUP(FairQueueOrder) {
  FairQueue queue;
  /// Serves up to `count` requests and returns how many each tenant got.
  std::map<std::string, int> Serve(int count) {
    std::map<std::string, int> served;
    for (; count > 0 && !queue.empty(); --count) {
      ++served[queue.Pop(CostOf).tenant.value()];
    }
    return served;
  }
};

// The order of requests without a tenant was that of a multimap by their start times before there
// were tenants.
TEST(FairQueueOrder, OfRequestsWithoutATenantIsThatOfTheirStartTimes) {
  SeededRandom random(5);
  std::multimap<TimePoint, uint64_t> expected;
  for (uint64_t number = 1; number <= 20000; ++number) {
    const TimePoint start_by = kStart + milliseconds(random.Below(50));
    queue.Add(start_by, Request(number, "", random.Chance(50) ? kLong : kShort));
    expected.emplace(start_by, number);
    if (random.Chance(20)) {
      LONGS_EQUAL(std::prev(expected.end())->second, queue.Evict().number.value());
      expected.erase(std::prev(expected.end()));
    }
    if (!expected.empty() && (random.Chance(70) || expected.size() > 40)) {
      LONGS_EQUAL(expected.begin()->second, queue.Pop(CostOf).number.value());
      expected.erase(expected.begin());
    }
    LONGS_EQUAL(expected.size(), queue.size());
  }
}

TEST(FairQueueOrder, ServesTenantsInTurnThoughOneCameFirstWithABurst) {
  for (uint64_t number = 1; number <= 30; ++number) {
    queue.Add(kStart, Request(number, "large"));
  }
  for (uint64_t number = 31; number <= 34; ++number) {
    queue.Add(kStart + seconds(1), Request(number, "small"));
  }
  auto served = Serve(8);
  CHECK(served["small"] >= 3);
  served = Serve(100);
  LONGS_EQUAL(26, served["large"] + served["small"]);
}

TEST(FairQueueOrder, SharesServiceTimeAndNotRequests) {
  for (uint64_t number = 1; number <= 40; ++number) {
    queue.Add(kStart, Request(number, number % 2 == 0 ? "long" : "short",
                              number % 2 == 0 ? kLong : kShort));
  }
  const auto served = Serve(15);
  CHECK(served.at("short") >= 3 * served.at("long"));
}

// A tenant that was idle must not have saved up a claim to all slots.
TEST(FairQueueOrder, GivesAnIdleTenantNoCredit) {
  for (uint64_t number = 1; number <= 100; ++number) {
    queue.Add(kStart, Request(number, "steady"));
  }
  Serve(50);
  for (uint64_t number = 101; number <= 150; ++number) {
    queue.Add(kStart, Request(number, "returning"));
  }
  const auto served = Serve(20);
  CHECK(served.at("returning") <= 11);
}

TEST(FairQueueOrder, ChargesTheDifferenceWhenARequestTookLonger) {
  for (uint64_t number = 1; number <= 40; ++number) {
    queue.Add(kStart, Request(number, number % 2 == 0 ? "slow" : "usual"));
  }
  Serve(2);
  queue.Correct(TenantName("slow"), 8 * CostOf(kShort));
  const auto served = Serve(8);
  CHECK(served.at("usual") >= 7);
}

// Calls of running requests carry no tenant: a burst of tenants must not hold them up, nor may a
// flood of them starve the tenants.
TEST(FairQueueOrder, GivesRequestsWithoutATenantAsMuchAsAllTenants) {
  for (uint64_t number = 1; number <= 30; ++number) {
    queue.Add(kStart, Request(number, "tenant-" + std::to_string(number % 3)));
  }
  for (uint64_t number = 31; number <= 60; ++number) {
    queue.Add(kStart + seconds(1), Request(number, ""));
  }
  const auto served = Serve(24);
  CHECK(served.at("") >= 10);
  CHECK(served.at("") <= 14);
}

TEST(FairQueueOrder, EvictsTheNewestOfTheTenantWithTheLongestQueue) {
  queue.Add(kStart, Request(1, "large"));
  queue.Add(kStart, Request(2, "large"));
  queue.Add(kStart, Request(3, "large"));
  queue.Add(kStart + seconds(9), Request(4, "small"));
  CHECK(queue.EvictsInFavourOf(TenantName("small")));
  CHECK(queue.EvictsInFavourOf(TenantName("new")));
  CHECK_FALSE(queue.EvictsInFavourOf(TenantName("large")));
  LONGS_EQUAL(3, queue.Evict().number.value());
  CHECK_FALSE(queue.EvictsInFavourOf(TenantName("small")));
}

TEST(FairQueueOrder, ForgetsRemovedAndExpiredRequests) {
  queue.Add(kStart, Request(1, "one"));
  queue.Add(kStart, Request(2, "two"));
  WaitingRequest brief = Request(3, "two");
  brief.expires_at = kStart;
  queue.Add(kStart, brief);
  CHECK(queue.Remove(RequestNumber(1)));
  CHECK_FALSE(queue.Remove(RequestNumber(1)));
  int expired = 0;
  queue.RemoveExpired(kStart, [&](const WaitingRequest& request) {
    ++expired;
    LONGS_EQUAL(3, request.number.value());
  });
  LONGS_EQUAL(1, expired);
  LONGS_EQUAL(1, queue.size());
  LONGS_EQUAL(2, queue.Pop(CostOf).number.value());
  CHECK_FALSE(queue.has_tenants());
}

TEST(FairQueueOrder, ExpectsTheWorkThatIsServedBeforeANewRequest) {
  for (uint64_t number = 1; number <= 20; ++number) {
    queue.Add(kStart, Request(number, "large"));
  }
  const Duration one = CostOf(kShort);
  CHECK(queue.WorkAhead(TenantName("small"), kStart + seconds(1), CostOf) <= 2 * one);
  CHECK(queue.WorkAhead(TenantName("large"), kStart + seconds(1), CostOf) == 20 * one);
  CHECK(queue.Work(CostOf) == 20 * one);
}

/// Tenants with constant rates at one target in virtual time. Requests that are refused or expire
/// don't come back.
class TenantLoadSimulation {
 public:
  struct Source {
    std::string tenant;
    double per_second;
    Priority priority{1};
  };
  struct Outcome {
    int offered = 0;
    int served = 0;
    double share() const { return 1.0 * served / offered; }
  };

  // Ten slots and 100 ms of work: 100 requests a second.
  static std::map<std::string, Outcome> Run(const std::vector<Source>& sources, Duration length) {
    Admission admission(
        {.slots = SlotCount(10), .queue_length = QueueLength(20), .warm_up = Duration{}});
    admission.Open(kStart);
    SeededRandom random(9);
    std::map<std::string, Outcome> outcomes;
    std::map<RequestNumber, std::string> names;
    std::multimap<TimePoint, RequestNumber> ends;
    const auto decide = [&](TimePoint now, const std::vector<AdmissionDecision>& decisions) {
      for (const AdmissionDecision& decision : decisions) {
        const std::string name = names.extract(decision.number).mapped();
        if (!decision.refusal_code) {
          ++outcomes[name].served;
          ends.emplace(now + milliseconds(70 + random.Below(60)), decision.number);
        }
      }
    };
    uint64_t number = 0;
    for (TimePoint now = kStart; now < kStart + length; now += milliseconds(1)) {
      while (!ends.empty() && ends.begin()->first <= now) {
        const RequestNumber ended = ends.begin()->second;
        ends.erase(ends.begin());
        decide(now, admission.Finish(now, ended));
      }
      decide(now, admission.Tick(now));
      for (const Source& source : sources) {
        if (random.Below(1'000'000) >= static_cast<uint64_t>(source.per_second * 1000)) {
          continue;
        }
        const std::string name = source.tenant + "/" + std::to_string(source.priority.value());
        names[RequestNumber(++number)] = name;
        ++outcomes[name].offered;
        decide(now, admission.Submit(now, {.number = RequestNumber(number),
                                           .priority = source.priority,
                                           .deadline = now + seconds(4),
                                           .objective_left = milliseconds(400),
                                           .objective = milliseconds(400),
                                           .tenant = TenantName(source.tenant)}));
      }
    }
    return outcomes;
  }
};

TEST_GROUP(FairQueueUnderLoad){};

// Four small tenants need 40 of 100 requests a second; the fifth sends 300.
TEST(FairQueueUnderLoad, ABurstCostsOnlyTheTenantThatMakesIt) {
  const auto outcomes = TenantLoadSimulation::Run(
      {{"a", 10}, {"b", 10}, {"c", 10}, {"d", 10}, {"burst", 300}}, seconds(8));
  for (const std::string name : {"a/1", "b/1", "c/1", "d/1"}) {
    CHECK(outcomes.at(name).share() > 0.98);
  }
  const double burst = outcomes.at("burst/1").served / 8.0;
  CHECK(burst > 55);  // of the 60 that the others leave
}

TEST(FairQueueUnderLoad, CallsWithoutATenantAreServedDuringABurst) {
  const auto outcomes = TenantLoadSimulation::Run({{"", 30}, {"burst", 300}}, seconds(8));
  CHECK(outcomes.at("/1").share() > 0.98);
}

TEST(FairQueueUnderLoad, AFloodWithoutATenantLeavesTenantsTheirShare) {
  const auto outcomes = TenantLoadSimulation::Run({{"", 300}, {"a", 20}, {"b", 20}}, seconds(8));
  CHECK(outcomes.at("a/1").share() > 0.9);
  CHECK(outcomes.at("b/1").share() > 0.9);
}

// Deferrable work gets no less than a quarter of the share of all, also while urgent work alone
// needs more than all slots, and no more than it needs for that.
TEST(FairQueueUnderLoad, DeferrableWorkYieldsButMakesProgress) {
  const auto outcomes = TenantLoadSimulation::Run(
      {{"a", 90, Priority(0)}, {"b", 60, Priority(1)}, {"a", 50, Priority(2)}}, seconds(20));
  int offered = 0;
  int served = 0;
  for (const auto& [name, outcome] : outcomes) {
    offered += outcome.offered;
    served += outcome.served;
  }
  const double all = 1.0 * served / offered;
  CHECK(served > 1900);
  CHECK(outcomes.at("a/2").share() >= all / 4);
  CHECK(outcomes.at("a/2").share() < all / 2);
  CHECK(outcomes.at("a/0").share() > 0.93);
}

TEST(FairQueueUnderLoad, DeferrableWorkYieldsAtOnceWhileItsShareIsHigher) {
  const auto outcomes = TenantLoadSimulation::Run(
      {{"a", 40, Priority(0)}, {"b", 45, Priority(1)}, {"a", 60, Priority(2)}}, seconds(20));
  CHECK(outcomes.at("a/0").share() > 0.99);
  CHECK(outcomes.at("b/1").share() > 0.97);
  CHECK(outcomes.at("a/2").share() > 0.15);
}

// Without tenants, the order is that of the priorities alone.
TEST(FairQueueUnderLoad, DeferrableWorkWithoutATenantHasNoShare) {
  const auto outcomes = TenantLoadSimulation::Run(
      {{"", 90, Priority(0)}, {"", 60, Priority(1)}, {"", 50, Priority(2)}}, seconds(20));
  CHECK(outcomes.at("/0").share() > 0.99);
  CHECK(outcomes.at("/2").share() < 0.05);
}
