// Connects a ReplicatedLog with its LogStore, the network and a state machine: it persists before
// it sends, sends before it applies, and completes the proposals and reads that started on this
// instance. Events only change the log in memory; Flush, called once after each batch of events,
// writes and syncs for all of them together (group commit).
#ifndef ENDIVECLEAT_REPLICA_TASK_H_
#define ENDIVECLEAT_REPLICA_TASK_H_

#include <concepts>
#include <filesystem>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "log_store.h"
#include "replicated_log.h"
#include "units.h"

namespace endivecleat {

/// A replicated state machine. Apply must be deterministic, and a state restored from a snapshot
/// must equal the state that the snapshot was taken of.
template <class State>
concept ReplicatedState = requires(State state, const State constant, std::string_view bytes) {
  typename State::Result;
  { state.Apply(bytes) } -> std::same_as<typename State::Result>;
  { constant.Snapshot() } -> std::same_as<std::string>;
  { State::Restore(bytes) } -> std::same_as<State>;
};

/// One replica of a log and its state machine. Not thread-safe; callbacks run within Flush.
template <ReplicatedState State>
class ReplicaTask {
 public:
  using Result = typename State::Result;
  /// Receives the result of a command; nullopt when it is unknown whether the command was
  /// committed.
  using AppliedCallback = std::function<void(std::optional<Result>)>;
  using ReadCallback = std::function<void(bool confirmed)>;
  using SendFunction = std::function<void(const InstanceId& to, const std::string& message)>;

  /// `folder` must contain a log, created by InitializeLog or InitializeLearnerLog.
  ReplicaTask(const InstanceId& self, const ReplicatedLogSettings& settings,
              const std::filesystem::path& folder, TimePoint now, SendFunction send)
      : store_(folder), send_(std::move(send)), log_(Open(self, settings, now)) {}

  void Receive(TimePoint now, const InstanceId& from, std::string_view message) {
    log_.Receive(now, from, message);
  }

  /// Asks another voter to become the leader; does nothing when this replica is not the leader.
  void TransferLeadership(TimePoint now) { log_.TransferLeadership(now); }

  void SetMembers(std::vector<InstanceId> members) { log_.SetMembers(std::move(members)); }

  void Tick(TimePoint now) {
    log_.Tick(now);
    may_retry_ = true;
  }
  TimePoint next_timer() const { return log_.next_timer(); }

  /// Proposes a command. Returns false, without calling back, when this instance is not the leader.
  bool Propose(TimePoint now, std::string command, AppliedCallback callback) {
    const std::optional<LogIndex> index = log_.Propose(now, std::move(command));
    if (!index) {
      return false;
    }
    proposals_[*index] = {log_.term(), std::move(callback)};
    return true;
  }

  /// Calls back with true once a majority has confirmed that this instance is the leader and all
  /// entries committed before the call are applied here, or with false when that fails.
  void ConfirmRead(TimePoint now, ReadCallback callback) {
    const uint64_t token = next_token_++;
    reads_[token] = std::move(callback);
    log_.RequestRead(now, token);
  }

  /// Persists, sends and applies everything that the log has ready. Returns true when the state
  /// machine changed.
  bool Flush() {
    bool applied = RetryUnwritten();
    while (!unwritten_) {
      Ready ready = log_.TakeReady();
      if (!HasWork(ready)) {
        break;
      }
      applied = ProcessReady(std::move(ready)) || applied;
    }
    if (log_.role() != ReplicaRole::kLeader) {
      AbandonProposals();
    }
    return applied;
  }

  /// Whether commands proposed here are still to be applied.
  bool has_proposals() const { return !proposals_.empty(); }

  const State& state() const { return state_; }
  const ReplicatedLog& log() const { return log_; }

 private:
  struct Proposal {
    Term term;
    AppliedCallback callback;
  };

