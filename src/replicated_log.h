// One replica of a replicated log: the Raft algorithm with pre-vote, check-quorum, ReadIndex reads,
// learners, leadership transfer and single-server membership changes. It does no I/O and reads no
// clock: the caller passes events and the current time, and TakeReady returns what to persist, send
// and apply. ReplicaTask connects it with the disk, the network and the state machine.
#ifndef ENDIVECLEAT_REPLICATED_LOG_H_
#define ENDIVECLEAT_REPLICATED_LOG_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "entry_log.h"
#include "log_entry.h"
#include "replicated_log_message.h"
#include "seeded_random.h"
#include "units.h"

namespace endivecleat {

struct ReplicatedLogSettings {
  // Instances that may become voters. A learner sends its join requests to them, and a leader
  // accepts join requests from no others.
  std::vector<InstanceId> members;
  // Number of voters that the leader maintains by replacing an unreachable voter with a learner. 0:
  // the set of voting instances is fixed, and a voter is replaced only by a new incarnation of the
  // same instance.
  size_t desired_voters = 0;
  // A voter from which the leader has received nothing for this time is replaced. A learner that
  // has caught up must become a voter before the next failure, which may come 4 s after the learner
  // started.
  Duration voter_silence_timeout = std::chrono::milliseconds(2500);
  uint64_t seed = 0;  // differs between members, so that their election timeouts differ too
  Duration heartbeat_interval = std::chrono::milliseconds(500);
  // Longer than a few heartbeat intervals plus a round trip between regions, so that one lost
  // heartbeat does not start an election. A leader that receives nothing from a majority for this
  // time steps down (check-quorum).
  Duration election_timeout_min = std::chrono::seconds(2);
  Duration election_timeout_max = std::chrono::seconds(4);
  // Upper limit for the entry payloads of one append message and the data of one snapshot chunk.
  ByteCount batch_bytes{uint64_t{256} * 1024};
};

/// Role of a replica in its current term. A learner has the role kFollower; see is_voter().
enum class ReplicaRole { kFollower, kPreCandidate, kCandidate, kLeader };

/// The Raft state of one replica. Not thread-safe.
class ReplicatedLog {
 public:
  /// `stored` is the state that this replica persisted before its restart, or an initial log.
  ReplicatedLog(InstanceId self, ReplicatedLogSettings settings, StoredLog stored, TimePoint now);

  /// Replaces the instances that may become voters. The current voter set stays in effect until the
  /// leader changes it.
  void SetMembers(std::vector<InstanceId> members) { settings_.members = std::move(members); }

  /// Runs the election, heartbeat and join timers that have expired.
  void Tick(TimePoint now);

  /// The time of the next call of Tick.
  TimePoint next_timer() const;

  /// Processes an encoded LogMessage. Throws UserError (kMessageMalformed), without any change of
  /// state, when the message cannot be decoded.
  void Receive(TimePoint now, const InstanceId& from, std::string_view message);

  /// Appends a command to the log and returns its index; nullopt when this replica is not the
  /// leader. The command is committed only when Ready.committed returns an entry with this index
  /// and the term of the proposal.
  std::optional<LogIndex> Propose(TimePoint now, std::string command);

  /// Asks a voter with a complete log to start an election at once, so that a planned shutdown does
  /// not cost an election timeout. Propose returns nullopt until the transfer has succeeded or an
  /// election timeout has passed. Returns false when this replica is not the leader or no reachable
  /// voter has the complete log.
  bool TransferLeadership(TimePoint now);

  /// Starts a linearizable read (ReadIndex). The result with this token is returned in Ready.reads:
  /// confirmed once a majority has acknowledged this leader after the call, unconfirmed when this
  /// replica is not the leader or loses leadership.
  void RequestRead(TimePoint now, uint64_t token);

  /// Returns what to persist, send and apply since the last call. The caller must finish one Ready
  /// before it takes the next.
  Ready TakeReady();

  /// Replaces the entries up to and including `through` by a snapshot. `state` is the state machine
  /// after applying `through`, which Ready.committed must have returned.
  void Compact(LogIndex through, std::string state);

  /// True when the entries applied since the snapshot number at least kCompactionEntries or occupy
  /// at least kCompactionBytes, and are at least as large as the snapshot's state.
  bool needs_compaction() const;

  ReplicaRole role() const { return role_; }
  Term term() const { return hard_state_.term; }
  const std::optional<InstanceId>& leader() const { return leader_; }
  LogIndex commit_index() const { return commit_; }
  LogIndex last_index() const { return log_.last_index(); }
  Incarnation incarnation() const { return incarnation_; }
  const std::vector<Voter>& voters() const { return log_.voters(); }

  /// False for a learner, which receives the log but neither votes nor counts towards a majority.
  bool is_voter() const { return Contains(voters(), identity()); }

  static constexpr uint64_t kCompactionEntries = 1000;
  static constexpr uint64_t kCompactionBytes = uint64_t{4} * 1024 * 1024;

