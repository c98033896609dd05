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
constexpr int kMostSends = 12;
constexpr int kNotRun = 501;
constexpr int kDefaultSteps = 24;
constexpr uint64_t kLongestFaultMs = 1500;  // below the time after which a voter counts as lost
constexpr uint64_t kLongestPauseMs =
    400;  // between two faults; below kLongestFaultMs, so that faults overlap

// Records the first violation of a guarantee; later ones are mostly consequences of it.
class Verdict {
 public:
  void Break(const std::string& what) {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (broken_.empty()) {
      broken_ = what;
    }
  }
  std::string broken() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return broken_;
  }

 private:
  mutable std::mutex mutex_;
  std::string broken_;
};

bool Final(const HttpResponse& response) {
  const int result = ResultOf(response);
  return response.status != 0 && (result == 0 || result == kNotRun);
}

// A deployment with a fault proxy in front of each target and of each daemon's callers' port.
class Deployment {
 public:
  Deployment()
      : cluster_([this](uint16_t port) {
          targets_.push_back(std::make_unique<FaultProxy>(port));
          return targets_.back()->port();
        }) {
    for (int daemon = 1; daemon <= ProcessCluster::kDaemons; ++daemon) {
      callers_.push_back(std::make_unique<FaultProxy>(cluster_.CallerPort(daemon)));
    }
  }

  ProcessCluster& cluster() { return cluster_; }
  uint16_t caller_port(int daemon) const { return callers_.at(Position(daemon))->port(); }
  FaultProxy& AnyProxy(SeededRandom& random) {
    auto& proxies = random.Chance(50) ? targets_ : callers_;
    return *proxies.at(random.Below(proxies.size()));
  }
  void EndLinkFaults() {
    for (auto* proxies : {&targets_, &callers_}) {
      for (const auto& proxy : *proxies) {
        proxy->SetFault(LinkFault::kNone);
      }
    }
  }

 private:
  static size_t Position(int daemon) { return static_cast<size_t>(daemon - 1); }

  std::vector<std::unique_ptr<FaultProxy>> targets_;
  ProcessCluster cluster_;  // declared after targets_, which its constructor fills
  std::vector<std::unique_ptr<FaultProxy>> callers_;
};

// Client threads that send reads and at-most-once requests on keep-alive connections.
class Callers {
 public:
  Callers(const Deployment& deployment, Verdict& verdict, uint64_t seed)
      : deployment_(deployment), verdict_(verdict) {
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
  const std::map<std::string, HttpResponse>& answers() const { return answers_; }
  uint64_t reads() const { return reads_; }

 private:
  void Run(uint64_t number, uint64_t seed) {
    SeededRandom random(seed);
    std::map<int, KeepAliveClient> clients;
    for (int daemon = 1; daemon <= ProcessCluster::kDaemons; ++daemon) {
      clients.emplace(daemon, KeepAliveClient(deployment_.caller_port(daemon)));
    }
    const auto any = [&]() -> KeepAliveClient& {
      return clients.at(1 + static_cast<int>(random.Below(ProcessCluster::kDaemons)));
    };
    for (uint64_t count = 0; !stop_; ++count) {
      const std::string name = std::to_string(number) + "-" + std::to_string(count);
      if (random.Chance(70)) {
        Read(any(), "/bins/" + name);
      } else {
        Post(any, "key-" + name, random);
      }
    }
  }

  void Read(KeepAliveClient& client, const std::string& path) {
    const HttpResponse answer = client.Exchange(GetRequest(path));
    if (answer.status != 200) {
      return;
    }
    ++reads_;
    const nlohmann::json body = nlohmann::json::parse(answer.body, nullptr, false);
    if (!body.is_object() || body.value("path", "") != path) {
      verdict_.Break("the read of " + path + " got the answer " + answer.body);
    }
  }

  template <class AnyClient>
  void Post(const AnyClient& any, const std::string& key, SeededRandom& random) {
    HttpRequest request = PostRequest("/invoices", key);
    if (random.Chance(30)) {  // short deadlines, so that some keys end as not run
      request.headers.Add("endivecleat-timeout-ms", std::to_string(random.Below(40)));
    }
    HttpResponse answer;
    for (int sends = 0; sends < kMostSends && !Final(answer) && !stop_; ++sends) {
      answer = any().Exchange(request);
    }
    if (Final(answer)) {
      const std::lock_guard<std::mutex> lock(mutex_);
      answers_[key] = answer;
    }
  }

  const Deployment& deployment_;
  Verdict& verdict_;
  std::atomic<bool> stop_ = false;
  std::atomic<uint64_t> reads_ = 0;
  std::mutex mutex_;  // guards answers_
  std::map<std::string, HttpResponse> answers_;
  std::vector<std::thread> threads_;
};

// Submits configuration changes one at a time and retries each until its outcome is known.
class Operator {
 public:
  explicit Operator(const ProcessCluster& cluster) : cluster_(cluster) {
    thread_ = std::thread([this] { Run(); });
  }
  ~Operator() { Stop(); }
  Operator(const Operator&) = delete;
  Operator& operator=(const Operator&) = delete;

