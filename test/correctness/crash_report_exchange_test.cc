// Tests of CrashReportExchange with two daemons. They guard against crashes that do not reach the
// other daemon, against a success that does not clear its crash count, and against a restarted
// daemon that loses its own reports.
#include "crash_report_exchange.h"

#include <CppUTest/TestHarness.h>

#include <string>

using endivecleat::Address;
using endivecleat::CallEnding;
using endivecleat::CrashGuard;
using endivecleat::CrashReportExchange;
using endivecleat::Datagram;
using endivecleat::Fingerprint;
using endivecleat::InstanceId;
using endivecleat::MemberRecord;
using endivecleat::Membership;
using endivecleat::MembershipSettings;
using endivecleat::TimePoint;
using endivecleat::WallTime;

namespace {

const Fingerprint kRequest = endivecleat::FingerprintOfNumber(42);
const TimePoint kStart = TimePoint{} + std::chrono::seconds(10);

WallTime WallAt(TimePoint time) {
  constexpr uint64_t kWallAtStart = 1000000;
  const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(time - kStart);
  return WallTime(kWallAtStart + static_cast<uint64_t>(elapsed.count()));
}

struct Daemon {
  Daemon(const std::string& name, uint16_t port, TimePoint boot)
      : guard(InstanceId(name)),
        exchange(InstanceId(name)),
        membership(Record(name, port, boot), Settings(), {Address{"127.0.0.1", 1}}, port, boot) {}

  static MemberRecord Record(const std::string& name, uint16_t port, TimePoint boot) {
    MemberRecord record;
    record.instance = InstanceId(name);
    record.address = {"127.0.0.1", port};
    record.boot_time = WallAt(boot);
    return record;
  }
  static MembershipSettings Settings() {
    MembershipSettings settings;
    settings.mesh_token = "0123456789abcdef";
    return settings;
  }

  CrashGuard guard;
  CrashReportExchange exchange;
  Membership membership;
};

}  // namespace

TEST_GROUP(CrashReportExchange) {
  Daemon one{"one", 1, kStart};
  Daemon two{"two", 2, kStart};
  TimePoint now = kStart;

  void Deliver(Daemon & from, Daemon & to, const std::vector<Datagram>& datagrams) {
    for (const Datagram& datagram : datagrams) {
      if (datagram.to == to.membership.self().address) {
        const auto answers =
            to.membership.Receive(now, from.membership.self().address, datagram.bytes);
        Deliver(to, from, answers);
      }
    }
  }
  void RunGossip(Daemon & first, Daemon & second) {
    for (int tick = 0; tick < 60; ++tick) {
      now += std::chrono::milliseconds(100);
      Deliver(first, second, first.membership.Tick(now));
      Deliver(second, first, second.membership.Tick(now));
      first.exchange.Collect(first.membership, first.guard);
      second.exchange.Collect(second.membership, second.guard);
      first.exchange.Publish(now, first.guard, first.membership);
      second.exchange.Publish(now, second.guard, second.membership);
    }
  }
};

TEST(CrashReportExchange, CrashReachesGuardsOfOtherDaemons) {
  one.guard.RecordEnding(WallAt(now), kRequest, CallEnding::kTargetDied, 1);
  RunGossip(one, two);
  LONGS_EQUAL(1, two.guard.crashes(WallAt(now), kRequest));
}

TEST(CrashReportExchange, SuccessOnOtherDaemonClearsCrashCount) {
  one.guard.RecordEnding(WallAt(now), kRequest, CallEnding::kTargetDied, 1);
  RunGossip(one, two);
  two.guard.RecordEnding(WallAt(now), kRequest, CallEnding::kAnswered, 0);
  RunGossip(one, two);
  LONGS_EQUAL(0, one.guard.crashes(WallAt(now), kRequest));
}

TEST(CrashReportExchange, RestartedDaemonRecoversItsOwnReports) {
  two.guard.RecordEnding(WallAt(now), kRequest, CallEnding::kTargetDied, 1);
  RunGossip(one, two);
  now += std::chrono::seconds(1);
  Daemon restarted("two", 2, now);
  RunGossip(one, restarted);
  LONGS_EQUAL(1, restarted.guard.crashes(WallAt(now), kRequest));
}
