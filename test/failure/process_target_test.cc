// Tests of targets that freeze, crash or leave, of daemons that stop or restart, and of requests
// that crash their targets, with real processes.
#include <CppUTest/TestHarness.h>

#include <array>
#include <atomic>
#include <chrono>
#include <csignal>
#include <fstream>
#include <set>
#include <thread>

#include "process_cluster.h"

namespace endivecleat::test {
namespace {

constexpr int kOk = 0;
constexpr int kDaemons = ProcessCluster::kDaemons;

bool AnsweredOk(const HttpResponse& response) {
  return response.status == 200 && ResultOf(response) == kOk;
}

std::string AnsweredBy(const HttpResponse& response) {
  const nlohmann::json body = nlohmann::json::parse(response.body, nullptr, false);
  return body.is_object() ? body.value("target", "") : "";
}

// Sends reads through every daemon, one thread per daemon, until stopped.
class Readers {
 public:
  explicit Readers(const ProcessCluster& cluster) : cluster_(cluster) {
    for (int daemon = 1; daemon <= kDaemons; ++daemon) {
      threads_.emplace_back([this, daemon] { Run(daemon); });
    }
  }
  ~Readers() { Stop(); }
  Readers(const Readers&) = delete;
  Readers& operator=(const Readers&) = delete;

  void Stop() {
    stop_ = true;
    for (std::thread& thread : threads_) {
      if (thread.joinable()) {
        thread.join();
      }
    }
  }

  int answered(int daemon) const { return answered_.at(static_cast<size_t>(daemon)); }
  int failed() const { return failed_; }

