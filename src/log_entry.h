// Data types that ReplicatedLog exchanges with LogStore, the state machine and the network:
// entries, snapshots, persistent state, and the Ready of one processing step.
#ifndef ENDIVECLEAT_LOG_ENTRY_H_
#define ENDIVECLEAT_LOG_ENTRY_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "units.h"
#include "voter_set.h"

namespace endivecleat {

/// kNoop: appended by a new leader; kCommand: for the state machine; kVoters: the new voter set.
enum class EntryKind { kNoop, kCommand, kVoters };

struct LogEntry {
  LogIndex index;
  Term term;
  EntryKind kind = EntryKind::kNoop;
  std::string payload;

  bool operator==(const LogEntry&) const = default;
};

/// The state machine's state and the voter set after all entries up to and including `index`.
struct LogSnapshot {
  LogIndex index;
  Term term;
  std::vector<Voter> voters;
  std::string state;

  bool operator==(const LogSnapshot&) const = default;
};

/// The part of the Raft state that must be persisted before any reply that depends on it.
struct HardState {
  Term term;
  std::optional<InstanceId> voted_for;

  bool operator==(const HardState&) const = default;
};

/// The persistent state of a replica, as read at a start.
struct StoredLog {
  Incarnation incarnation;
  HardState hard_state;
  LogSnapshot snapshot;
  std::vector<LogEntry> entries;  // the first one has index snapshot.index + 1
  // Commit index when the log was last written, which may be lower than the current one. At most
  // the index of the last entry.
  LogIndex commit;

  bool operator==(const StoredLog&) const = default;
};

struct OutgoingMessage {
  InstanceId to;
  std::string message;  // an encoded LogMessage
};

/// Outcome of ReplicatedLog::RequestRead.
struct ReadResult {
  uint64_t token = 0;  // as passed to RequestRead
  bool confirmed = false;
  LogIndex read_index;  // serve the read after applying this index; 0 when not confirmed
};

/// Work for the caller of ReplicatedLog, in this order: persist and sync, then send, then apply.
struct Ready {
  std::optional<HardState> hard_state;
  // If set, `entries` holds the whole log after the snapshot, and both replace the stored log.
  std::optional<LogSnapshot> snapshot;
  // The snapshot came from the leader: the state machine must be restored from it before
  // `committed` is applied.
  bool restore = false;
  std::vector<LogEntry> entries;   // replaces stored entries from entries.front().index on
  std::optional<LogIndex> commit;  // to be persisted; needed only after a restart
  std::vector<OutgoingMessage> messages;
  std::vector<LogEntry> committed;  // to be applied
  std::vector<ReadResult> reads;
};

}  // namespace endivecleat

#endif  // ENDIVECLEAT_LOG_ENTRY_H_
