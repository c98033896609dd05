// Guards against versions that are late on some daemons while changes follow one another: pulls
// that a source answers after the daemon has given them up, and a source that serves so few daemons
// at a time that it falls behind. Replays changes of a large configuration on slow daemons.
#include <CppUTest/TestHarness.h>

#include <string>

#include "config_mesh.h"
#include "config_timing.h"
#include "seeds.h"

using endivecleat::ByteCount;
using endivecleat::ConfigReplicaSettings;
using endivecleat::ConfigSourceSettings;
using endivecleat::Duration;
using endivecleat::LimitTimes;
using endivecleat::TimePoint;
using endivecleat::test::ConfigMesh;
using endivecleat::test::FailWithSeed;
using endivecleat::test::MeshOptions;
using endivecleat::test::NetworkFaults;
using endivecleat::test::Seeds;

namespace {

constexpr Duration kInForceWithin = std::chrono::milliseconds(2500);
constexpr Duration kMaxSettingOfInForce = std::chrono::hours(1);

struct Storm {
  size_t daemons = 22;
  Duration interval = std::chrono::milliseconds(400);  // between two changes
  Duration install_time = std::chrono::milliseconds(200);
  size_t text_bytes = 26'000;  // a text of 400 kB, compressed
  size_t link_rate = 350'000;  // bytes per second
  NetworkFaults faults{};
};

MeshOptions OptionsFor(const Storm& storm) {
  MeshOptions options;
  options.control.notice_fanout = 64;
  options.control.max_transfer_bytes = ByteCount(4U << 20U);
  options.control.queue_length = 256;
  // Texts so large that no source keeps a second one; then it can make no deltas.
  options.control.history_bytes = ByteCount(storm.text_bytes);
  options.daemon.source.history_bytes = ByteCount(storm.text_bytes);
  LimitTimes(kInForceWithin, options.control);
  LimitTimes(kInForceWithin, options.daemon);
  options.install_time = storm.install_time;
  options.text_bytes = storm.text_bytes;
  options.link_rate = storm.link_rate;
  options.all_daemons_known = true;
  return options;
}

/// Publishes changes and requires at each moment that every daemon has what was accepted before the
/// time allowed.
void RequireEachVersionInTime(uint64_t seed, const Storm& storm) {
  constexpr int kChanges = 20;
  ConfigMesh mesh(storm.daemons, seed, storm.faults, OptionsFor(storm));
  mesh.Publish({ConfigMesh::kLocal, ConfigMesh::kRemote});
  mesh.Run(std::chrono::seconds(10));
  std::vector<std::pair<TimePoint, uint64_t>> accepted;
  const auto run = [&](Duration time) {
    for (const TimePoint end = mesh.now() + time; mesh.now() < end;) {
      mesh.Step(std::chrono::milliseconds(5));
      for (const auto& [at, version] : accepted) {
        for (size_t node = ConfigMesh::kRemote + 1; node < mesh.size(); ++node) {
          if (mesh.now() - at > kInForceWithin && mesh.VersionOf(node) < version) {
            FailWithSeed(seed, ConfigMesh::Id(node).value() + " has version " +
                                   std::to_string(mesh.VersionOf(node)) + ", late for " +
                                   std::to_string(version));
          }
        }
      }
    }
  };
  for (int change = 0; change < kChanges; ++change) {
    mesh.Publish({ConfigMesh::kLocal, ConfigMesh::kRemote});
    accepted.emplace_back(mesh.now(), mesh.newest());
    run(storm.interval);
  }
  run(kInForceWithin + std::chrono::seconds(1));
}

}  // namespace

TEST_GROUP(ConfigStorm){};

TEST(ConfigStorm, OfALargeConfigurationReachesEverySlowDaemonInTime) {
  for (const uint64_t seed : Seeds(5)) {
    RequireEachVersionInTime(seed, {});
  }
}

TEST(ConfigStorm, OfFourTimesTheDaemonsReachesEachInTime) {
  for (const uint64_t seed : Seeds(2)) {
    RequireEachVersionInTime(seed, {.daemons = 88});
  }
}

TEST(ConfigStorm, OfFourTimesTheTextReachesEachInTime) {
  for (const uint64_t seed : Seeds(5)) {
    RequireEachVersionInTime(seed, {.text_bytes = 104'000});
  }
}

TEST(ConfigStorm, OverSlowLinksThatLoseMessagesReachesEachInTime) {
  NetworkFaults slow;
  slow.min_delay = std::chrono::milliseconds(40);
  slow.max_delay = std::chrono::milliseconds(90);
  slow.drop_percent = 1;
  for (const uint64_t seed : Seeds(5)) {
    RequireEachVersionInTime(seed, {.faults = slow});
  }
}

// A daemon whose notice is lost, or that isn't listed yet, has nothing but gossip, which may be
// late.
TEST_GROUP(ConfigWithoutNoticesAndWithLateGossip) {
  MeshOptions options;
  void setup() override {
    LimitTimes(kInForceWithin, options.control);
    LimitTimes(kInForceWithin, options.daemon);
    options.no_daemon_known = true;
    options.gossip_interval = 4 * kInForceWithin;
  }
};

TEST(ConfigWithoutNoticesAndWithLateGossip, ReachesEachDaemonInTime) {
  for (const uint64_t seed : Seeds(5)) {
    ConfigMesh mesh(12, seed, NetworkFaults{}, options);
    mesh.Publish({ConfigMesh::kLocal, ConfigMesh::kRemote});
    mesh.Run(options.control.puller_lifetime + std::chrono::seconds(20));
    CHECK_TRUE(mesh.AllNewest());
    mesh.Publish({ConfigMesh::kLocal, ConfigMesh::kRemote});
    mesh.Run(kInForceWithin);
    if (!mesh.AllNewest()) {
      FailWithSeed(seed, "a daemon is late for version " + std::to_string(mesh.newest()));
    }
  }
}

TEST_GROUP(ConfigTiming){};

TEST(ConfigTiming, ForAnyTimeAllowedASourceAnswersBeforeTheReplicaGivesUp) {
  for (Duration within = std::chrono::milliseconds(100); within <= kMaxSettingOfInForce;
       within *= 2) {
    ConfigSourceSettings control;
    ConfigReplicaSettings daemon;
    LimitTimes(within, control);
    LimitTimes(within, daemon);
    for (const ConfigSourceSettings& source : {control, daemon.source}) {
      CHECK(source.queue_wait < daemon.pull_timeout);
      CHECK(source.transfer_time <= daemon.pull_timeout);
      CHECK(source.retry_min <= source.retry_max);
    }
    CHECK(2 * daemon.pull_timeout + daemon.avoid_after_timeout <= within);
  }
}
