// In-memory log of one replica: a snapshot, the entries after it, and the voter set that results
// from both. ReplicatedLog decides what to append, truncate and compact.
#ifndef ENDIVECLEAT_ENTRY_LOG_H_
#define ENDIVECLEAT_ENTRY_LOG_H_

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "log_entry.h"

namespace endivecleat {

/// A snapshot followed by entries without gaps. Some entries before the snapshot may be retained.
class EntryLog {
 public:
  /// Throws InternalError when the entries do not follow the snapshot without a gap.
  EntryLog(LogSnapshot snapshot, std::vector<LogEntry> entries);

  LogIndex last_index() const { return LogIndex(base_index_.value() + entries_.size()); }
  Term last_term() const { return entries_.empty() ? base_term_ : entries_.back().term; }

  /// The term of an entry; nullopt when the entry is compacted or does not exist.
  std::optional<Term> TermAt(LogIndex index) const;

  /// Whether the entry is in memory, with its payload.
  bool Holds(LogIndex index) const { return index > base_index_ && index <= last_index(); }

  /// Entries `from` to `through`, inclusive, up to `limit` bytes of payload but at least one.
  std::vector<LogEntry> Slice(LogIndex from, LogIndex through, ByteCount limit) const;

  void Append(LogEntry entry);

  /// Removes the entry at `index` and all after it, and the voter sets that they define.
  void TruncateFrom(LogIndex index);

  /// Makes `state`, the state after applying `through`, the snapshot. The newest entries before it
  /// stay in memory, up to kRetainedEntries and kRetainedBytes, so that a follower that is slightly
  /// behind needs no snapshot.
  void Compact(LogIndex through, std::string state);

  /// Replaces the log up to the snapshot's index. Entries after it are kept only when the log
  /// contains the snapshot's last entry with the same term.
  void InstallSnapshot(LogSnapshot snapshot);

  const std::shared_ptr<const LogSnapshot>& snapshot() const { return snapshot_; }

  /// The voter set in effect: that of the last kVoters entry, committed or not, as Raft requires.
  const std::vector<Voter>& voters() const { return voters_.rbegin()->second; }
  LogIndex voters_index() const { return voters_.rbegin()->first; }

  /// Payload bytes of the entries after the snapshot up to and including `through`.
  ByteCount BytesSinceSnapshot(LogIndex through) const;

  static constexpr size_t kRetainedEntries = 1000;
  static constexpr size_t kRetainedBytes = size_t{4} * 1024 * 1024;

 private:
  const LogEntry& At(LogIndex index) const;
  void SetSnapshot(LogSnapshot snapshot);
  void DropOldEntries();

  std::shared_ptr<const LogSnapshot> snapshot_;
  LogIndex base_index_;  // entry before entries_.front(); <= snapshot_->index
  Term base_term_;
  std::deque<LogEntry> entries_;  // contiguous from base_index_ + 1
  std::map<LogIndex, std::vector<Voter>>
      voters_;  // by entry index, the snapshot's first; never empty
};

}  // namespace endivecleat

#endif  // ENDIVECLEAT_ENTRY_LOG_H_
