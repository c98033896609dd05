// Randomized soak test with fault injection. Runs the real programs as processes on loopback under
// signals and network faults (see fault_proxy.h), while callers, an operator and a version check
// verify the guarantees of the system. `soak FIRST LAST [STEPS]` runs one deployment per seed and
// exits with 1 when a guarantee was violated; the folder of a failed run is kept.
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "fault_proxy.h"
#include "keep_alive_client.h"
#include "process_cluster.h"
#include "seeded_random.h"

namespace endivecleat::test {
namespace {

using std::chrono::milliseconds;

constexpr int kCallerThreads = 4;
constexpr int kMaxSends = 12;
constexpr int kNotRun = 501;
constexpr int kDefaultSteps = 24;
constexpr uint64_t kMaxFaultMs = 1500;  // below the time after which a voter counts as lost
// Between two faults; below kMaxFaultMs, so that faults overlap.
constexpr uint64_t kMaxPauseMs = 400;

// Records the first violation of a guarantee; later ones are mostly consequences of it.
class ViolationRecorder {
 public:
  void Record(const std::string& what) {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (first_violation_.empty()) {
      first_violation_ = what;
    }
  }
  std::string first_violation() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return first_violation_;
  }

 private:
  mutable std::mutex mutex_;
  std::string first_violation_;
};

bool IsFinal(const HttpResponse& response) {
  const int result = ResultOf(response);
  return response.status != 0 && (result == 0 || result == kNotRun);
}

// A deployment with a fault proxy in front of each target and of each daemon's callers' port.
class Deployment {
 public:
  Deployment()
      : cluster_([this](uint16_t port) {
          target_proxies_.push_back(std::make_unique<FaultProxy>(port));
          return target_proxies_.back()->port();
        }) {
    for (int daemon = 1; daemon <= ProcessCluster::kDaemons; ++daemon) {
      caller_proxies_.push_back(std::make_unique<FaultProxy>(cluster_.CallerPort(daemon)));
    }
  }

  ProcessCluster& cluster() { return cluster_; }
  uint16_t caller_port(int daemon) const { return caller_proxies_.at(IndexOf(daemon))->port(); }
  FaultProxy& RandomProxy(SeededRandom& random) {
    auto& proxies = random.Chance(50) ? target_proxies_ : caller_proxies_;
    return *proxies.at(random.Below(proxies.size()));
  }
  void ClearLinkFaults() {
    for (auto* proxies : {&target_proxies_, &caller_proxies_}) {
      for (const auto& proxy : *proxies) {
        proxy->SetFault(LinkFault::kNone);
      }
    }
  }

 private:
  static size_t IndexOf(int daemon) { return static_cast<size_t>(daemon - 1); }

