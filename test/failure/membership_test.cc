// Guards against a crashed, frozen, partitioned or leaving member that stays listed or is restored
// by outdated gossip, and against a live member that is removed or never listed again.
#include "membership.h"

#include <CppUTest/TestHarness.h>

#include "membership_cluster.h"
#include "seeds.h"

using endivecleat::Datagram;
using endivecleat::Duration;
using endivecleat::MemberRecord;
using endivecleat::SeededRandom;
using endivecleat::TargetState;
using endivecleat::TimePoint;
using endivecleat::test::FailWithSeed;
using endivecleat::test::MembershipCluster;
using endivecleat::test::NetworkFaults;
using endivecleat::test::Seeds;

namespace {

constexpr Duration kFormationTime = std::chrono::seconds(15);
constexpr Duration kRemovedWithin = std::chrono::seconds(6);
constexpr Duration kStaysRemoved = std::chrono::seconds(8);
constexpr Duration kStep = std::chrono::milliseconds(5);

enum class Loss { kCrash, kFreeze, kIsolate, kLeave };
constexpr const char* kLossNames[] = {"crashed", "frozen", "isolated", "left"};

bool ListsReady(MembershipCluster* cluster, size_t observer, size_t subject) {
  for (const MemberRecord& member : cluster->at(observer).members()) {
    if (member.instance == MembershipCluster::Id(subject)) {
      return member.state == TargetState::kReady;
    }
  }
  return false;
}

/// One randomised run: a cluster forms, then twice loses up to a quarter of its members and gets
/// them back.
class LossScenario {
 public:
  explicit LossScenario(uint64_t seed)
      : seed_(seed),
        random_(seed),
        size_(8 + random_.Below(25)),
        cluster_seed_(random_.Next()),
        cluster_(size_, 2, cluster_seed_, RandomFaults()),
        losses_(cluster_.size()) {}

  void Run() {
    cluster_.Run(kFormationTime);
    RequireComplete("after the start");
    for (int round = 0; round < 2; ++round) {
      RecordTraffic();
      LoseMembers();
      RequireRemoval();
      RestoreMembers();
      cluster_.Run(kFormationTime);
      RequireComplete("after the return of the lost members");
    }
  }

 private:
  NetworkFaults RandomFaults() {
    NetworkFaults faults;
    faults.drop_percent = random_.Below(8);
    faults.duplicate_percent = random_.Below(20);
    faults.max_delay = std::chrono::milliseconds(1 + random_.Below(40));
    return faults;
  }

  void RequireComplete(const std::string& when) {
    // With packet loss, members can suspect each other at any time, so the lists need to be
    // complete at one moment only.
    for (int i = 0; i < 100 && !cluster_.AllListsComplete(); ++i) {
      cluster_.Run(std::chrono::milliseconds(100));
    }
    if (!cluster_.AllListsComplete()) {
      FailWithSeed(seed_, "the members do not all list each other " + when);
    }
  }

  /// Records datagrams that ReplayOldDatagram delivers again after some of the members in them are
  /// gone.
  void RecordTraffic() {
    for (size_t i = 0; i < cluster_.size(); ++i) {
      MemberRecord self = cluster_.at(i).self();
      self.slots += 1;
      cluster_.at(i).UpdateSelf(cluster_.now(), self);
    }
    recorded_.clear();
    cluster_.recording = &recorded_;
    cluster_.Run(std::chrono::seconds(2));
    cluster_.recording = nullptr;
  }

  void LoseMembers() {
    const size_t count = 1 + random_.Below(cluster_.size() / 4);
    lost_at_ = cluster_.now();
    for (size_t i = 0; i < count; ++i) {
      const size_t victim = 2 + random_.Below(cluster_.size() - 2);
      if (losses_[victim]) {
        continue;
      }
      losses_[victim] = static_cast<Loss>(random_.Below(4));
      switch (*losses_[victim]) {
        case Loss::kCrash:
          cluster_.Crash(victim);
          break;
        case Loss::kFreeze:
          cluster_.Freeze(victim);
          break;
        case Loss::kIsolate:
          cluster_.Isolate(victim);
          break;
        case Loss::kLeave:
          cluster_.Leave(victim);
          break;
      }
    }
  }

