// Uploads and pipelined requests through the real processes. They guard against a daemon that holds
// a body in memory, changes or repeats it, or keeps a slot for a body that has stopped, and against
// pipelined requests that are answered out of order or lost when a daemon drains.
#include <CppUTest/TestHarness.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "loopback.h"
#include "process_cluster.h"

namespace endivecleat::test {
namespace {

constexpr size_t kMegabyte = 1U << 20U;
constexpr int kReceiveTimeoutMs = 10'000;
constexpr double kMaxGrowthKb = 4096;
constexpr int kCallingDaemon = 1;  // its own target is stopped, so that others run the requests

class Connection {
 public:
  explicit Connection(uint16_t port) : socket_(::socket(AF_INET, SOCK_STREAM, 0)) {
    const sockaddr_in address = Loopback(port);
    connected_ = ::connect(socket_, AsSockaddr(address), sizeof(address)) == 0;
  }
  ~Connection() { Close(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  void Close() {
    if (socket_ >= 0) {
      ::close(std::exchange(socket_, -1));
    }
  }

  bool Send(const std::string& text) const {
    size_t sent = 0;
    while (connected_ && sent < text.size()) {
      const ssize_t count = ::send(socket_, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
      if (count <= 0) {
        return false;
      }
      sent += static_cast<size_t>(count);
    }
    return connected_;
  }

  /// Reads until the condition holds. Returns false if the connection ends or is silent before.
  bool ReceiveUntil(const std::function<bool()>& condition) {
    std::array<char, 65536> buffer{};
    pollfd readable{socket_, POLLIN, 0};
    while (!condition()) {
      if (::poll(&readable, 1, kReceiveTimeoutMs) != 1) {
        return false;
      }
      const ssize_t count = ::recv(socket_, buffer.data(), buffer.size(), 0);
      if (count <= 0) {
        return false;
      }
      received.append(buffer.data(), static_cast<size_t>(count));
    }
    return true;
  }

  bool ReceiveText(const std::string& text) {
    return ReceiveUntil([&] { return received.find(text) != std::string::npos; });
  }

  std::string received;

 private:
  int socket_;
  bool connected_ = false;
};

std::string UploadHead(const std::string& path, size_t length) {
  return "POST " + path + " HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(length) +
         "\r\n\r\n";
}

/// The text with which the stand-in target answers an upload.
std::string Expected(const std::string& body) {
  uint64_t checksum = 0xcbf29ce484222325U;
  for (const char byte : body) {
    checksum = (checksum ^ static_cast<unsigned char>(byte)) * 0x100000001b3U;
  }
  return std::to_string(body.size()) + " " + std::to_string(checksum);
}

std::string Body(size_t size) {
  std::string body(size, '\0');
  uint32_t state = 1;
  for (char& each : body) {
    state = state * 1664525U + 1013904223U;
    each = static_cast<char>(state >> 24U);
  }
  return body;
}

}  // namespace

TEST_GROUP(ProcessUpload) {
  ProcessCluster cluster;

  void setup() override {
    CHECK(cluster.Start());
    for (int daemon = 1; daemon <= ProcessCluster::kDaemons; ++daemon) {
      const std::string name = ProcessCluster::Daemon(daemon);
      const auto file = cluster.folder() / (name + ".json");
      nlohmann::json settings = nlohmann::json::parse(std::ifstream(file));
      settings["uploads"] = {{"body", 128 * kMegabyte}, {"no_progress_timeout", "1s"}};
      std::ofstream(file) << settings.dump(2);
      cluster.Kill(name);
      cluster.Launch(name);
    }
    nlohmann::json document = nlohmann::json::parse(ProcessCluster::Document(2));
    auto& preset = document["presets"]["ordinary"];
    preset["services"]["portal"]["timeout_ms"] = 20000;
    preset["services"]["portal"]["slots"] = 2;
    preset["routes"].push_back({{"name", "upload"},
                                {"path_prefix", "/upload"},
                                {"methods", {"POST"}},
                                {"service", "portal"},
                                {"idempotent", false},
                                {"large_requests", true}});
    CHECK_EQUAL(0, cluster.SubmitUntilKnown("second", 1, document.dump()).code);
    CHECK(WaitFor([&] {
      bool ready = true;
      for (int daemon = 1; daemon <= ProcessCluster::kDaemons; ++daemon) {
        ready = ready && cluster.Version(daemon) == 2 && cluster.TargetReady(daemon);
      }
      return ready;
    }));
    cluster.Kill(ProcessCluster::Target(kCallingDaemon));
    CHECK(WaitFor([&] { return !cluster.TargetReady(kCallingDaemon); }));
    CHECK(WaitFor([&] { return cluster.Call(kCallingDaemon, GetRequest("/bins")).status == 200; }));
  }

  double PeakKb(int daemon) const { return cluster.PeakMemoryKb(ProcessCluster::Daemon(daemon)); }

  /// What the targets have received, a line for each body.
  std::string UploadLog() const {
    std::string lines;
    for (int target = 1; target <= ProcessCluster::kDaemons; ++target) {
      for (const std::string& line : cluster.Journal(target)) {
        lines += line.starts_with("uploaded ") ? line + "\n" : "";
      }
    }
    return lines;
  }
};

TEST(ProcessUpload, HundredMegabytesPassThroughWithBoundedMemory) {
  const std::string body = Body(100 * kMegabyte);
  std::array<double, ProcessCluster::kDaemons + 1> before{};
  for (int daemon = 1; daemon <= ProcessCluster::kDaemons; ++daemon) {
    before.at(daemon) = PeakKb(daemon);
  }
  const auto start = std::chrono::steady_clock::now();
  Connection caller(cluster.CallerPort(kCallingDaemon));
  CHECK(caller.Send(UploadHead("/upload", body.size()) + body));
  CHECK(caller.ReceiveText(Expected(body)));
  const std::chrono::duration<double> taken = std::chrono::steady_clock::now() - start;
  for (int daemon = 1; daemon <= ProcessCluster::kDaemons; ++daemon) {
    const double growth = PeakKb(daemon) - before.at(daemon);
    std::printf("upload of 100 MB in %.2f s: daemon-%d peak %.0f kB, grown by %.0f kB\n",
                taken.count(), daemon, PeakKb(daemon), growth);
    CHECK(growth < kMaxGrowthKb);
  }
}

TEST(ProcessUpload, EarlyAnswerLeavesTheRestOfTheBodyToTheTarget) {
  const std::string body = Body(5 * kMegabyte);
  Connection caller(cluster.CallerPort(kCallingDaemon));
  CHECK(caller.Send(UploadHead("/upload/early", body.size()) + body.substr(0, kMegabyte)));
  CHECK(caller.ReceiveText("early"));
  CHECK(caller.Send(body.substr(kMegabyte)));
  CHECK(WaitFor([&] { return UploadLog().find(Expected(body)) != std::string::npos; }));
  CHECK(caller.Send(RequestText(GetRequest("/bins"), true)));
  CHECK(caller.ReceiveText("/bins"));
}

// The service has two slots a target: more bodies that stop halfway than there are slots.
TEST(ProcessUpload, BodiesThatStopHalfwayFreeTheirSlots) {
  std::vector<std::unique_ptr<Connection>> callers;
  for (int i = 0; i < 8; ++i) {
    callers.push_back(std::make_unique<Connection>(cluster.CallerPort(kCallingDaemon)));
    CHECK(callers.back()->Send(UploadHead("/upload", kMegabyte) + std::string(kMegabyte / 2, 'x')));
  }
  const std::string body = Body(kMegabyte);
  CHECK(WaitFor([&] {
    Connection caller(cluster.CallerPort(kCallingDaemon));
    return caller.Send(UploadHead("/upload", body.size()) + body) &&
           caller.ReceiveText(Expected(body));
  }));
  CHECK(WaitFor([&] { return UploadLog().find("cancelled") != std::string::npos; }));
}

TEST(ProcessUpload, CallerThatClosesFreesTheSlot) {
  for (int i = 0; i < 8; ++i) {
    Connection caller(cluster.CallerPort(kCallingDaemon));
    CHECK(caller.Send(UploadHead("/upload", kMegabyte) + std::string(kMegabyte / 2, 'x')));
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
  }
  CHECK(WaitFor([&] {
    bool idle = true;
    for (int daemon = 1; daemon <= ProcessCluster::kDaemons; ++daemon) {
      const nlohmann::json health = cluster.Health(daemon);
      idle = idle && health.is_object() && health["running"] == 0;
    }
    return idle;
  }));
}

// Guards against lookups of one connection that run one after another: four of 300 ms took 1.2 s.
TEST(ProcessUpload, PipelinedLookupsRunTogether) {
  Connection caller(cluster.CallerPort(kCallingDaemon));
  const std::string request = RequestText(GetRequest("/slow"), true);
  const auto start = std::chrono::steady_clock::now();
  CHECK(caller.Send(request + request + request + request));
  const auto count = [&] {
    size_t responses = 0;
    for (size_t at = caller.received.find("HTTP/1.1 200"); at != std::string::npos;
         at = caller.received.find("HTTP/1.1 200", at + 1)) {
      ++responses;
    }
    return responses;
  };
  CHECK(caller.ReceiveUntil([&] { return count() == 4; }));
  const std::chrono::duration<double> taken = std::chrono::steady_clock::now() - start;
  std::printf("4 pipelined lookups of 300 ms: %.3f s\n", taken.count());
  CHECK(taken.count() < 0.9);
}

TEST(ProcessUpload, DrainingDaemonAnswersThePipelinedRequestsThatItHasRead) {
  Connection caller(cluster.CallerPort(kCallingDaemon));
  const std::string request = RequestText(GetRequest("/slow"), true);
  CHECK(caller.Send(request + request + request));
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  cluster.SendSignal(ProcessCluster::Daemon(kCallingDaemon), SIGTERM);
  CHECK(!caller.ReceiveUntil([] { return false; }));  // until the daemon closes the connection
  size_t responses = 0;
  for (size_t at = caller.received.find("HTTP/1.1 200"); at != std::string::npos;
       at = caller.received.find("HTTP/1.1 200", at + 1)) {
    ++responses;
  }
  CHECK_EQUAL(3, responses);
  CHECK(caller.received.rfind("Connection: close") > caller.received.rfind("HTTP/1.1 200"));
}

}  // namespace endivecleat::test
