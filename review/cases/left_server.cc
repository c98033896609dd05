// A server leaves with DELETE alone and serves on for a while. With trouble, the daemon beside it
// is killed right after it has acknowledged this, and is started again; with TROUBLE=restart it
// does so while it drains after a SIGTERM. In all runs one heartbeat from before the DELETE arrives
// late.
#include <atomic>
#include <csignal>
#include <iostream>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "../harness/deployment.h"

namespace {

using review::ClientRequest;
using review::Clock;
using review::Deployment;
using review::Message;
using review::Milliseconds;
using review::Record;

constexpr int kSidecars = 10;
constexpr int kClients = 6;
constexpr Milliseconds kPause{50};
constexpr int64_t kDrainMs = 2500;
constexpr int64_t kContactWindowMs = 4000;
constexpr Milliseconds kRestartDelay{300};
constexpr Milliseconds kDeleteAfterSigterm{2200};
constexpr Milliseconds kGrace{6000};
constexpr Milliseconds kHeartbeatLateness{1500};
constexpr int64_t kServesAfterDeleteMs = 7000;

/// Sends a request on a new connection and records it and its answer.
std::optional<Message> Call(Record& record, const review::Endpoint& to, const Message& request,
                            Milliseconds timeout) {
  const std::string id = request.Header("Request-Id");
  record.Write(std::string("client sends ")
                   .append(id)
                   .append(" ")
                   .append(request.method)
                   .append(" ")
                   .append(request.target)
                   .append(" to ")
                   .append(to.text()));
  std::optional<Message> answer = review::Exchange(to, request, timeout);
  record.Write(
      std::string("client of ")
          .append(id)
          .append(" gets ")
          .append(answer ? std::to_string(answer->status) + " " + answer->body : "no answer"));
  return answer;
}

struct Counts {
  std::atomic<int> served{0};
  std::atomic<int> refused{0};  // 503 and the like: not run
  std::atomic<int> lost{0};     // 502, 504 or no answer
};

/// Sends confirmations, one after the other, each on a new connection.
void RunClient(Record& record, const review::Endpoint& to, int client,
               const std::atomic<bool>& stop, Counts& counts) {
  for (int number = 0; !stop; ++number) {
    const std::string id = "c" + std::to_string(client) + "-" + std::to_string(number);
    Message request = ClientRequest("PUT", "/confirma/" + id + "/work-110", id, 3000);
    request.body = "emptied";
    const auto answer = Call(record, to, request, Milliseconds(3500));
    const int status = answer ? answer->status : 0;
    counts.served += status == 200 ? 1 : 0;
    counts.refused += status == 503 || status == 429 ? 1 : 0;
    if (status == 0 || status == 502 || status == 504) {
      ++counts.lost;
    }
    std::this_thread::sleep_for(kPause);
  }
}

}  // namespace

int main(int count, char** arguments) {
  if (count != 4) {
    std::cerr << "usage: left_server ROOT RECORD TROUBLE\n";
    return 2;
  }
  const bool planned = std::string(arguments[3]) == "restart";
  const bool killed = !planned && std::string(arguments[3]) != "0";
  Record record(arguments[2]);
  std::vector<review::Machine> machines = {{"core-a", "cant-a", "cantabrico", ""},
                                           {"core-b", "cant-b", "cantabrico", ""},
                                           {"core-c", "ebro-a", "ebro", ""}};
  for (int index = 0; index < kSidecars; ++index) {
    const bool leaving_service = index < 3;
    machines.push_back({"side-" + std::to_string(index), "cant-a", "cantabrico",
                        leaving_service ? "ruta-cuadrilla" : "portal-ayto"});
  }
  Deployment deployment(record, arguments[1], machines);
  const std::string resources =
      review::RouteResource("r-confirm", "/confirma/", "non_idempotent", "ruta-cuadrilla", 1500) +
      "," + review::ServiceResource("portal-ayto") + "," +
      review::ServiceResource("ruta-cuadrilla") + "," + review::LimitsResource();
  if (!deployment.Start(resources)) {
    record.Write("the deployment did not start");
    return 2;
  }
  std::this_thread::sleep_for(Milliseconds(5000));  // all machines are in touch
  std::atomic<bool> stop{false};
  Counts counts;
  std::vector<std::thread> clients;
  for (int client = 0; client < kClients; ++client) {
    const review::Endpoint to = deployment.Outbound("side-" + std::to_string(3 + client));
    clients.emplace_back([&, to, client] { RunClient(record, to, client, stop, counts); });
  }
  std::this_thread::sleep_for(Milliseconds(2000));

  review::Server& server = deployment.server("side-0");
  const std::string late_heartbeat = server.NextHeartbeat("ready");
  if (planned) {
    deployment.Signal("side-0", SIGTERM);
    std::this_thread::sleep_for(kDeleteAfterSigterm);
  }
  server.BeginToLeave();
  std::this_thread::sleep_for(Milliseconds(100));
  const bool acknowledged = server.SendDelete();
  const int64_t acknowledged_at = record.ElapsedMs();
  int64_t restarted_at = 0;
  if (killed) {
    deployment.Signal("side-0", SIGKILL);
  }
  if (killed || planned) {
    deployment.WaitForEnd("side-0", kGrace);
    std::this_thread::sleep_for(kRestartDelay);
    deployment.StartProcess("side-0");
    restarted_at = record.ElapsedMs();
  }
  const auto sleep_until = [&](int64_t at) {
    std::this_thread::sleep_for(Milliseconds(std::max<int64_t>(at - record.ElapsedMs(), 0)));
  };
  sleep_until(acknowledged_at + kHeartbeatLateness.count());
  server.SendHeartbeat(late_heartbeat, "late heartbeat");
  sleep_until(acknowledged_at + kServesAfterDeleteMs);
  server.End();
  std::this_thread::sleep_for(Milliseconds(1500));
  stop = true;
  for (std::thread& client : clients) {
    client.join();
  }

  const int64_t from =
      std::max(acknowledged_at + kDrainMs, restarted_at == 0 ? 0 : restarted_at + kContactWindowMs);
  int late = 0;
  for (const review::Run& run : server.runs()) {
    late += run.at_ms > from ? 1 : 0;
  }
  record.Write("acknowledged at " + std::to_string(acknowledged_at) + ", daemon started again at " +
               std::to_string(restarted_at) + "; " + std::to_string(late) +
               " requests reached the server later than " + std::to_string(from) + "; clients: " +
               std::to_string(counts.served) + " served, " + std::to_string(counts.refused) +
               " refused, " + std::to_string(counts.lost) + " lost");
  if (!acknowledged || counts.served == 0) {
    return 2;
  }
  record.Write(late > 0 ? "DRAIN is broken" : "DRAIN holds");
  return late > 0 ? 1 : 0;
}
