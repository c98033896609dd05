// Handsets poll one path of a route that was added later, all at the same moment every three
// seconds. With trouble, two servers crash at one such moment, and new ones start in their place.
// Other clients read from a route of the first configuration all the while.
#include <algorithm>
#include <atomic>
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

constexpr int kPortalMachines = 14;
constexpr int kMachines = 16;
constexpr Milliseconds kPollInterval{3000};
constexpr Milliseconds kLatestCrash{60};  // after the moment of a poll, which takes 80 ms
constexpr int kMaxPollsBeforeCrash = 8;
constexpr Milliseconds kServerDownTime{4000};
constexpr Milliseconds kCalmTime{5000};  // longer than contactWindowMs
constexpr Milliseconds kCountedTime{12'000};
constexpr char kPolledTarget[] = "/avisos/todos/work-80";

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

std::string Side(int index) { return "side-" + std::to_string(index); }

/// Answers of the counted time.
struct Counts {
  std::atomic<bool> counting{false};
  std::atomic<int> asked{0};
  std::atomic<int> served{0};

  void Add(const std::optional<Message>& answer) {
    const bool success = answer && answer->status == 200;
    if (!counting) {
      return;
    }
    ++asked;
    served += success ? 1 : 0;
  }
};

}  // namespace

int main(int count, char** arguments) {
  if (count != 4) {
    std::cerr << "usage: innocent_request ROOT RECORD TROUBLE\n";
    return 2;
  }
  const bool trouble = std::string(arguments[3]) != "0";
  Record record(arguments[2]);
  std::vector<review::Machine> machines = {{"core-a", "cant-a", "cantabrico", ""},
                                           {"core-b", "cant-b", "cantabrico", ""},
                                           {"core-c", "ebro-a", "ebro", ""}};
  for (int index = 0; index < kMachines; ++index) {
    machines.push_back({Side(index), "cant-a", "cantabrico",
                        index < kPortalMachines ? "portal-ayto" : "ruta-cuadrilla"});
  }
  Deployment deployment(record, arguments[1], machines);
  const std::string first =
      review::RouteResource("r-read", "/estado/", "idempotent", "portal-ayto", 2000) + "," +
      review::ServiceResource("portal-ayto") + "," + review::ServiceResource("ruta-cuadrilla") +
      "," + review::LimitsResource();
  const std::string added =
      review::RouteResource("r-notices", "/avisos/", "idempotent", "portal-ayto", 2000);
  if (!deployment.Start(first) ||
      deployment.Put("00000005", "00000003", added + "," + first, Milliseconds(10'000)) != 200) {
    record.Write("the deployment did not start");
    return 2;
  }
  std::this_thread::sleep_for(kCalmTime);
  // Share 0.15 of the servers of the service.
  const std::vector<std::string> crashing = {Side(0), Side(1)};
  std::atomic<bool> stop{false};
  Counts polls;
  Counts reads;
  const Clock::time_point start = Clock::now() + kPollInterval;
  std::vector<std::thread> clients;
  for (int client = 0; client < kMachines; ++client) {
    const review::Endpoint to = deployment.Outbound(Side(client));
    clients.emplace_back([&, to, client] {
      Clock::time_point due = start;
      for (int number = 0; !stop; ++number, due += kPollInterval) {
        std::this_thread::sleep_until(due);
        const std::string id = "poll-" + std::to_string(client) + "-" + std::to_string(number);
        polls.Add(
            Call(record, to, ClientRequest("GET", kPolledTarget, id, 4000), Milliseconds(900)));
      }
    });
    clients.emplace_back([&, to, client] {
      for (int number = 0; !stop; ++number) {
        const std::string id = "read-" + std::to_string(client) + "-" + std::to_string(number);
        reads.Add(
            Call(record, to, ClientRequest("GET", "/estado/" + id, id, 4000), Milliseconds(4000)));
        std::this_thread::sleep_for(Milliseconds(300));
      }
    });
  }
  // The two crash at the first moment at which both run a read of the polled path. Reads of the
  // other path take 5 ms, so that few of them run then.
  bool crashed = false;
  for (int poll = 2; trouble && !crashed && poll < kMaxPollsBeforeCrash; ++poll) {
    std::this_thread::sleep_until(start + poll * kPollInterval + Milliseconds(20));
    while (!crashed && Clock::now() < start + poll * kPollInterval + kLatestCrash) {
      crashed = std::all_of(crashing.begin(), crashing.end(), [&](const std::string& name) {
        return deployment.server(name).running() > 0;
      });
      std::this_thread::sleep_for(Milliseconds(1));
    }
  }
  for (const std::string& name : crashing) {
    if (crashed) {
      deployment.server(name).End();
    }
  }
  std::this_thread::sleep_for(kServerDownTime);
  for (const std::string& name : crashing) {
    if (crashed) {
      deployment.StartServer(name, "i-" + name + "-again");
    }
  }
  std::this_thread::sleep_for(kCalmTime);
  record.Write("the counted time begins");
  polls.counting = reads.counting = true;
  std::this_thread::sleep_for(kCountedTime);
  polls.counting = reads.counting = false;
  record.Write("the counted time ends");
  stop = true;
  for (std::thread& client : clients) {
    client.join();
  }
  const double polled = polls.asked == 0 ? 0 : static_cast<double>(polls.served) / polls.asked;
  const double read = reads.asked == 0 ? 0 : static_cast<double>(reads.served) / reads.asked;
  const bool broken = polls.asked >= 20 && polled < read / 4;
  record.Write("counted: of the route added later " + std::to_string(polls.served) + " of " +
               std::to_string(polls.asked) + " served, of the first " +
               std::to_string(reads.served) + " of " + std::to_string(reads.asked));
  if (trouble && !crashed) {
    record.Write("no moment came at which both servers ran the request");
    return 2;
  }
  record.Write(broken ? "CONFIG is broken" : "CONFIG holds");
  return broken ? 1 : 0;
}
