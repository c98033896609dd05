// Measures the convergence of a change, the steady-state traffic and the recovery from a restart of
// all daemons in one data centre. Memberships and replicas are real; they run in virtual time over
// a FakeNetwork with a one-way delay of 0.5 ms. The test codec does not compress full texts, and
// processor time includes the simulation.
#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <memory>
#include <string>
#include <vector>

#include "config_mesh.h"
#include "config_replica.h"
#include "membership_cluster.h"

namespace endivecleat::test {
namespace {

constexpr Duration kStep = std::chrono::microseconds(500);
constexpr Duration kSteadyTime = std::chrono::seconds(20);
constexpr Duration kMaxConvergenceTime = std::chrono::seconds(60);
constexpr uint64_t kFrameOverhead = 46;  // WebSocket, TCP and IPv4 headers
constexpr size_t kTextBytes = 20'000;
constexpr int kChanges = 10;

struct SimulatedProcess {
  std::unique_ptr<ConfigReplica> replica;  // null in the control instance
  TimePoint next_tick;
  TimePoint installed_at;
  uint64_t bytes = 0;  // sent by the distribution, with frame overhead
};

class SimulatedDataCentre {
 public:
  SimulatedDataCentre(size_t daemons, uint64_t seed)
      : seed_(seed),
        random_(seed),
        faults_{.min_delay = kStep, .max_delay = kStep},
        cluster_(daemons + 1, 1, random_.Next(), faults_),
        network_(random_.Next(), faults_),
        processes_(daemons + 1),
        source_({}, PrefixCodec(), random_.Next()) {
    for (size_t i = 1; i < processes_.size(); ++i) {
      StartReplica(i);
    }
  }

  void Measure() {
    Publish();
    RunUntilInstalled();
    Run(std::chrono::seconds(10));
    MeasureChanges();
    MeasureSteady();
    MeasureMassRestart();
  }

 private:
  void Print(const std::string& name, double value, const char* unit) const {
    std::printf("{\"name\":\"%s\",\"value\":%.1f,\"unit\":\"%s\",\"n\":%zu,\"seed\":%llu}\n",
                name.c_str(), value, unit, daemons(), static_cast<unsigned long long>(seed_));
  }

  void MeasureChanges() {
    std::vector<double> delays_ms;
    const uint64_t before = Bytes();
    for (int change = 0; change < kChanges; ++change) {
      const TimePoint start = cluster_.now();
      Publish();
      RunUntilInstalled();
      for (size_t i = 1; i < processes_.size(); ++i) {
        delays_ms.push_back(Milliseconds(processes_[i].installed_at - start));
      }
      Run(std::chrono::seconds(2));
    }
    std::sort(delays_ms.begin(), delays_ms.end());
    const double bytes = static_cast<double>(Bytes() - before) / kChanges;
    const auto count = static_cast<double>(daemons());
    Print("change_convergence_median", delays_ms[delays_ms.size() / 2], "ms");
    Print("change_convergence_worst", delays_ms.back(), "ms");
    Print("change_bytes", bytes, "bytes");
    Print("change_bytes_per_daemon", bytes / count, "bytes");
    const auto frame = static_cast<double>(text_.size() + kFrameOverhead);
    Print("full_resend_convergence", Milliseconds(kStep), "ms");
    Print("full_resend_bytes", frame * count, "bytes");
    Print("full_resend_bytes_per_daemon", frame, "bytes");
  }

  void MeasureSteady() {
    const Traffic before = TotalTraffic();
    const uint64_t bytes_before = Bytes();
    const std::clock_t processor_start = std::clock();
    for (int second = 0; second < kSteadyTime / std::chrono::seconds(1); ++second) {
      ChangeLoads();
      Run(std::chrono::seconds(1));
    }
    const double processor_seconds =
        static_cast<double>(std::clock() - processor_start) / CLOCKS_PER_SEC;
    const double member_seconds =
        static_cast<double>(processes_.size()) * Milliseconds(kSteadyTime) / 1000;
    const Traffic after = TotalTraffic();
    const auto config = static_cast<double>(Bytes() - bytes_before);
    Print("steady_sent", (static_cast<double>(after.sent - before.sent) + config) / member_seconds,
          "bytes/s per member");
    Print("steady_received",
          (static_cast<double>(after.received - before.received) + config) / member_seconds,
          "bytes/s per member");
    Print("steady_processor", processor_seconds * 1e6 / member_seconds, "us/s per member");
  }

  /// Restarts all daemons at once without their state; the control instance keeps running.
  void MeasureMassRestart() {
    const Traffic traffic = TotalTraffic();
    const uint64_t bytes_before = Bytes();
    const std::clock_t processor_start = std::clock();
    const TimePoint start = cluster_.now();
    for (size_t i = 1; i < processes_.size(); ++i) {
      cluster_.Start(i);
      StartReplica(i);
    }
    RunUntilInstalled();
    std::vector<double> delays_ms;
    for (size_t i = 1; i < processes_.size(); ++i) {
      delays_ms.push_back(Milliseconds(processes_[i].installed_at - start));
    }
    std::sort(delays_ms.begin(), delays_ms.end());
    Print("herd_convergence_median", delays_ms[delays_ms.size() / 2], "ms");
    Print("herd_convergence_worst", delays_ms.back(), "ms");
    while (!cluster_.AllListsComplete() && cluster_.now() - start < kMaxConvergenceTime) {
      Run(std::chrono::milliseconds(100));
    }
    const double processor_seconds =
        static_cast<double>(std::clock() - processor_start) / CLOCKS_PER_SEC;
    const double seconds = Milliseconds(cluster_.now() - start) / 1000;
    const auto count = static_cast<double>(daemons());
    Print("herd_membership_complete", seconds * 1000, "ms");
    Print("herd_config_bytes_per_daemon", static_cast<double>(Bytes() - bytes_before) / count,
          "bytes");
    Print("herd_datagram_bytes_per_daemon",
          static_cast<double>(TotalTraffic().sent - traffic.sent) / count, "bytes");
    Print("herd_processor", processor_seconds * 1e6 / count / seconds, "us/s per daemon");
  }

