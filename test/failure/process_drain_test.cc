// Tests of daemons that drain while they are too busy to read what their callers send, with real
// processes.
#include <CppUTest/TestHarness.h>
#include <poll.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "loopback.h"
#include "process_cluster.h"

namespace endivecleat::test {
namespace {

// The daemons of ProcessCluster use the default drain notice of 2 s. The stall covers its end.
constexpr std::chrono::milliseconds kStallAfterSigterm(1500);
constexpr std::chrono::milliseconds kStall(800);
constexpr int kReceiveTimeoutMs = 10'000;

/// A connection that stays open between its requests.
class OpenConnection {
 public:
  explicit OpenConnection(uint16_t port) : socket_(::socket(AF_INET, SOCK_STREAM, 0)) {
    const sockaddr_in address = Loopback(port);
    connected_ = ::connect(socket_, AsSockaddr(address), sizeof(address)) == 0;
  }
  ~OpenConnection() { ::close(socket_); }
  OpenConnection(const OpenConnection&) = delete;
  OpenConnection& operator=(const OpenConnection&) = delete;

  bool Send(const HttpRequest& request) const {
    const std::string text = RequestText(request, true);
    return connected_ && ::send(socket_, text.data(), text.size(), MSG_NOSIGNAL) ==
                             static_cast<ssize_t>(text.size());
  }

  /// Status 0 when the connection ends before the response is complete.
  HttpResponse Receive() const {
    std::string received;
    std::array<char, 65536> buffer{};
    pollfd readable{socket_, POLLIN, 0};
    while (ParseResponse(received).status == 0 && ::poll(&readable, 1, kReceiveTimeoutMs) == 1) {
      const ssize_t count = ::recv(socket_, buffer.data(), buffer.size(), 0);
      if (count <= 0) {
        break;
      }
      received.append(buffer.data(), static_cast<size_t>(count));
    }
    return ParseResponse(received);
  }

 private:
  int socket_;
  bool connected_ = false;
};

}  // namespace

TEST_GROUP(ProcessDrain) {
  ProcessCluster cluster;

  void setup() override { CHECK(cluster.Start()); }
};

// Guards against a draining daemon that checks for requests in flight before it reads what its
// connections hold: it accepted the requests that it then read, and ended without an answer.
TEST(ProcessDrain, RequestsThatArriveDuringAStallAtItsEndAreAnswered) {
  constexpr int kConnections = 6;
  std::vector<std::unique_ptr<OpenConnection>> connections;
  for (int count = 0; count < kConnections; ++count) {
    connections.push_back(std::make_unique<OpenConnection>(cluster.CallerPort(1)));
    CHECK(connections.back()->Send(GetRequest("/bins")));
    CHECK_EQUAL(200, connections.back()->Receive().status);
  }
  cluster.SendSignal("daemon-1", SIGTERM);
  std::this_thread::sleep_for(kStallAfterSigterm);
  cluster.SendSignal("daemon-1", SIGSTOP);
  std::this_thread::sleep_for(kStall);
  for (const auto& connection : connections) {
    CHECK(connection->Send(GetRequest("/slow")));
  }
  cluster.SendSignal("daemon-1", SIGCONT);
  for (const auto& connection : connections) {
    CHECK_EQUAL(200, connection->Receive().status);
  }
  CHECK(cluster.WaitForEnd("daemon-1"));
}

// Guards against requests that a draining daemon accepts and sends on, although they may outlast
// its drain timeout, and then cuts without an answer.
TEST(ProcessDrain, RequestsThatOutlastItsTimeoutAreRefusedOrAnsweredBeforeItsEnd) {
  constexpr int kConnections = 6;
  constexpr std::chrono::milliseconds kBeforeRequests(1500);  // of a drain of 2.5 s
  const std::filesystem::path settings_file = cluster.folder() / "daemon-1.json";
  nlohmann::json settings = nlohmann::json::parse(std::ifstream(settings_file));
  settings["drain_timeout"] = "2500ms";
  std::ofstream(settings_file) << settings.dump(2);
  cluster.Kill("daemon-1");
  cluster.Launch("daemon-1");
  std::vector<std::unique_ptr<OpenConnection>> connections;
  for (int count = 0; count < kConnections; ++count) {
    HttpResponse ready;
    for (int attempt = 0; attempt < 100 && ready.status != 200; ++attempt) {
      std::this_thread::sleep_for(std::chrono::milliseconds(100));
      auto connection = std::make_unique<OpenConnection>(cluster.CallerPort(1));
      if (connection->Send(GetRequest("/bins"))) {
        ready = connection->Receive();
      }
      if (ready.status == 200) {
        connections.push_back(std::move(connection));
      }
    }
    CHECK_EQUAL(200, ready.status);
  }
  cluster.SendSignal("daemon-1", SIGTERM);
  std::this_thread::sleep_for(kBeforeRequests);
  for (int target = 1; target <= ProcessCluster::kDaemons; ++target) {
    cluster.SendSignal(ProcessCluster::Target(target), SIGSTOP);
  }
  for (const auto& connection : connections) {
    CHECK(connection->Send(GetRequest("/bins")));
  }
  for (const auto& connection : connections) {
    CHECK(connection->Receive().status >= 500);
  }
  for (int target = 1; target <= ProcessCluster::kDaemons; ++target) {
    cluster.SendSignal(ProcessCluster::Target(target), SIGCONT);
  }
  CHECK(cluster.WaitForEnd("daemon-1"));
}

}  // namespace endivecleat::test
