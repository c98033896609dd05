// A small crowd of clients on all machines sends bodies of legal size to a service of four servers,
// while ordinary clients keep connections to the daemons beside these servers. The stand-in
// platform ends a process that uses more memory than its machine has, and starts it again. Exits
// with 1 if more than three ordinary requests that sound servers were running get no answer, or if
// daemons end so three times or more on a tenth of the machines.
#include <array>
#include <atomic>
#include <fstream>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "../harness-2/harness.h"

namespace {

using review::Format;

constexpr int kLedgers = 4;
constexpr int kPortals = 9;
constexpr int kMachines = kLedgers + kPortals;
constexpr double kMemoryMb = 88;  // memoryMb of the sidecar machines of tshma-mesh-grown
constexpr int kCrowdOfMachine = 10;
constexpr int kOrdinaryOfMachine = 4;
constexpr double kCrowdTime = 40;
constexpr double kPatience = 5;  // longer than the deadline of a request
constexpr double kRestartDelay = 0.5;
// A process that has just been forked may still have the memory of this one.
constexpr double kStartTime = 0.5;
// Just below 4 MiB, the largest body that a daemon takes; maxBodyBytes is 64 MiB.
constexpr size_t kLargeBody = (4U << 20U) - 1024;
constexpr size_t kSmallBody = 1024;

/// Memory of the process that is not backed by files, in MiB.
double MemoryOf(pid_t pid) {
  std::ifstream status(Format("/proc/%d/status", static_cast<int>(pid)));
  std::string line;
  while (std::getline(status, line)) {
    if (line.starts_with("RssAnon:")) {
      constexpr double kKibPerMib = 1024;
      return std::strtod(line.c_str() + line.find(':') + 1, nullptr) / kKibPerMib;
    }
  }
  return 0;
}

std::string ServiceOf(int machine) { return machine < kLedgers ? "ledger" : "portal"; }

struct Counts {
  std::array<std::atomic<int>, 600> crowd{};  // by status; 0 without an answer
  std::atomic<int> answered{0};
  std::mutex mutex;
  std::vector<std::string> unanswered;  // ids
};

/// A client of the crowd: one request after the other, each on a new connection.
void RunCrowdClient(const std::string& daemon, const std::string& body, double until,
                    Counts& counts) {
  while (review::Elapsed() < until) {
    const review::Request request{.path = "/confirm/offer", .timeout = "2000", .body = body};
    const auto answer = review::Exchange(daemon, review::kOutboundPort, request.Text(), 4);
    ++counts.crowd.at(static_cast<size_t>(answer ? answer->status() : 0));
    if (!answer || answer->status() != 200) {
      review::Sleep(0.1);
    }
  }
}

/// An ordinary client: one request after the other on a kept connection.
void RunOrdinaryClient(const std::string& daemon, double until, review::Record& record,
                       Counts& counts) {
  while (review::Elapsed() < until) {
    const review::Socket socket = review::Socket::Connect(daemon, review::kOutboundPort);
    std::string buffer;
    bool open = socket.valid();
    bool kept = false;  // the connection has served a request before
    while (open && review::Elapsed() < until) {
      const review::Request request{.path = "/accept/room", .body = "yes"};
      if (!socket.Send(request.Text())) {
        break;
      }
      const double sent_at = review::Elapsed();
      const auto answer = review::ReadMessage(socket, buffer, kPatience);
      if (answer) {
        kept = true;
        counts.answered += answer->status() == 200 ? 1 : 0;
        open = answer->Header("connection") != "close";
        continue;
      }
      open = false;
      if (kept && review::Elapsed() < sent_at + kPatience) {
        record.Write("the connection of " + request.id + " at " + daemon +
                     " ends without an answer");
        const std::lock_guard<std::mutex> lock(counts.mutex);
        counts.unanswered.push_back(request.id);
      }
    }
    review::Sleep(0.1);
  }
}

/// The platform's part: ends what uses too much memory, and starts it again.
class MemoryWatch {
 public:
  MemoryWatch(review::Deployment& deployment, review::Record& record)
      : deployment_(deployment), record_(record) {}

  void RunUntil(double until) {
    std::array<double, kMachines> restart_at{};
    std::array<double, kMachines> started_at{};
    while (review::Elapsed() < until) {
      for (int machine = 0; machine < kMachines; ++machine) {
        const auto index = static_cast<size_t>(machine);
        if (restart_at.at(index) == 0) {
          const bool starts = review::Elapsed() < started_at.at(index) + kStartTime;
          restart_at.at(index) = starts ? 0 : Check(machine);
        } else if (review::Elapsed() >= restart_at.at(index)) {
          restart_at.at(index) = 0;
          started_at.at(index) = review::Elapsed();
          deployment_.StartDaemon(machine, ServiceOf(machine));
        }
      }
      review::Sleep(0.01);
    }
  }

