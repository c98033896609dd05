// The entries and the snapshot of one replica in memory, and the voter set that they imply.
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

class EntryLog {
 public:
  /// Throws InternalError when the entries do not follow the snapshot without a gap.
  EntryLog(LogSnapshot snapshot, std::vector<LogEntry> entries);

  LogIndex last_index() const { return LogIndex(base_index_.value() + entries_.size()); }
  Term last_term() const { return entries_.empty() ? base_term_ : entries_.back().term; }

  /// The term of an entry; nullopt when it is compacted away or does not exist.
  std::optional<Term> TermAt(LogIndex index) const;

  /// Whether the entry itself is still in memory.
  bool Holds(LogIndex index) const { return index > base_index_ && index <= last_index(); }

  /// Entries from `from` through `through`, at least one and at most `limit` bytes of payload.
  std::vector<LogEntry> Slice(LogIndex from, LogIndex through, ByteCount limit) const;

  void Append(LogEntry entry);
  void TruncateFrom(LogIndex index);

  /// Makes the state after `through` the snapshot. Entries before it stay in memory, up to
  /// kRetainedEntries and kRetainedBytes, so that a follower that is slightly behind needs no
  /// snapshot.
  void Compact(LogIndex through, std::string state);

  /// Replaces the log up to the snapshot's index. Entries after it stay only when the log holds the
  /// snapshot's last entry.
  void Install(LogSnapshot snapshot);

  const std::shared_ptr<const LogSnapshot>& snapshot() const { return snapshot_; }

  /// The voter set in effect: that of the last kVoters entry, committed or not.
  const std::vector<Voter>& voters() const { return voters_.rbegin()->second; }
  LogIndex voters_index() const { return voters_.rbegin()->first; }

  /// Payload bytes of the entries after the snapshot, through `through`.
  ByteCount BytesSinceSnapshot(LogIndex through) const;

  static constexpr size_t kRetainedEntries = 1000;
  static constexpr size_t kRetainedBytes = size_t{4} * 1024 * 1024;

 private:
  const LogEntry& At(LogIndex index) const;
  void SetSnapshot(LogSnapshot snapshot);
  void DropOldEntries();

  std::shared_ptr<const LogSnapshot> snapshot_;
  LogIndex base_index_;  // of the last entry that is no longer in entries_; <= snapshot_->index
  Term base_term_;
  std::deque<LogEntry> entries_;                   // contiguous from base_index_ + 1
  std::map<LogIndex, std::vector<Voter>> voters_;  // first element: the snapshot's; never empty
};

}  // namespace endivecleat

#endif  // ENDIVECLEAT_ENTRY_LOG_H_
