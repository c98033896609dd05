// Measures the cost of one commit round of the log "once" with five ReplicatedLogs and LogStores on
// disk in one process. Arguments: BATCH FOLDER SEED. In each round the leader proposes BATCH
// commands, alternately a claim and a complete with a body of 200 bytes, and every replica stores
// and applies them.
#include <filesystem>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include "log_store.h"
#include "performance/benchmark_output.h"
#include "performance/process_usage.h"
#include "replicated_log.h"
#include "replicated_states.h"

namespace endivecleat::test {
namespace {

constexpr size_t kReplicas = 5;
constexpr size_t kRounds = 200;
constexpr size_t kIdleSeconds = 60;
constexpr size_t kBodyBytes = 200;
constexpr Duration kTick = std::chrono::milliseconds(20);

struct Replica {
  std::unique_ptr<LogStore> store;
  std::unique_ptr<ReplicatedLog> log;
  OnceState state;
  double processor_seconds = 0;  // CPU time
  double persist_seconds = 0;    // wall-clock seconds in Persist
  double persists = 0;
  double sent_bytes = 0;
  double sent_messages = 0;
  uint64_t applied = 0;
};

struct Message {
  size_t to;
  InstanceId from;
  std::string bytes;
};

class Measurement {
 public:
  Measurement(size_t batch, const std::filesystem::path& folder, uint64_t seed)
      : batch_(batch), seed_(seed), replicas_(kReplicas) {
    std::vector<InstanceId> members;
    for (size_t i = 0; i < kReplicas; ++i) {
      members.push_back(Id(i));
    }
    for (size_t i = 0; i < kReplicas; ++i) {
      const auto path = folder / Id(i).value();
      InitializeLog(path, members);
      replicas_[i].store = std::make_unique<LogStore>(path);
      ReplicatedLogSettings settings;
      settings.members = members;
      settings.seed = seed + i;
      replicas_[i].log =
          std::make_unique<ReplicatedLog>(Id(i), settings, replicas_[i].store->Load(), now_);
    }
  }

  void Run() {
    while (!leader_) {
      Advance(kTick);
    }
    Advance(std::chrono::seconds(1));
    Reset();
    for (size_t round = 0; round < kRounds; ++round) {
      RunRound();
    }
    Report("round", kRounds);
    Reset();
    Advance(std::chrono::seconds(kIdleSeconds));
    Report("idle_second", kIdleSeconds);
  }

 private:
  static InstanceId Id(size_t index) { return InstanceId("control-" + std::to_string(index)); }
  static size_t IndexOf(const InstanceId& id) { return std::stoul(id.value().substr(8)); }

  void Print(const std::string& name, double value, const std::string& unit) const {
    PrintMeasurement("log/" + name, value, unit, batch_, seed_);
  }

  void Report(const std::string& name, size_t count) const {
    const auto each = static_cast<double>(count);
    const Replica& leader = replicas_[*leader_];
    const Replica& follower = replicas_[*leader_ == 0 ? 1 : 0];
    const auto print = [&](const std::string& role, const Replica& replica) {
      Print(name + "/" + role + "_processor", 1e6 * replica.processor_seconds / each, "us");
      Print(name + "/" + role + "_sent_payload", replica.sent_bytes / each, "bytes");
      Print(name + "/" + role + "_sent_messages", replica.sent_messages / each, "messages");
      Print(name + "/" + role + "_syncs", replica.persists / each, "syncs");
      Print(name + "/" + role + "_store_wall", 1e6 * replica.persist_seconds / each, "us");
    };
    print("leader", leader);
    print("follower", follower);
  }

  void Reset() {
    for (Replica& replica : replicas_) {
      replica.processor_seconds = replica.persist_seconds = replica.persists = 0;
      replica.sent_bytes = replica.sent_messages = 0;
    }
  }

  void RunRound() {
    Replica& leader = replicas_[*leader_];
    now_ += std::chrono::milliseconds(1);
    MeasureProcessor(leader, [&] {
      for (size_t i = 0; i < batch_; ++i) {
        if (!leader.log->Propose(now_, NextCommand())) {
          std::cerr << "the leader lost its leadership\n";
          std::exit(1);
        }
      }
    });
    RunUntilIdle();
    for (size_t tick = 0; !AllApplied(); ++tick) {  // followers learn the commit index by heartbeat
      Advance(kTick);
    }
  }