  ReplicatedLog Open(const InstanceId& self, const ReplicatedLogSettings& settings, TimePoint now) {
    StoredLog stored = store_.Load();
    if (!stored.snapshot.state.empty()) {
      state_ = State::Restore(stored.snapshot.state);
    }
    return ReplicatedLog(self, settings, std::move(stored), now);
  }

  static bool HasWork(const Ready& ready) {
    return ready.hard_state || ready.snapshot || ready.commit || !ready.entries.empty() ||
           !ready.messages.empty() || !ready.committed.empty() || !ready.reads.empty();
  }

  // Without room on the disk, nothing is sent, applied or taken from the log any more: to the
  // others this replica is silent, and a leader loses its office.
  bool RetryUnwritten() {
    if (!unwritten_ || !may_retry_) {
      return false;
    }
    may_retry_ = false;
    return ProcessReady(*std::exchange(unwritten_, std::nullopt));
  }

  bool ProcessReady(Ready ready) {
    if (!store_.Persist(ready)) {
      unwritten_ = std::move(ready);
      return false;
    }
    for (const OutgoingMessage& outgoing : ready.messages) {
      send_(outgoing.to, outgoing.message);
    }
    if (ready.restore && ready.snapshot) {
      state_ = ready.snapshot->state.empty() ? State() : State::Restore(ready.snapshot->state);
    }
    for (const LogEntry& entry : ready.committed) {
      Apply(entry);
    }
    for (const ReadResult& read : ready.reads) {
      AnswerRead(read);
    }
    if (!ready.committed.empty() && log_.needs_compaction()) {
      log_.Compact(ready.committed.back().index, state_.Snapshot());
    }
    return ready.restore || !ready.committed.empty();
  }

  void Apply(const LogEntry& entry) {
    applied_ = entry.index;
    std::optional<Result> result;
    if (entry.kind == EntryKind::kCommand) {
      result = state_.Apply(entry.payload);
    }
    const auto found = proposals_.find(entry.index);
    if (found != proposals_.end()) {
      const Proposal proposal = std::move(found->second);
      proposals_.erase(found);
      proposal.callback(proposal.term == entry.term ? result : std::nullopt);
    }
    AnswerWaitingReads();
  }

  void AnswerRead(const ReadResult& read) {
    if (read.confirmed && applied_ < read.read_index) {
      waiting_reads_[read.read_index].push_back(read.token);
      return;
    }
    FinishRead(read.token, read.confirmed);
  }

  void AnswerWaitingReads() {
    while (!waiting_reads_.empty() && waiting_reads_.begin()->first <= applied_) {
      const std::vector<uint64_t> tokens = std::move(waiting_reads_.begin()->second);
      waiting_reads_.erase(waiting_reads_.begin());
      for (const uint64_t token : tokens) {
        FinishRead(token, true);
      }
    }
  }

  void FinishRead(uint64_t token, bool confirmed) {
    const auto found = reads_.find(token);
    if (found == reads_.end()) {
      return;
    }
    const ReadCallback callback = std::move(found->second);
    reads_.erase(found);
    callback(confirmed);
  }

  // The commands may still be committed after this instance lost leadership, so that their outcome
  // is unknown.
  void AbandonProposals() {
    std::map<LogIndex, Proposal> abandoned;
    abandoned.swap(proposals_);
    for (const auto& [index, proposal] : abandoned) {
      proposal.callback(std::nullopt);
    }
  }

  LogStore store_;
  SendFunction send_;
  State state_;
  ReplicatedLog log_;  // initialized by Open, which uses store_ and state_
  LogIndex applied_;
  std::optional<Ready> unwritten_;          // taken from the log; the disk had no room for it
  bool may_retry_ = false;                  // set once for each tick
  std::map<LogIndex, Proposal> proposals_;  // empty unless this instance is the leader
  uint64_t next_token_ = 1;
  std::map<uint64_t, ReadCallback> reads_;
  std::map<LogIndex, std::vector<uint64_t>> waiting_reads_;  // tokens of confirmed reads
};

}  // namespace endivecleat

#endif  // ENDIVECLEAT_REPLICA_TASK_H_
