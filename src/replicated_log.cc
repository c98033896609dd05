// Follower, candidate and learner side of the Raft algorithm: elections, log matching, snapshot
// installation and the assembly of Ready. replicated_log_leader.cc holds the leader side.
#include "replicated_log.h"

#include <algorithm>
#include <utility>

#include "errors.h"

namespace endivecleat {

namespace {

// Long enough to batch the commit indexes of proposals in quick succession into one write, and
// shorter than a restart of all replicas takes.
constexpr Duration kCommitWriteDelay = std::chrono::milliseconds(100);
// Divisors of the minimum election timeout for the first election after a start, since replicas
// that are started together start within 0.3 s of each other, and an election between regions takes
// two round trips of 60 ms and two syncs.
constexpr int kFirstElectionDivisor = 8;
constexpr int kElectionRankDivisor = 4;

}  // namespace

ReplicatedLog::ReplicatedLog(InstanceId self, ReplicatedLogSettings settings, StoredLog stored,
                             TimePoint now)
    : self_(std::move(self)),
      settings_(std::move(settings)),
      incarnation_(stored.incarnation),
      random_(settings_.seed),
      now_(now),
      hard_state_(std::move(stored.hard_state)),
      log_(std::move(stored.snapshot), std::move(stored.entries)),
      commit_(std::max(log_.snapshot()->index, std::min(stored.commit, log_.last_index()))),
      applied_(log_.snapshot()->index),
      stored_commit_(commit_),
      join_request_due_(now) {
  ResetElectionTimer();
}

// A replica that has not heard from a leader since its start uses a shorter timeout: waiting longer
// would only delay the first election after a restart of all replicas, and the pre-vote keeps a
// single restarted replica from deposing a working leader. These short timeouts are staggered by
// the rank of the voter, since a split vote costs another timeout.
void ReplicatedLog::ResetElectionTimer() {
  Duration min_timeout = settings_.election_timeout_min;
  Duration jitter = settings_.election_timeout_max - settings_.election_timeout_min;
  if (!leader_heard_) {
    const auto rank = std::count_if(voters().begin(), voters().end(),
                                    [&](const Voter& voter) { return voter < identity(); });
    min_timeout = settings_.election_timeout_min / kFirstElectionDivisor +
                  rank * (settings_.election_timeout_min / kElectionRankDivisor);
    jitter = settings_.election_timeout_min / kFirstElectionDivisor;
  }
  election_due_ =
      now_ + min_timeout + Duration(random_.Below(static_cast<uint64_t>(jitter.count()) + 1));
}

void ReplicatedLog::Tick(TimePoint now) {
  now_ = std::max(now_, now);
  if (role_ == ReplicaRole::kLeader) {
    LeaderTick();
    return;
  }
  if (!is_voter()) {
    if (now_ >= join_request_due_) {
      SendJoinRequest();
    }
    return;
  }
  if (now_ >= election_due_) {
    StartPreVote();
  }
}

TimePoint ReplicatedLog::next_timer() const {
  if (role_ == ReplicaRole::kLeader) {
    return heartbeat_due_;
  }
  return is_voter() ? election_due_ : join_request_due_;
}

bool ReplicatedLog::HeardFromLeader() const {
  return role_ == ReplicaRole::kLeader ||
         (leader_heard_ && now_ - *leader_heard_ < settings_.election_timeout_min);
}

void ReplicatedLog::BecomeFollower(Term term, std::optional<InstanceId> leader) {
  if (term > hard_state_.term) {
    hard_state_ = {term, std::nullopt};
    hard_state_changed_ = true;
  }
  if (role_ == ReplicaRole::kLeader) {
    ResetElectionTimer();
  }
  role_ = ReplicaRole::kFollower;
  leader_ = std::move(leader);
  votes_.clear();
  progress_.clear();
  for (const PendingRead& read : reads_) {
    read_results_.push_back({.token = read.token});
  }
  reads_.clear();
}

void ReplicatedLog::StartPreVote() {
  ResetElectionTimer();
  role_ = ReplicaRole::kPreCandidate;
  leader_.reset();
  votes_.clear();
  RequestVotes(LogMessageKind::kPreVote, hard_state_.term.next(), false);
  if (settings_.desired_voters > 0) {
    // A voter that was removed while it was unreachable still has the old voter set, none of which
    // may be the leader now. The join request lets the leader add it back as a learner.
    SendJoinRequest();
  }
  CountVote(identity());
}

void ReplicatedLog::StartElection(bool leadership_transfer) {
  ResetElectionTimer();
  role_ = ReplicaRole::kCandidate;
  hard_state_ = {hard_state_.term.next(), self_};
  hard_state_changed_ = true;
  votes_.clear();
  RequestVotes(LogMessageKind::kVote, hard_state_.term, leadership_transfer);
  CountVote(identity());
}

void ReplicatedLog::RequestVotes(LogMessageKind kind, Term term, bool leadership_transfer) {
  for (const Voter& voter : voters()) {
    Send(voter, {.kind = kind,
                 .term = term,
                 .index = log_.last_index(),
                 .log_term = log_.last_term(),
                 .accepted = leadership_transfer});
  }
}

void ReplicatedLog::CountVote(const Voter& sender) {
  votes_.insert(sender);
  const auto granted = std::count_if(voters().begin(), voters().end(),
                                     [&](const Voter& voter) { return votes_.contains(voter); });
  if (static_cast<size_t>(granted) < MajoritySize(voters())) {
    return;
  }
  if (role_ == ReplicaRole::kPreCandidate) {
    StartElection(false);
  } else if (role_ == ReplicaRole::kCandidate) {
    BecomeLeader();
  }
}

void ReplicatedLog::Receive(TimePoint now, const InstanceId& from, std::string_view bytes) {
  const LogMessage message = DecodeLogMessage(bytes);
  now_ = std::max(now_, now);
  const bool for_this_incarnation = !message.to || *message.to == incarnation_;
  if (!for_this_incarnation || from == self_) {
    return;
  }
  const Voter sender{from, message.from};
  if (CheckTerm(sender, message)) {
    Dispatch(sender, message);
  }
}

// Adopts a newer term and rejects messages of an older one. Returns false when the message needs no
// further processing.
bool ReplicatedLog::CheckTerm(const Voter& sender, const LogMessage& message) {
  const LogMessageKind kind = message.kind;
  const bool carries_next_term = kind == LogMessageKind::kPreVote ||
                                 (kind == LogMessageKind::kPreVoteReply && message.accepted);
  if (kind == LogMessageKind::kJoinRequest || carries_next_term) {
    return true;
  }
  if (message.term < hard_state_.term) {
    RejectStaleTerm(sender, message);
    return false;
  }
  if (message.term > hard_state_.term) {
    // A candidate that was partitioned must not depose a leader that the others still hear from.
    // `accepted` marks an election that the leader itself requested.
    if (kind == LogMessageKind::kVote && !message.accepted && HeardFromLeader()) {
      return false;
    }
    BecomeFollower(message.term, std::nullopt);
  }
  return true;
}

// Replies with the current term, so that a stale leader or candidate steps down.
void ReplicatedLog::RejectStaleTerm(const Voter& sender, const LogMessage& message) {
  if (message.kind == LogMessageKind::kVote) {
    Send(sender, {.kind = LogMessageKind::kVoteReply, .term = hard_state_.term});
  } else if (message.kind == LogMessageKind::kAppend || message.kind == LogMessageKind::kSnapshot) {
    Send(sender, {.kind = LogMessageKind::kAppendReply, .term = hard_state_.term});
  }
}

void ReplicatedLog::Dispatch(const Voter& sender, const LogMessage& message) {
  switch (message.kind) {
    case LogMessageKind::kPreVote:
      return ReceivePreVoteRequest(sender, message);
    case LogMessageKind::kVote:
      return ReceiveVoteRequest(sender, message);
    case LogMessageKind::kPreVoteReply:
      if (role_ == ReplicaRole::kPreCandidate && message.accepted &&
          message.term == hard_state_.term.next()) {
        CountVote(sender);
      }
      return;
    case LogMessageKind::kVoteReply:
      if (role_ == ReplicaRole::kCandidate && message.accepted) {
        CountVote(sender);
      }
      return;
    case LogMessageKind::kAppend:
      return ReceiveAppend(sender, message);
    case LogMessageKind::kSnapshot:
      return ReceiveSnapshot(sender, message);
    case LogMessageKind::kAppendReply:
      return ReceiveAppendReply(sender, message);
    case LogMessageKind::kSnapshotReply:
      return ReceiveSnapshotReply(sender, message);
    case LogMessageKind::kJoinRequest:
      return ReceiveJoinRequest(sender);
    case LogMessageKind::kTimeoutNow:
      return ReceiveTimeoutNow(sender);
  }
}

void ReplicatedLog::ReceiveTimeoutNow(const Voter& sender) {
  const bool from_leader = role_ == ReplicaRole::kFollower && leader_ == sender.instance;
  if (from_leader && is_voter()) {
    StartElection(true);
  }
}

bool ReplicatedLog::IsUpToDate(const LogMessage& request) const {
  return std::pair(request.log_term, request.index) >=
         std::pair(log_.last_term(), log_.last_index());
}

void ReplicatedLog::ReceivePreVoteRequest(const Voter& sender, const LogMessage& message) {
  // A voter that was removed while it was unreachable still considers itself a voter; its pre-vote
  // counts as a join request.
  if (role_ == ReplicaRole::kLeader && !Contains(voters(), sender)) {
    ReceiveJoinRequest(sender);
  }
  if (!message.to) {
    return;
  }
  const bool granted = message.term > hard_state_.term && !HeardFromLeader() && IsUpToDate(message);
  Send(sender, {.kind = LogMessageKind::kPreVoteReply,
                .term = granted ? message.term : hard_state_.term,
                .accepted = granted});
}

// A candidate requests votes only from the voters in its own log, by incarnation. A learner that
// receives a request has therefore been made a voter. It has to vote even if it has not received
// that entry yet, since the only instance that could send it may have failed.
void ReplicatedLog::ReceiveVoteRequest(const Voter& sender, const LogMessage& message) {
  if (!message.to) {
    return;
  }
  const bool can_vote = !hard_state_.voted_for || *hard_state_.voted_for == sender.instance;
  const bool granted = can_vote && IsUpToDate(message);
  if (granted) {
    role_ = ReplicaRole::kFollower;
    hard_state_.voted_for = sender.instance;
    hard_state_changed_ = true;
    ResetElectionTimer();
  }
  Send(sender, {.kind = LogMessageKind::kVoteReply, .term = hard_state_.term, .accepted = granted});
}

void ReplicatedLog::FollowLeader(const Voter& sender) {
  ENDIVECLEAT_CHECK(role_ != ReplicaRole::kLeader,
                    "two leaders in term " + std::to_string(hard_state_.term.value()));
  BecomeFollower(hard_state_.term, sender.instance);
  leader_heard_ = now_;
  join_request_due_ = now_ + 2 * settings_.heartbeat_interval;
  ResetElectionTimer();
}

void ReplicatedLog::ReceiveAppend(const Voter& sender, const LogMessage& message) {
  FollowLeader(sender);
  LogMessage reply{.kind = LogMessageKind::kAppendReply,
                   .term = hard_state_.term,
                   .index = message.index,
                   .round = message.round};
  // Committed entries match the log of every later leader, also those already compacted.
  const bool matches = message.index <= commit_ || log_.TermAt(message.index) == message.log_term;
  if (!matches) {
    reply.hint = ConflictHint(message.index);
    Send(sender, std::move(reply));
    return;
  }
  StoreEntries(message.entries);
  const LogIndex end(message.index.value() + message.entries.size());
  commit_ = std::max(commit_, std::min(message.commit, end));
  reply.accepted = true;
  reply.index = std::max(end, commit_);
  Send(sender, std::move(reply));
}

// Skips all entries of the conflicting term, so that a long diverging suffix costs one round trip
// per term instead of one per entry.
LogIndex ReplicatedLog::ConflictHint(LogIndex rejected) const {
  const std::optional<Term> conflicting = log_.TermAt(rejected);
  if (!conflicting) {
    return log_.last_index();
  }
  LogIndex hint(rejected.value() - 1);
  while (hint > commit_ && log_.TermAt(hint) == conflicting) {
    hint = LogIndex(hint.value() - 1);
  }
  return hint;
}

void ReplicatedLog::StoreEntries(const std::vector<LogEntry>& entries) {
  for (const LogEntry& entry : entries) {
    if (entry.index <= commit_ || log_.TermAt(entry.index) == entry.term) {
      continue;
    }
    if (entry.index <= log_.last_index()) {
      log_.TruncateFrom(entry.index);
    }
    log_.Append(entry);
    MarkUnstable(entry.index);
  }
}

void ReplicatedLog::ReceiveSnapshot(const Voter& sender, const LogMessage& message) {
  FollowLeader(sender);
  LogMessage reply{.kind = LogMessageKind::kSnapshotReply,
                   .term = hard_state_.term,
                   .index = message.index,
                   .round = message.round};
  if (message.index > commit_) {
    if (incoming_snapshot_term_ != message.term || incoming_snapshot_index_ != message.index) {
      incoming_snapshot_term_ = message.term;
      incoming_snapshot_index_ = message.index;
      incoming_snapshot_state_.clear();
    }
    if (message.offset == incoming_snapshot_state_.size()) {
      incoming_snapshot_state_ += message.data;
    }
    if (incoming_snapshot_state_.size() < message.total) {
      reply.offset = incoming_snapshot_state_.size();
      Send(sender, std::move(reply));
      return;
    }
    InstallSnapshot(message);
  }
  reply.kind = LogMessageKind::kAppendReply;
  reply.accepted = true;
  reply.index = commit_;
  Send(sender, std::move(reply));
}

void ReplicatedLog::InstallSnapshot(const LogMessage& last_chunk) {
  log_.InstallSnapshot({last_chunk.index, last_chunk.log_term, last_chunk.voters,
                        std::exchange(incoming_snapshot_state_, {})});
  incoming_snapshot_index_ = LogIndex();
  commit_ = last_chunk.index;
  applied_ = last_chunk.index;
  snapshot_changed_ = true;
  restore_ = true;
  unstable_from_ = last_chunk.index.next();
}

void ReplicatedLog::SendJoinRequest() {
  join_request_due_ = now_ + 2 * settings_.heartbeat_interval;
  for (const InstanceId& member : settings_.members) {
    if (member != self_) {
      const LogMessage join_request{.kind = LogMessageKind::kJoinRequest, .from = incarnation_};
      outbox_.push_back({member, EncodeLogMessage(join_request)});
    }
  }
}

void ReplicatedLog::Send(const Voter& to, LogMessage message) {
  if (to.instance == self_) {
    return;
  }
  message.from = incarnation_;
  message.to = to.incarnation;
  outbox_.push_back({to.instance, EncodeLogMessage(message)});
}

void ReplicatedLog::MarkUnstable(LogIndex from) {
  unstable_from_ = unstable_from_ ? std::min(*unstable_from_, from) : from;
}

void ReplicatedLog::AppendLocal(EntryKind kind, std::string payload) {
  const LogIndex index = log_.last_index().next();
  log_.Append({index, hard_state_.term, kind, std::move(payload)});
  MarkUnstable(index);
}

std::optional<LogIndex> ReplicatedLog::Propose(TimePoint now, std::string command) {
  now_ = std::max(now_, now);
  if (role_ != ReplicaRole::kLeader || now_ < transfer_deadline_) {
    return std::nullopt;
  }
  AppendLocal(EntryKind::kCommand, std::move(command));
  AdvanceCommit();
  return log_.last_index();
}

void ReplicatedLog::RequestRead(TimePoint now, uint64_t token) {
  now_ = std::max(now_, now);
  if (role_ != ReplicaRole::kLeader) {
    read_results_.push_back({.token = token});
    return;
  }
  if (!round_unsent_) {
    ++round_;
    round_unsent_ = true;
    heartbeat_pending_ = true;
  }
  reads_.push_back({token, round_});
}

Ready ReplicatedLog::TakeReady() {
  if (role_ == ReplicaRole::kLeader) {
    ConfirmReads();
    FlushToPeers();
  }
  Ready ready;
  if (std::exchange(hard_state_changed_, false)) {
    ready.hard_state = hard_state_;
  }
  if (std::exchange(snapshot_changed_, false)) {
    ready.snapshot = *log_.snapshot();
  }
  ready.restore = std::exchange(restore_, false);
  if (unstable_from_) {
    ready.entries = log_.Slice(*unstable_from_, log_.last_index(), ByteCount(UINT64_MAX));
    unstable_from_.reset();
  }
  FillCommitIndex(ready);
  ready.messages = std::exchange(outbox_, {});
  ready.reads = std::exchange(read_results_, {});
  FillCommitted(ready);
  return ready;
}

// The commit index is persisted so that a restarted replica can apply the committed entries without
// waiting for a leader. It is added to the next write, and written alone only when no other write
// happens within kCommitWriteDelay.
void ReplicatedLog::FillCommitIndex(Ready& ready) {
  const bool writes = ready.hard_state || ready.snapshot || !ready.entries.empty();
  if (commit_ == stored_commit_) {
    commit_write_due_ = TimePoint::max();
  } else if (!writes && commit_write_due_ == TimePoint::max()) {
    commit_write_due_ = now_ + kCommitWriteDelay;
  }
  if (ready.snapshot || (commit_ != stored_commit_ && (writes || now_ >= commit_write_due_))) {
    ready.commit = commit_;
    stored_commit_ = commit_;
    commit_write_due_ = TimePoint::max();
  }
}

void ReplicatedLog::FillCommitted(Ready& ready) {
  if (applied_ < commit_) {
    ready.committed = log_.Slice(applied_.next(), commit_, ByteCount(UINT64_MAX));
    applied_ = commit_;
  }
}

void ReplicatedLog::Compact(LogIndex through, std::string state) {
  ENDIVECLEAT_CHECK(through <= applied_, "entries that are not applied cannot be compacted");
  log_.Compact(through, std::move(state));
  snapshot_changed_ = true;
  unstable_from_ = through.next();
}

bool ReplicatedLog::needs_compaction() const {
  const uint64_t entries = applied_.value() - log_.snapshot()->index.value();
  const uint64_t bytes = log_.BytesSinceSnapshot(applied_).value();
  // Writing a large snapshot for every 1,000 small entries would cost far more than the entries.
  const uint64_t state_bytes = log_.snapshot()->state.size();
  return bytes >= std::max(kCompactionBytes, state_bytes) ||
         (entries >= kCompactionEntries && bytes >= state_bytes);
}

}  // namespace endivecleat
