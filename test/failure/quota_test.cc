// Searches random interleavings of dropped, delayed and doubled messages, restarts, freezes,
// partitions, differing views of the membership and changed limits for a window of 5 s in which a
// tenant runs more requests than its quota allows over all daemons. Guards against two owners that
// both give out the whole quota, tokens that outlive their lease during a freeze, and shares that
// are used twice. Further tests bring about each failure alone and check what it costs.
#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <set>
#include <string>

#include "quota_mesh.h"
#include "seed_runner.h"
#include "seeded_random.h"

using namespace endivecleat;        // NOLINT(google-build-using-namespace)
using namespace endivecleat::test;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int kDisturbances = 10;
constexpr double kUsualPart = 1.6;

QuotaMeshSettings RandomSettings(SeededRandom& random) {
  QuotaMeshSettings settings;
  settings.daemons = 3 + random.Below(6);
  settings.controls = random.Below(3);
  settings.network = {.drop_percent = random.Below(4) * 3,
                      .duplicate_percent = random.Below(2) * 5,
                      .min_delay = milliseconds(1),
                      .max_delay = milliseconds(5 + random.Below(2) * 400)};
  settings.not_run_percent = random.Below(2) * 5;
  for (int tenant = 0; tenant < 3; ++tenant) {
    const auto rate = static_cast<double>(2 + random.Below(60));
    settings.quotas.push_back({rate, 1 + rate * static_cast<double>(random.Below(3))});
  }
  return settings;
}

// Each machine may see any part of the others, so that any of them may be the owner for some.
void RandomViews(QuotaMesh& mesh, SeededRandom& random) {
  for (size_t machine = 0; machine < mesh.machine_count(); ++machine) {
    std::set<size_t> view;
    for (size_t other = 0; other < mesh.machine_count(); ++other) {
      if (random.Chance(70)) {
        view.insert(other);
      }
    }
    mesh.SetView(machine, view);
  }
}

void CutRandomSide(QuotaMesh& mesh, SeededRandom& random) {
  std::set<size_t> side;
  for (size_t machine = 0; machine < mesh.machine_count(); ++machine) {
    if (random.Chance(50)) {
      side.insert(machine);
    }
  }
  mesh.Cut(side);
  for (size_t machine = 0; random.Chance(50) && machine < mesh.machine_count(); ++machine) {
    std::set<size_t> view;
    for (size_t other = 0; other < mesh.machine_count(); ++other) {
      if (side.contains(other) == side.contains(machine)) {
        view.insert(other);
      }
    }
    mesh.SetView(machine, view);
  }
}

void Disturb(QuotaMesh& mesh, SeededRandom& random) {
  const size_t machine = random.Below(mesh.machine_count());
  switch (random.Below(8)) {
    case 0:
      mesh.Restart(machine, milliseconds(random.Below(2000)));
      break;
    case 1:
      mesh.StopAndRestart(machine, milliseconds(random.Below(2000)));
      break;
    case 2:
      mesh.Freeze(machine, milliseconds(random.Below(8000)));
      break;
    case 3:
      CutRandomSide(mesh, random);
      break;
    case 4:
      RandomViews(mesh, random);
      break;
    case 5:
      mesh.HealAll();
      mesh.SetAllViews();
      break;
    case 6:
      mesh.SetLoad(random.Below(3), static_cast<double>(random.Below(300)));
      break;
    default:
      mesh.SetSkew(static_cast<double>(random.Below(101)) / 100);
      break;
  }
}

