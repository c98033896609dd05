// The file of a replicated log. It holds one record for each batch, synced before the next one is
// written, so only the last record can be torn by a crash.
#ifndef ENDIVECLEAT_LOG_STORE_H_
#define ENDIVECLEAT_LOG_STORE_H_

#include <filesystem>
#include <string>
#include <vector>

#include "log_entry.h"

namespace endivecleat {

/// Writes the log of a voter of a new cluster: incarnation 0, and the initial voters as the first
/// snapshot. Creates the folder. Throws UserError (kDataFolderUnusable) when it holds a log already
/// or cannot be written.
void InitializeLog(const std::filesystem::path& folder, const std::vector<InstanceId>& voters);

/// Writes the empty log of a learner: an instance that found its data folder empty and drew a new
/// incarnation, which must not be 0. Throws as InitializeLog.
void InitializeLearnerLog(const std::filesystem::path& folder, Incarnation incarnation);

/// Whether the folder holds a log.
bool HoldsLog(const std::filesystem::path& folder);

/// The stored form of a voter of a new cluster.
StoredLog FirstLog(const std::vector<InstanceId>& voters);

/// One open log; a second one on the same folder is refused while this one exists.
class LogStore {
 public:
  /// Throws UserError (kDataFolderUnusable) when the folder holds no log or another process uses
  /// it.
  explicit LogStore(std::filesystem::path folder);
  ~LogStore();
  LogStore(const LogStore&) = delete;
  LogStore& operator=(const LogStore&) = delete;

  /// Reads the log and cuts off a torn last record. Called once, before Persist. Throws UserError
  /// (kDataCorrupt) when a record is damaged that was synced.
  StoredLog Load();

  /// Writes and syncs what a Ready wants stored; a Ready with a snapshot replaces the file. Throws
  /// InternalError when the disk fails; the process must stop then, since it is unknown what was
  /// stored.
  void Persist(const Ready& ready);

 private:
  void Append(const std::string& record);
  void Replace(const StoredLog& stored);
  void OpenFile();

  std::filesystem::path folder_;
  Incarnation incarnation_;
  HardState hard_state_;  // as stored
  LogIndex commit_;       // as stored
  int lock_ = -1;
  int file_ = -1;  // positioned at its end after Load
  bool failed_ = false;
};

}  // namespace endivecleat

#endif  // ENDIVECLEAT_LOG_STORE_H_
