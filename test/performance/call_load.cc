// Load generator for one or two HTTP servers: open loop at a given rate, or closed loop with a
// given number of connections. With --baseline, every second request goes to that address, so that
// both are measured under the same conditions on a shared machine. Open-loop latency counts from
// the planned start of a request, which includes its wait behind a stalled server (coordinated
// omission). Prints one JSON object per line.
#include <popt.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdlib>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "endivecleat_io.h"
#include "performance/benchmark_output.h"
#include "seeded_random.h"

namespace {

using endivecleat::Duration;
using endivecleat::EventLoop;
using endivecleat::HttpClient;
using endivecleat::HttpOutcome;
using endivecleat::HttpRequest;
using endivecleat::ParseAddress;
using endivecleat::SeededRandom;
using endivecleat::TimePoint;
using endivecleat::test::PrintMeasurement;

constexpr Duration kTimeout = std::chrono::seconds(5);
constexpr size_t kOpenLoopConnections = 512;  // more than the open loop uses at its usual rates

struct Options {
  char* name = nullptr;
  char* address = nullptr;
  char* baseline = nullptr;
  char* method = nullptr;
  char* path = nullptr;
  double rate = 0;
  int connections = 0;
  double seconds = 5;
  double warm_up = 0.5;
  int even = 0;
  int new_keys = 0;
  int seed = 1;
};

/// Latencies in milliseconds of the calls to one address.
struct Series {
  std::vector<double> answered;
  size_t failed = 0;
  int first_failure = 0;  // HTTP status, or 0 for a broken connection or a timeout

  double Quantile(double share) {
    if (answered.empty()) {
      return 0;
    }
    std::sort(answered.begin(), answered.end());
    const auto rank = static_cast<size_t>(share * static_cast<double>(answered.size()));
    return answered[std::min(rank, answered.size() - 1)];
  }
};

class LoadGenerator {
 public:
  LoadGenerator(EventLoop& loop, const Options& options)
      : loop_(loop), options_(options), random_(static_cast<uint64_t>(options.seed)) {
    const size_t connections =
        options.connections > 0 ? static_cast<size_t>(options.connections) : kOpenLoopConnections;
    for (const char* address : {options.address, options.baseline}) {
      if (address != nullptr) {
        clients_.push_back(
            std::make_unique<HttpClient>(loop, ParseAddress(address).value(), connections));
      }
    }
    start_ = loop.now();
    measure_from_ = start_ + FromSeconds(options.warm_up);
    end_ = measure_from_ + FromSeconds(options.seconds);
  }

  void Start() {
    if (options_.connections > 0) {
      for (int connection = 0; connection < options_.connections; ++connection) {
        SendClosedLoop();
      }
      return;
    }
    planned_ = start_;
    SendOpenLoop();
  }

  void Print() {
    const std::array<const char*, 2> names = {"/mesh", "/direct"};
    for (size_t which = 0; which < clients_.size(); ++which) {
      const std::string name = options_.baseline == nullptr ? "" : names.at(which);
      const size_t count = series_.at(which).answered.size();
      PrintOne(name + "/p50", series_.at(which).Quantile(0.5), "ms", count);
      PrintOne(name + "/p99", series_.at(which).Quantile(0.99), "ms", count);
      PrintOne(name + "/rate", static_cast<double>(count) / options_.seconds, "calls/s", count);
      PrintOne(name + "/failed", static_cast<double>(series_.at(which).failed), "calls", count);
      if (series_.at(which).failed > 0) {
        PrintOne(name + "/first_failure", series_.at(which).first_failure, "HTTP status", count);
      }
    }
    if (clients_.size() == 2) {
      const size_t count = series_[0].answered.size();
      for (const auto& [name, share] : {std::pair("/added_p50", 0.5), {"/added_p99", 0.99}}) {
        PrintOne(name, series_[0].Quantile(share) - series_[1].Quantile(share), "ms", count);
      }
    }
  }

 private:
  static Duration FromSeconds(double seconds) {
    return Duration(static_cast<Duration::rep>(seconds * 1e6));
  }

  void PrintOne(const std::string& name, double value, const char* unit, size_t count) const {
    PrintMeasurement(options_.name + name, value, unit, count,
                     static_cast<uint64_t>(options_.seed));
  }

  HttpRequest MakeRequest() {
    HttpRequest request;
    request.method = options_.method;
    request.path = options_.path;
    request.headers.Add("host", "call-load");
    if (options_.new_keys != 0) {
      request.headers.Add("idempotency-key", "load-" + std::to_string(options_.seed) + "-" +
                                                 std::to_string(random_.Next()));
      request.body = "{\"confirmed\": true}";
    }
    return request;
  }

