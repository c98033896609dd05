// The Raft invariants that LogCluster checks after every event: one leader per term, commits stored
// by a majority, no commits or confirmed reads in isolation, single-server membership changes,
// votes only by admitted voters, and committed entries that never change.
#include <algorithm>

#include "log_cluster.h"
#include "replicated_log_message.h"

namespace endivecleat::test {
namespace {

bool Stores(const StoredLog& disk, LogIndex index, Term term) {
  if (index <= disk.snapshot.index) {
    return true;
  }
  return std::any_of(disk.entries.begin(), disk.entries.end(), [&](const LogEntry& entry) {
    return entry.index == index && entry.term == term;
  });
}

size_t CountMissing(const std::vector<Voter>& from, const std::vector<Voter>& in) {
  return static_cast<size_t>(std::count_if(
      from.begin(), from.end(), [&](const Voter& voter) { return !Contains(in, voter); }));
}

// The second byte of the CBOR encoding is the kind of the message.
bool IsVoteReply(const std::string& message) {
  const auto kind = static_cast<LogMessageKind>(message.at(1));
  return kind == LogMessageKind::kPreVoteReply || kind == LogMessageKind::kVoteReply;
}

}  // namespace

void LogCluster::CheckInvariants(LogNode& node, const Ready& ready) {
  CheckLeader(node);
  CheckCommitStored(node);
  CheckIsolation(node, ready);
  CheckVotes(node, ready);
}

void LogCluster::CheckLeader(LogNode& node) {
  if (node.log->role() != ReplicaRole::kLeader) {
    return;
  }
  const Voter self{node.id, node.incarnation};
  if (leaders_.try_emplace(node.log->term(), self).first->second != self) {
    Fail("two leaders in term " + std::to_string(node.log->term().value()));
  }
}

bool LogCluster::StoredByMajority(const std::vector<Voter>& voters, LogIndex index,
                                  Term term) const {
  const auto stored = std::count_if(voters.begin(), voters.end(), [&](const Voter& voter) {
    const auto disk = disks_.find(voter);
    return disk != disks_.end() && Stores(disk->second, index, term);
  });
  return static_cast<size_t>(stored) >= MajoritySize(voters);
}

// The event that committed the entry may also have changed the voter set, so that a majority of
// either the old or the new set suffices.
void LogCluster::CheckCommitStored(LogNode& node) {
  const LogIndex commit = node.log->commit_index();
  const bool leads = node.log->role() == ReplicaRole::kLeader;
  if (leads && commit > node.checked_commit) {
    const Term term = node.log->term();
    if (!StoredByMajority(node.log->voters(), commit, term) &&
        !StoredByMajority(node.checked_voters, commit, term)) {
      Fail("entry " + std::to_string(commit.value()) +
           " was committed without being stored by a majority");
    }
  }
  node.checked_commit = commit;
  node.checked_voters = node.log->voters();
}

void LogCluster::CheckIsolation(LogNode& node, const Ready& ready) {
  if (!node.isolated_since) {
    return;
  }
  // A leader that removes an unreachable voter right after it was isolated may still commit entries
  // that a majority of the remaining voters acknowledged before. CheckCommitStored covers that
  // case.
  const bool same_voters = node.log->voters() == node.isolated_voters;
  if (same_voters && node.log->commit_index() > node.isolated_commit) {
    Fail("an isolated instance committed an entry");
  }
  for (const ReadResult& read : ready.reads) {
    if (read.confirmed) {
      Fail("an isolated instance confirmed a read");
    }
  }
  // The election timeout of 2 s, a heartbeat interval, since the timer runs at that interval, and
  // steps of the simulated clock.
  const Duration limit = std::chrono::milliseconds(2500) + 2 * kStep;
  const bool running_long_enough = now_ - node.frozen_until > limit;
  if (running_long_enough && now_ - *node.isolated_since > limit &&
      node.log->role() == ReplicaRole::kLeader) {
    Fail("an isolated leader did not step down");
  }
}

void LogCluster::CheckVoterChange(LogNode& node, const LogEntry& entry) {
  const std::vector<Voter> changed = DecodeVoters(entry.payload);
  admitted_.insert(changed.begin(), changed.end());
  const bool proposed_here = node.log->role() == ReplicaRole::kLeader &&
                             entry.term == node.log->term() && entry.index > node.checked_commit;
  if (!proposed_here || node.checked_voters == changed) {
    return;
  }
  const std::vector<Voter>& before = node.checked_voters;
  if (CountMissing(before, changed) + CountMissing(changed, before) != 1) {
    Fail("a membership change added or removed more than one voter");
  }
}

void LogCluster::CheckVotes(LogNode& node, const Ready& ready) {
  for (const OutgoingMessage& outgoing : ready.messages) {
    if (IsVoteReply(outgoing.message) && DecodeLogMessage(outgoing.message).accepted &&
        !admitted_.contains({node.id, node.incarnation})) {
      Fail("instance " + node.id.value() +
           " voted although its incarnation is not an admitted voter");
    }
  }
}

void LogCluster::CheckCommitted(LogNode& node, const LogEntry& entry) {
  if (entry.index != node.state_machine.applied.next()) {
    Fail("instance " + node.id.value() + " skipped a committed entry");
  }
  if (committed_.try_emplace(entry.index, entry).first->second != entry) {
    Fail("committed entry " + std::to_string(entry.index.value()) + " changed");
  }
}

}  // namespace endivecleat::test
