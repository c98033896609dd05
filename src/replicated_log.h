// One replica of a replicated log: Raft with pre-vote, check-quorum, read confirmation, learners
// and single-member changes. It has no clock, disk or socket: events and the time go in, and
// TakeReady returns what to persist, send and apply.
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
  // Instances that may be voters. A learner announces itself to them, and a leader admits no other.
  std::vector<InstanceId> members;
  // Voters that the leader keeps up by replacing one that falls silent with a learner. 0: the
  // voters stay the same instances, and only a new incarnation of one replaces it.
  size_t voters_wanted = 0;
  // A voter that has been silent for this time is replaced. A successor that has caught up must be
  // a voter before the next loss, which may follow its start by 4 s.
  Duration voter_silence = std::chrono::milliseconds(2500);
  uint64_t seed = 0;  // must differ between the members, so that their election timeouts do
  Duration heartbeat_interval = std::chrono::milliseconds(500);
  // Longer than a few heartbeats plus a round trip between regions, so that one lost heartbeat
  // starts no election. Also how long a leader goes on without hearing from a majority.
  Duration election_timeout_min = std::chrono::seconds(2);
  Duration election_timeout_max = std::chrono::seconds(4);
  ByteCount batch_bytes{uint64_t{256} *
                        1024};  // payload of one append, and data of one snapshot message
};

enum class ReplicaRole { kFollower, kPreCandidate, kCandidate, kLeader };

class ReplicatedLog {
 public:
  ReplicatedLog(InstanceId self, ReplicatedLogSettings settings, StoredLog stored, TimePoint now);

  /// Replaces the instances that may be voters. Voters of the log stay until the leader changes
  /// them.
  void SetMembers(std::vector<InstanceId> members) { settings_.members = std::move(members); }

  /// Runs the timers that are due.
  void Tick(TimePoint now);

  /// When Tick is due next.
  TimePoint next_timer() const;

  /// Throws UserError (kMessageMalformed) when the message cannot be decoded; the state does not
  /// change then.
  void Receive(TimePoint now, const InstanceId& from, std::string_view message);

  /// Appends a command and returns its index; nullopt when this replica is not the leader. The
  /// command is accepted only when Ready.committed returns this index with the same term.
  std::optional<LogIndex> Propose(TimePoint now, std::string command);

  /// Asks a follower that holds everything to take over, so that a planned stop costs no election
  /// timeout. Until it has, or an election timeout has passed, Propose returns nullopt. False when
  /// this replica does not lead or no follower holds everything yet.
  bool TransferLeadership(TimePoint now);

  /// Answered in Ready.reads: confirmed once a majority has confirmed the leader after this call,
  /// or unconfirmed when this replica is not the leader or ceases to be it.
  void RequestRead(TimePoint now, uint64_t token);

  /// What to persist, send and apply. The caller finishes one Ready before it takes the next.
  Ready TakeReady();

  /// Replaces the entries up to `through`, which Ready.committed has returned, by the state after
  /// them.
  void Compact(LogIndex through, std::string state);

  /// True when the applied entries after the snapshot have reached 1,000 or 4 MiB, and the size of
  /// the snapshot's state.
  bool wants_compaction() const;

  ReplicaRole role() const { return role_; }
  Term term() const { return hard_state_.term; }
  const std::optional<InstanceId>& leader() const { return leader_; }
  LogIndex commit_index() const { return commit_; }
  LogIndex last_index() const { return log_.last_index(); }
  Incarnation incarnation() const { return incarnation_; }
  const std::vector<Voter>& voters() const { return log_.voters(); }

  /// False for a learner, which neither votes nor counts towards a majority.
  bool is_voter() const { return Contains(voters(), identity()); }

  static constexpr uint64_t kCompactionEntries = 1000;
  static constexpr uint64_t kCompactionBytes = uint64_t{4} * 1024 * 1024;