  const std::array<int, kMachines>& ends() const { return ends_; }
  double peak_mb() const { return peak_mb_; }

 private:
  /// Returns when the daemon of the machine is to be started again; 0 while it runs.
  double Check(int machine) {
    const std::string address = deployment_.SidecarAddress(machine);
    const double memory = MemoryOf(deployment_.ProcessId(address));
    peak_mb_ = std::max(peak_mb_, memory);
    if (memory <= kMemoryMb) {
      return 0;
    }
    ++ends_.at(static_cast<size_t>(machine));
    record_.Write(Format("the daemon at %s uses %.0f of %.0f MB and is killed", address.c_str(),
                         memory, kMemoryMb));
    deployment_.Kill(address);
    return review::Elapsed() + kRestartDelay;
  }

  review::Deployment& deployment_;
  review::Record& record_;
  std::array<int, kMachines> ends_{};
  double peak_mb_ = 0;
};

}  // namespace

int main(int, char** arguments) {
  review::Record record(arguments[1]);
  review::Deployment deployment(record);
  const std::vector<std::string> services = {"ledger", "portal"};
  deployment.StartCore(4);
  std::vector<std::unique_ptr<review::Server>> servers;
  for (int machine = 0; machine < kMachines; ++machine) {
    deployment.StartDaemon(machine, ServiceOf(machine));
    const double work = machine < kLedgers ? 0.11 : 0.3;
    servers.push_back(
        std::make_unique<review::Server>(deployment, record, machine, ServiceOf(machine),
                                         [work](const review::Message&) { return work; }));
  }
  const std::string configuration =
      review::Configuration(3, 0, services,
                            {{"confirm", "/confirm/", services[0], "non_idempotent", 2000},
                             {"accept", "/accept/", services[1], "non_idempotent", 4000}});
  if (deployment.Submit(configuration, 30) != 200 || !deployment.WaitUntilReady(30)) {
    record.Write("the deployment did not start");
    return review::kNotRun;
  }
  review::Sleep(6);  // all machines are in touch
  const std::string body(review::WithTrouble() ? kLargeBody : kSmallBody, 'x');
  const double until = review::Elapsed() + kCrowdTime;
  Counts counts;
  std::vector<std::thread> clients;
  clients.reserve(kMachines * kCrowdOfMachine + kLedgers * kOrdinaryOfMachine);
  for (int machine = 0; machine < kMachines; ++machine) {
    const std::string daemon = deployment.SidecarAddress(machine);
    for (int client = 0; client < kCrowdOfMachine; ++client) {
      clients.emplace_back([&, daemon] { RunCrowdClient(daemon, body, until, counts); });
    }
    for (int client = 0; machine < kLedgers && client < kOrdinaryOfMachine; ++client) {
      clients.emplace_back([&, daemon] { RunOrdinaryClient(daemon, until, record, counts); });
    }
  }
  record.Write(Format("%d clients begin to send bodies of %zu bytes", kMachines * kCrowdOfMachine,
                      body.size()));
  MemoryWatch watch(deployment, record);
  watch.RunUntil(until);
  for (std::thread& client : clients) {
    client.join();
  }
  std::set<std::string> run;
  for (const auto& server : servers) {
    for (const review::Run& each : server->runs("/accept/")) {
      run.insert(each.id);
    }
  }
  int lost = 0;
  for (const std::string& id : counts.unanswered) {
    lost += run.contains(id) ? 1 : 0;
  }
  int ends = 0;
  int often = 0;
  for (const int of_machine : watch.ends()) {
    ends += of_machine;
    often += of_machine >= 3 ? 1 : 0;
  }
  std::string crowd;
  for (size_t status = 0; status < counts.crowd.size(); ++status) {
    if (counts.crowd.at(status) > 0) {
      crowd += Format(" %zu: %d", status, counts.crowd.at(status).load());
    }
  }
  const std::string verdict = Format(
      "answers to the crowd:%s; at most %.0f MB; %d ends for memory, three or more on %d machines; "
      "%d ordinary requests answered, %d that a server ran got no answer",
      crowd.c_str(), watch.peak_mb(), ends, often, counts.answered.load(), lost);
  servers.clear();
  record.Write(verdict);
  if (counts.answered == 0) {
    return review::kNotRun;
  }
  constexpr int kAllowed = 3;
  constexpr int kTenthOfMachines = 2;  // of 13 and 4 in use
  return lost > kAllowed || often >= kTenthOfMachines ? review::kBroken : review::kHeld;
}
