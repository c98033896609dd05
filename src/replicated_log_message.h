// Messages between the replicas of a replicated log, and their CBOR form.
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
  kVote,           // the same; accepted: the leader hands over to the sender
  kVoteReply,      // accepted
  kAppend,         // index, log_term: of the entry before `entries`; commit, round, entries
  kAppendReply,    // accepted; index: the last matching entry, or the rejected one; hint, round
  kSnapshot,       // index, log_term, voters: of the snapshot; offset, total, data, round
  kSnapshotReply,  // index: of the snapshot; offset: the next byte wanted; round
  kHello,          // a learner asks the leader for the log
  kHandover,       // the leader asks the receiver to stand for election at once
};

/// One message; each kind uses the members named at it, and the others stay at their defaults.
struct LogMessage {
  LogMessageKind kind = LogMessageKind::kHello;
  Incarnation from;
  std::optional<Incarnation> to;  // nullopt: the sender does not know the receiver's incarnation
  Term term;
  LogIndex index;
  Term log_term;
  bool accepted = false;
  LogIndex hint;  // where the receiver's log may match the sender's
  LogIndex commit;
  uint64_t round = 0;  // a reply repeats the round of its request
  std::vector<LogEntry> entries;
  std::vector<Voter> voters;
  uint64_t offset = 0;
  uint64_t total = 0;
  std::string data;

  bool operator==(const LogMessage&) const = default;
};

std::string EncodeLogMessage(const LogMessage& message);

/// Throws UserError (kMessageMalformed) when the bytes are no message of this protocol.
LogMessage DecodeLogMessage(std::string_view bytes);

/// CBOR of entries, shared with the store: [[index, term, kind, payload], ...].
std::string EncodeEntries(const std::vector<LogEntry>& entries);
std::vector<LogEntry> DecodeEntries(std::string_view bytes);

}  // namespace endivecleat

#endif  // ENDIVECLEAT_REPLICATED_LOG_MESSAGE_H_
