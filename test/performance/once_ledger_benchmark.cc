// Measures the throughput of OnceLedger::Apply and the bytes per record in memory and in a
// snapshot, for 1,000, 10,000 and 100,000 records. Each record gets a claim, a complete with a body
// of 200 bytes, and a repeated claim.
#include <malloc.h>

#include "once_ledger.h"
#include "performance/benchmark_output.h"

using endivecleat::IdempotencyKey;
using endivecleat::LedgerCommand;
using endivecleat::OnceLedger;
using endivecleat::WallTime;
using endivecleat::test::MeasureElapsedSeconds;
using endivecleat::test::PrintMeasurement;

namespace {

constexpr uint64_t kSeed = 1;  // printed only; the input is not random
constexpr size_t kBodyBytes = 200;

std::vector<LedgerCommand> MakeCommands(LedgerCommand::Kind kind, size_t records) {
  const std::string digest(32, 'd');
  std::vector<LedgerCommand> commands;
  commands.reserve(records);
  for (size_t number = 0; number < records; ++number) {
    // Keys have the length of a UUID, which callers typically use.
    std::string key = std::to_string(number);
    key.insert(0, 36 - key.size(), 'k');
    LedgerCommand command{kind, IdempotencyKey(key), "cant-a-17/5/" + std::to_string(number),
                          digest};
    command.at = WallTime(1'700'000'000'000 + number);
    if (kind == LedgerCommand::kComplete) {
      command.answer = {200, "application/json", std::string(kBodyBytes, 'b')};
    }
    commands.push_back(std::move(command));
  }
  return commands;
}

size_t AllocatedBytes() {
  const struct mallinfo2 info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

void Measure(size_t records) {
  const auto print = [&](const std::string& name, double value, const char* unit) {
    PrintMeasurement("once_ledger/" + name, value, unit, records, kSeed);
  };
  const auto claims = MakeCommands(LedgerCommand::kClaim, records);
  const auto completes = MakeCommands(LedgerCommand::kComplete, records);
  const size_t before = AllocatedBytes();
  OnceLedger ledger;
  const auto apply_all = [&](const std::vector<LedgerCommand>& commands) {
    const double seconds = MeasureElapsedSeconds([&] {
      for (const LedgerCommand& command : commands) {
        ledger.Apply(command);
      }
    });
    return static_cast<double>(records) / seconds;
  };
  print("claim", apply_all(claims), "commands/s");
  print("complete", apply_all(completes), "commands/s");
  const double count = static_cast<double>(records);
  print("memory", static_cast<double>(AllocatedBytes() - before) / count, "bytes/record");
  print("resent_claim", apply_all(claims), "commands/s");
  std::string snapshot;
  print("make_snapshot", 1e6 * MeasureElapsedSeconds([&] { snapshot = ledger.Snapshot(); }), "us");
  print("snapshot", static_cast<double>(snapshot.size()) / count, "bytes/record");
  print("restore", 1e6 * MeasureElapsedSeconds([&] { OnceLedger::Restore(snapshot); }), "us");
  print("encoded_claim", static_cast<double>(EncodeLedgerCommand(claims.back()).size()), "bytes");
}

}  // namespace

int main() {
  for (const size_t records : {1'000, 10'000, 100'000}) {
    Measure(records);
  }
}
