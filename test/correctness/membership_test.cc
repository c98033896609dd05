// Guards against members that do not find each other, and against configuration versions, crash
// reports or summaries of other data centres that do not reach every member.
#include "membership.h"

#include <CppUTest/TestHarness.h>

#include "membership_cluster.h"

using endivecleat::ConfigVersion;
using endivecleat::DataCentreId;
using endivecleat::DataCentreSummary;
using endivecleat::Duration;
using endivecleat::MemberRecord;
using endivecleat::RegionId;
using endivecleat::ServiceName;
using endivecleat::TargetState;
using endivecleat::WallTime;
using endivecleat::test::MembershipCluster;
using endivecleat::test::NetworkFaults;

namespace {
constexpr Duration kFormationTime = std::chrono::seconds(8);
}  // namespace

TEST_GROUP(MembershipStarted) {
  MembershipCluster cluster{12, 2, 1, NetworkFaults{}};
  void setup() override { cluster.Run(kFormationTime); }
};

TEST(MembershipStarted, ListsAllMembersOnEveryMember) { CHECK(cluster.AllListsComplete()); }

TEST(MembershipStarted, SpreadsATargetStateChangeToEveryMember) {
  MemberRecord self = cluster.at(5).self();
  self.state = TargetState::kDraining;
  cluster.at(5).UpdateSelf(cluster.now(), self);
  cluster.Run(std::chrono::seconds(3));
  for (size_t i = 0; i < cluster.size(); ++i) {
    for (const MemberRecord& member : cluster.at(i).members()) {
      const bool draining = member.instance == MembershipCluster::Id(5);
      CHECK_EQUAL(draining, member.state == TargetState::kDraining);
    }
  }
}

TEST(MembershipStarted, PeerVersionsShowTheMemberThatLacksAVersion) {
  for (size_t i = 0; i < 11; ++i) {
    MemberRecord self = cluster.at(i).self();
    self.config_version = ConfigVersion(7);
    self.config_digest = "digest-7";
    cluster.at(i).UpdateSelf(cluster.now(), self);
  }
  cluster.Run(std::chrono::seconds(6));
  size_t behind = 0;
  for (const auto& peer : cluster.at(0).peer_versions()) {
    if (peer.version == ConfigVersion(7)) {
      STRCMP_EQUAL("digest-7", peer.digest.c_str());
    } else {
      ++behind;
      STRCMP_EQUAL(MembershipCluster::Id(11).value().c_str(), peer.instance.value().c_str());
    }
  }
  LONGS_EQUAL(1, behind);
}

TEST(MembershipStarted, SpreadsCrashReportsAndDropsThemAfterTenMinutes) {
  cluster.at(3).ReportCrash(cluster.now(), 0xABCDEF0123456789, 1);
  cluster.at(3).ReportCrash(cluster.now(), 0xABCDEF0123456789, 2);
  cluster.Run(std::chrono::seconds(4));
  cluster.Start(9);
  cluster.Run(std::chrono::seconds(8));
  for (size_t i = 0; i < cluster.size(); ++i) {
    LONGS_EQUAL(1, cluster.at(i).crash_reports().size());
    LONGS_EQUAL(2, cluster.at(i).crash_reports().front().count);
  }
  cluster.Run(std::chrono::minutes(10), std::chrono::milliseconds(50), [] {});
  for (size_t i = 0; i < cluster.size(); ++i) {
    CHECK(cluster.at(i).crash_reports().empty());
  }
}

TEST(MembershipStarted, SpreadsSummariesOfOtherDataCentresUntilTheyExpire) {
  DataCentreSummary summary{DataCentreId("ebro-a"), RegionId("ebro"), WallTime(5), {}};
  summary.services.push_back({ServiceName("portal-ayto"), 9, 81, {{"10.30.0.1", 7000}}});
  cluster.at(0).MergeSummary(summary);
  cluster.Run(std::chrono::seconds(8));
  for (size_t i = 0; i < cluster.size(); ++i) {
    LONGS_EQUAL(1, cluster.at(i).summaries().size());
    CHECK(summary.services == cluster.at(i).summaries().front().services);
  }
  cluster.Run(std::chrono::seconds(35));
  for (size_t i = 0; i < cluster.size(); ++i) {
    CHECK(cluster.at(i).summaries().empty());
  }
}

TEST(MembershipStarted, SummarisesItsReadyTargets) {
  const DataCentreSummary summary = cluster.at(0).OwnSummary();
  LONGS_EQUAL(1, summary.services.size());
  LONGS_EQUAL(10, summary.services.front().ready_targets);
  LONGS_EQUAL(90, summary.services.front().free_slots);
  LONGS_EQUAL(4, summary.services.front().daemons.size());
}