 private:
  /// What the leader knows about another replica.
  struct Progress {
    LogIndex match;  // highest entry known to be stored there
    LogIndex next;   // first entry to send; > match
    TimePoint last_heard;
    uint64_t acked_round = 0;
    bool replicating = false;  // false until an append has matched: one batch at a time
    int batches_in_flight = 0;
    // Set while a snapshot is sent; it stays the same one when the log is compacted again.
    std::shared_ptr<const LogSnapshot> snapshot;
    uint64_t snapshot_offset = 0;
    std::optional<TimePoint> snapshot_sent;  // nullopt: the next part has not been sent
    // Catching up of a learner: it reaches the log's end as of round_start within a timeout.
    uint64_t joined_round = 0;  // replies to earlier rounds come from before it joined
    LogIndex round_target;
    TimePoint round_start;
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
  void StartElection(bool handover);
  void AskForVotes(LogMessageKind kind, Term term, bool handover);
  void ReceiveHandover(const Voter& sender);
  void CountVote(const Voter& sender);
  bool AcceptTerm(const Voter& sender, const LogMessage& message);
  void RefuseOldTerm(const Voter& sender, const LogMessage& message);
  void Dispatch(const Voter& sender, const LogMessage& message);
  void ReceivePreVote(const Voter& sender, const LogMessage& message);
  void ReceiveVote(const Voter& sender, const LogMessage& message);
  void ReceiveAppend(const Voter& sender, const LogMessage& message);
  void ReceiveSnapshot(const Voter& sender, const LogMessage& message);
  void FollowLeader(const Voter& sender);
  bool IsUpToDate(const LogMessage& request) const;
  LogIndex ConflictHint(LogIndex rejected) const;
  void StoreEntries(const std::vector<LogEntry>& entries);
  void InstallSnapshot(const LogMessage& last_part);
  void SendHello();
  void Send(const Voter& to, LogMessage message);
  void AppendLocal(EntryKind kind, std::string payload);
  void MarkUnstable(LogIndex from);
  void NoteCommit(Ready& ready);
  void FillCommitted(Ready& ready);

  // The leader's part, in replicated_log_leader.cc.
  void BecomeLeader();
  void LeaderTick();
  bool HeardFromMajority(Duration within) const;
  void TrackVoters();
  void ReceiveHello(const Voter& sender);
  void ReceiveAppendReply(const Voter& sender, const LogMessage& message);
  void ReceiveSnapshotReply(const Voter& sender, const LogMessage& message);
  void HandleMatch(Progress& progress, LogIndex match);
  void HandleMismatch(Progress& progress, const LogMessage& message);
  void UpdateCatchUp(Progress& progress, uint64_t round);
  void AdvanceCommit();
  void ChangeVoters();
  std::optional<std::vector<Voter>> ReplacedIncarnation() const;
  std::optional<std::vector<Voter>> RestoredVoterCount() const;
  bool IsReadyLearner(const Voter& peer, const Progress& progress) const;
  bool IsSilentVoter(const Voter& voter) const;
  void FlushToPeers();
  void FlushTo(const Voter& peer, Progress& progress);
  void SendHeartbeat(const Voter& peer, Progress& progress);
  void SendEntries(const Voter& peer, Progress& progress);
  void SendSnapshotPart(const Voter& peer, Progress& progress);
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
  LogIndex stored_commit_;  // as of the last Ready; <= commit_
  TimePoint commit_note_due_ = TimePoint::max();  // when the commit index is written on its own

  ReplicaRole role_ = ReplicaRole::kFollower;
  std::optional<InstanceId> leader_;
  std::optional<TimePoint> leader_heard_;
  TimePoint election_due_;
  TimePoint hello_due_;
  std::set<Voter> votes_;  // granted to this replica in the running (pre-)election

  // A snapshot that arrives in parts, from the leader of one term.
  Term incoming_term_;
  LogIndex incoming_index_;
  std::string incoming_state_;

  // Empty unless this replica leads.
  std::map<Voter, Progress> progress_;
  std::vector<PendingRead> reads_;
  TimePoint heartbeat_due_;
  uint64_t round_ = 0;       // of the read confirmation that was started last
  bool round_open_ = false;  // the round has not been sent, so another read can share it
  bool heartbeat_wanted_ = false;
  TimePoint transfer_until_;  // no proposals before: leadership is being handed over

  // Collected for the next Ready.
  bool hard_state_changed_ = false;
  bool snapshot_changed_ = false;
  bool restore_ = false;
  std::optional<LogIndex> unstable_from_;  // first entry that no Ready has returned for storing
  std::vector<Outgoing> outbox_;
  std::vector<ReadResult> read_results_;
};

}  // namespace endivecleat

#endif  // ENDIVECLEAT_REPLICATED_LOG_H_