  void RequireRemoval() {
    cluster_.Run(kRemovedWithin, kStep, [] {});
    cluster_.Run(kStaysRemoved, kStep, [this] {
      ReplayOldDatagram();
      for (size_t observer = 0; observer < cluster_.size(); ++observer) {
        for (size_t victim = 0; victim < cluster_.size(); ++victim) {
          if (IsSurvivor(observer) && losses_[victim] && ListsReady(&cluster_, observer, victim)) {
            FailNotRemoved(observer, victim);
          }
        }
      }
    });
  }

  bool IsSurvivor(size_t index) const { return cluster_.live(index) && !losses_[index]; }

  void ReplayOldDatagram() {
    const auto& [from, datagram] = recorded_[random_.Below(recorded_.size())];
    const size_t to = random_.Below(cluster_.size());
    if (IsSurvivor(to)) {
      cluster_.Send(to, cluster_.at(to).Receive(cluster_.now(), MembershipCluster::AddressOf(from),
                                                datagram.bytes));
    }
  }

  void FailNotRemoved(size_t observer, size_t victim) {
    const auto since =
        std::chrono::duration_cast<std::chrono::milliseconds>(cluster_.now() - lost_at_);
    FailWithSeed(seed_, MembershipCluster::Id(observer).value() + " lists " +
                            MembershipCluster::Id(victim).value() + " " +
                            std::to_string(since.count()) + " ms after it was " +
                            kLossNames[static_cast<size_t>(*losses_[victim])]);
  }

  void RestoreMembers() {
    cluster_.network().HealAll();
    for (size_t i = 0; i < cluster_.size(); ++i) {
      if (losses_[i] == Loss::kFreeze) {
        cluster_.Continue(i);
      } else if (losses_[i] && *losses_[i] != Loss::kIsolate) {
        cluster_.Start(i);
      }
      losses_[i].reset();
    }
  }

  uint64_t seed_;
  SeededRandom random_;
  // Drawn one after the other: the order of evaluation of arguments differs between architectures.
  const size_t size_;
  const uint64_t cluster_seed_;
  MembershipCluster cluster_;
  std::vector<std::optional<Loss>> losses_;
  std::vector<std::pair<size_t, Datagram>> recorded_;
  TimePoint lost_at_;
};

}  // namespace

TEST_GROUP(MembershipAfterLoss){};

TEST(MembershipAfterLoss, RemovesLostMembersInTimeAndListsThemAgainAfterTheirReturn) {
  for (const uint64_t seed : Seeds(6)) {
    LossScenario(seed).Run();
  }
}

TEST_GROUP(MembershipUndisturbed){};

TEST(MembershipUndisturbed, NeverRemovesALiveMember) {
  for (const uint64_t seed : Seeds(2)) {
    MembershipCluster cluster(20, 2, seed, NetworkFaults{});
    cluster.Run(std::chrono::seconds(10));
    cluster.Run(std::chrono::seconds(60), kStep, [&] {
      if (!cluster.AllListsComplete()) {
        FailWithSeed(seed, "a live member was removed");
      }
    });
  }
}

TEST(MembershipUndisturbed, KeepsLiveMembersListedWithTenPercentPacketLoss) {
  for (const uint64_t seed : Seeds(3)) {
    MembershipCluster cluster(20, 2, seed, NetworkFaults{.drop_percent = 10});
    cluster.Run(std::chrono::seconds(15));
    cluster.Run(std::chrono::seconds(60), kStep, [&] {
      if (!cluster.AllListsComplete()) {
        FailWithSeed(seed, "a live member was removed with 10 % packet loss");
      }
    });
  }
}

