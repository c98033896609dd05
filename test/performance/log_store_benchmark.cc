// Measures the latency and throughput of synced writes: LogStore::Persist with batches of 1, 16 and
// 128 entries of 400 bytes (about a claim command and its share of a complete command), and a plain
// write of one record with fdatasync. The cost is mostly that of the disk of the folder argument.
#include <fcntl.h>
#include <unistd.h>

#include <filesystem>
#include <iostream>

#include "log_store.h"
#include "performance/benchmark_output.h"

using endivecleat::EntryKind;
using endivecleat::InitializeLog;
using endivecleat::InstanceId;
using endivecleat::LogIndex;
using endivecleat::LogStore;
using endivecleat::Ready;
using endivecleat::Term;
using endivecleat::test::MeasureElapsedSeconds;
using endivecleat::test::PrintMeasurement;

namespace {

constexpr uint64_t kSeed = 1;  // part of the output; the benchmark uses no random numbers
constexpr size_t kEntryBytes = 400;
constexpr size_t kWrites = 300;

void Print(const std::string& name, std::vector<double> seconds, size_t batch) {
  std::sort(seconds.begin(), seconds.end());
  PrintMeasurement("log_store/" + name + "/p50", 1e3 * seconds[seconds.size() / 2], "ms", batch,
                   kSeed);
  PrintMeasurement("log_store/" + name + "/p99", 1e3 * seconds[seconds.size() * 99 / 100], "ms",
                   batch, kSeed);
  double sum = 0;
  for (const double each : seconds) {
    sum += each;
  }
  PrintMeasurement("log_store/" + name + "/rate", static_cast<double>(seconds.size() * batch) / sum,
                   "records/s", batch, kSeed);
}

void MeasurePersist(const std::filesystem::path& folder, size_t batch) {
  InitializeLog(folder, {InstanceId("one")});
  LogStore store(folder);
  uint64_t next = store.Load().snapshot.index.value() + 1;
  std::vector<double> seconds;
  for (size_t write = 0; write < kWrites; ++write) {
    Ready ready;
    for (size_t entry = 0; entry < batch; ++entry) {
      ready.entries.push_back(
          {LogIndex(next++), Term(1), EntryKind::kCommand, std::string(kEntryBytes, 'e')});
    }
    seconds.push_back(MeasureElapsedSeconds([&] { store.Persist(ready); }));
  }
  Print("persist", seconds, batch);
}

void MeasureSync(const std::filesystem::path& path) {
  const int file = ::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  const std::string record(kEntryBytes, 'e');
  std::vector<double> seconds;
  for (size_t write = 0; write < kWrites; ++write) {
    bool written = false;
    seconds.push_back(MeasureElapsedSeconds([&] {
      written =
          ::write(file, record.data(), record.size()) == static_cast<ssize_t>(record.size()) &&
          ::fdatasync(file) == 0;
    }));
    if (!written) {
      throw std::runtime_error("cannot write " + path.string());
    }
  }
  ::close(file);
  Print("fdatasync", seconds, 1);
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 2) {
    std::cerr << "usage: log_store_benchmark FOLDER\n";
    return 2;
  }
  const std::filesystem::path folder(argv[1]);
  try {
    std::filesystem::create_directories(folder);
    MeasureSync(folder / "records");
    for (const size_t batch : {1, 16, 128}) {
      MeasurePersist(folder / std::to_string(batch), batch);
    }
  } catch (const std::exception& error) {
    std::cerr << "log_store_benchmark: " << error.what() << "\n";
    return 1;
  }
  return 0;
}
