// Durable storage of one replicated log: an append-only file with one record per batch. A record is
// synced before the next one is written, so that only the last record can be torn by a crash.
// log_record.h defines the format of the records.
#ifndef ENDIVECLEAT_LOG_STORE_H_
#define ENDIVECLEAT_LOG_STORE_H_

#include <sys/types.h>

#include <filesystem>
#include <string>
#include <vector>

#include "log_entry.h"

namespace endivecleat {

/// Writes the initial log of a voter of a new cluster: incarnation 0, and a first snapshot that
/// names the initial voters. Creates the folder. Throws UserError (kDataFolderUnusable) when the
/// folder already contains a log or cannot be written.
void InitializeLog(const std::filesystem::path& folder, const std::vector<InstanceId>& voters);

/// Writes the empty log of a learner, which is an instance that found its data folder empty and
/// chose a new random incarnation. The incarnation must not be 0. Throws as InitializeLog does.
void InitializeLearnerLog(const std::filesystem::path& folder, Incarnation incarnation);

/// Whether the folder contains a log.
bool LogExists(const std::filesystem::path& folder);

/// The initial persistent state of a voter of a new cluster.
StoredLog InitialLog(const std::vector<InstanceId>& voters);

/// An open log. It holds an exclusive lock on its folder while it exists.
class LogStore {
 public:
  /// Throws UserError (kDataFolderUnusable) when the folder contains no log or is locked.
  explicit LogStore(std::filesystem::path folder);
  ~LogStore();
  LogStore(const LogStore&) = delete;
  LogStore& operator=(const LogStore&) = delete;

  /// Reads the log and truncates a torn last record. Must be called once, before Persist. Throws
  /// UserError (kDataCorrupt) when a synced record is damaged.
  StoredLog Load();

  /// Writes and syncs the persistent part of a Ready; a Ready with a snapshot replaces the file.
  /// Returns false, with nothing of it stored, when there is no room; the same Ready has to be
  /// passed again before any later one. Throws InternalError when a write or sync fails for another
  /// reason. The process must stop then, since it is unknown what reached the disk.
  bool Persist(const Ready& ready);

 private:
  bool Append(const std::string& record);
  bool Replace(const StoredLog& stored);
  bool RemoveTornTail();
  void OpenFile();

  std::filesystem::path folder_;
  Incarnation incarnation_;
  HardState hard_state_;  // last persisted value
  LogIndex commit_;       // last persisted value
  int lock_ = -1;
  int file_ = -1;               // opened for appending by Load
  off_t length_ = 0;            // of the complete records in the file, in bytes
  bool has_torn_tail_ = false;  // the file is longer than that
  bool is_full_ = false;        // the last write found no room
  bool failed_ = false;
};

}  // namespace endivecleat

#endif  // ENDIVECLEAT_LOG_STORE_H_
