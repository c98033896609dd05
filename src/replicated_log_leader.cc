// Leader side of the Raft algorithm: log replication with flow control, commitment, snapshot
// transfer, ReadIndex confirmation, leadership transfer and single-server membership changes.
#include <algorithm>
#include <utility>

#include "errors.h"
#include "replicated_log.h"

namespace endivecleat {
namespace {

// Limit of unacknowledged appends to one follower. Four of 256 KiB saturate a link of 30 Mbit/s
// with a round-trip time of 60 ms.
constexpr int kMaxBatchesInFlight = 4;

}  // namespace

void ReplicatedLog::BecomeLeader() {
  role_ = ReplicaRole::kLeader;
  transfer_deadline_ = TimePoint{};
  leader_ = self_;
  votes_.clear();
  heartbeat_due_ = now_ + settings_.heartbeat_interval;
  heartbeat_pending_ = true;
  AppendLocal(EntryKind::kNoop, "");
  TrackNewVoters();
  AdvanceCommit();
}

bool ReplicatedLog::TransferLeadership(TimePoint now) {
  now_ = std::max(now_, now);
  if (role_ != ReplicaRole::kLeader) {
    return false;
  }
  const auto successor = std::find_if(progress_.begin(), progress_.end(), [&](const auto& item) {
    const bool heard = now_ - item.second.last_heard < settings_.election_timeout_min;
    return heard && item.second.match == log_.last_index() && Contains(voters(), item.first);
  });
  if (successor == progress_.end()) {
    return false;
  }
  transfer_deadline_ = now_ + settings_.election_timeout_min;
  Send(successor->first, {.kind = LogMessageKind::kTimeoutNow, .term = hard_state_.term});
  return true;
}

// Adds a Progress for each voter that has none.
void ReplicatedLog::TrackNewVoters() {
  for (const Voter& voter : voters()) {
    if (voter != identity()) {
      progress_.try_emplace(voter, Progress{.next = log_.last_index(), .last_heard = now_});
    }
  }
}

void ReplicatedLog::LeaderTick() {
  if (!HeardFromMajority(settings_.election_timeout_min)) {
    BecomeFollower(hard_state_.term, std::nullopt);
    return;
  }
  if (now_ < heartbeat_due_) {
    return;
  }
  heartbeat_due_ = now_ + settings_.heartbeat_interval;
  heartbeat_pending_ = true;
  ChangeVoters();  // no message tells of an unreachable voter, so the timer has to check
  std::erase_if(progress_, [&](const auto& item) {
    const bool silent = now_ - item.second.last_heard > 2 * settings_.election_timeout_max;
    return silent && !Contains(voters(), item.first);
  });
  for (auto& [peer, progress] : progress_) {
    progress.batches_in_flight = 0;
    const bool timed_out = progress.snapshot_sent &&
                           now_ - *progress.snapshot_sent >= 2 * settings_.heartbeat_interval;
    if (timed_out) {
      progress.snapshot_sent.reset();
    }
  }
}

bool ReplicatedLog::HeardFromMajority(Duration within) const {
  const auto heard = std::count_if(voters().begin(), voters().end(), [&](const Voter& voter) {
    const auto found = progress_.find(voter);
    return voter == identity() ||
           (found != progress_.end() && now_ - found->second.last_heard < within);
  });
  return static_cast<size_t>(heard) >= MajoritySize(voters());
}

void ReplicatedLog::ReceiveJoinRequest(const Voter& sender) {
  const auto& members = settings_.members;
  const bool is_member =
      std::find(members.begin(), members.end(), sender.instance) != members.end();
  if (role_ != ReplicaRole::kLeader || !is_member || progress_.contains(sender)) {
    return;
  }
  std::erase_if(progress_, [&](const auto& item) {
    return item.first.instance == sender.instance && !Contains(voters(), item.first);
  });
  // The new round starts after the learner joined, so that a delayed reply cannot acknowledge it.
  ++round_;
  progress_[sender] = Progress{.next = log_.last_index(),
                               .last_heard = now_,
                               .joined_round = round_,
                               .catch_up_index = log_.last_index(),
                               .catch_up_start = now_};
  heartbeat_pending_ = true;
}

void ReplicatedLog::ReceiveAppendReply(const Voter& sender, const LogMessage& message) {
  const auto found = progress_.find(sender);
  if (found == progress_.end()) {
    return;
  }
  Progress& progress = found->second;
  progress.last_heard = now_;
  progress.acked_round = std::max(progress.acked_round, message.round);
  if (message.accepted) {
    HandleMatch(progress, message.index);
    UpdateCatchUp(progress, message.round);
    AdvanceCommit();
  } else {
    HandleMismatch(progress, message);
  }
}

void ReplicatedLog::HandleMatch(Progress& progress, LogIndex match) {
  progress.match = std::max(progress.match, std::min(match, log_.last_index()));
  progress.next = std::max(progress.next, progress.match.next());
  progress.replicating = true;
  progress.batches_in_flight = std::max(0, progress.batches_in_flight - 1);
  if (progress.snapshot && progress.match >= progress.snapshot->index) {
    progress.snapshot.reset();
    progress.next = progress.match.next();
  }
}

void ReplicatedLog::HandleMismatch(Progress& progress, const LogMessage& message) {
  const bool stale = message.index <= progress.match || message.index >= progress.next;
  if (progress.snapshot || stale) {
    return;
  }
  const LogIndex before = std::min(message.hint, LogIndex(message.index.value() - 1));
  progress.next = std::max(progress.match, before).next();
  progress.replicating = false;
  progress.batches_in_flight = 0;
}

void ReplicatedLog::ReceiveSnapshotReply(const Voter& sender, const LogMessage& message) {
  const auto found = progress_.find(sender);
  if (found == progress_.end()) {
    return;
  }
  Progress& progress = found->second;
  progress.last_heard = now_;
  progress.acked_round = std::max(progress.acked_round, message.round);
  const bool current = progress.snapshot && progress.snapshot->index == message.index;
  // The offset goes back when the receiver lost the preceding chunks in a crash.
  if (current && message.offset != progress.snapshot_offset) {
    progress.snapshot_offset = message.offset;
    progress.snapshot_sent.reset();
  }
}

// A learner has caught up when it replicates all entries that the log held at the start of a
// catch-up round within one election timeout. Making it a voter then delays commitment by less than
// that timeout.
void ReplicatedLog::UpdateCatchUp(Progress& progress, uint64_t round) {
  if (round < progress.joined_round || progress.match < progress.catch_up_index) {
    return;
  }
  progress.caught_up = now_ - progress.catch_up_start < settings_.election_timeout_min;
  progress.catch_up_index = log_.last_index();
  progress.catch_up_start = now_;
}

void ReplicatedLog::AdvanceCommit() {
  const LogIndex reached = MajorityValue<LogIndex>(voters(), [&](const Voter& voter) {
    const auto found = progress_.find(voter);
    return voter == identity()        ? log_.last_index()
           : found == progress_.end() ? LogIndex()
                                      : found->second.match;
  });
  // Only an entry of the current term is committed by counting replicas: one of an older term may
  // still be overwritten by another leader although a majority stores it.
  if (reached > commit_ && log_.TermAt(reached) == hard_state_.term) {
    commit_ = reached;
    heartbeat_pending_ = true;
  }
  ChangeVoters();
}

// Starts a membership change if one is needed. Changes add or remove one voter each, and one is
// committed before the next starts.
void ReplicatedLog::ChangeVoters() {
  const bool settled = log_.voters_index() <= commit_ && log_.TermAt(commit_) == hard_state_.term;
  if (!settled) {
    return;
  }
  std::optional<std::vector<Voter>> changed = VotersWithNewIncarnation();
  // A leader that is itself partitioned hears from no voter and must not remove them.
  const bool connected = HeardFromMajority(2 * settings_.heartbeat_interval);
  if (!changed && settings_.desired_voters > 0 && connected) {
    changed = VotersWithRestoredCount();
  }
  if (changed) {
    AppendLocal(EntryKind::kVoters, EncodeVoters(*changed));
  }
}

bool ReplicatedLog::IsReadyLearner(const Voter& peer, const Progress& progress) const {
  const bool silent = now_ - progress.last_heard >= settings_.election_timeout_min;
  return progress.caught_up && !silent && !Contains(voters(), peer);
}

bool ReplicatedLog::IsSilentVoter(const Voter& voter) const {
  const auto found = progress_.find(voter);
  return voter != identity() && found != progress_.end() &&
         now_ - found->second.last_heard >= settings_.voter_silence_timeout;
}

// The voter set after the next step of replacing a voter by a new incarnation of its instance: the
// old incarnation is removed first, then the new one is added.
std::optional<std::vector<Voter>> ReplicatedLog::VotersWithNewIncarnation() const {
  for (const auto& [peer, progress] : progress_) {
    if (!IsReadyLearner(peer, progress)) {
      continue;
    }
    std::vector<Voter> changed = voters();
    if (const Voter* old = FindInstance(changed, peer.instance); old != nullptr) {
      std::erase(changed, Voter(*old));
      return changed;
    }
    if (settings_.desired_voters == 0) {
      changed.push_back(peer);
      return changed;
    }
  }
  return std::nullopt;
}

// The voter set after the next step of replacing an unreachable voter: a learner is added first,
// then the voter that has been silent longest is removed. Removing first would tolerate one failure
// less until the learner is added.
std::optional<std::vector<Voter>> ReplicatedLog::VotersWithRestoredCount() const {
  std::vector<Voter> changed = voters();
  const Voter* silent_longest = nullptr;
  size_t heard = 0;
  for (const Voter& voter : voters()) {
    if (!IsSilentVoter(voter)) {
      ++heard;
    } else if (silent_longest == nullptr ||
               progress_.at(voter).last_heard < progress_.at(*silent_longest).last_heard) {
      silent_longest = &voter;
    }
  }
  if (voters().size() > settings_.desired_voters && silent_longest != nullptr) {
    std::erase(changed, Voter(*silent_longest));
    return changed;
  }
  if (heard >= settings_.desired_voters) {
    return std::nullopt;
  }
  for (const auto& [peer, progress] : progress_) {
    if (IsReadyLearner(peer, progress)) {
      changed.push_back(peer);
      return changed;
    }
  }
  return std::nullopt;
}

void ReplicatedLog::FlushToPeers() {
  TrackNewVoters();
  for (auto& [peer, progress] : progress_) {
    FlushTo(peer, progress);
  }
  heartbeat_pending_ = false;
  round_unsent_ = false;
  const bool removed = !is_voter() && log_.voters_index() <= commit_;
  if (removed) {
    BecomeFollower(hard_state_.term, std::nullopt);
  }
}

void ReplicatedLog::FlushTo(const Voter& peer, Progress& progress) {
  const size_t sent_before = outbox_.size();
  // An unreachable peer is sent only heartbeats, so that entries do not pile up on its connection.
  const bool silent = now_ - progress.last_heard >= settings_.election_timeout_min;
  if (!silent) {
    const bool compacted = !log_.TermAt(LogIndex(progress.next.value() - 1)).has_value();
    if (!progress.snapshot && compacted) {
      progress.snapshot = log_.snapshot();
      progress.snapshot_offset = 0;
      progress.snapshot_sent.reset();
    }
    if (progress.snapshot) {
      SendSnapshotChunk(peer, progress);
    } else {
      SendEntries(peer, progress);
    }
  }
  if (heartbeat_pending_ && outbox_.size() == sent_before) {
    SendHeartbeat(peer, progress);
  }
}

void ReplicatedLog::SendHeartbeat(const Voter& peer, Progress& progress) {
  LogIndex before(progress.next.value() - 1);
  if (progress.snapshot || !log_.TermAt(before)) {
    before = log_.last_index();
  }
  Send(peer, {.kind = LogMessageKind::kAppend,
              .term = hard_state_.term,
              .index = before,
              .log_term = *log_.TermAt(before),
              .commit = commit_,
              .round = round_});
}

void ReplicatedLog::SendEntries(const Voter& peer, Progress& progress) {
  const int limit = progress.replicating ? kMaxBatchesInFlight : 1;
  while (progress.next <= log_.last_index() && progress.batches_in_flight < limit) {
    const LogIndex before(progress.next.value() - 1);
    std::vector<LogEntry> batch =
        log_.Slice(progress.next, log_.last_index(), settings_.batch_bytes);
    progress.next = batch.back().index.next();
    ++progress.batches_in_flight;
    Send(peer, {.kind = LogMessageKind::kAppend,
                .term = hard_state_.term,
                .index = before,
                .log_term = *log_.TermAt(before),
                .commit = commit_,
                .round = round_,
                .entries = std::move(batch)});
  }
}

void ReplicatedLog::SendSnapshotChunk(const Voter& peer, Progress& progress) {
  if (progress.snapshot_sent) {
    return;
  }
  progress.snapshot_sent = now_;
  const LogSnapshot& snapshot = *progress.snapshot;
  Send(peer,
       {.kind = LogMessageKind::kSnapshot,
        .term = hard_state_.term,
        .index = snapshot.index,
        .log_term = snapshot.term,
        .round = round_,
        .voters = snapshot.voters,
        .offset = progress.snapshot_offset,
        .total = snapshot.state.size(),
        .data = snapshot.state.substr(progress.snapshot_offset, settings_.batch_bytes.value())});
}

void ReplicatedLog::ConfirmReads() {
  // Until an entry of the current term is committed, the commit index may be lower than that of an
  // earlier leader.
  if (reads_.empty() || log_.TermAt(commit_) != hard_state_.term) {
    return;
  }
  const uint64_t confirmed = MajorityValue<uint64_t>(voters(), [&](const Voter& voter) {
    const auto found = progress_.find(voter);
    return voter == identity() ? round_ : found == progress_.end() ? 0 : found->second.acked_round;
  });
  std::erase_if(reads_, [&](const PendingRead& read) {
    if (read.round > confirmed) {
      return false;
    }
    read_results_.push_back({.token = read.token, .confirmed = true, .read_index = commit_});
    return true;
  });
}

}  // namespace endivecleat
