// The log is a deque of entries with contiguous indexes, and a map with the voter set of the
// snapshot and of each kVoters entry, so that truncation restores the previous voter set.
#include "entry_log.h"

#include <utility>

#include "errors.h"

namespace endivecleat {

EntryLog::EntryLog(LogSnapshot snapshot, std::vector<LogEntry> entries)
    : base_index_(snapshot.index), base_term_(snapshot.term) {
  SetSnapshot(std::move(snapshot));
  for (LogEntry& entry : entries) {
    Append(std::move(entry));
  }
}

const LogEntry& EntryLog::At(LogIndex index) const {
  ENDIVECLEAT_CHECK(Holds(index), "the log does not hold entry " + std::to_string(index.value()));
  return entries_[index.value() - base_index_.value() - 1];
}

std::optional<Term> EntryLog::TermAt(LogIndex index) const {
  if (index == base_index_) {
    return base_term_;
  }
  return Holds(index) ? std::optional(At(index).term) : std::nullopt;
}

std::vector<LogEntry> EntryLog::Slice(LogIndex from, LogIndex through, ByteCount limit) const {
  std::vector<LogEntry> slice;
  uint64_t bytes = 0;
  for (LogIndex index = from; index <= through; index = index.next()) {
    const LogEntry& entry = At(index);
    bytes += entry.payload.size();
    if (!slice.empty() && bytes > limit.value()) {
      break;
    }
    slice.push_back(entry);
  }
  return slice;
}

void EntryLog::Append(LogEntry entry) {
  ENDIVECLEAT_CHECK(entry.index == last_index().next(),
                    "a log entry does not have the index after the last one");
  if (entry.kind == EntryKind::kVoters) {
    voters_[entry.index] = DecodeVoters(entry.payload);
  }
  entries_.push_back(std::move(entry));
}

void EntryLog::TruncateFrom(LogIndex index) {
  ENDIVECLEAT_CHECK(index > snapshot_->index,
                    "entries covered by the snapshot cannot be truncated");
  while (!entries_.empty() && last_index() >= index) {
    entries_.pop_back();
  }
  voters_.erase(voters_.lower_bound(index), voters_.end());
}

void EntryLog::SetSnapshot(LogSnapshot snapshot) {
  voters_.erase(voters_.begin(), voters_.upper_bound(snapshot.index));
  voters_[snapshot.index] = snapshot.voters;
  snapshot_ = std::make_shared<const LogSnapshot>(std::move(snapshot));
}

void EntryLog::Compact(LogIndex through, std::string state) {
  const std::optional<Term> term = TermAt(through);
  ENDIVECLEAT_CHECK(term.has_value() && through >= snapshot_->index,
                    "the log cannot be compacted at this index");
  std::vector<Voter> voters = std::prev(voters_.upper_bound(through))->second;
  SetSnapshot({through, *term, std::move(voters), std::move(state)});
  DropOldEntries();
}

void EntryLog::DropOldEntries() {
  uint64_t bytes = 0;
  LogIndex keep_after = snapshot_->index;
  while (keep_after > base_index_) {
    bytes += At(keep_after).payload.size();
    const bool full = snapshot_->index.value() - keep_after.value() >= kRetainedEntries;
    if (full || bytes > kRetainedBytes) {
      break;
    }
    keep_after = LogIndex(keep_after.value() - 1);
  }
  while (base_index_ < keep_after) {
    base_index_ = entries_.front().index;
    base_term_ = entries_.front().term;
    entries_.pop_front();
  }
}

void EntryLog::InstallSnapshot(LogSnapshot snapshot) {
  if (TermAt(snapshot.index) != snapshot.term) {
    entries_.clear();
    voters_.clear();
    base_index_ = snapshot.index;
    base_term_ = snapshot.term;
  }
  SetSnapshot(std::move(snapshot));
  DropOldEntries();
}

ByteCount EntryLog::BytesSinceSnapshot(LogIndex through) const {
  uint64_t bytes = 0;
  for (LogIndex index = snapshot_->index.next(); index <= through; index = index.next()) {
    bytes += At(index).payload.size();
  }
  return ByteCount(bytes);
}

}  // namespace endivecleat