std::string Search(uint64_t seed) {
  SeededRandom random(seed);
  const QuotaMeshSettings settings = RandomSettings(random);
  QuotaMesh mesh(settings, seed + 1);
  for (size_t tenant = 0; tenant < settings.quotas.size(); ++tenant) {
    const double usual = settings.quotas[tenant].rate_per_second / kUsualPart;
    mesh.SetLoad(tenant, random.Chance(50) ? 7.5 * usual : usual);
  }
  mesh.Run(milliseconds(random.Below(8000)));
  for (int disturbance = 0; disturbance < kDisturbances; ++disturbance) {
    Disturb(mesh, random);
    mesh.Run(milliseconds(random.Below(2500)));
  }
  for (size_t tenant = 0; tenant < settings.quotas.size(); ++tenant) {
    const size_t most = mesh.MostInWindow(tenant);
    const double bound = QuotaMesh::Bound(settings.quotas[tenant]);
    if (static_cast<double>(most) > bound) {
      return "tenant " + std::to_string(tenant) + " ran " + std::to_string(most) +
             " requests in a window, " + std::to_string(bound) + " allowed";
    }
  }
  return "";
}

// Twelve daemons and two control instances; one hot tenant, one in calm, one small.
QuotaMeshSettings Mesh(size_t controls = 2) {
  QuotaMeshSettings settings;
  settings.daemons = 12;
  settings.controls = controls;
  settings.network = {.min_delay = milliseconds(1), .max_delay = milliseconds(10)};
  settings.quotas = {{40, 40}, {100, 50}, {10, 10}};
  return settings;
}

constexpr size_t kHot = 0;
constexpr size_t kCalm = 1;
constexpr size_t kSmall = 2;

void StartLoad(QuotaMesh& mesh) {
  mesh.SetLoad(kHot, 190);
  mesh.SetLoad(kCalm, 60);
  mesh.SetLoad(kSmall, 6);
}

void CheckBound(const QuotaMesh& mesh) {
  const QuotaMeshSettings settings = Mesh();
  for (size_t tenant = 0; tenant < settings.quotas.size(); ++tenant) {
    CHECK(static_cast<double>(mesh.MostInWindow(tenant)) <=
          QuotaMesh::Bound(settings.quotas[tenant]));
  }
}

// Parts of 1,000 of the requests of a tenant that were refused since `before`.
uint64_t RefusedPerMille(const QuotaMesh& mesh, size_t tenant, const QuotaCounts& before) {
  const QuotaCounts& after = mesh.counts(tenant);
  return (after.refused - before.refused) * 1000 / std::max<uint64_t>(after.sent - before.sent, 1);
}

}  // namespace

TEST_GROUP(QuotaUnderFaults){};

// By hand with ENDIVECLEAT_SEEDS=10000 and more.
TEST(QuotaUnderFaults, NoWindowHasMoreRequestsThanTheQuotaAllows) { ForEachSeed(300, Search); }

TEST(QuotaUnderFaults, PartitionKeepsTheBoundAndBothSidesServe) {
  QuotaMesh mesh(Mesh(), 1);
  StartLoad(mesh);
  mesh.Run(seconds(10));
  const QuotaCounts before = mesh.counts(kCalm);
  std::set<size_t> side = {1};
  for (size_t daemon = mesh.first_daemon() + 6; daemon < mesh.machine_count(); ++daemon) {
    side.insert(daemon);
  }
  mesh.Cut(side);
  mesh.Run(seconds(20));
  CheckBound(mesh);
  CHECK(RefusedPerMille(mesh, kCalm, before) < 100);
}

TEST(QuotaUnderFaults, ThawedDaemonUsesNoTokenThatHasExpired) {
  QuotaMesh mesh(Mesh(), 2);
  StartLoad(mesh);
  for (size_t round = 0; round < 5; ++round) {
    mesh.Run(seconds(3));
    for (size_t daemon = mesh.first_daemon(); daemon < mesh.machine_count(); daemon += 2) {
      mesh.Freeze(daemon, seconds(7));
    }
    mesh.Run(seconds(6));
  }
  CheckBound(mesh);
}

TEST(QuotaUnderFaults, RestartOfAllProcessesKeepsTheBound) {
  QuotaMesh mesh(Mesh(), 3);
  StartLoad(mesh);
  for (size_t round = 0; round < 5; ++round) {
    mesh.Run(seconds(4));
    for (size_t machine = 0; machine < mesh.machine_count(); ++machine) {
      mesh.Restart(machine, milliseconds(500));
    }
  }
  mesh.Run(seconds(4));
  CheckBound(mesh);
}