  void Stop() {
    stop_ = true;
    if (thread_.joinable()) {
      thread_.join();
    }
  }
  /// The acknowledged operations by the version they created. Call only after Stop().
  const std::map<uint64_t, std::string>& accepted() const { return accepted_; }

 private:
  void Run() {
    uint64_t version = 1;
    for (int number = 2; !stop_; ++number) {
      const std::string operation = "change-" + std::to_string(number);
      const RpcAnswer answer =
          cluster_.SubmitUntilKnown(operation, version, ProcessCluster::Document(number));
      if (answer.answered && answer.code == 0) {
        version = answer.result.value("version", version);
        accepted_[version] = operation;
      }
      std::this_thread::sleep_for(milliseconds(300));
    }
  }

  const ProcessCluster& cluster_;
  std::atomic<bool> stop_ = false;
  std::map<uint64_t, std::string> accepted_;
  std::thread thread_;
};

// Injects signals and link faults in an order that the seed determines. Faults overlap.
class Faults {
 public:
  Faults(Deployment& deployment, Verdict& verdict, uint64_t seed)
      : deployment_(deployment), verdict_(verdict), random_(seed) {}

  void Run(int steps) {
    for (int step = 0; step < steps; ++step) {
      Step();
      WatchVersions();
      std::this_thread::sleep_for(milliseconds(random_.Below(kLongestPauseMs)));
      EndDue(false);
    }
    EndDue(true);
    deployment_.EndLinkFaults();
  }

 private:
  using Clock = std::chrono::steady_clock;
  enum class Ending { kLaunch, kContinue, kLink };
  struct Pending {
    Clock::time_point due;
    Ending ending;
    std::string process;
    FaultProxy* proxy;
  };

  void Step() {
    const auto due = Clock::now() + milliseconds(50 + random_.Below(kLongestFaultMs));
    if (random_.Chance(35)) {
      FaultProxy& proxy = deployment_.AnyProxy(random_);
      proxy.SetFault(static_cast<LinkFault>(1 + random_.Below(5)));
      pending_.push_back({due, Ending::kLink, "", &proxy});
      return;
    }
    const std::string process = AnyProcess();
    if (down_.contains(process)) {
      return;
    }
    ProcessCluster& cluster = deployment_.cluster();
    if (random_.Chance(35)) {
      cluster.Signal(process, SIGSTOP);
      pending_.push_back({due, Ending::kContinue, process, nullptr});
    } else if (random_.Chance(40)) {
      cluster.Signal(process, SIGTERM);
      pending_.push_back({due, Ending::kLaunch, process, nullptr});
    } else {
      cluster.Kill(process);
      pending_.push_back({due, Ending::kLaunch, process, nullptr});
    }
    down_.insert(process);
  }

