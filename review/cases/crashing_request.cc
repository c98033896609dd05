// A request crashes each server of one service that begins to run it, and comes again every three
// seconds, at another machine each time. Requests for another host, which have the same path and
// body, are served by another service all the while, and invoices by the first. Without trouble,
// nobody sends the request that crashes its servers.
#include <atomic>
#include <iostream>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "../harness/deployment.h"

namespace {

using review::ClientRequest;
using review::Deployment;
using review::Message;
using review::Milliseconds;
using review::Record;

constexpr char kCrashingHost[] = "pedidos.example";
constexpr char kOtherHost[] = "cuadrillas.example";
constexpr char kInvoiceHost[] = "facturas.example";
constexpr char kTarget[] = "/v1/sync";
constexpr char kBody[] = "{}";
constexpr int kPortalMachines = 5;
constexpr int kCrewMachines = 5;
constexpr int kAttempts = 10;
constexpr Milliseconds kBetweenAttempts{3000};
constexpr Milliseconds kServerDownTime{2000};
constexpr Milliseconds kOtherPause{200};
constexpr Milliseconds kInvoicePause{60};
constexpr int64_t kContactWindowMs = 4000;

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

Message Request(const std::string& host, const std::string& id) {
  Message request = ClientRequest("POST", kTarget, id, 3000);
  request.headers[0].second = host;
  request.body = kBody;
  return request;
}

std::string Side(int index) { return "side-" + std::to_string(index); }

}  // namespace

int main(int count, char** arguments) {
  if (count < 4) {
    std::cerr << "usage: crashing_request ROOT RECORD TROUBLE [alone]\n";
    return 2;
  }
  const bool trouble = std::string(arguments[3]) != "0";
  const bool alone = count > 4;  // without the requests for the other host
  Record record(arguments[2]);
  std::vector<review::Machine> machines = {{"core-a", "cant-a", "cantabrico", ""},
                                           {"core-b", "cant-b", "cantabrico", ""},
                                           {"core-c", "ebro-a", "ebro", ""}};
  for (int index = 0; index < kPortalMachines + kCrewMachines; ++index) {
    machines.push_back({Side(index), "cant-a", "cantabrico",
                        index < kPortalMachines ? "portal-ayto" : "ruta-cuadrilla"});
  }
  Deployment deployment(record, arguments[1], machines);
  deployment.SetCrashesOn(kCrashingHost);
  const std::string orders = review::RouteResource("r-orders", "/v1/", "non_idempotent",
                                                   "portal-ayto", 2500, kCrashingHost);
  const std::string crews = review::RouteResource("r-crews", "/v1/", "non_idempotent",
                                                  "ruta-cuadrilla", 2500, kOtherHost);
  const std::string invoices = review::RouteResource("r-invoices", "/factura/", "non_idempotent",
                                                     "portal-ayto", 2500, kInvoiceHost);
  const std::string resources =
      orders + "," + crews + "," + invoices + "," + review::ServiceResource("portal-ayto") + "," +
      review::ServiceResource("ruta-cuadrilla") + "," + review::LimitsResource();
  if (!deployment.Start(resources)) {
    record.Write("the deployment did not start");
    return 2;
  }
  std::this_thread::sleep_for(Milliseconds(5000));  // all machines are in touch
  std::atomic<bool> stop{false};
  std::atomic<int> others_served{0};
  std::atomic<int> others_failed{0};
  std::atomic<int> invoices_served{0};
  std::atomic<int> invoices_lost{0};  // answered 502 or 504, or not at all
  std::vector<std::thread> clients;
  for (int client = 0; client < kPortalMachines; ++client) {
    const review::Endpoint to = deployment.Outbound(Side(client));
    clients.emplace_back([&, to, client] {
      for (int number = 0; !stop; ++number) {
        const std::string id = "invoice-" + std::to_string(client) + "-" + std::to_string(number);
        Message request = ClientRequest("POST", "/factura/" + id + "/work-210", id, 5000);
        request.headers[0].second = kInvoiceHost;
        request.body = "line";
        const auto answer = Call(record, to, request, Milliseconds(5500));
        const int status = answer ? answer->status : 0;
        invoices_served += status == 200 ? 1 : 0;
        if (status == 0 || status == 502 || status == 504) {
          ++invoices_lost;
        }
        std::this_thread::sleep_for(kInvoicePause);
      }
    });
  }
  for (int client = 0; client < kPortalMachines && !alone; ++client) {
    const review::Endpoint to = deployment.Outbound(Side(client));
    clients.emplace_back([&, to, client] {
      for (int number = 0; !stop; ++number) {
        const std::string id = "other-" + std::to_string(client) + "-" + std::to_string(number);
        const auto answer = Call(record, to, Request(kOtherHost, id), Milliseconds(3500));
        ++(answer && answer->status == 200 ? others_served : others_failed);
        std::this_thread::sleep_for(kOtherPause);
      }
    });
  }
  std::this_thread::sleep_for(Milliseconds(1000));

  std::vector<int64_t> crashes;
  for (int attempt = 0; attempt < kAttempts; ++attempt) {
    const auto next = review::Clock::now() + kBetweenAttempts;
    if (trouble) {
      // All machines of this service have the same Caller.
      const std::string machine = Side(kPortalMachines + attempt % kCrewMachines);
      std::string id = "crashing-";
      id += std::to_string(attempt);
      Call(record, deployment.Outbound(machine), Request(kCrashingHost, id), Milliseconds(3500));
    }
    std::this_thread::sleep_for(kServerDownTime);
    for (int index = 0; index < kPortalMachines; ++index) {
      review::Server& server = deployment.server(Side(index));
      if (server.ended()) {
        for (const review::Run& run : server.runs()) {
          if (run.target == kTarget) {
            crashes.push_back(run.at_ms);
          }
        }
        deployment.StartServer(Side(index), "i-" + Side(index) + "-" + std::to_string(attempt));
      }
    }
    std::this_thread::sleep_until(next);
  }
  stop = true;
  for (std::thread& client : clients) {
    client.join();
  }
  int late = 0;
  for (size_t index = 3; index < crashes.size(); ++index) {
    late += crashes[index] > crashes[2] + kContactWindowMs ? 1 : 0;
  }
  record.Write("the request crashed " + std::to_string(crashes.size()) + " servers, " +
               std::to_string(late) + " of them later than " + std::to_string(kContactWindowMs) +
               " ms after the third; other requests: " + std::to_string(others_served) +
               " served, " + std::to_string(others_failed) +
               " not; invoices: " + std::to_string(invoices_served) + " served, " +
               std::to_string(invoices_lost) + " lost");
  record.Write(late > 3 ? "BUDGET is broken" : "BUDGET holds");
  return late > 3 ? 1 : 0;
}