// Without control instances, a daemon is the owner.
TEST(QuotaUnderFaults, RollingRestartOfOwnersHardlyStopsATenantBelowItsLimit) {
  QuotaMesh mesh(Mesh(0), 4);
  StartLoad(mesh);
  mesh.Run(seconds(10));
  const QuotaCounts before = mesh.counts(kCalm);
  for (size_t daemon = 0; daemon < 6; ++daemon) {
    mesh.StopAndRestart(daemon, seconds(1));
    mesh.Run(seconds(2));
  }
  CheckBound(mesh);
  CHECK(RefusedPerMille(mesh, kCalm, before) < 20);
}

TEST(QuotaUnderFaults, LostOwnerIsReplaced) {
  QuotaMesh mesh(Mesh(), 5);
  StartLoad(mesh);
  mesh.Run(seconds(10));
  const QuotaCounts before = mesh.counts(kCalm);
  mesh.Restart(0, seconds(60));
  mesh.Run(seconds(10));
  CHECK_EQUAL(size_t{1}, mesh.OwnerOf(mesh.first_daemon()).value());
  CheckBound(mesh);
  CHECK(RefusedPerMille(mesh, kCalm, before) < 50);
}

// A former owner must not take what was used of another owner's tokens for a use of its own.
TEST(QuotaUnderFaults, FormerOwnerThatIsNeededAgainServesATenantBelowItsLimit) {
  QuotaMesh mesh(Mesh(1), 9);
  StartLoad(mesh);
  mesh.Run(seconds(10));
  mesh.Restart(0, seconds(2));
  mesh.Run(seconds(15));
  CHECK_EQUAL(size_t{0}, mesh.OwnerOf(mesh.first_daemon() + 1).value());
  const QuotaCounts before = mesh.counts(kCalm);
  mesh.Restart(0, seconds(10));
  mesh.Run(seconds(6));
  CHECK_EQUAL(mesh.first_daemon(), mesh.OwnerOf(mesh.first_daemon() + 1).value());
  CheckBound(mesh);
  CHECK(RefusedPerMille(mesh, kCalm, before) < 50);
}

TEST(QuotaUnderFaults, LowerLimitHoldsOneWindowAfterAllDaemonsHaveLearned) {
  QuotaMesh mesh(Mesh(), 6);
  StartLoad(mesh);
  mesh.SetLoad(kCalm, 100);
  mesh.Run(seconds(10));
  const TenantQuota lower = {10, 5};
  mesh.SetQuota(kCalm, lower, milliseconds(2500));
  const TimePoint changed = mesh.now();
  mesh.Run(seconds(20));
  const size_t most = mesh.MostInWindow(kCalm, changed + milliseconds(2500));
  CHECK(static_cast<double>(most) <= QuotaMesh::Bound(lower));
}

TEST(QuotaUnderFaults, TwoOwnersByDifferentViewsKeepTheBound) {
  QuotaMesh mesh(Mesh(), 7);
  StartLoad(mesh);
  std::set<size_t> without_first;
  for (size_t machine = 1; machine < mesh.machine_count(); ++machine) {
    without_first.insert(machine);
  }
  for (size_t daemon = mesh.first_daemon(); daemon < mesh.machine_count(); daemon += 2) {
    mesh.SetView(daemon, without_first);
  }
  mesh.Run(seconds(20));
  CHECK(mesh.OwnerOf(mesh.first_daemon()) != mesh.OwnerOf(mesh.first_daemon() + 1));
  CheckBound(mesh);
  CHECK(RefusedPerMille(mesh, kCalm, {}) < 20);
}

// The machine of an owner without its peers' messages must not lend what they hold.
TEST(QuotaUnderFaults, NewDaemonKeepsTheBound) {
  QuotaMesh mesh(Mesh(), 8);
  StartLoad(mesh);
  mesh.Restart(mesh.first_daemon(), seconds(8));
  mesh.Run(seconds(20));
  CheckBound(mesh);
  CHECK(RefusedPerMille(mesh, kCalm, {}) < 20);
}
