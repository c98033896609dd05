// Messages between the replicas of a replicated log, and their CBOR encoding. ReplicatedLog creates
// and interprets them; the file format of the log shares the encoding of entries.
#ifndef ENDIVECLEAT_REPLICATED_LOG_MESSAGE_H_
#define ENDIVECLEAT_REPLICATED_LOG_MESSAGE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "log_entry.h"

namespace endivecleat {

enum class LogMessageKind {
  kPreVote,        // index, log_term: of the sender's last entry
  kPreVoteReply,   // accepted
  kVote,           // as kPreVote; accepted: the leader requested this election (TimeoutNow)
  kVoteReply,      // accepted
  kAppend,         // index, log_term: of the entry before `entries`; commit, round, entries
  kAppendReply,    // accepted; index: the last matching entry, or the rejected one; hint, round
  kSnapshot,       // index, log_term, voters: of the snapshot; offset, total, data, round
  kSnapshotReply,  // index: of the snapshot; offset: of the next chunk to send; round
  kJoinRequest,    // a learner asks the leader to replicate the log to it
  kTimeoutNow,     // leadership transfer: the receiver starts an election at once
};

/// One message. Each kind uses the fields named in LogMessageKind; the others keep their defaults.
struct LogMessage {
  LogMessageKind kind = LogMessageKind::kJoinRequest;
  Incarnation from;
  std::optional<Incarnation> to;  // nullopt: the sender does not know the receiver's incarnation
  Term term;
  LogIndex index;
  Term log_term;
  bool accepted = false;
  LogIndex hint;  // highest index at which the follower's log may match the leader's
  LogIndex commit;
  uint64_t round = 0;  // of the leader's read confirmation; a reply echoes it
  std::vector<LogEntry> entries;
  std::vector<Voter> voters;
  uint64_t offset = 0;
  uint64_t total = 0;
  std::string data;

  bool operator==(const LogMessage&) const = default;
};

std::string EncodeLogMessage(const LogMessage& message);

/// Throws UserError (kMessageMalformed) when the bytes are not a valid message.
LogMessage DecodeLogMessage(std::string_view bytes);

/// CBOR encoding of entries in messages and in the log file: [[index, term, kind, payload], ...].
std::string EncodeEntries(const std::vector<LogEntry>& entries);

/// Throws UserError (kMessageMalformed) when the bytes are not valid.
std::vector<LogEntry> DecodeEntries(std::string_view bytes);

}  // namespace endivecleat

#endif  // ENDIVECLEAT_REPLICATED_LOG_MESSAGE_H_
