// Measures the throughput and latency of HttpClient against HttpServer, and of request/response
// round trips of PeerNetwork, with both ends on one event loop over 127.0.0.1. Guards against a
// latency per hop that endangers the limit of 1.5 ms for the 99th percentile of calls. Prints one
// JSON object per line.
#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "event_loop.h"
#include "http_client.h"
#include "http_server.h"
#include "peer_network.h"

using namespace endivecleat;  // NOLINT(google-build-using-namespace): a program of one file

namespace {

constexpr uint64_t kSeed = 1;
constexpr size_t kCalls = 40000;
constexpr size_t kWarmUpCalls = 2000;
constexpr Duration kTimeout = std::chrono::seconds(10);
const Address kAnyLocalPort = {"127.0.0.1", 0};

void Print(const std::string& name, double value, const char* unit, size_t n) {
  std::printf("{\"name\": \"%s\", \"value\": %.1f, \"unit\": \"%s\", \"n\": %zu, \"seed\": %llu}\n",
              name.c_str(), value, unit, n, static_cast<unsigned long long>(kSeed));
}

/// Keeps a fixed number of calls in flight until all are done, then prints rate and percentiles.
class Measurement {
 public:
  using Done = std::function<void(bool answered)>;
  using Start = std::function<void(Done)>;

  Measurement(EventLoop& loop, std::string name, size_t in_flight, Start start)
      : loop_(loop), name_(std::move(name)), start_(std::move(start)) {
    loop_.Post([this, in_flight] {
      for (size_t i = 0; i < in_flight; ++i) {
        StartNextCall();
      }
    });
    loop_.Run();
    Report();
  }

 private:
  void StartNextCall() {
    if (calls_started_ == kWarmUpCalls + kCalls) {
      return;
    }
    if (++calls_started_ == kWarmUpCalls) {
      measurement_start_ = loop_.now();
    }
    const TimePoint start_time = loop_.now();
    start_([this, start_time](bool answered) {
      failures_ += answered ? 0 : 1;
      latencies_us_.push_back((loop_.now() - start_time).count());
      if (latencies_us_.size() == kWarmUpCalls + kCalls) {
        loop_.Stop();
      }
      StartNextCall();
    });
  }

  void Report() {
    const double seconds = static_cast<double>((loop_.now() - measurement_start_).count()) / 1e6;
    latencies_us_.erase(latencies_us_.begin(), latencies_us_.begin() + kWarmUpCalls);
    std::sort(latencies_us_.begin(), latencies_us_.end());
    Print(name_ + "/rate", static_cast<double>(kCalls) / seconds, "1/s", kCalls);
    Print(name_ + "/p50", static_cast<double>(latencies_us_[kCalls / 2]), "us", kCalls);
    Print(name_ + "/p99", static_cast<double>(latencies_us_[kCalls * 99 / 100]), "us", kCalls);
    Print(name_ + "/failures", static_cast<double>(failures_), "calls", kCalls);
  }

  EventLoop& loop_;
  std::string name_;
  Start start_;
  size_t calls_started_ = 0;
  size_t failures_ = 0;
  std::vector<int64_t> latencies_us_;
  TimePoint measurement_start_;
};

void MeasureHttp(size_t connections, size_t body_bytes) {
  EventLoop loop;
  HttpServer server(loop, kAnyLocalPort, {}, [](HttpRequest request, const ResponseSink& sink) {
    sink.Send({200, {{"Content-Type", "text/plain"}}, std::move(request.body)});
  });
  HttpClient client(loop, server.address(), connections);
  const std::string name = "http_" + std::to_string(connections) + "_connections_" +
                           std::to_string(body_bytes) + "_bytes";
  const Measurement measurement(loop, name, connections, [&](const Measurement::Done& done) {
    HttpRequest request = {"POST", "/bins/7", "day=2", {{"Accept", "*/*"}}, "", ""};
    request.body.assign(body_bytes, 'b');
    client.Send(std::move(request), kTimeout, [done](const HttpOutcome& outcome) {
      done(outcome.kind == HttpOutcome::kAnswered && outcome.response.status == 200);
    });
  });
}

void MeasurePeers(size_t in_flight, size_t payload_bytes) {
  EventLoop loop;
  PeerNetwork server(loop, kAnyLocalPort, "token",
                     {nullptr,
                      [](const Address&, PeerChannel, std::string payload,
                         const PeerResponder& replier) { replier.Respond(std::move(payload)); },
                      nullptr},
                     kSeed);
  PeerNetwork client(loop, kAnyLocalPort, "token", {}, kSeed + 1);
  const std::string name = "peer_" + std::to_string(in_flight) + "_in_flight_" +
                           std::to_string(payload_bytes) + "_bytes";
  const Measurement measurement(loop, name, in_flight, [&](const Measurement::Done& done) {
    client.Request(
        server.address(), PeerChannel::kCall, std::string(payload_bytes, 'b'), kTimeout,
        [done](const PeerOutcome& outcome) { done(outcome.kind == PeerOutcome::kAnswered); });
  });
}

}  // namespace

int main() {
  MeasureHttp(1, 100);
  MeasureHttp(16, 100);
  MeasureHttp(16, 16384);
  MeasurePeers(1, 100);
  MeasurePeers(16, 100);
  MeasurePeers(1, 16384);
  MeasurePeers(16, 16384);
  return 0;
}