  void Send(TimePoint from, bool closed_loop) {
    const size_t which = sent_++ % clients_.size();
    ++outstanding_;
    clients_[which]->Send(MakeRequest(), kTimeout,
                          [this, which, from, closed_loop](const HttpOutcome& outcome) {
                            --outstanding_;
                            RecordOutcome(series_.at(which), from, outcome);
                            if (closed_loop) {
                              SendClosedLoop();
                            }
                            StopWhenDone();
                          });
  }

  void RecordOutcome(Series& series, TimePoint from, const HttpOutcome& outcome) const {
    if (from < measure_from_ || from >= end_) {
      return;
    }
    if (outcome.kind == HttpOutcome::kAnswered && outcome.response.status < 300) {
      series.answered.push_back(
          std::chrono::duration<double, std::milli>(loop_.now() - from).count());
      return;
    }
    if (series.failed++ == 0) {
      series.first_failure = outcome.response.status;
    }
  }

  void SendClosedLoop() {
    if (loop_.now() < end_) {
      Send(loop_.now(), true);
    } else {
      done_ = true;
    }
  }

  void SendOpenLoop() {
    while (planned_ <= loop_.now() && planned_ < end_) {
      Send(planned_, false);
      planned_ += NextGap();
    }
    if (planned_ >= end_) {
      done_ = true;
      StopWhenDone();
      return;
    }
    loop_.RunAfter(planned_ - loop_.now(), [this] { SendOpenLoop(); });
  }

  // Exponential gaps form a Poisson process; equal gaps avoid the queueing of random arrivals.
  Duration NextGap() {
    const double mean = 1 / (options_.rate * static_cast<double>(clients_.size()));
    if (options_.even != 0) {
      return FromSeconds(mean);
    }
    constexpr uint64_t kSteps = 1U << 30U;
    const double uniform =
        (static_cast<double>(random_.Below(kSteps)) + 1) / static_cast<double>(kSteps);
    return FromSeconds(-std::log(uniform) * mean);
  }

  void StopWhenDone() {
    if (done_ && outstanding_ == 0) {
      loop_.Stop();
    }
  }

  EventLoop& loop_;
  Options options_;
  SeededRandom random_;
  std::vector<std::unique_ptr<HttpClient>> clients_;  // the measured server, then the baseline
  std::array<Series, 2> series_;                      // by index in clients_
  TimePoint start_;
  TimePoint measure_from_;  // end of the warm-up; earlier calls are not counted
  TimePoint end_;
  TimePoint planned_;
  size_t sent_ = 0;
  size_t outstanding_ = 0;
  bool done_ = false;
};

bool IsComplete(const Options& options) {
  return options.name != nullptr && options.address != nullptr && options.method != nullptr &&
         options.path != nullptr && (options.rate > 0) != (options.connections > 0) &&
         ParseAddress(options.address) &&
         (options.baseline == nullptr || ParseAddress(options.baseline));
}

}  // namespace

int main(int argc, char** argv) {
  Options options;
  const poptOption table[] = {
      {"name", 0, POPT_ARG_STRING, &options.name, 0, "prefix of the printed names", "NAME"},
      {"address", 0, POPT_ARG_STRING, &options.address, 0, "server to measure", "ADDRESS"},
      {"baseline", 0, POPT_ARG_STRING, &options.baseline, 0,
       "server that receives every second request", "ADDRESS"},
      {"method", 0, POPT_ARG_STRING, &options.method, 0, "HTTP method", "METHOD"},
      {"path", 0, POPT_ARG_STRING, &options.path, 0, "path", "PATH"},
      {"rate", 0, POPT_ARG_DOUBLE, &options.rate, 0, "open loop: calls per second to each server",
       "N"},
      {"even", 0, POPT_ARG_NONE, &options.even, 0, "open loop with equal gaps", nullptr},
      {"connections", 0, POPT_ARG_INT, &options.connections, 0, "closed loop: connections", "N"},
      {"seconds", 0, POPT_ARG_DOUBLE, &options.seconds, 0, "duration of the measurement", "S"},
      {"warm-up", 0, POPT_ARG_DOUBLE, &options.warm_up, 0,
       "time before the measurement, not counted", "S"},
      {"new-keys", 0, POPT_ARG_NONE, &options.new_keys, 0,
       "send a new Idempotency-Key with each request", nullptr},
      {"seed", 0, POPT_ARG_INT, &options.seed, 0, "seed of gaps and keys", "N"},
      POPT_AUTOHELP{nullptr, 0, 0, nullptr, 0, nullptr, nullptr}};
  poptContext context = poptGetContext("call-load", argc, const_cast<const char**>(argv), table, 0);
  if (poptGetNextOpt(context) != -1 || !IsComplete(options)) {
    poptPrintUsage(context, stderr, 0);
    return 2;
  }
  try {
    EventLoop loop;
    LoadGenerator load(loop, options);
    load.Start();
    loop.Run();
    load.Print();
  } catch (const std::exception& error) {
    std::cerr << "call-load: " << error.what() << "\n";
    return 1;
  }
  poptFreeContext(context);
  return 0;
}
