// Tests of at-most-once requests with real processes, while targets, daemons and the leading
// control instance are repeatedly killed and restarted.
#include <CppUTest/TestHarness.h>

#include <atomic>
#include <chrono>
#include <csignal>
#include <mutex>
#include <set>
#include <thread>

#include "process_cluster.h"
#include "seeded_random.h"
#include "test_seed.h"

namespace endivecleat::test {
namespace {

constexpr int kOk = 0;
constexpr int kNotRun = 501;

int RandomDaemon(SeededRandom& random) {
  return 1 + static_cast<int>(random.Below(ProcessCluster::kDaemons));
}

bool IsFinal(const HttpResponse& response) {
  return response.status != 0 && (ResultOf(response) == kOk || ResultOf(response) == kNotRun);
}

// Caller threads that send each key through random daemons until it has a final response or the
// limit of attempts is reached.
class Callers {
 public:
  static constexpr int kThreads = 6;
  static constexpr int kMaxSends = 12;

  Callers(const ProcessCluster& cluster, uint64_t seed) : cluster_(cluster) {
    for (int number = 0; number < kThreads; ++number) {
      threads_.emplace_back(
          [this, number, seed] { Run(number, seed * kThreads + static_cast<uint64_t>(number)); });
    }
  }

  ~Callers() { Stop(); }
  Callers(const Callers&) = delete;
  Callers& operator=(const Callers&) = delete;

  void Stop() {
    stop_ = true;
    for (std::thread& thread : threads_) {
      if (thread.joinable()) {
        thread.join();
      }
    }
  }

  size_t finished_keys() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return final_responses_.size();
  }
  const std::map<std::string, HttpResponse>& final_responses() const { return final_responses_; }
  const std::set<std::string>& unresolved() const { return unresolved_; }
  const std::string& failure() const { return failure_; }

 private:
  void Run(int number, uint64_t seed) {
    SeededRandom random(seed);
    for (int count = 0; !stop_; ++count) {
      const std::string key = "key-" + std::to_string(number) + "-" + std::to_string(count);
      HttpRequest request = PostRequest("/invoices", key);
      if (random.Chance(30)) {  // short deadlines, so that some keys end as not run
        // One in five expires on arrival, since a fast machine meets all later deadlines.
        const uint64_t milliseconds = random.Chance(20) ? 0 : 1 + random.Below(60);
        request.headers.Add("endivecleat-timeout-ms", std::to_string(milliseconds));
      }
      Post(key, request, random);
    }
  }

  void Post(const std::string& key, const HttpRequest& request, SeededRandom& random) {
    HttpResponse answer;
    for (int sends = 0; sends < kMaxSends && !IsFinal(answer); ++sends) {
      if (sends > 0) {
        std::this_thread::sleep_for(std::chrono::milliseconds(random.Below(150)));
      }
      answer = cluster_.Call(RandomDaemon(random), request);
    }
    std::optional<HttpResponse> again;
    if (IsFinal(answer) && random.Chance(40)) {
      again = cluster_.Call(RandomDaemon(random), request);
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    if (again && IsFinal(*again) &&
        (again->body != answer.body || ResultOf(*again) != ResultOf(answer))) {
      failure_ = key + " got a different response when it was resent";
    }
    if (IsFinal(answer)) {
      final_responses_[key] = answer;
    } else {
      unresolved_.insert(key);
    }
  }

  const ProcessCluster& cluster_;
  std::atomic<bool> stop_ = false;
  mutable std::mutex mutex_;  // guards the next three members
  std::map<std::string, HttpResponse> final_responses_;
  std::set<std::string> unresolved_;  // no final response within kMaxSends attempts
  std::string failure_;
  std::vector<std::thread> threads_;
};

std::map<std::string, int> CountRuns(const ProcessCluster& cluster) {
  std::map<std::string, int> runs;
  for (int target = 1; target <= ProcessCluster::kDaemons; ++target) {
    for (const std::string& key : cluster.Journal(target)) {
      ++runs[key];
    }
  }
  return runs;
}

std::string CheckRuns(const std::map<std::string, int>& runs,
                      const std::map<std::string, HttpResponse>& final_responses) {
  for (const auto& [key, count] : runs) {
    if (count > 1) {
      return key + " ran " + std::to_string(count) + " times";
    }
  }
  for (const auto& [key, answer] : final_responses) {
    const bool ran = runs.contains(key);
    if (ran != (ResultOf(answer) == kOk)) {
      return key + (ran ? " ran, but was answered as not run" : " did not run, but was answered");
    }
  }
  return "";
}

// Kills and restarts one process at a time, chosen by step and seed.
void KillAndRestart(ProcessCluster& cluster, const Callers& callers, uint64_t seed) {
  constexpr int kSteps = 14;
  constexpr size_t kKeysPerStep = 12;
  SeededRandom random(seed);
  for (int step = 0; step < kSteps; ++step) {
    const int kind = step % 5;
    int control = 0;
    if (kind == 4 && !cluster.WaitForLeader(&control)) {
      return;
    }
    const int number = RandomDaemon(random);
    const std::string name = kind == 4       ? ProcessCluster::Control(control)
                             : kind % 2 == 0 ? ProcessCluster::Target(number)
                                             : ProcessCluster::Daemon(number);
    cluster.Kill(name);
    const size_t before = callers.finished_keys();
    WaitFor([&] { return callers.finished_keys() >= before + random.Below(kKeysPerStep); });
    cluster.Launch(name);
    WaitFor([&] { return callers.finished_keys() >= before + kKeysPerStep; });
  }
}

bool AllTargetsServing(const ProcessCluster& cluster) {
  for (int number = 1; number <= ProcessCluster::kDaemons; ++number) {
    if (!cluster.TargetReady(number) || !cluster.TargetListed(number)) {
      return false;
    }
  }
  return true;
}

}  // namespace

TEST_GROUP(ProcessOnce) { ProcessCluster cluster; };

// Guards against a key that runs twice, a key that ran although it was reported as not run, a
// result without a run, and different responses to the same key.
TEST(ProcessOnce, ProcessesKilledAndRestartedUnderLoadNoKeyRunsTwice) {
  CHECK(cluster.Start());
  const uint64_t seed = TestSeed(1);
  Callers callers(cluster, seed);
  KillAndRestart(cluster, callers, seed);
  callers.Stop();
  CHECK(WaitFor([&] { return AllTargetsServing(cluster); }));
  STRCMP_EQUAL("", callers.failure().c_str());
  std::map<std::string, HttpResponse> final_responses = callers.final_responses();
  SeededRandom random(seed);
  for (const std::string& key : callers.unresolved()) {
    const HttpResponse late = cluster.Call(RandomDaemon(random), PostRequest("/invoices", key));
    if (IsFinal(late)) {
      final_responses[key] = late;
    }
  }
  size_t ran = 0;
  for (const auto& entry : final_responses) {
    const std::string& key = entry.first;
    const HttpResponse& answer = entry.second;
    HttpResponse again;
    CHECK(WaitFor([&] {
      again = cluster.Call(RandomDaemon(random), PostRequest("/invoices", key));
      return IsFinal(again);
    }));
    CHECK_EQUAL(ResultOf(answer), ResultOf(again));
    STRCMP_EQUAL(answer.body.c_str(), again.body.c_str());
    ran += ResultOf(answer) == kOk ? 1 : 0;
  }
  STRCMP_EQUAL("", CheckRuns(CountRuns(cluster), final_responses).c_str());
  CHECK(ran > 0);
  // Some keys ended as not run, else CheckRuns did not cover that case.
  CHECK(ran < final_responses.size());
}

}  // namespace endivecleat::test