 private:
  /// The leader's view of the log of another replica.
  struct Progress {
    LogIndex match;  // highest entry known to be replicated to the peer
    LogIndex next;   // next entry to send; > match
    TimePoint last_heard;
    uint64_t acked_round = 0;
    // False while the leader probes for the last matching entry; only one batch is sent at a time
    // then.
    bool replicating = false;
    int batches_in_flight = 0;
    // Set during a snapshot transfer; later compactions of the log do not change it.
    std::shared_ptr<const LogSnapshot> snapshot;
    uint64_t snapshot_offset = 0;
    std::optional<TimePoint> snapshot_sent;  // of the chunk in flight; nullopt: none is
    // A learner has caught up when it stores catch_up_index, the last entry at catch_up_start,
    // within one election timeout.
    uint64_t joined_round = 0;  // replies to earlier rounds were sent before the learner joined
    LogIndex catch_up_index;
    TimePoint catch_up_start;
    bool caught_up = false;
  };

  struct PendingRead {
    uint64_t token;
    uint64_t round;
  };

  Voter identity() const { return {self_, incarnation_}; }
  bool HeardFromLeader() const;
  void ResetElectionTimer();
  void BecomeFollower(Term term, std::optional<InstanceId> leader);
  void StartPreVote();
  void StartElection(bool leadership_transfer);
  void RequestVotes(LogMessageKind kind, Term term, bool leadership_transfer);
  void ReceiveTimeoutNow(const Voter& sender);
  void CountVote(const Voter& sender);
  bool CheckTerm(const Voter& sender, const LogMessage& message);
  void RejectStaleTerm(const Voter& sender, const LogMessage& message);
  void Dispatch(const Voter& sender, const LogMessage& message);
  void ReceivePreVoteRequest(const Voter& sender, const LogMessage& message);
  void ReceiveVoteRequest(const Voter& sender, const LogMessage& message);
  void ReceiveAppend(const Voter& sender, const LogMessage& message);
  void ReceiveSnapshot(const Voter& sender, const LogMessage& message);
  void FollowLeader(const Voter& sender);
  bool IsUpToDate(const LogMessage& request) const;
  LogIndex ConflictHint(LogIndex rejected) const;
  void StoreEntries(const std::vector<LogEntry>& entries);
  void InstallSnapshot(const LogMessage& last_chunk);
  void SendJoinRequest();
  void Send(const Voter& to, LogMessage message);
  void AppendLocal(EntryKind kind, std::string payload);
  void MarkUnstable(LogIndex from);
  void FillCommitIndex(Ready& ready);
  void FillCommitted(Ready& ready);

  // Functions of the leader, defined in replicated_log_leader.cc.
  void BecomeLeader();
  void LeaderTick();
  bool HeardFromMajority(Duration within) const;
  void TrackNewVoters();
  void ReceiveJoinRequest(const Voter& sender);
  void ReceiveAppendReply(const Voter& sender, const LogMessage& message);
  void ReceiveSnapshotReply(const Voter& sender, const LogMessage& message);
  void HandleMatch(Progress& progress, LogIndex match);
  void HandleMismatch(Progress& progress, const LogMessage& message);
  void UpdateCatchUp(Progress& progress, uint64_t round);
  void AdvanceCommit();
  void ChangeVoters();
  std::optional<std::vector<Voter>> VotersWithNewIncarnation() const;
  std::optional<std::vector<Voter>> VotersWithRestoredCount() const;
  bool IsReadyLearner(const Voter& peer, const Progress& progress) const;
  bool IsSilentVoter(const Voter& voter) const;
  void FlushToPeers();
  void FlushTo(const Voter& peer, Progress& progress);
  void SendHeartbeat(const Voter& peer, Progress& progress);
  void SendEntries(const Voter& peer, Progress& progress);
  void SendSnapshotChunk(const Voter& peer, Progress& progress);
  void ConfirmReads();

  InstanceId self_;
  ReplicatedLogSettings settings_;
  Incarnation incarnation_;
  SeededRandom random_;
  TimePoint now_;

  HardState hard_state_;
  EntryLog log_;
  LogIndex commit_;         // >= the snapshot's index
  LogIndex applied_;        // last entry returned in Ready.committed; <= commit_
  LogIndex stored_commit_;  // commit index in the last Ready that contained one; <= commit_
  // When the commit index is written without any other data; max() when that is not scheduled.
  TimePoint commit_write_due_ = TimePoint::max();

  ReplicaRole role_ = ReplicaRole::kFollower;
  std::optional<InstanceId> leader_;
  std::optional<TimePoint> leader_heard_;
  TimePoint election_due_;
  TimePoint join_request_due_;
  std::set<Voter> votes_;  // voters that granted the current (pre-)vote

  // A partially received snapshot, identified by the term of its sender and its index.
  Term incoming_snapshot_term_;
  LogIndex incoming_snapshot_index_;
  std::string incoming_snapshot_state_;

  // State of the leader; progress_ and reads_ are empty in all other roles.
  std::map<Voter, Progress> progress_;
  std::vector<PendingRead> reads_;
  TimePoint heartbeat_due_;
  uint64_t round_ = 0;         // number of the newest heartbeat round that confirms reads
  bool round_unsent_ = false;  // true until the round is sent; further reads can join it
  bool heartbeat_pending_ = false;
  TimePoint transfer_deadline_;  // end of a leadership transfer; no proposals before it

  // Contents of the next Ready.
  bool hard_state_changed_ = false;
  bool snapshot_changed_ = false;
  bool restore_ = false;
  std::optional<LogIndex> unstable_from_;  // first entry not yet returned in Ready.entries
  std::vector<OutgoingMessage> outbox_;
  std::vector<ReadResult> read_results_;
};

}  // namespace endivecleat

#endif  // ENDIVECLEAT_REPLICATED_LOG_H_
