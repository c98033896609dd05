// Values that a replicated log exchanges with its store, its state machine and the network.
#ifndef ENDIVECLEAT_LOG_ENTRY_H_
#define ENDIVECLEAT_LOG_ENTRY_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "units.h"
#include "voter_set.h"

namespace endivecleat {

enum class EntryKind { kNoop, kCommand, kVoters };

struct LogEntry {
  LogIndex index;
  Term term;
  EntryKind kind = EntryKind::kNoop;
  std::string payload;

  bool operator==(const LogEntry&) const = default;
};

/// The state after applying all entries up to and including `index`.
struct LogSnapshot {
  LogIndex index;
  Term term;
  std::vector<Voter> voters;
  std::string state;

  bool operator==(const LogSnapshot&) const = default;
};

struct HardState {
  Term term;
  std::optional<InstanceId> voted_for;

  bool operator==(const HardState&) const = default;
};

/// What a restarted instance knows.
struct StoredLog {
  Incarnation incarnation;
  HardState hard_state;
  LogSnapshot snapshot;
  std::vector<LogEntry> entries;  // the first one has index snapshot.index + 1
  // Known to be committed when the log was written; what was committed later shows only in a
  // leader's messages. At most the index of the last entry.
  LogIndex commit;

  bool operator==(const StoredLog&) const = default;
};

struct Outgoing {
  InstanceId to;
  std::string message;  // CBOR
};

struct ReadResult {
  uint64_t token = 0;
  bool confirmed = false;
  LogIndex wait_for;  // answer the read after applying this index; unset when not confirmed
};

/// What a replicated log wants done, in this order: persist and sync, then send, then apply.
struct Ready {
  std::optional<HardState> hard_state;
  // With a snapshot, `entries` holds the whole log after it and nothing stored before remains.
  std::optional<LogSnapshot> snapshot;
  // The snapshot came from the leader; the state machine restarts from it before `committed`.
  bool restore = false;
  std::vector<LogEntry> entries;   // replaces any stored entry from entries.front().index on
  std::optional<LogIndex> commit;  // to be stored with the rest; only a restart needs it
  std::vector<Outgoing> messages;
  std::vector<LogEntry> committed;
  std::vector<ReadResult> reads;
};

}  // namespace endivecleat

#endif  // ENDIVECLEAT_LOG_ENTRY_H_
