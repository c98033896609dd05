// Measures processor time and memory of the at-most-once records. With arguments `RECORDS FOLDER
// SEED` it fills one OnceState, takes a snapshot, writes it with LogStore and restores it, as a
// control instance does on its event loop. Each record gets a claim and a complete with a body of
// 200 bytes.
#include <sys/resource.h>

#include <filesystem>
#include <iostream>
#include <string>

#include "log_store.h"
#include "performance/benchmark_output.h"
#include "performance/process_usage.h"
#include "replicated_states.h"
#include "seeded_random.h"

namespace endivecleat::test {
namespace {

constexpr size_t kBodyBytes = 200;

/// A random key with the length of a UUID, which callers typically use.
IdempotencyKey RandomKey(SeededRandom* random) {
  std::string key;
  while (key.size() < 36) {
    key.push_back("0123456789abcdef"[random->Below(16)]);
  }
  return IdempotencyKey(key);
}

LedgerCommand MakeCommand(LedgerCommand::Kind kind, const IdempotencyKey& key, size_t number) {
  LedgerCommand command{kind, key,
                        "daemon-portal-ayto-1.0123456789abcdef/" + std::to_string(number),
                        std::string(32, 'd')};
  command.at = WallTime(1'700'000'000'000 + number);
  if (kind == LedgerCommand::kComplete) {
    command.answer = {200, "application/json", std::string(kBodyBytes, 'b')};
  }
  return command;
}

double PeakBytes() {
  struct rusage usage {};
  getrusage(RUSAGE_SELF, &usage);
  return static_cast<double>(usage.ru_maxrss) * 1024;
}

class Measurement {
 public:
  Measurement(size_t records, std::filesystem::path folder, uint64_t seed)
      : records_(records), folder_(std::move(folder)), seed_(seed), random_(seed) {}

  void Run() {
    const double resident_before = ResidentBytes();
    double seconds = 0;
    for (size_t number = 0; number < records_; ++number) {
      seconds += AddRecord(number);
    }
    Print("apply", 1e6 * seconds / static_cast<double>(records_), "us/confirmation");
    Print("records", static_cast<double>(state_.ledger.record_count()), "records");
    Print("resident", ResidentBytes() - resident_before, "bytes");
    Print("log_payload", payload_bytes_ / static_cast<double>(records_), "bytes/confirmation");
    MeasureSnapshot();
    Print("peak_resident", PeakBytes() - resident_before, "bytes");
  }

 private:
  void Print(const std::string& name, double value, const std::string& unit) const {
    PrintMeasurement("ledger/" + name, value, unit, records_, seed_);
  }

  double AddRecord(size_t number) {
    const IdempotencyKey key = RandomKey(&random_);
    const std::string claim = EncodeLedgerCommand(MakeCommand(LedgerCommand::kClaim, key, number));
    const std::string complete =
        EncodeLedgerCommand(MakeCommand(LedgerCommand::kComplete, key, number));
    payload_bytes_ += static_cast<double>(claim.size() + complete.size());
    return MeasureCpuSeconds([&] {
      state_.Apply(claim);
      state_.Apply(complete);
    });
  }

  void MeasureSnapshot() {
    InitializeLog(folder_, {InstanceId("control-cant-a1")});
    LogStore store(folder_);
    store.Load();
    Ready ready;
    ready.snapshot = LogSnapshot{
        LogIndex(2 * records_), Term(1), {{InstanceId("control-cant-a1"), Incarnation(0)}}, ""};
    Print("snapshot_processor",
          1e3 * MeasureCpuSeconds([&] { ready.snapshot->state = state_.Snapshot(); }), "ms");
    Print("snapshot", static_cast<double>(ready.snapshot->state.size()), "bytes");
    double processor = 0;
    const double wall = MeasureElapsedSeconds(
        [&] { processor = MeasureCpuSeconds([&] { store.Persist(ready); }); });
    Print("persist_processor", 1e3 * processor, "ms");
    Print("persist_wall", 1e3 * wall, "ms");
    Print("restore_processor",
          1e3 * MeasureCpuSeconds([&] { OnceState::Restore(ready.snapshot->state); }), "ms");
  }

  size_t records_;
  std::filesystem::path folder_;
  uint64_t seed_;
  SeededRandom random_;
  OnceState state_;
  double payload_bytes_ = 0;
};

}  // namespace
}  // namespace endivecleat::test

int main(int argc, char** argv) {
  if (argc != 4) {
    std::cerr << "usage: RECORDS FOLDER SEED (FOLDER must not contain a log)\n";
    return 2;
  }
  endivecleat::test::Measurement(std::stoul(argv[1]), argv[2], std::stoull(argv[3])).Run();
  return 0;
}