  std::vector<std::unique_ptr<FaultProxy>> target_proxies_;
  ProcessCluster cluster_;  // declared after target_proxies_, which its constructor fills
  std::vector<std::unique_ptr<FaultProxy>> caller_proxies_;
};

// Client threads that send reads and at-most-once requests on keep-alive connections.
class Callers {
 public:
  Callers(const Deployment& deployment, ViolationRecorder& violations, uint64_t seed)
      : deployment_(deployment), violations_(violations) {
    for (uint64_t number = 0; number < kCallerThreads; ++number) {
      threads_.emplace_back([this, number, seed] { Run(number, seed * 100 + number); });
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
  /// The final responses by key. Call only after Stop().
  const std::map<std::string, HttpResponse>& final_responses() const { return final_responses_; }
  uint64_t reads() const { return reads_; }

 private:
  void Run(uint64_t number, uint64_t seed) {
    SeededRandom random(seed);
    std::map<int, KeepAliveClient> clients;
    for (int daemon = 1; daemon <= ProcessCluster::kDaemons; ++daemon) {
      clients.emplace(daemon, KeepAliveClient(deployment_.caller_port(daemon)));
    }
    const auto random_client = [&]() -> KeepAliveClient& {
      return clients.at(1 + static_cast<int>(random.Below(ProcessCluster::kDaemons)));
    };
    for (uint64_t count = 0; !stop_; ++count) {
      const std::string name = std::to_string(number) + "-" + std::to_string(count);
      if (random.Chance(70)) {
        Read(random_client(), "/bins/" + name);
      } else {
        SendAtMostOnce(random_client, "key-" + name, random);
      }
    }
  }

  void Read(KeepAliveClient& client, const std::string& path) {
    const HttpResponse response = client.Exchange(GetRequest(path));
    if (response.status != 200) {
      return;
    }
    ++reads_;
    const nlohmann::json body = nlohmann::json::parse(response.body, nullptr, false);
    if (!body.is_object() || body.value("path", "") != path) {
      violations_.Record("the read of " + path + " got the response " + response.body);
    }
  }

  template <class RandomClient>
  void SendAtMostOnce(const RandomClient& random_client, const std::string& key,
                      SeededRandom& random) {
    HttpRequest request = PostRequest("/invoices", key);
    if (random.Chance(30)) {  // short deadlines, so that some keys end as not run
      request.headers.Add("endivecleat-timeout-ms", std::to_string(random.Below(40)));
    }
    HttpResponse response;
    for (int sends = 0; sends < kMaxSends && !IsFinal(response) && !stop_; ++sends) {
      response = random_client().Exchange(request);
    }
    if (IsFinal(response)) {
      const std::lock_guard<std::mutex> lock(mutex_);
      final_responses_[key] = response;
    }
  }

  const Deployment& deployment_;
  ViolationRecorder& violations_;
  std::atomic<bool> stop_ = false;
  std::atomic<uint64_t> reads_ = 0;
  std::mutex mutex_;  // guards answers_
  std::map<std::string, HttpResponse> final_responses_;
  std::vector<std::thread> threads_;
};

// Submits configuration changes one at a time and retries each until its outcome is known.
class ConfigurationWriter {
 public:
  explicit ConfigurationWriter(const ProcessCluster& cluster) : cluster_(cluster) {
    thread_ = std::thread([this] { Run(); });
  }
  ~ConfigurationWriter() { Stop(); }
  ConfigurationWriter(const ConfigurationWriter&) = delete;
  ConfigurationWriter& operator=(const ConfigurationWriter&) = delete;

  void Stop() {
    stop_ = true;
    if (thread_.joinable()) {
      thread_.join();
    }
  }
  /// The acknowledged operations by the version they created. Call only after Stop().
  const std::map<uint64_t, std::string>& acknowledged() const { return acknowledged_; }

 private:
  void Run() {
    uint64_t version = 1;
    for (int number = 2; !stop_; ++number) {
      const std::string operation = "change-" + std::to_string(number);
      const RpcAnswer response =
          cluster_.SubmitUntilKnown(operation, version, ProcessCluster::Document(number));
      if (response.answered && response.code == 0) {
        version = response.result.value("version", version);
        acknowledged_[version] = operation;
      }
      std::this_thread::sleep_for(milliseconds(300));
    }
  }

  const ProcessCluster& cluster_;
  std::atomic<bool> stop_ = false;
  std::map<uint64_t, std::string> acknowledged_;
  std::thread thread_;
};

// Injects signals and link faults in an order that the seed determines. Faults overlap.
class FaultInjector {
 public:
  FaultInjector(Deployment& deployment, ViolationRecorder& violations, uint64_t seed)
      : deployment_(deployment), violations_(violations), random_(seed) {}

  void Run(int steps) {
    for (int step = 0; step < steps; ++step) {
      InjectFault();
      CheckVersions();
      std::this_thread::sleep_for(milliseconds(random_.Below(kMaxPauseMs)));
      EndExpiredFaults(false);
    }
    EndExpiredFaults(true);
    deployment_.ClearLinkFaults();
  }

 private:
  using Clock = std::chrono::steady_clock;
  enum class Recovery { kRelaunch, kContinue, kClearLink };
  struct ActiveFault {
    Clock::time_point ends_at;
    Recovery recovery;
    std::string process;
    FaultProxy* proxy;
  };

  void InjectFault() {
    const auto ends_at = Clock::now() + milliseconds(50 + random_.Below(kMaxFaultMs));
    if (random_.Chance(35)) {
      FaultProxy& proxy = deployment_.RandomProxy(random_);
      proxy.SetFault(static_cast<LinkFault>(1 + random_.Below(5)));
      active_faults_.push_back({ends_at, Recovery::kClearLink, "", &proxy});
      return;
    }
    const std::string process = RandomProcess();
    if (unavailable_.contains(process)) {
      return;
    }
    ProcessCluster& cluster = deployment_.cluster();
    if (random_.Chance(35)) {
      cluster.SendSignal(process, SIGSTOP);
      active_faults_.push_back({ends_at, Recovery::kContinue, process, nullptr});
    } else if (random_.Chance(40)) {
      cluster.SendSignal(process, SIGTERM);
      active_faults_.push_back({ends_at, Recovery::kRelaunch, process, nullptr});
    } else {
      cluster.Kill(process);
      active_faults_.push_back({ends_at, Recovery::kRelaunch, process, nullptr});
    }
    unavailable_.insert(process);
  }

  std::string RandomProcess() {
    const int daemon = 1 + static_cast<int>(random_.Below(ProcessCluster::kDaemons));
    switch (random_.Below(3)) {
      case 0:
        return ProcessCluster::Control(1 +
                                       static_cast<int>(random_.Below(ProcessCluster::kControls)));
      case 1:
        return ProcessCluster::Daemon(daemon);
      default:
        return ProcessCluster::Target(daemon);
    }
  }

  void EndExpiredFaults(bool all) {
    ProcessCluster& cluster = deployment_.cluster();
    std::erase_if(active_faults_, [&](const ActiveFault& fault) {
      if (!all && fault.ends_at > Clock::now()) {
        return false;
      }
      switch (fault.recovery) {
        case Recovery::kClearLink:
          fault.proxy->SetFault(LinkFault::kNone);
          break;
        case Recovery::kContinue:
          cluster.SendSignal(fault.process, SIGCONT);
          break;
        case Recovery::kRelaunch:
          if (!cluster.WaitForEnd(fault.process)) {
            violations_.Record(fault.process + " did not exit after SIGTERM");
          }
          last_versions_.erase(fault.process);
          cluster.Launch(fault.process);
          break;
      }
      unavailable_.erase(fault.process);
      return true;
    });
  }

  // Checks that no daemon reverts to an older version while its process runs.
  void CheckVersions() {
    for (int daemon = 1; daemon <= ProcessCluster::kDaemons; ++daemon) {
      const std::string name = ProcessCluster::Daemon(daemon);
      const uint64_t version =
          unavailable_.contains(name) ? 0 : deployment_.cluster().Version(daemon);
      uint64_t& last_version = last_versions_[name];
      if (version != 0 && version < last_version) {
        violations_.Record(name + " reverted from version " + std::to_string(last_version) +
                           " to " + std::to_string(version));
      }
      last_version = std::max(last_version, version);
    }
  }

  Deployment& deployment_;
  ViolationRecorder& violations_;
  SeededRandom random_;
  std::vector<ActiveFault> active_faults_;
  std::set<std::string> unavailable_;  // stopped, exited or about to exit
  std::map<std::string, uint64_t> last_versions_;
};

bool AllServing(const ProcessCluster& cluster, uint64_t version) {
  for (int number = 1; number <= ProcessCluster::kDaemons; ++number) {
    const bool ready = cluster.TargetReady(number) && cluster.TargetListed(number) &&
                       cluster.Version(number) >= version &&
                       cluster.Call(number, GetRequest("/bins")).status == 200;
    if (!ready) {
      return false;
    }
  }
  return true;
}

void CheckAtMostOnce(const ProcessCluster& cluster, const Callers& callers,
                     ViolationRecorder& violations) {
  std::map<std::string, int> runs;
  for (int target = 1; target <= ProcessCluster::kDaemons; ++target) {
    for (const std::string& key : cluster.Journal(target)) {
      ++runs[key];
    }
  }
  for (const auto& [key, count] : runs) {
    if (count > 1) {
      violations.Record(key + " ran " + std::to_string(count) + " times");
    }
  }
  for (const auto& [key, response] : callers.final_responses()) {
    const bool ran = runs.contains(key);
    if (ran != (ResultOf(response) == 0)) {
      violations.Record(key + (ran ? " ran, but was answered as not run"
                                   : " was answered as run, but did not run"));
    }
  }
}

void CheckAcknowledgedChanges(const ProcessCluster& cluster, const ConfigurationWriter& writer,
                              ViolationRecorder& violations) {
  int leader = 0;
  if (!cluster.WaitForLeader(&leader)) {
    violations.Record("no control instance became leader after the faults");
    return;
  }
  const std::map<uint64_t, std::string> history = cluster.History(leader);
  for (const auto& [version, operation] : writer.acknowledged()) {
    const auto found = history.find(version);
    if (found == history.end() || found->second != operation) {
      violations.Record("the acknowledged " + operation + " is not version " +
                        std::to_string(version));
    }
  }
}

std::string RunSeed(uint64_t seed, int steps) {
  Deployment deployment;
  ProcessCluster& cluster = deployment.cluster();
  ViolationRecorder violations;
  if (!cluster.Start()) {
    return "the deployment did not start";
  }
  Callers callers(deployment, violations, seed);
  ConfigurationWriter writer(cluster);
  FaultInjector(deployment, violations, seed).Run(steps);
  writer.Stop();
  callers.Stop();
  const uint64_t newest = writer.acknowledged().empty() ? 1 : writer.acknowledged().rbegin()->first;
  if (!WaitFor([&] { return AllServing(cluster, newest); })) {
    violations.Record("not every daemon serves version " + std::to_string(newest) +
                      " 60 s after the last fault");
  }
  CheckAtMostOnce(cluster, callers, violations);
  CheckAcknowledgedChanges(cluster, writer, violations);
  std::printf("seed %lu: %lu reads, %zu keys, %zu changes: %s\n", seed, callers.reads(),
              callers.final_responses().size(), writer.acknowledged().size(),
              violations.first_violation().empty() ? "ok" : violations.first_violation().c_str());
  std::fflush(stdout);
  if (!violations.first_violation().empty()) {
    cluster.KeepFolder();
    std::printf("seed %lu: logs in %s\n", seed, cluster.folder().c_str());
  }
  return violations.first_violation();
}

}  // namespace
}  // namespace endivecleat::test

int main(int argc, char** argv) {
  if (argc < 3) {
    std::fprintf(stderr, "usage: soak FIRST_SEED LAST_SEED [STEPS]\n");
    return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  const uint64_t first = std::strtoull(argv[1], nullptr, 10);
  const uint64_t last = std::strtoull(argv[2], nullptr, 10);
  const int steps = argc > 3 ? std::atoi(argv[3]) : endivecleat::test::kDefaultSteps;
  int broken = 0;
  for (uint64_t seed = first; seed <= last; ++seed) {
    broken += endivecleat::test::RunSeed(seed, steps).empty() ? 0 : 1;
  }
  std::printf("%lu passed, %d failed\n", last - first + 1 - static_cast<uint64_t>(broken), broken);
  return broken == 0 ? 0 : 1;
}