// A member whose network link is full, so that its own packets are late while it hears all others.
TEST_GROUP(MembershipWithAFullLink) {
  static constexpr size_t kMembers = 100;
  static constexpr size_t kDelayed = 50;
  static constexpr uint64_t kSeconds = 10;
  // What a daemon may spend on control (docs/design.md, target scale).
  static constexpr uint64_t kControlBytesPerSecond = 5000;
};

// Guards against a member that takes all others for failed since its own packets are late, and
// keeps its link full with the pings that it then sends.
TEST(MembershipWithAFullLink, SendsNoMoreThanADaemonMaySpendOnControl) {
  for (const uint64_t seed : Seeds(2)) {
    MembershipCluster cluster(kMembers, 2, seed, NetworkFaults{});
    cluster.Run(kFormationTime);
    cluster.network().DelayMessagesFrom(MembershipCluster::Id(kDelayed), std::chrono::seconds(1));
    const uint64_t before = cluster.node(kDelayed).traffic.sent;
    cluster.Run(std::chrono::seconds(kSeconds));
    const uint64_t sent = cluster.node(kDelayed).traffic.sent - before;
    if (sent > kSeconds * kControlBytesPerSecond) {
      FailWithSeed(seed, "the member sent " + std::to_string(sent) + " bytes in 10 s");
    }
    cluster.network().DelayMessagesFrom(MembershipCluster::Id(kDelayed), Duration{});
    cluster.Run(kFormationTime);
    CHECK(cluster.AllListsComplete());
  }
}

TEST_GROUP(MembershipAfterLossOfHalf){};

// Guards against limits on pings that delay the removal of many members that fail together.
TEST(MembershipAfterLossOfHalf, RemovesAllOfThemInTime) {
  for (const uint64_t seed : Seeds(2)) {
    MembershipCluster cluster(80, 2, seed, NetworkFaults{});
    cluster.Run(kFormationTime);
    for (size_t index = 40; index < cluster.size(); ++index) {
      cluster.Crash(index);
    }
    cluster.Run(kRemovedWithin);
    if (!cluster.AllListsComplete()) {
      FailWithSeed(seed, "a crashed member is still listed");
    }
  }
}

TEST_GROUP(MembershipPartitioned){};

TEST(MembershipPartitioned, MergesAfterHealingWhileItsSeedsAreDown) {
  for (const uint64_t seed : Seeds(3)) {
    MembershipCluster cluster(16, 2, seed, NetworkFaults{});
    cluster.Run(kFormationTime);
    cluster.Crash(0);
    cluster.Crash(1);
    for (size_t one = 2; one < 9; ++one) {
      for (size_t other = 9; other < 16; ++other) {
        cluster.network().CutBothWays(MembershipCluster::Id(one), MembershipCluster::Id(other));
      }
    }
    cluster.Run(kRemovedWithin);
    for (size_t one = 2; one < 9; ++one) {
      for (size_t other = 9; other < 16; ++other) {
        if (cluster.Lists(one, other) || cluster.Lists(other, one)) {
          FailWithSeed(seed, "a member still lists a member of the other partition");
        }
      }
    }
    cluster.Run(std::chrono::seconds(30));
    cluster.network().HealAll();
    cluster.Run(std::chrono::seconds(30));
    if (!cluster.AllListsComplete()) {
      FailWithSeed(seed, "the partitions did not merge after the network healed");
    }
  }
}

TEST_GROUP(MembershipAfterRestartOfAllDaemons){};

TEST(MembershipAfterRestartOfAllDaemons, IsCompleteWithinTenSeconds) {
  for (const uint64_t seed : Seeds(3)) {
    MembershipCluster cluster(30, 2, seed, NetworkFaults{.drop_percent = 5});
    cluster.Run(kFormationTime);
    for (size_t i = 2; i < cluster.size(); ++i) {
      cluster.Start(i);
    }
    cluster.Run(std::chrono::seconds(10));
    if (!cluster.AllListsComplete()) {
      FailWithSeed(seed, "the member lists are incomplete 10 s after a restart of all daemons");
    }
  }
}
