// Guards against a target that answers with bytes without end, in a head or a body: a daemon whose
// memory grows with them, slots that are not free again, and callers without a clear answer in
// time. Runs real processes; the target is a socket of the test.
#include <CppUTest/TestHarness.h>

#include <array>
#include <atomic>
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "endless_target.h"
#include "process_cluster.h"

namespace endivecleat::test {
namespace {

// ServicePolicy::timeout of ProcessCluster::Document, and what a busy machine may add.
constexpr std::chrono::seconds kAnswerWithin(2 + 4);
constexpr int kCalls = 18;  // twice the slots of the target
// Each slot may hold one body up to the limit of 4 MiB, in the parser and in what was read.
constexpr double kMaxGrowthKb = 9 * 2 * 4096;

/// Starts a cluster whose targets all answer so and calls it. Requires one clear answer to each
/// call in time, free slots after them, and a bounded memory.
void RequireBounded(const std::string& start, const std::string& repeated,
                    std::chrono::milliseconds pause = {}) {
  EndlessTarget target(start, repeated, pause);
  ProcessCluster cluster([&](uint16_t) { return target.port(); });
  CHECK(cluster.Start());
  const double before = cluster.PeakMemoryKb(ProcessCluster::Daemon(1));
  std::array<HttpResponse, kCalls> answers;
  std::array<std::chrono::steady_clock::duration, kCalls> taken{};
  std::vector<std::thread> callers;
  for (size_t call = 0; call < kCalls; ++call) {
    callers.emplace_back([&, call] {
      const auto sent_at = std::chrono::steady_clock::now();
      answers.at(call) = cluster.Call(1, GetRequest("/bins"));
      taken.at(call) = std::chrono::steady_clock::now() - sent_at;
    });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  CHECK(target.requests() > 0);
  for (size_t call = 0; call < kCalls; ++call) {
    CHECK(answers.at(call).status >= 500);
    CHECK(taken.at(call) < kAnswerWithin);
  }
  CHECK(WaitFor([&] {
    const nlohmann::json health = cluster.Health(1);
    return health.is_object() && health["running"] == 0;
  }));
  CHECK(cluster.PeakMemoryKb(ProcessCluster::Daemon(1)) - before < kMaxGrowthKb);
}

/// Starts a cluster with one target that answers so, and calls it through every daemon. Requires
/// that each call to another target is answered and that every daemon goes on in bounded memory.
void RequireOthersAnswered(const std::string& start, const std::string& repeated) {
  constexpr int kCallersPerDaemon = 10;
  constexpr int kCallsPerCaller = 20;
  EndlessTarget target(start, repeated, {});
  bool first = true;
  ProcessCluster cluster(
      [&](uint16_t port) { return std::exchange(first, false) ? target.port() : port; });
  CHECK(cluster.Start());
  std::array<double, ProcessCluster::kDaemons + 1> before{};
  std::atomic<int> answered = 0;
  std::atomic<int> failed = 0;
  std::vector<std::thread> callers;
  for (int daemon = 1; daemon <= ProcessCluster::kDaemons; ++daemon) {
    before.at(static_cast<size_t>(daemon)) = cluster.PeakMemoryKb(ProcessCluster::Daemon(daemon));
    for (int caller = 0; caller < kCallersPerDaemon; ++caller) {
      callers.emplace_back([&, daemon] {
        for (int call = 0; call < kCallsPerCaller; ++call) {
          const int status = cluster.Call(daemon, GetRequest("/bins")).status;
          ++(status == 200 ? answered : failed);
        }
      });
    }
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  CHECK(target.requests() > 0);
  // A call fails only if the faulty target has had its request; some are repeated at another.
  CHECK(failed <= target.requests());
  CHECK(answered > 0);
  for (int daemon = 1; daemon <= ProcessCluster::kDaemons; ++daemon) {
    const std::string name = ProcessCluster::Daemon(daemon);
    CHECK(cluster.IsRunning(name));
    CHECK(cluster.PeakMemoryKb(name) - before.at(static_cast<size_t>(daemon)) < kMaxGrowthKb);
  }
}

}  // namespace

TEST_GROUP(ProcessEndlessResponse){};

TEST(ProcessEndlessResponse, OfOneTargetLeavesTheCallsToOthersAnswered) {
  RequireOthersAnswered("HTTP/1.1 200 OK\r\n\r\n", std::string(65536, 'x'));
}

TEST(ProcessEndlessResponse, InInterimResponsesLeavesMemoryAndSlotsBounded) {
  std::string interim;
  for (int count = 0; count < 1000; ++count) {
    interim += "HTTP/1.1 100 Continue\r\n\r\n";
  }
  RequireBounded("", interim);
}

TEST(ProcessEndlessResponse, InAChunkExtensionLeavesMemoryAndSlotsBounded) {
  RequireBounded("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;x=",
                 std::string(65536, 'x'));
}

TEST(ProcessEndlessResponse, InTrailersLeavesMemoryAndSlotsBounded) {
  RequireBounded("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
                 "X-Trailer: " + std::string(1000, 'x') + "\r\n");
}

TEST(ProcessEndlessResponse, InAHeadLeavesMemoryAndSlotsBounded) {
  RequireBounded("", std::string(65536, 'x'));
}

TEST(ProcessEndlessResponse, InABodyLeavesMemoryAndSlotsBounded) {
  RequireBounded("HTTP/1.1 200 OK\r\n\r\n", std::string(65536, 'x'));
}

TEST(ProcessEndlessResponse, InSmallPartsEndsAtTheDeadline) {
  RequireBounded("HTTP/1.1 200 OK\r\nX: ", "x", std::chrono::milliseconds(20));
}

}  // namespace endivecleat::test
