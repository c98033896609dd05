// Clients that send two requests of one trace at the same time, a read and a confirmation. With
// trouble, some of them leave the read before its answer, and wait for the confirmation.
#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <iostream>
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

constexpr int kOperations = 60;
// Share of the clients that leave, as the site's own days have it (give_up, share 0.3).
constexpr int kLeavingOfTen = 3;
constexpr Milliseconds kPause{80};        // 60 of them take 4.8 s
constexpr Milliseconds kLeaveAfter{300};  // half of the objective
constexpr Milliseconds kAnswerTime{5000};

std::string Traceparent(int operation) {
  char text[64];
  std::snprintf(text, sizeof(text), "00-%032x-%016x-01", 0x1000 + operation, 0x2000 + operation);
  return text;
}

struct Outcome {
  int status = 0;  // 0: no answer
  bool stamped = false;
};

/// Sends the request on a new connection; closes it after `leave_after` if that is above 0.
Outcome Send(Record& record, const review::Endpoint& to, const Message& request,
             Milliseconds leave_after) {
  const std::string id = request.Header("Request-Id");
  const review::Socket socket = review::Connect(to, Milliseconds(1000));
  record.Write("client sends " + id + " " + request.method + " " + request.target);
  if (!socket.valid() || !socket.Send(review::Serialize(request))) {
    return {};
  }
  std::string buffer;
  Message answer;
  const bool leaves = leave_after.count() > 0;
  const auto until = Clock::now() + (leaves ? leave_after : kAnswerTime);
  const auto result = review::ReadMessage(socket, buffer, until, answer);
  if (result != review::ReadResult::kMessage) {
    record.Write("client of " + id + (leaves ? " leaves" : " gets no answer"));
    return {};
  }
  record.Write("client of " + id + " gets " + std::to_string(answer.status) + " " + answer.body);
  return {answer.status, !answer.Header("Response-Stamp").empty()};
}

}  // namespace

int main(int count, char** arguments) {
  if (count != 4) {
    std::cerr << "usage: shared_trace ROOT RECORD TROUBLE\n";
    return 2;
  }
  const bool trouble = std::string(arguments[3]) != "0";
  Record record(arguments[2]);
  Deployment deployment(record, arguments[1],
                        {{"core-a", "cant-a", "cantabrico", ""},
                         {"core-b", "cant-b", "cantabrico", ""},
                         {"core-c", "ebro-a", "ebro", ""},
                         {"side-a", "cant-a", "cantabrico", "portal-ayto"},
                         {"side-b", "cant-a", "cantabrico", "ruta-cuadrilla"}});
  const std::string resources =
      review::RouteResource("r-read", "/estado/", "idempotent", "portal-ayto", 2000) + "," +
      review::RouteResource("r-confirm", "/confirma/", "non_idempotent", "ruta-cuadrilla", 1500) +
      "," + review::ServiceResource("portal-ayto") + "," +
      review::ServiceResource("ruta-cuadrilla") + "," + review::LimitsResource();
  if (!deployment.Start(resources)) {
    record.Write("the deployment did not start");
    return 2;
  }
  std::this_thread::sleep_for(Milliseconds(5000));  // all machines are in touch
  const review::Endpoint outbound = deployment.Outbound("side-a");
  std::atomic<int> refused{0};
  std::atomic<int> served{0};
  std::vector<std::thread> clients;
  for (int operation = 0; operation < kOperations; ++operation) {
    const bool leaves = trouble && operation % 10 < kLeavingOfTen;
    const std::string number = std::to_string(operation);
    Message read = ClientRequest("GET", "/estado/" + number + "/work-500", "read-" + number, 4000);
    Message confirm =
        ClientRequest("PUT", "/confirma/" + number + "/work-500", "confirm-" + number, 3000);
    confirm.body = "emptied";
    read.headers.emplace_back("traceparent", Traceparent(operation));
    confirm.headers.emplace_back("traceparent", Traceparent(operation));
    clients.emplace_back([&record, &outbound, read, leaves] {
      Send(record, outbound, read, leaves ? kLeaveAfter : Milliseconds(0));
    });
    clients.emplace_back([&, confirm] {
      std::this_thread::sleep_for(Milliseconds(30));  // just after the read
      const Outcome outcome = Send(record, outbound, confirm, Milliseconds(0));
      const bool own = outcome.status / 100 == 3 || outcome.status / 100 == 4;
      refused += own && !outcome.stamped && outcome.status != 408 && outcome.status != 421 &&
                         outcome.status != 429
                     ? 1
                     : 0;
      served += outcome.status == 200 ? 1 : 0;
    });
    std::this_thread::sleep_for(kPause);
  }
  for (std::thread& client : clients) {
    client.join();
  }
  const double allowed = 5 + 2.0 * kOperations / 500;
  const bool broken = refused > allowed;
  record.Write("confirmations: " + std::to_string(served) + " served, " + std::to_string(refused) +
               " ended with a 4xx of the system's own, allowed " + std::to_string(allowed));
  record.Write(broken ? "DENIED is broken" : "DENIED holds");
  return broken ? 1 : 0;
}