  static double Milliseconds(Duration time) { return static_cast<double>(time.count()) / 1000; }
  size_t daemons() const { return processes_.size() - 1; }

  void StartReplica(size_t index) {
    ConfigReplicaSettings settings;
    settings.data_centre = DataCentreId("cant-a");
    settings.local_controls = {MembershipCluster::Id(0)};
    SimulatedProcess& process = processes_[index];
    const auto install = [this, index](ConfigVersion, const std::string&) {
      processes_[index].installed_at = cluster_.now();
      return true;
    };
    network_.DropMessagesTo(MembershipCluster::Id(index));
    process.replica =
        std::make_unique<ConfigReplica>(MembershipCluster::Id(index), settings, PrefixCodec(),
                                        install, random_.Next(), cluster_.now());
    process.next_tick = cluster_.now() + Duration(random_.Below(100'000));
  }

  void Publish() {
    ++version_;
    text_ = std::string(kTextBytes, 'x') + "; version " + std::to_string(version_);
    std::vector<InstanceId> peers;
    for (const PeerVersion& peer : cluster_.at(0).peer_versions()) {
      peers.push_back(peer.instance);
    }
    Send(0, source_.Publish(cluster_.now(),
                            std::make_shared<const ConfigText>(
                                ConfigText{ConfigVersion(version_), Fnv1aDigest(text_), text_}),
                            peers));
    AnnounceVersion(0, source_.newest());
  }

  void AnnounceVersion(size_t index, const ConfigTextPtr& text) {
    if (text && cluster_.at(index).self().config_version != text->version) {
      MemberRecord self = cluster_.at(index).self();
      self.config_version = text->version;
      self.config_digest = text->digest;
      cluster_.at(index).UpdateSelf(cluster_.now(), self);
    }
  }

  void ChangeLoads() {
    for (size_t i = 1; i < processes_.size(); ++i) {
      MemberRecord self = cluster_.at(i).self();
      self.free_slots = static_cast<uint32_t>(random_.Below(10));
      cluster_.at(i).UpdateSelf(cluster_.now(), self);
    }
  }

  void Send(size_t from, const std::vector<PeerMessage>& messages) {
    for (const PeerMessage& message : messages) {
      processes_[from].bytes += EncodeConfigMessage(message.message).size() + kFrameOverhead;
      network_.Send(cluster_.now(), MembershipCluster::Id(from), message.to, message.message);
    }
  }

  void Step() {
    cluster_.Step(kStep);
    const TimePoint now = cluster_.now();
    for (const auto& delivery : network_.TakeDue(now)) {
      const size_t to = MembershipCluster::IndexOf(delivery.to);
      Send(to, to == 0 ? source_.Receive(now, delivery.from, delivery.message)
                       : processes_[to].replica->Receive(now, delivery.from, delivery.message));
      if (to != 0) {
        AnnounceVersion(to, processes_[to].replica->in_force());
      }
    }
    for (size_t i = 0; i < processes_.size(); ++i) {
      if (processes_[i].next_tick <= now) {
        processes_[i].next_tick = now + kTickInterval;
        Send(i, i == 0 ? source_.Tick(now)
                       : processes_[i].replica->Tick(now, cluster_.at(i).peer_versions()));
      }
    }
  }
  void Run(Duration time) {
    for (const TimePoint end = cluster_.now() + time; cluster_.now() < end;) {
      Step();
    }
  }
  void RunUntilInstalled() {
    const TimePoint end = cluster_.now() + kMaxConvergenceTime;
    while (!AllInstalled()) {
      Step();
      if (cluster_.now() > end) {
        std::fprintf(stderr, "no convergence within a minute of virtual time\n");
        std::exit(1);
      }
    }
  }
  bool AllInstalled() const {
    return std::all_of(processes_.begin() + 1, processes_.end(),
                       [this](const SimulatedProcess& process) {
                         const ConfigTextPtr text = process.replica->in_force();
                         return text && text->version.value() == version_;
                       });
  }
  uint64_t Bytes() const {
    uint64_t bytes = 0;
    for (const SimulatedProcess& process : processes_) {
      bytes += process.bytes;
    }
    return bytes;
  }
  Traffic TotalTraffic() {
    Traffic total;
    for (size_t i = 0; i < cluster_.size(); ++i) {
      total.sent += cluster_.node(i).traffic.sent;
      total.received += cluster_.node(i).traffic.received;
    }
    return total;
  }

  uint64_t seed_;
  SeededRandom random_;
  NetworkFaults faults_;
  MembershipCluster cluster_;
  FakeNetwork<ConfigMessage> network_;
  std::vector<SimulatedProcess> processes_;
  ConfigSource source_;
  uint64_t version_ = 0;
  std::string text_;
};

}  // namespace
}  // namespace endivecleat::test

int main(int argc, char** argv) {
  const uint64_t seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
  for (const size_t daemons : {20, 65, 130, 260}) {
    endivecleat::test::SimulatedDataCentre(daemons, seed).Measure();
  }
  return 0;
}