  bool AllApplied() const {
    for (const Replica& replica : replicas_) {
      if (replica.applied < replicas_[*leader_].log->last_index().value()) {
        return false;
      }
    }
    return true;
  }

  std::string NextCommand() {
    const uint64_t number = next_ / 2;
    std::string key = std::to_string(number);
    key.insert(0, 36 - key.size(), 'k');
    LedgerCommand command{
        next_ % 2 == 0 ? LedgerCommand::kClaim : LedgerCommand::kComplete, IdempotencyKey(key),
        "daemon-portal-ayto-1.0123456789abcdef/" + std::to_string(number), std::string(32, 'd')};
    command.at = WallTime(1'700'000'000'000 + number);
    if (command.kind == LedgerCommand::kComplete) {
      command.answer = {200, "application/json", std::string(kBodyBytes, 'b')};
    }
    ++next_;
    return EncodeLedgerCommand(command);
  }

  void Advance(Duration time) {
    for (const TimePoint end = now_ + time; now_ < end;) {
      now_ += kTick;
      for (Replica& replica : replicas_) {
        MeasureProcessor(replica, [&] { replica.log->Tick(now_); });
      }
      RunUntilIdle();
    }
    for (size_t i = 0; i < kReplicas; ++i) {
      if (replicas_[i].log->role() == ReplicaRole::kLeader) {
        leader_ = i;
      }
    }
  }

  /// Processes the Ready of every replica and delivers messages until none is left.
  void RunUntilIdle() {
    for (bool work = true; work;) {
      work = false;
      for (size_t i = 0; i < kReplicas; ++i) {
        MeasureProcessor(replicas_[i], [&] { work = Flush(i) || work; });
      }
      std::vector<Message> due;
      due.swap(network_);
      for (const Message& message : due) {
        Replica& replica = replicas_[message.to];
        MeasureProcessor(replica, [&] { replica.log->Receive(now_, message.from, message.bytes); });
      }
      work = work || !due.empty();
    }
  }

  bool Flush(size_t index) {
    Replica& replica = replicas_[index];
    const Ready ready = replica.log->TakeReady();
    const bool stored = ready.hard_state || ready.snapshot || !ready.entries.empty();
    if (stored) {
      replica.persist_seconds += MeasureElapsedSeconds([&] { replica.store->Persist(ready); });
      replica.persists += 1;
    }
    for (const OutgoingMessage& out : ready.messages) {
      replica.sent_bytes += static_cast<double>(out.message.size());
      replica.sent_messages += 1;
      network_.push_back({IndexOf(out.to), Id(index), out.message});
    }
    for (const LogEntry& entry : ready.committed) {
      replica.applied = entry.index.value();
      if (entry.kind == EntryKind::kCommand) {
        replica.state.Apply(entry.payload);
      }
    }
    if (!ready.committed.empty() && replica.log->needs_compaction()) {
      replica.log->Compact(ready.committed.back().index, replica.state.Snapshot());
    }
    return stored || !ready.messages.empty() || !ready.committed.empty();
  }

  template <class Action>
  void MeasureProcessor(Replica& replica, Action action) {
    replica.processor_seconds += MeasureCpuSeconds(action);
  }

  size_t batch_;
  uint64_t seed_;
  TimePoint now_ = TimePoint{} + std::chrono::seconds(1);
  std::vector<Replica> replicas_;
  std::vector<Message> network_;
  std::optional<size_t> leader_;
  uint64_t next_ = 0;
};

}  // namespace
}  // namespace endivecleat::test

int main(int argc, char** argv) {
  if (argc != 4) {
    std::cerr << "usage: BATCH FOLDER SEED, with a folder that holds no log\n";
    return 2;
  }
  endivecleat::test::Measurement(std::stoul(argv[1]), argv[2], std::stoull(argv[3])).Run();
  return 0;
}
