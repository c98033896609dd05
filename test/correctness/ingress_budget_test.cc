// Tests the ingress budget. Guards against clients that together hold more than the budget, against
// a refusal of ordinary small requests or of requests that may have run, and against one address
// that takes all connections.
#include "ingress_budget.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <array>
#include <iterator>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "seeded_random.h"

using namespace endivecleat;  // NOLINT(google-build-using-namespace)
using Phase = IngressBudget::Phase;
using HolderId = IngressBudget::HolderId;

namespace {

constexpr TimePoint kStart{std::chrono::seconds(100)};
constexpr size_t kLarge = 100'000;
constexpr size_t kSmall = 10'000;

struct Refusal {
  HolderId holder;
  IngressLimit limit;
};

}  // namespace

TEST_GROUP(IngressBudget) {
  IngressLimits limits{.bytes = ByteCount(1'000'000),
                       .connections = 10,
                       .connections_per_address = 8,
                       .partial_requests = 6,
                       .partial_requests_per_address = 4};
  IngressBudget budget{limits};
  std::vector<Refusal> refusals;

  HolderId Open(const std::string& address, TimePoint now = kStart) {
    auto id = std::make_shared<HolderId>();
    const auto holder = budget.Add(address, now, [this, id](IngressLimit limit) {
      refusals.push_back({*id, limit});
    });
    CHECK(holder.has_value());
    *id = *holder;
    return *holder;
  }

  void Hold(HolderId holder, size_t bytes, Phase phase = Phase::kReading, TimePoint now = kStart,
            bool progress = true) {
    budget.Update(holder, {.bytes = bytes, .refusable = phase == Phase::kRunning ? 0 : bytes},
                  phase, now, progress);
  }

  void RequireRefused(HolderId holder, IngressLimit limit) {
    LONGS_EQUAL(1, refusals.size());
    CHECK(refusals.front().holder == holder);
    CHECK(refusals.front().limit == limit);
    refusals.clear();
  }
};

