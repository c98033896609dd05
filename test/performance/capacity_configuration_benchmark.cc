// Measures memory, processor time and transfer sizes of configuration processing for SERVICES
// services in each of three presets. Arguments: `SERVICES SEED`. Uses the production ConfigStore,
// ConfigSource and ConfigReplica; the replica compiles each version that it installs. Each process
// measures a single size, so that memory of another size does not distort its resident set.
#include <array>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include "config_replica.h"
#include "config_store.h"
#include "configuration.h"
#include "document_maker.h"
#include "performance/benchmark_output.h"
#include "performance/process_usage.h"
#include "transfer_codec.h"

namespace endivecleat::test {
namespace {

constexpr int kIterations = 20;
constexpr size_t kVersions = 64;                // versions that ConfigStore and ConfigSource retain
constexpr size_t kRetainedOperations = 10'000;  // operations that ConfigStore retains
constexpr size_t kLookups = 100'000;
constexpr size_t kPeerCount = 259;
const InstanceId kControl("control-cant-a1");
const InstanceId kDaemon("daemon-portal-ayto-1");

// Runs all measurements for one document size and prints the results.
class Measurement {
 public:
  Measurement(size_t services, uint64_t seed)
      : services_(services), seed_(seed), document_(LargeDocument(services, seed)) {}

  void Run() {
    MeasureResidentMemory("store", [this] { ApplyChanges(); });
    MeasureStore();
    MeasureTransfers();
    MeasureResidentMemory("replica", [this] { InstallVersions(); });
    Print("change/replica_processor", 1e6 * replica_seconds_ / kVersions, "us");
    Print("change/source_processor", 1e6 * source_seconds_ / kVersions, "us");
    Print("change/replica_sent_payload", replica_bytes_ / kVersions, "bytes");
    Print("change/replica_sent_frames", replica_frames_ / kVersions, "frames");
    Print("change/source_sent_payload", source_bytes_ / kVersions, "bytes");
    Print("change/source_sent_frames", source_frames_ / kVersions, "frames");
    MeasureLookups();
  }

 private:
  void Print(const std::string& name, double value, const std::string& unit) const {
    PrintMeasurement("configuration/" + name, value, unit, services_, seed_);
  }

  /// Runs `action` and prints by how much it increases the resident memory.
  template <class Action>
  void MeasureResidentMemory(const std::string& name, Action action) const {
    const double before = ResidentBytes();
    action();
    Print(name + "_resident", ResidentBytes() - before, "bytes");
  }

  /// Average processor time of one call of `action`, in microseconds.
  template <class Action>
  static double AverageMicroseconds(Action action) {
    const double seconds = MeasureCpuSeconds([&] {
      for (int round = 0; round < kIterations; ++round) {
        action();
      }
    });
    return 1e6 * seconds / kIterations;
  }

  /// Returns a document that differs from other versions in one field of one service.
  std::string DocumentAt(size_t version) {
    document_["presets"]["peak"]["services"]["service-5"]["slots"] = 1 + version % 90;
    return document_.dump();
  }

  Change MakeChange(size_t version) {
    return {.operation = OperationId("operation-" + std::to_string(version)),
            .base = store_.version(),
            .payload = SubmitDocument{MakeDelta(store_.text(), DocumentAt(version))},
            .author = "operator",
            .at = WallTime(1'700'000'000'000 + version)};
  }

  void ApplyChanges() {
    for (size_t version = 1; version <= kVersions; ++version) {
      const Change change = MakeChange(version);
      change_bytes_ = static_cast<double>(EncodeChange(change).size());
      apply_seconds_ += MeasureCpuSeconds([&] { store_.Apply(change); });
    }
    // These changes are rejected, because their base version is outdated.
    for (size_t number = 0; number < kRetainedOperations; ++number) {
      store_.Apply({.operation = OperationId("refused-" + std::to_string(number)),
                    .base = ConfigVersion(1),
                    .payload = SwitchPreset{PresetName("peak")},
                    .author = "operator",
                    .at = WallTime(1'700'000'000'000)});
    }
  }

  void MeasureStore() {
    if (store_.version() != ConfigVersion(kVersions)) {
      std::cerr << "the store rejected a change\n";
      std::exit(1);
    }
    Print("text", static_cast<double>(store_.text().size()), "bytes");
    Print("change_entry", change_bytes_, "bytes");
    Print("store_apply", 1e6 * apply_seconds_ / kVersions, "us");
    std::string snapshot;
    Print("store_snapshot_processor", AverageMicroseconds([&] { snapshot = store_.Snapshot(); }),
          "us");
    Print("store_snapshot", static_cast<double>(snapshot.size()), "bytes");
  }

  ConfigTextPtr MakeText(ConfigVersion version) const {
    const std::string& text = *store_.TextAt(version);
    return std::make_shared<const ConfigText>(ConfigText{version, TextDigest(text), text});
  }

