// Simulates the clock, the disks and the scheduling of the nodes. A write is durable once Persist
// returns, so that a crash before it loses the whole Ready.
#include "log_cluster.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <sstream>
#include <utility>

#include "log_store.h"
#include "replicated_log_message.h"

namespace endivecleat::test {
namespace {

// Small, so that a few entries need several batches and a snapshot needs several chunks.
constexpr ByteCount kBatchBytes{48};

StoredLog InitialLearnerLog(Incarnation incarnation) {
  StoredLog stored;
  stored.incarnation = incarnation;
  return stored;
}

}  // namespace

void RegisterStateMachine::Apply(const LogEntry& entry) {
  applied = entry.index;
  history_hash = (history_hash ^ std::hash<std::string>()(entry.payload)) * 1099511628211ULL +
                 entry.term.value();
  if (entry.kind != EntryKind::kCommand) {
    return;
  }
  std::istringstream words(entry.payload);
  std::string id;
  int64_t expected = 0;
  int64_t desired = 0;
  words >> id >> expected >> desired;
  const bool sets = expected == value;
  if (results.try_emplace(id, sets ? 1 : 0).second && sets) {
    value = desired;
  }
}

std::string RegisterStateMachine::Snapshot() const {
  return nlohmann::json({value, history_hash, results}).dump();
}

RegisterStateMachine RegisterStateMachine::Restore(const LogSnapshot& snapshot) {
  RegisterStateMachine machine;
  machine.applied = snapshot.index;
  if (!snapshot.state.empty()) {
    const auto json = nlohmann::json::parse(snapshot.state);
    machine.value = json[0];
    machine.history_hash = json[1];
    machine.results = json[2].get<std::map<std::string, int64_t>>();
  }
  return machine;
}

LogCluster::LogCluster(uint64_t seed, size_t size, NetworkFaults faults, size_t voters)
    : random_(seed), voters_wanted_(voters < size ? voters : 0), network_(seed + 1, faults) {
  std::vector<InstanceId> ids;
  for (size_t i = 0; i < voters; ++i) {
    ids.emplace_back(std::string(1, static_cast<char>('a' + i)));
  }
  for (const InstanceId& id : ids) {
    nodes_.push_back(std::make_unique<LogNode>(LogNode{.id = id}));
    admitted_.insert({id, Incarnation(0)});
    disks_[{id, Incarnation(0)}] = InitialLog(ids);
  }
  for (size_t i = voters; i < size; ++i) {
    AddLearner(InstanceId(std::string(1, static_cast<char>('a' + i))));
  }
  for (auto& node : nodes_) {
    Start(*node);
  }
}

void LogCluster::AddLearner(const InstanceId& id) {
  nodes_.push_back(std::make_unique<LogNode>(
      LogNode{.id = id, .incarnation = Incarnation(next_incarnation_++)}));
  const Incarnation incarnation = nodes_.back()->incarnation;
  disks_[{id, incarnation}] = InitialLearnerLog(incarnation);
}

void LogCluster::Fail(const std::string& message) {
  if (failure_.empty()) {
    const auto time = std::chrono::duration_cast<std::chrono::milliseconds>(now_ - TimePoint{});
    failure_ = message + " (at " + std::to_string(time.count()) + " ms)";
  }
}

void LogCluster::Start(LogNode& node) {
  ReplicatedLogSettings settings{
      .desired_voters = voters_wanted_, .seed = random_.Next(), .batch_bytes = kBatchBytes};
  for (const auto& other : nodes_) {
    settings.members.push_back(other->id);
  }
  const StoredLog& stored = disks_[{node.id, node.incarnation}];
  node.state_machine = RegisterStateMachine::Restore(stored.snapshot);
  node.log = std::make_unique<ReplicatedLog>(node.id, settings, stored, now_);
  node.checked_commit = node.log->commit_index();
  node.checked_voters = node.log->voters();
}

void LogCluster::Run(Duration time) {
  const TimePoint end = now_ + time;
  while (now_ < end && failure_.empty()) {
    Step();
  }
}

void LogCluster::Step() {
  now_ += kStep;
  for (auto& delivery : network_.TakeDue(now_)) {
    for (auto& node : nodes_) {
      if (node->id == delivery.to) {
        Deliver(*node, delivery.from, delivery.message);
      }
    }
  }
  for (auto& node : nodes_) {
    StepNode(*node);
  }
}

void LogCluster::Deliver(LogNode& node, const InstanceId& from, const std::string& message) {
  if (!node.log) {
    return;
  }
  if (node.frozen_until > now_) {
    node.queued_messages.emplace_back(from, message);
    return;
  }
  node.log->Receive(now_, from, message);
  Process(node);
}

void LogCluster::StepNode(LogNode& node) {
  if (!node.log && !node.stopped_forever && node.down_until <= now_) {
    Start(node);
  }
  if (!node.log || node.frozen_until > now_) {
    return;
  }
  for (const auto& [from, message] : std::exchange(node.queued_messages, {})) {
    Deliver(node, from, message);
  }
  if (!node.log) {
    return;
  }
  if (node.log->next_timer() <= now_) {
    node.log->Tick(now_);
  }
  Process(node);
}

// Persists, sends and applies in the order that Ready prescribes; a crash may occur between any two
// of these steps.
void LogCluster::Process(LogNode& node) {
  const Ready ready = node.log->TakeReady();
  if (CrashesNow(node)) {
    return;
  }
  Persist(node, ready);
  if (CrashesNow(node)) {
    return;
  }
  CheckInvariants(node, ready);
  for (const OutgoingMessage& outgoing : ready.messages) {
    network_.Send(now_, node.id, outgoing.to, outgoing.message);
  }
  if (CrashesNow(node)) {
    return;
  }
  ApplyReady(node, ready);
  CompactIfDue(node);
}

bool LogCluster::CrashesNow(LogNode& node) {
  if (crash_chance_ == 0 || random_.Below(10000) >= crash_chance_) {
    return false;
  }
  Crash(node, Duration(static_cast<int64_t>(random_.Below(3'000'000))));
  return true;
}

void LogCluster::Persist(LogNode& node, const Ready& ready) {
  StoredLog& disk = disks_[{node.id, node.incarnation}];
  for (const LogEntry& entry : ready.entries) {
    if (entry.kind == EntryKind::kVoters) {
      CheckVoterChange(node, entry);
    }
  }
  if (ready.hard_state) {
    disk.hard_state = *ready.hard_state;
  }
  disk.commit = ready.commit.value_or(disk.commit);
  if (ready.snapshot) {
    disk.snapshot = *ready.snapshot;
    disk.entries.clear();
  }
  if (!ready.entries.empty()) {
    std::erase_if(disk.entries, [&](const LogEntry& stored) {
      return stored.index >= ready.entries.front().index;
    });
    disk.entries.insert(disk.entries.end(), ready.entries.begin(), ready.entries.end());
  }
}

void LogCluster::ApplyReady(LogNode& node, const Ready& ready) {
  if (ready.restore) {
    node.state_machine = RegisterStateMachine::Restore(*ready.snapshot);
    const auto known = history_hashes_.find(node.state_machine.applied);
    if (known != history_hashes_.end() && known->second != node.state_machine.history_hash) {
      Fail("the state of a snapshot differs from that of the log at the same index");
    }
  }
  for (const LogEntry& entry : ready.committed) {
    CheckCommitted(node, entry);
    node.state_machine.Apply(entry);
    if (history_hashes_.try_emplace(entry.index, node.state_machine.history_hash).first->second !=
        node.state_machine.history_hash) {
      Fail("the states of two replicas differ at the same index");
    }
    CompleteChanges(node, entry);
  }
  CompleteReads(node, ready);
}

void LogCluster::CompareAndSet(LogNode& node, const std::string& id, int64_t expected,
                               int64_t desired) {
  if (!node.log || node.frozen_until > now_) {
    return;
  }
  std::ostringstream command;
  command << id << ' ' << expected << ' ' << desired;
  const auto index = node.log->Propose(now_, command.str());
  if (!index) {
    return;
  }
  changes_.push_back({&node, *index, node.log->term(), history_.size()});
  history_.push_back({.kind = RegisterOperation::Kind::kCompareAndSet,
                      .id = id,
                      .expected = expected,
                      .desired = desired,
                      .invoked = ++events_});
}

void LogCluster::Read(LogNode& node) {
  if (!node.log || node.frozen_until > now_) {
    return;
  }
  reads_[history_.size()] = &node;
  node.log->RequestRead(now_, history_.size());
  history_.push_back({.invoked = ++events_});
}

void LogCluster::CompleteChanges(LogNode& node, const LogEntry& entry) {
  std::erase_if(changes_, [&](const PendingChange& change) {
    if (change.node != &node || change.index != entry.index) {
      return false;
    }
    if (change.term == entry.term) {
      RegisterOperation& operation = history_[change.operation];
      operation.result = node.state_machine.results.at(operation.id);
      operation.returned = ++events_;
    }
    return true;
  });
}

void LogCluster::CompleteReads(LogNode& node, const Ready& ready) {
  for (const ReadResult& read : ready.reads) {
    if (read.confirmed && reads_[read.token] == &node) {
      if (node.state_machine.applied < read.read_index) {
        Fail("a read was confirmed before the entries up to its read index were returned");
      }
      history_[read.token].result = node.state_machine.value;
      history_[read.token].returned = ++events_;
    }
  }
}

void LogCluster::CompactIfDue(LogNode& node) {
  const uint64_t since = node.state_machine.applied.value() -
                         disks_[{node.id, node.incarnation}].snapshot.index.value();
  if (since >= compaction_entries_ && failure_.empty()) {
    node.log->Compact(node.state_machine.applied, node.state_machine.Snapshot());
  }
}

void LogCluster::Crash(LogNode& node, Duration down) {
  node.log.reset();
  node.down_until = now_ + down;
  network_.DropMessagesTo(node.id);
  node.queued_messages.clear();
  std::erase_if(changes_, [&](const PendingChange& change) { return change.node == &node; });
  std::erase_if(reads_, [&](const auto& read) { return read.second == &node; });
}

void LogCluster::LoseDisk(LogNode& node, Duration down) {
  Crash(node, down);
  node.incarnation = Incarnation(next_incarnation_++);
  disks_[{node.id, node.incarnation}] = InitialLearnerLog(node.incarnation);
}

void LogCluster::StopForever(LogNode& node) {
  Crash(node, Duration(0));
  node.stopped_forever = true;
}

// Also drops received messages that are not processed yet, so that any later commit is a violation.
void LogCluster::Isolate(LogNode& node) {
  node.queued_messages.clear();
  for (auto& other : nodes_) {
    if (other->id != node.id) {
      network_.CutBothWays(node.id, other->id);
    }
  }
  if (!node.isolated_since && size() > 1) {
    node.isolated_since = now_;
    node.isolated_commit = node.log ? node.log->commit_index() : LogIndex(UINT64_MAX);
    node.isolated_voters = node.log ? node.log->voters() : std::vector<Voter>();
  }
}

void LogCluster::HealAll() {
  network_.HealAll();
  for (auto& node : nodes_) {
    node->isolated_since.reset();
  }
}

LogNode* LogCluster::Leader() {
  LogNode* leader = nullptr;
  for (auto& node : nodes_) {
    const bool leads = node->log && node->log->role() == ReplicaRole::kLeader;
    if (leads && (leader == nullptr || node->log->term() > leader->log->term())) {
      leader = node.get();
    }
  }
  return leader;
}

}  // namespace endivecleat::test