TEST(IngressBudget, RefusesTheLargestOfThoseThatMakeProgress) {
  const HolderId one = Open("a");
  const HolderId two = Open("b");
  const HolderId three = Open("c");
  Hold(one, 400'000);
  Hold(two, 500'000);
  Hold(three, 50'000);
  budget.Enforce(kStart);
  CHECK(refusals.empty());
  Hold(three, 150'000);
  budget.Enforce(kStart);
  RequireRefused(two, IngressLimit::kBytes);
  LONGS_EQUAL(550'000, budget.bytes());
}

TEST(IngressBudget, RefusesAStalledRequestBeforeALargerOneThatProgresses) {
  const HolderId stalled = Open("a");
  const HolderId progressing = Open("b");
  Hold(stalled, 300'000);
  const TimePoint later = kStart + std::chrono::seconds(2);
  Hold(progressing, 800'000, Phase::kReading, later);
  budget.Enforce(later);
  RequireRefused(stalled, IngressLimit::kBytes);
}

TEST(IngressBudget, NeverRefusesASmallRequestOrOneThatRuns) {
  const HolderId running = Open("a");
  const HolderId small = Open("b");
  Hold(running, 2'000'000, Phase::kRunning);
  Hold(small, kSmall);
  budget.Enforce(kStart);
  CHECK(refusals.empty());
  const HolderId large = Open("c");
  Hold(large, kLarge);
  budget.Enforce(kStart);
  RequireRefused(large, IngressLimit::kBytes);
}

TEST(IngressBudget, NeverRefusesAnIdleConnectionForBytes) {
  const HolderId running = Open("a");
  const HolderId idle = Open("b");
  Hold(running, 2'000'000, Phase::kRunning);
  Hold(idle, 15, Phase::kIdle);
  budget.Enforce(kStart + std::chrono::hours(1));
  CHECK(refusals.empty());
}

TEST(IngressBudget, RefusesAConnectionOnceForItsBytes) {
  const HolderId holder = Open("a");
  Hold(holder, 1'500'000);
  budget.Enforce(kStart);
  RequireRefused(holder, IngressLimit::kBytes);
  Hold(holder, 1'500'000, Phase::kSending);
  budget.Enforce(kStart);
  CHECK(refusals.empty());
}

TEST(IngressBudget, NewConnectionTakesThePlaceOfTheOneWithoutARequest) {
  std::vector<HolderId> holders;
  holders.reserve(10);
  for (int index = 0; index < 10; ++index) {
    holders.push_back(Open(index < 5 ? "a" : "b", kStart + std::chrono::milliseconds(index)));
  }
  // The oldest has served a request, and the next is running one.
  Hold(holders[0], 0, Phase::kRunning);
  Hold(holders[0], 0, Phase::kIdle);
  Hold(holders[1], kSmall, Phase::kRunning);
  Open("c", kStart + std::chrono::seconds(1));
  RequireRefused(holders[2], IngressLimit::kConnections);
  LONGS_EQUAL(10, budget.connections());
}

TEST(IngressBudget, NewConnectionIsDeniedWhenAllOthersRunRequests) {
  for (int index = 0; index < 10; ++index) {
    Hold(Open(index < 5 ? "a" : "b"), kSmall, Phase::kRunning);
  }
  CHECK_FALSE(budget.Add("c", kStart, [](IngressLimit) {}).has_value());
  LONGS_EQUAL(1, budget.refused(IngressLimit::kConnections));
  CHECK(refusals.empty());
}

TEST(IngressBudget, AnAddressLosesOnlyItsOwnConnections) {
  const HolderId other = Open("b");
  std::vector<HolderId> crowd;
  crowd.reserve(8);
  for (int index = 0; index < 8; ++index) {
    crowd.push_back(Open("a", kStart + std::chrono::milliseconds(index)));
  }
  Open("a", kStart + std::chrono::seconds(1));
  RequireRefused(crowd[0], IngressLimit::kConnectionsPerAddress);
  LONGS_EQUAL(9, budget.connections());
  Hold(other, kSmall);
}

TEST(IngressBudget, PartlyReadRequestsAreLimitedInAllAndPerAddress) {
  std::vector<HolderId> holders;
  holders.reserve(10);
  for (int index = 0; index < 5; ++index) {
    const TimePoint now = kStart + std::chrono::milliseconds(index);
    holders.push_back(Open("a", now));
    Hold(holders.back(), kSmall, Phase::kReading, now);
    budget.Enforce(now);
  }
  RequireRefused(holders[0], IngressLimit::kPartialRequestsPerAddress);
  for (int index = 0; index < 3; ++index) {
    const TimePoint now = kStart + std::chrono::milliseconds(10 + index);
    holders.push_back(Open(std::string(1, static_cast<char>('b' + index)), now));
    Hold(holders.back(), kSmall, Phase::kReading, now);
    budget.Enforce(now);
  }
  RequireRefused(holders[1], IngressLimit::kPartialRequests);
  LONGS_EQUAL(6, budget.partial_requests());
}

TEST(IngressBudget, ARefusalInsideARefusalDoesNotNest) {
  int depth = 0;
  int deepest = 0;
  int refused = 0;
  for (int index = 0; index < 8; ++index) {
    const auto holder = budget.Add("a", kStart, [&](IngressLimit) {
      deepest = std::max(deepest, ++depth);
      ++refused;
      budget.Enforce(kStart);
      --depth;
    });
    Hold(*holder, 300'000);
  }
  budget.Enforce(kStart);
  LONGS_EQUAL(1, deepest);
  LONGS_EQUAL(5, refused);
  CHECK(budget.bytes() <= limits.bytes.value());
}

TEST(IngressBudget, LogsEachLimitOnceInTenSeconds) {
  budget.CountRefusal(IngressLimit::kBodyRate);
  LONGS_EQUAL(1, budget.TakeLogCount(IngressLimit::kBodyRate, kStart).value());
  budget.CountRefusal(IngressLimit::kBodyRate);
  CHECK_FALSE(budget.TakeLogCount(IngressLimit::kBodyRate, kStart).has_value());
  CHECK(budget.TakeLogCount(IngressLimit::kHeaderTimeout, kStart).has_value());
  budget.CountRefusal(IngressLimit::kBodyRate);
  LONGS_EQUAL(
      2, budget.TakeLogCount(IngressLimit::kBodyRate, kStart + std::chrono::seconds(10)).value());
}

TEST(IngressBudget, DescriptorsOfOthersAreKeptBack) {
  LONGS_EQUAL(3072, FitToDescriptors(IngressLimits(), 4100).connections);
  LONGS_EQUAL(976, FitToDescriptors(IngressLimits(), 2000).connections);
  LONGS_EQUAL(250, FitToDescriptors(IngressLimits(), 1000).connections);
  LONGS_EQUAL(250, FitToDescriptors(IngressLimits(), 1000).connections_per_address);
}

// Random sequences of events: the counts match what the connections hold, and the limits on
// connections and on partly read requests hold after each.
TEST(IngressBudget, CountsMatchAndLimitsHoldInRandomSequences) {
  constexpr std::array kPhases = {Phase::kIdle, Phase::kReading, Phase::kRunning, Phase::kSending};
  SeededRandom random(5);
  std::map<HolderId, std::pair<size_t, Phase>> held;
  TimePoint now = kStart;
  for (int step = 0; step < 20'000; ++step) {
    now += std::chrono::milliseconds(random.Below(50));
    if (random.Chance(40) || held.empty()) {
      auto id = std::make_shared<HolderId>();
      const std::string address(1, static_cast<char>('a' + random.Below(3)));
      const auto holder = budget.Add(address, now, [this, id, &held](IngressLimit limit) {
        if (limit == IngressLimit::kConnections || limit == IngressLimit::kConnectionsPerAddress) {
          held.erase(*id);
          budget.Remove(*id);
        } else {
          held[*id] = {0, Phase::kIdle};
        }
      });
      if (holder) {
        *id = *holder;
        held[*holder] = {0, Phase::kIdle};
      }
    } else {
      const auto chosen = std::next(held.begin(), static_cast<int64_t>(random.Below(held.size())));
      const HolderId id = chosen->first;
      if (random.Chance(20)) {
        held.erase(id);
        budget.Remove(id);
      } else {
        held[id] = {random.Below(400'000), kPhases.at(random.Below(kPhases.size()))};
        Hold(id, held[id].first, held[id].second, now, random.Chance(70));
        budget.Enforce(now);
      }
    }
    uint64_t bytes = 0;
    size_t partial = 0;
    for (const auto& [id, state] : held) {
      bytes += state.first;
      partial += state.second == Phase::kReading ? 1 : 0;
    }
    LONGS_EQUAL(bytes, budget.bytes());
    LONGS_EQUAL(partial, budget.partial_requests());
    LONGS_EQUAL(held.size(), budget.connections());
    CHECK(held.size() <= limits.connections);
    CHECK(partial <= limits.partial_requests);
  }
}