  void MeasureTransfers() {
    const TransferCodec codec = MakeTransferCodec();
    const ConfigTextPtr base = MakeText(ConfigVersion(kVersions - 1));
    const ConfigTextPtr next = MakeText(ConfigVersion(kVersions));
    EncodedTransfer delta;
    EncodedTransfer whole;
    Print("encode_change", AverageMicroseconds([&] { delta = codec.encode(base.get(), *next); }),
          "us");
    Print("encode_whole", AverageMicroseconds([&] { whole = codec.encode(nullptr, *next); }), "us");
    Print("decode_change",
          AverageMicroseconds([&] { codec.decode(delta.kind, base.get(), delta.bytes); }), "us");
    Print("transfer_change", static_cast<double>(delta.bytes.size()), "bytes");
    Print("transfer_whole", static_cast<double>(whole.bytes.size()), "bytes");
    Print("compile", AverageMicroseconds([&] { CompileStored(next->text, next->version); }), "us");
    Print("digest", AverageMicroseconds([&] { TextDigest(next->text); }), "us");
  }

  void InstallVersions() {
    ConfigReplicaSettings settings;
    settings.local_controls = {kControl};
    replica_ = std::make_unique<ConfigReplica>(
        kDaemon, settings, MakeTransferCodec(),
        [this](ConfigVersion version, const std::string& text) {
          compiled_ = CompileStored(text, version);
          return true;
        },
        seed_, now_);
    source_ = std::make_unique<ConfigSource>(ConfigSourceSettings{}, MakeTransferCodec(), seed_);
    TickUntilInstalled(ConfigVersion());
    replica_seconds_ = source_seconds_ = 0;
    replica_bytes_ = source_bytes_ = replica_frames_ = source_frames_ = 0;
    for (size_t version = 1; version <= kVersions; ++version) {
      const ConfigTextPtr text = MakeText(ConfigVersion(version));
      std::vector<PeerMessage> out;
      source_seconds_ += MeasureCpuSeconds([&] { out = source_->Publish(now_, text, {kDaemon}); });
      DeliverFromSource(out);
      TickUntilInstalled(text->version);
    }
  }

  /// Ticks until the replica has installed the version. With version 0, lets the replica make
  /// contact with the source and gives it a list of peers.
  void TickUntilInstalled(ConfigVersion version) {
    std::vector<PeerVersion> peers;
    for (size_t peer = 0; peer < kPeerCount; ++peer) {
      peers.push_back({InstanceId("daemon-" + std::to_string(1000 + peer)), version, ""});
    }
    for (int tick = 0; tick < 40; ++tick) {
      now_ += std::chrono::milliseconds(100);
      const ConfigTextPtr held = replica_->in_force();
      if (version.value() > 0 && held && held->version >= version) {
        return;
      }
      std::vector<PeerMessage> out;
      out = replica_->Tick(now_, {});
      DeliverFromReplica(out);
    }
    if (version.value() > 0) {
      std::cerr << "the replica did not install version " << version.value() << '\n';
      std::exit(1);
    }
    replica_->Tick(now_, peers);  // makes the replica send its notices to three of the peers
  }

  void DeliverFromSource(const std::vector<PeerMessage>& messages) {
    for (const PeerMessage& sent : messages) {
      source_bytes_ += static_cast<double>(EncodeConfigMessage(sent.message).size());
      source_frames_ += 1;
      std::vector<PeerMessage> out;
      replica_seconds_ +=
          MeasureCpuSeconds([&] { out = replica_->Receive(now_, kControl, sent.message); });
      DeliverFromReplica(out);
    }
  }

  void DeliverFromReplica(const std::vector<PeerMessage>& messages) {
    for (const PeerMessage& sent : messages) {
      replica_bytes_ += static_cast<double>(EncodeConfigMessage(sent.message).size());
      replica_frames_ += 1;
      if (sent.to != kControl) {
        continue;
      }
      std::vector<PeerMessage> out;
      source_seconds_ +=
          MeasureCpuSeconds([&] { out = source_->Receive(now_, kDaemon, sent.message); });
      DeliverFromSource(out);
    }
  }

  void MeasureLookups() {
    size_t found = 0;
    const double seconds = MeasureCpuSeconds([&] {
      for (size_t i = 0; i < kLookups; ++i) {
        const std::string path = "/service-" + std::to_string(i % services_) + "/bins/17";
        found += compiled_->FindRoute("GET", "", path) != nullptr ? 1 : 0;
      }
    });
    Print("find_route", 1e9 * seconds / kLookups, "ns");
    if (found == 0) {
      std::cerr << "no route was found\n";
    }
  }

  size_t services_;
  uint64_t seed_;
  nlohmann::json document_;
  ConfigStore store_;
  double change_bytes_ = 0;
  double apply_seconds_ = 0;
  TimePoint now_ = TimePoint{} + std::chrono::seconds(1);
  std::unique_ptr<ConfigReplica> replica_;
  std::unique_ptr<ConfigSource> source_;
  std::shared_ptr<const CompiledConfiguration> compiled_;
  double replica_seconds_ = 0;
  double source_seconds_ = 0;
  double replica_bytes_ = 0;
  double source_bytes_ = 0;
  double replica_frames_ = 0;
  double source_frames_ = 0;
};

}  // namespace
}  // namespace endivecleat::test

int main(int argc, char** argv) {
  if (argc != 3) {
    std::cerr << "usage: SERVICES SEED\n";
    return 2;
  }
  endivecleat::test::Measurement(std::stoul(argv[1]), std::stoull(argv[2])).Run();
  return 0;
}