TEST_GROUP(FailureDetectorAcrossTwoDataCentres){};

// Guards against ring pings that use a billed link to another data centre although the ring has
// successors in the same data centre.
TEST(FailureDetectorAcrossTwoDataCentres, SendsOnlyRandomPingsToTheOtherDataCentre) {
  using endivecleat::FailureDetector;
  using endivecleat::MemberKey;
  using endivecleat::RingMember;
  const endivecleat::TimePoint start{};
  FailureDetector detector({}, 7, start);
  std::vector<RingMember> others;
  for (uint64_t number = 2; number <= 20; ++number) {
    others.push_back({1 + number % 2, MemberKey(number)});  // alternates between two data centres
  }
  const RingMember self{1, MemberKey(0)};  // the lowest key of its data centre
  detector.SetMembers(self, others);
  size_t local = 0;
  size_t crossing = 0;
  constexpr size_t kSeconds = 20;
  for (size_t tick = 0; tick < kSeconds * 10; ++tick) {
    const auto actions = detector.Tick(start + tick * std::chrono::milliseconds(100));
    for (const FailureDetector::Ping& ping : actions.pings) {
      ++(ping.member.value() % 2 == 0 ? local : crossing);
      detector.Acknowledge(ping.nonce);
    }
  }
  CHECK(local >= 2 * (kSeconds - 1));
  CHECK(crossing <= kSeconds);
}

TEST_GROUP(FailureDetectorAcrossTwoRegions){};

// Guards against a billed link that carries half of all random pings, while the other region must
// still hear of changes.
TEST(FailureDetectorAcrossTwoRegions, SendsOneRandomPingInEightToTheOtherRegion) {
  using endivecleat::FailureDetector;
  using endivecleat::MemberKey;
  using endivecleat::RingMember;
  const endivecleat::TimePoint start{};
  endivecleat::FailureDetectorSettings settings;
  settings.ring_pings = 0;
  FailureDetector detector(settings, 7, start);
  const auto rank = [](uint64_t region) { return region << endivecleat::kRegionShift; };
  std::vector<RingMember> others;
  for (uint64_t number = 2; number <= 101; ++number) {
    others.push_back({rank(1 + number % 2), MemberKey(number)});
  }
  detector.SetMembers({rank(1), MemberKey(0)}, others);
  size_t local = 0;
  size_t crossing = 0;
  for (size_t tick = 0; tick < 10'000; ++tick) {
    const auto actions = detector.Tick(start + tick * std::chrono::milliseconds(100));
    for (const FailureDetector::Ping& ping : actions.pings) {
      ++(ping.member.value() % 2 == 0 ? local : crossing);
      detector.Acknowledge(ping.nonce);
    }
  }
  LONGS_EQUAL(1000, local + crossing);
  CHECK(crossing > 60 && crossing < 200);
}

// Members whose network links are full for most of each second, so that most of their packets are
// late.
TEST_GROUP(MembershipWithSeveralNearlyFullLinks) {
  static constexpr size_t kMembers = 100;
  static constexpr size_t kDelayed = 10;
  static constexpr uint64_t kSeconds = 10;
  // What a daemon may spend on control (docs/design.md, target scale).
  static constexpr uint64_t kControlBytesPerSecond = 5000;
};

// Guards against members that answer late packets of their own side, or of others, with traffic.
TEST(MembershipWithSeveralNearlyFullLinks, SendsNoMoreThanADaemonMaySpendOnControl) {
  MembershipCluster cluster(kMembers, 2, 1, NetworkFaults{});
  cluster.Run(kFormationTime);
  std::vector<uint64_t> before;
  for (size_t i = 0; i < cluster.size(); ++i) {
    before.push_back(cluster.node(i).traffic.sent);
  }
  const auto delay_all = [&](Duration delay) {
    for (size_t i = 0; i < kDelayed; ++i) {
      cluster.network().DelayMessagesFrom(MembershipCluster::Id(50 + i), delay);
    }
  };
  for (uint64_t second = 0; second < kSeconds; ++second) {
    delay_all(std::chrono::seconds(1));
    cluster.Run(std::chrono::milliseconds(700));
    delay_all(Duration{});
    cluster.Run(std::chrono::milliseconds(300));
  }
  for (size_t i = 0; i < cluster.size(); ++i) {
    CHECK(cluster.node(i).traffic.sent - before[i] <= kSeconds * kControlBytesPerSecond);
  }
}
