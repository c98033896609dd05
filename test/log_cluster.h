// Deterministic simulation of a cluster of ReplicatedLogs: a fake network, crashes and disk losses,
// a register as the state machine, and invariant checks after every event (log_cluster_checks.cc).
// The first violation is recorded in failure().
#ifndef ENDIVECLEAT_TEST_LOG_CLUSTER_H_
#define ENDIVECLEAT_TEST_LOG_CLUSTER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "fake_network.h"
#include "linearizability.h"
#include "replicated_log.h"

namespace endivecleat::test {

constexpr Duration kStep = std::chrono::milliseconds(20);

/// State machine with one compare-and-set register. A command is "id expected desired"; a command
/// whose id was applied before has no effect.
struct RegisterStateMachine {
  int64_t value = 0;
  std::map<std::string, int64_t> results;  // by operation id: 1 if it set the value, else 0
  LogIndex applied{1};
  uint64_t history_hash = 0;  // hash of all applied entries; the same on every replica at an index

  void Apply(const LogEntry& entry);
  std::string Snapshot() const;
  static RegisterStateMachine Restore(const LogSnapshot& snapshot);
};

/// One simulated instance, with the state that the checks compare.
struct LogNode {
  InstanceId id;
  Incarnation incarnation;
  std::unique_ptr<ReplicatedLog> log;  // null while down
  RegisterStateMachine state_machine;
  TimePoint frozen_until;
  std::vector<std::pair<InstanceId, std::string>> queued_messages;  // received while frozen
  TimePoint down_until;
  bool stopped_forever = false;  // never restarts
  std::optional<TimePoint> isolated_since;
  LogIndex isolated_commit;
  std::vector<Voter> isolated_voters;
  LogIndex checked_commit;
  std::vector<Voter> checked_voters;
};

class LogCluster {
 public:
  /// The first `voters` of `size` instances start as voters, the others as learners. With learners,
  /// leaders replace unreachable voters by them.
  LogCluster(uint64_t seed, size_t size, NetworkFaults faults, size_t voters);
  LogCluster(uint64_t seed, size_t size, NetworkFaults faults)
      : LogCluster(seed, size, faults, size) {}

  /// Advances the clock by kStep, delivers messages that are due and runs every node.
  void Step();
  void Run(Duration time);
  /// Steps until the condition holds; returns false when it does not hold within `limit`.
  template <class Condition>
  bool RunUntil(Duration limit, Condition condition) {
    const TimePoint end = now_ + limit;
    while (!condition()) {
      if (now_ >= end || !failure_.empty()) {
        return false;
      }
      Step();
    }
    return true;
  }

  /// Start an operation at a node and add it to history().
  void CompareAndSet(LogNode& node, const std::string& id, int64_t expected, int64_t desired);
  void Read(LogNode& node);

  void Crash(LogNode& node, Duration down);
  void LoseDisk(LogNode& node, Duration down);
  void StopForever(LogNode& node);
  void Freeze(LogNode& node, Duration time) { node.frozen_until = now_ + time; }
  void Isolate(LogNode& node);
  void HealAll();

  /// The leader with the highest term; null when there is none.
  LogNode* Leader();
  LogNode& node(size_t i) { return *nodes_.at(i); }
  size_t size() const { return nodes_.size(); }
  FakeNetwork<std::string>& network() { return network_; }
  TimePoint now() const { return now_; }
  LogIndex max_committed() const {
    return committed_.empty() ? LogIndex(1) : committed_.rbegin()->first;
  }
  const std::vector<RegisterOperation>& history() const { return history_; }
  const std::string& failure() const { return failure_; }
  void Fail(const std::string& message);

  void set_crash_chance(uint64_t per_ten_thousand) { crash_chance_ = per_ten_thousand; }
  void set_compaction_entries(uint64_t entries) { compaction_entries_ = entries; }

 private:
  struct PendingChange {
    LogNode* node;
    LogIndex index;
    Term term;
    size_t operation;  // position in history_
  };

  void AddLearner(const InstanceId& id);
  void Start(LogNode& node);
  void Deliver(LogNode& node, const InstanceId& from, const std::string& message);
  void StepNode(LogNode& node);
  void Process(LogNode& node);
  void Persist(LogNode& node, const Ready& ready);
  void ApplyReady(LogNode& node, const Ready& ready);
  void CompleteChanges(LogNode& node, const LogEntry& entry);
  void CompleteReads(LogNode& node, const Ready& ready);
  void CompactIfDue(LogNode& node);
  bool CrashesNow(LogNode& node);

  void CheckInvariants(LogNode& node, const Ready& ready);
  void CheckLeader(LogNode& node);
  void CheckCommitStored(LogNode& node);
  void CheckIsolation(LogNode& node, const Ready& ready);
  void CheckVoterChange(LogNode& node, const LogEntry& entry);
  void CheckVotes(LogNode& node, const Ready& ready);
  void CheckCommitted(LogNode& node, const LogEntry& entry);
  bool StoredByMajority(const std::vector<Voter>& voters, LogIndex index, Term term) const;

  SeededRandom random_;
  size_t voters_wanted_;  // as in ReplicatedLogSettings
  FakeNetwork<std::string> network_;
  TimePoint now_{};
  std::vector<std::unique_ptr<LogNode>> nodes_;
  std::map<Voter, StoredLog> disks_;  // includes lost incarnations, as they were at the loss
  std::map<LogIndex, LogEntry> committed_;
  std::map<LogIndex, uint64_t> history_hashes_;
  std::map<Term, Voter> leaders_;
  std::set<Voter> admitted_;
  std::vector<RegisterOperation> history_;
  std::vector<PendingChange> changes_;
  std::map<uint64_t, LogNode*> reads_;  // by token, which is the position in history_
  uint64_t events_ = 0;
  uint64_t next_incarnation_ = 1;
  uint64_t crash_chance_ = 0;
  uint64_t compaction_entries_ = 12;
  std::string failure_;
};

}  // namespace endivecleat::test

#endif  // ENDIVECLEAT_TEST_LOG_CLUSTER_H_