  std::string AnyProcess() {
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

  void EndDue(bool all) {
    ProcessCluster& cluster = deployment_.cluster();
    std::erase_if(pending_, [&](const Pending& pending) {
      if (!all && pending.due > Clock::now()) {
        return false;
      }
      switch (pending.ending) {
        case Ending::kLink:
          pending.proxy->SetFault(LinkFault::kNone);
          break;
        case Ending::kContinue:
          cluster.Signal(pending.process, SIGCONT);
          break;
        case Ending::kLaunch:
          if (!cluster.WaitForEnd(pending.process)) {
            verdict_.Break(pending.process + " does not end after SIGTERM");
          }
          shown_.erase(pending.process);
          cluster.Launch(pending.process);
          break;
      }
      down_.erase(pending.process);
      return true;
    });
  }

  // Checks that no daemon reverts to an older version while its process runs.
  void WatchVersions() {
    for (int daemon = 1; daemon <= ProcessCluster::kDaemons; ++daemon) {
      const std::string name = ProcessCluster::Daemon(daemon);
      const uint64_t version = down_.contains(name) ? 0 : deployment_.cluster().Version(daemon);
      uint64_t& shown = shown_[name];
      if (version != 0 && version < shown) {
        verdict_.Break(name + " went back from version " + std::to_string(shown) + " to " +
                       std::to_string(version));
      }
      shown = std::max(shown, version);
    }
  }

  Deployment& deployment_;
  Verdict& verdict_;
  SeededRandom random_;
  std::vector<Pending> pending_;
  std::set<std::string> down_;  // stopped, exited or about to exit
  std::map<std::string, uint64_t> shown_;
};

bool AllReady(const ProcessCluster& cluster, uint64_t version) {
  for (int number = 1; number <= ProcessCluster::kDaemons; ++number) {
    const bool ready = cluster.TargetReady(number) && cluster.Listed(number) &&
                       cluster.Version(number) >= version &&
                       cluster.Call(number, GetRequest("/bins")).status == 200;
    if (!ready) {
      return false;
    }
  }
  return true;
}

void CheckKeys(const ProcessCluster& cluster, const Callers& callers, Verdict& verdict) {
  std::map<std::string, int> runs;
  for (int target = 1; target <= ProcessCluster::kDaemons; ++target) {
    for (const std::string& key : cluster.Journal(target)) {
      ++runs[key];
    }
  }
  for (const auto& [key, count] : runs) {
    if (count > 1) {
      verdict.Break(key + " ran " + std::to_string(count) + " times");
    }
  }
  for (const auto& [key, answer] : callers.answers()) {
    const bool ran = runs.contains(key);
    if (ran != (ResultOf(answer) == 0)) {
      verdict.Break(key + (ran ? " ran, but was answered as not run" : " was answered, unrun"));
    }
  }
}

void CheckChanges(const ProcessCluster& cluster, const Operator& changes, Verdict& verdict) {
  int leader = 0;
  if (!cluster.WaitForLeader(&leader)) {
    verdict.Break("no control instance leads after the faults");
    return;
  }
  const std::map<uint64_t, std::string> history = cluster.History(leader);
  for (const auto& [version, operation] : changes.accepted()) {
    const auto found = history.find(version);
    if (found == history.end() || found->second != operation) {
      verdict.Break("the acknowledged " + operation + " is not version " + std::to_string(version));
    }
  }
}

std::string RunSeed(uint64_t seed, int steps) {
  Deployment deployment;
  ProcessCluster& cluster = deployment.cluster();
  Verdict verdict;
  if (!cluster.Start()) {
    return "the deployment does not start";
  }
  Callers callers(deployment, verdict, seed);
  Operator changes(cluster);
  Faults(deployment, verdict, seed).Run(steps);
  changes.Stop();
  callers.Stop();
  const uint64_t newest = changes.accepted().empty() ? 1 : changes.accepted().rbegin()->first;
  if (!WaitFor([&] { return AllReady(cluster, newest); })) {
    verdict.Break("not every daemon serves version " + std::to_string(newest) + " 60 s after");
  }
  CheckKeys(cluster, callers, verdict);
  CheckChanges(cluster, changes, verdict);
  std::printf("seed %lu: %lu reads, %zu keys, %zu changes: %s\n", seed, callers.reads(),
              callers.answers().size(), changes.accepted().size(),
              verdict.broken().empty() ? "ok" : verdict.broken().c_str());
  std::fflush(stdout);
  if (!verdict.broken().empty()) {
    cluster.KeepFolder();
    std::printf("seed %lu: logs in %s\n", seed, cluster.folder().c_str());
  }
  return verdict.broken();
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
