// Measures the load that failures cause, with arguments `SIZE SEED`: a rack failure (15 % of the
// members of a data centre crash together; 0.5 ms one-way delay), and SIZE daemons that restart
// together and all fetch a configuration of 140 services from one ConfigSource. Runs in virtual
// time; the CPU time is that of the simulated objects.
#include <algorithm>
#include <iostream>
#include <map>
#include <string>
#include <vector>

#include "config_source.h"
#include "configuration.h"
#include "document_maker.h"
#include "membership_cluster.h"
#include "performance/benchmark_output.h"
#include "performance/process_usage.h"
#include "transfer_codec.h"

namespace endivecleat::test {
namespace {

constexpr size_t kServices = 140;
constexpr size_t kRackPercent = 15;
constexpr Duration kOneWayDelay = std::chrono::microseconds(500);
constexpr Duration kTimeLimit = std::chrono::seconds(60);
constexpr Duration kStartJitter = std::chrono::seconds(2);
constexpr size_t kFrameOverhead = 96;  // frame, sender, WebSocket, TCP with timestamps and IPv4

double Seconds(Duration time) { return std::chrono::duration<double>(time).count(); }

class RackFailure {
 public:
  RackFailure(size_t size, uint64_t seed)
      : size_(size),
        seed_(seed),
        crashed_(size * kRackPercent / 100),
        cluster_(size, 1, seed, {.min_delay = kOneWayDelay, .max_delay = kOneWayDelay}) {}

  void Run() {
    cluster_.Run(std::chrono::seconds(30));
    const uint64_t before = TotalBytesSent();
    cluster_.Run(std::chrono::seconds(10));
    const double survivors = static_cast<double>(size_ - crashed_);
    Print("quiet_sent",
          static_cast<double>(TotalBytesSent() - before) / 10 / static_cast<double>(size_),
          "bytes/s per member");
    const TimePoint start = cluster_.now();
    const uint64_t sent = TotalBytesSent();
    const double processor = ThreadCpuSeconds();
    for (size_t i = size_ - crashed_; i < size_; ++i) {
      cluster_.Crash(i);
    }
    while (!CrashedRemovedEverywhere() && cluster_.now() - start < kTimeLimit) {
      cluster_.Run(std::chrono::milliseconds(200));
    }
    const double seconds = Seconds(cluster_.now() - start);
    Print("removed_everywhere", seconds, "s");
    Print("sent", static_cast<double>(TotalBytesSent() - sent) / seconds / survivors,
          "bytes/s per member");
    Print("processor_with_network", 1e6 * (ThreadCpuSeconds() - processor) / seconds / survivors,
          "us/s per member");
  }

 private:
  void Print(const std::string& name, double value, const std::string& unit) const {
    PrintMeasurement("rack/" + name, value, unit, size_, seed_);
  }

  uint64_t TotalBytesSent() {
    uint64_t sent = 0;
    for (size_t i = 0; i < size_; ++i) {
      sent += cluster_.node(i).traffic.sent;
    }
    return sent;
  }

  bool CrashedRemovedEverywhere() {
    for (size_t i = 0; i < size_ - crashed_; ++i) {
      if (cluster_.at(i).members().size() > size_ - crashed_) {
        return false;
      }
    }
    return true;
  }

  size_t size_;
  uint64_t seed_;
  size_t crashed_;
  MembershipCluster cluster_;
};

class MassRestart {
 public:
  MassRestart(size_t size, uint64_t seed)
      : size_(size), seed_(seed), random_(seed), source_({}, MakeTransferCodec(), seed) {}

  void Run() {
    const auto text = std::make_shared<const ConfigText>(MakeText());
    source_.Store(now_, text);
    for (size_t i = 0; i < size_; ++i) {
      pulls_due_.emplace(now_ + Duration(static_cast<int64_t>(random_.Below(kStartJitter.count()))),
                         i);
    }
    const TimePoint start = now_;
    while (served_ < size_ && now_ - start < kTimeLimit) {
      now_ += kOneWayDelay;
      RunMeasured([this] { return source_.Tick(now_); });
      TakeDue();
    }
    Print("all_served", Seconds(now_ - start), "s");
    Print("served", static_cast<double>(served_), "daemons");
    Print("busy_answers", static_cast<double>(busy_answers_), "answers");
    Print("source_sent", bytes_, "bytes");
    Print("source_processor", 1e6 * processor_, "us");
  }

 private:
  void Print(const std::string& name, double value, const std::string& unit) const {
    PrintMeasurement("restart/" + name, value, unit, size_, seed_);
  }

  ConfigText MakeText() const {
    const std::string text = LargeDocument(kServices, seed_).dump();
    return {ConfigVersion(1), TextDigest(text), text};
  }

  static InstanceId Id(size_t index) { return InstanceId(std::to_string(index)); }

  void TakeDue() {
    while (!pulls_due_.empty() && pulls_due_.begin()->first <= now_) {
      const size_t daemon = pulls_due_.begin()->second;
      pulls_due_.erase(pulls_due_.begin());
      RunMeasured([&] { return source_.Receive(now_, Id(daemon), {ConfigMessage::Kind::kPull}); });
    }
    while (!acknowledgements_.empty() && acknowledgements_.begin()->first <= now_) {
      const size_t daemon = acknowledgements_.begin()->second;
      acknowledgements_.erase(acknowledgements_.begin());
      ConfigMessage notice = source_.MakeNotice();
      RunMeasured([&] { return source_.Receive(now_, Id(daemon), notice); });
    }
  }

  template <class Action>
  void RunMeasured(Action action) {
    const double start = ThreadCpuSeconds();
    const std::vector<PeerMessage> out = action();
    const double used = ThreadCpuSeconds() - start;
    processor_ += used;
    // The source creates its transfers sequentially, so virtual time advances by the CPU time.
    now_ += Duration(static_cast<int64_t>(used * 1e6));
    for (const PeerMessage& sent : out) {
      bytes_ += static_cast<double>(EncodeConfigMessage(sent.message).size() + kFrameOverhead);
      const size_t daemon = std::stoul(sent.to.value());
      if (sent.message.kind == ConfigMessage::Kind::kTransfer) {
        ++served_;
        acknowledgements_.emplace(now_ + 2 * kOneWayDelay + kInstallTime, daemon);
      } else if (sent.message.kind == ConfigMessage::Kind::kBusy) {
        ++busy_answers_;
        pulls_due_.emplace(now_ + 2 * kOneWayDelay + sent.message.retry_after, daemon);
      }
    }
  }

  static constexpr Duration kInstallTime = std::chrono::milliseconds(6);  // configuration compile

  size_t size_;
  uint64_t seed_;
  SeededRandom random_;
  ConfigSource source_;
  TimePoint now_ = TimePoint{} + std::chrono::seconds(1);
  std::multimap<TimePoint, size_t> pulls_due_;
  std::multimap<TimePoint, size_t> acknowledgements_;
  size_t served_ = 0;
  size_t busy_answers_ = 0;
  double bytes_ = 0;
  double processor_ = 0;
};

}  // namespace
}  // namespace endivecleat::test

int main(int argc, char** argv) {
  if (argc != 3) {
    std::cerr << "usage: capacity_failure_benchmark SIZE SEED\n";
    return 2;
  }
  endivecleat::test::RackFailure(std::stoul(argv[1]), std::stoull(argv[2])).Run();
  endivecleat::test::MassRestart(std::stoul(argv[1]), std::stoull(argv[2])).Run();
  return 0;
}