 private:
  void Run(int daemon) {
    while (!stop_) {
      const bool answered = AnsweredOk(cluster_.Call(daemon, GetRequest("/bins")));
      ++(answered ? answered_.at(static_cast<size_t>(daemon)) : failed_);
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
  }

  const ProcessCluster& cluster_;
  std::atomic<bool> stop_ = false;
  std::array<std::atomic<int>, kDaemons + 1> answered_{};
  std::atomic<int> failed_ = 0;
  std::vector<std::thread> threads_;
};

// Waits until each daemon has answered `more` further reads. Returns false on timeout.
bool WaitForMoreAnswers(const Readers& readers, int more) {
  std::array<int, kDaemons + 1> before{};
  for (int daemon = 1; daemon <= kDaemons; ++daemon) {
    before.at(static_cast<size_t>(daemon)) = readers.answered(daemon);
  }
  return WaitFor([&] {
    for (int daemon = 1; daemon <= kDaemons; ++daemon) {
      if (readers.answered(daemon) < before.at(static_cast<size_t>(daemon)) + more) {
        return false;
      }
    }
    return true;
  });
}

// Sends reads and at-most-once requests through every daemon, and returns the targets that
// answered.
std::set<std::string> AnsweringTargets(const ProcessCluster& cluster, const std::string& prefix) {
  std::set<std::string> targets;
  for (int count = 0; count < 25; ++count) {
    for (int daemon = 1; daemon <= kDaemons; ++daemon) {
      const std::string key = prefix + std::to_string(count) + "-" + std::to_string(daemon);
      targets.insert(AnsweredBy(cluster.Call(daemon, GetRequest("/bins"))));
      targets.insert(AnsweredBy(cluster.Call(daemon, PostRequest("/invoices", key))));
    }
  }
  return targets;
}

void KillDaemons(ProcessCluster& cluster, const std::vector<int>& daemons) {
  for (const int daemon : daemons) {
    cluster.Kill(ProcessCluster::Daemon(daemon));
  }
}

void LaunchDaemons(ProcessCluster& cluster, const std::vector<int>& daemons) {
  for (const int daemon : daemons) {
    cluster.Launch(ProcessCluster::Daemon(daemon));
  }
}

// Returns the lowest nonzero version that any of the daemons reports until all have `wanted`, or 0
// on timeout.
uint64_t LowestVersionUntil(const ProcessCluster& cluster, const std::vector<int>& daemons,
                            uint64_t wanted) {
  uint64_t lowest = wanted;
  const bool reached = WaitFor([&] {
    bool all = true;
    for (const int daemon : daemons) {
      const uint64_t version = cluster.Version(daemon);
      all = all && version >= wanted;
      lowest = version == 0 ? lowest : std::min(lowest, version);
    }
    return all;
  });
  return reached ? lowest : 0;
}

// The sum of a field over the lines of an event in a daemon's log.
int64_t SumInLog(const ProcessCluster& cluster, int daemon, const std::string& event,
                 const std::string& field) {
  std::ifstream log(cluster.folder() / (ProcessCluster::Daemon(daemon) + ".log"));
  int64_t sum = 0;
  for (std::string line; std::getline(log, line);) {
    const nlohmann::json entry = nlohmann::json::parse(line, nullptr, false);
    if (entry.is_object() && entry.value("event", "") == event) {
      sum += entry.value(field, int64_t{0});
    }
  }
  return sum;
}

}  // namespace

TEST_GROUP(ProcessTargets) {
  ProcessCluster cluster;

  void setup() override { CHECK(cluster.Start()); }
};

// Guards against new requests to a target that froze, crashed or left, and against an outage of
// reads while the failure is being detected.
TEST(ProcessTargets, TargetsFrozenKilledAndLeavingGetNoNewWorkWhileReadsAreAnswered) {
  Readers readers(cluster);
  CHECK(WaitForMoreAnswers(readers, 20));
  cluster.SendSignal("target-3", SIGTERM);
  CHECK(WaitFor([&] { return !cluster.TargetListed(3); }));
  CHECK(cluster.WaitForEnd("target-3"));
  CHECK(WaitForMoreAnswers(readers, 20));
  CHECK_EQUAL(0, readers.failed());  // a target that drains on SIGTERM fails no read
  cluster.Kill("target-2");
  cluster.SendSignal("target-1", SIGSTOP);
  CHECK(WaitForMoreAnswers(readers, 20));
  CHECK(WaitFor([&] { return !cluster.TargetListed(1) && !cluster.TargetListed(2); }));
  CHECK(WaitForMoreAnswers(readers, 50));
  readers.Stop();
  // The summary for the other data centre is sent every 2 s and names daemons, not targets, so a
  // stale summary may still route requests to a removed target. Those requests must not be lost.
  CHECK(WaitFor(
      [&] { return AnsweringTargets(cluster, "warm-") == std::set<std::string>{"target-4"}; }));
  const std::set<std::string> targets = AnsweringTargets(cluster, "after-");
  CHECK(targets == std::set<std::string>{"target-4"});
  cluster.SendSignal("target-1", SIGCONT);
  CHECK(WaitFor([&] { return cluster.TargetListed(1); }));
  for (const std::string& key : cluster.Journal(1)) {
    CHECK(key.rfind("after-", 0) != 0);
  }
}

// Guards against logs that tell neither what filled a network link nor what slots were used for.
TEST(ProcessTargets, UseOfLinkAndSlotsIsMissingInTheLog) {
  const auto logged = [&](const std::string& field) {
    return WaitFor([&] { return SumInLog(cluster, 1, "daemon_load", field) > 0; });
  };
  Readers readers(cluster);
  CHECK(WaitForMoreAnswers(readers, 50));
  CHECK(logged("slots"));
  CHECK(logged("slot_ms_in_objective"));
  CHECK(logged("gossip_bytes_sent"));
  CHECK(logged("gossip_bytes_received"));
  cluster.SendSignal("target-1", SIGTERM);  // its daemon's callers are served by other instances
  CHECK(logged("call_bytes_sent"));
  CHECK(logged("call_bytes_received"));
  readers.Stop();
  CHECK_EQUAL(0, SumInLog(cluster, 1, "daemon_load", "slot_ms_failed"));
}

// Guards against a graceful shutdown of a daemon that interrupts requests in flight, be they from
// its own callers or from other daemons to its target.
TEST(ProcessTargets, DaemonStoppedWithSlowRequestsInFlightInterruptsNone) {
  constexpr size_t kRequestsPerDaemon = 6;
  std::array<HttpResponse, kRequestsPerDaemon * kDaemons> answers;
  std::vector<std::thread> threads;
  for (size_t index = 0; index < answers.size(); ++index) {
    const int daemon = 1 + static_cast<int>(index) % kDaemons;
    threads.emplace_back(
        [&, index, daemon] { answers.at(index) = cluster.Call(daemon, GetRequest("/slow")); });
  }
  const bool in_flight = WaitFor([&] {
    const nlohmann::json health = cluster.Health(1);
    return health.is_object() && health["running"] > 0;
  });
  cluster.SendSignal("daemon-1", SIGTERM);
  for (std::thread& thread : threads) {
    thread.join();
  }
  CHECK(in_flight);
  for (const HttpResponse& answer : answers) {
    CHECK_EQUAL(200, answer.status);
    CHECK_EQUAL(kOk, ResultOf(answer));
  }
  CHECK(cluster.WaitForEnd("daemon-1"));
}

// Guards against daemons that stay without a configuration, or revert to an older one, when all
// daemons of a data centre restart while it has no running control instance.
TEST(ProcessTargets, AllDaemonsRestartedWithoutTheirControlRecoverTheNewestVersion) {
  CHECK_EQUAL(0, cluster.SubmitUntilKnown("second", 1, ProcessCluster::Document(2)).code);
  CHECK_EQUAL(0, cluster.SubmitUntilKnown("third", 2, ProcessCluster::Document(3)).code);
  CHECK(LowestVersionUntil(cluster, {1, 2, 3, 4}, 3) != 0);  // any earlier version is allowed here
  // Restarts the data centre with one control instance; the majority is in the other one.
  cluster.Kill("control-3");
  KillDaemons(cluster, {3, 4});
  LaunchDaemons(cluster, {3, 4});
  CHECK(LowestVersionUntil(cluster, {3, 4}, 3) == 3);
  CHECK_EQUAL(0, cluster.SubmitUntilKnown("fourth", 3, ProcessCluster::Document(4)).code);
  CHECK(LowestVersionUntil(cluster, {3, 4}, 4) != 0);
  // Restarts a data centre without a control instance, while the other one has no majority.
  cluster.Launch("control-3");
  CHECK(WaitFor([&] { return cluster.History(3).size() == 4; }));
  cluster.Kill("control-1");
  cluster.Kill("control-2");
  KillDaemons(cluster, {1, 2});
  LaunchDaemons(cluster, {1, 2});
  CHECK(LowestVersionUntil(cluster, {1, 2}, 4) == 4);
  // No control instance runs; one daemon of the data centre still has the configuration.
  cluster.Kill("control-3");
  KillDaemons(cluster, {2});
  LaunchDaemons(cluster, {2});
  CHECK(LowestVersionUntil(cluster, {2}, 4) == 4);
}

// Guards against a request that crashes every target that runs it, as its caller keeps resending it
// through different daemons.
TEST(ProcessTargets, CrashingRequestSentAgainAndAgainLosesAtMostThreeTargets) {
  constexpr int kSends = 24;
  constexpr int kMostLost = 3;
  int lost = 0;
  for (int send = 0; send < kSends; ++send) {
    cluster.Call(1 + send % kDaemons, GetRequest("/crash"));
    for (int target = 1; target <= kDaemons; ++target) {
      if (!cluster.IsRunning(ProcessCluster::Target(target))) {
        ++lost;
        cluster.Launch(ProcessCluster::Target(target));
        CHECK(WaitFor([&] { return cluster.TargetReady(target); }));
      }
    }
  }
  CHECK(lost > 0);
  CHECK(lost <= kMostLost);
  for (int daemon = 1; daemon <= kDaemons; ++daemon) {
    CHECK(WaitFor([&] { return AnsweredOk(cluster.Call(daemon, GetRequest("/bins"))); }));
  }
}

}  // namespace endivecleat::test
