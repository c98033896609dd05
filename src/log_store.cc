// Uses POSIX files: appends followed by fdatasync, a lock file with flock, and replacement of the
// whole file by writing a new one and renaming it.
#include "log_store.h"

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <utility>

#include "errors.h"
#include "log_record.h"

namespace endivecleat {
namespace {

constexpr char kLogFileName[] = "log";
constexpr char kNewLogFileName[] = "log.new";
constexpr char kLockFileName[] = "lock";
constexpr mode_t kFileMode = 0600;

std::string ErrnoMessage(const std::string& action, const std::filesystem::path& path) {
  return action + " " + path.string() + ": " + std::strerror(errno);
}

[[noreturn]] void ThrowUnusable(const std::string& message) {
  throw UserError(ResultCode::kDataFolderUnusable, message);
}

int OpenOrThrow(const std::filesystem::path& path, int flags) {
  const int file = ::open(path.c_str(), flags | O_CLOEXEC, kFileMode);
  if (file < 0) {
    ThrowUnusable(ErrnoMessage("cannot open", path));
  }
  return file;
}

bool WriteAll(int file, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t written = ::write(file, bytes.data(), bytes.size());
    if (written < 0 && errno == EINTR) {
      continue;
    }
    if (written <= 0) {
      return false;
    }
    bytes.remove_prefix(static_cast<size_t>(written));
  }
  return true;
}

void SyncFolder(const std::filesystem::path& folder) {
  const int file = OpenOrThrow(folder, O_RDONLY | O_DIRECTORY);
  const bool synced = ::fsync(file) == 0;
  ::close(file);
  if (!synced) {
    ThrowUnusable(ErrnoMessage("cannot sync", folder));
  }
}

// Replaces the log atomically: a crash leaves either the old or the complete new log.
void WriteLogFile(const std::filesystem::path& folder, const StoredLog& stored) {
  const auto path = folder / kNewLogFileName;
  const int file = OpenOrThrow(path, O_WRONLY | O_CREAT | O_TRUNC);
  const bool written = WriteAll(file, EncodeCheckpointRecord(stored)) && ::fdatasync(file) == 0;
  ::close(file);
  if (!written) {
    ThrowUnusable(ErrnoMessage("cannot write", path));
  }
  if (::rename(path.c_str(), (folder / kLogFileName).c_str()) != 0) {
    ThrowUnusable(ErrnoMessage("cannot rename", path));
  }
  SyncFolder(folder);
}

void CreateLogFile(const std::filesystem::path& folder, const StoredLog& stored) {
  std::error_code error;
  std::filesystem::create_directories(folder, error);
  if (error) {
    ThrowUnusable("cannot create " + folder.string() + ": " + error.message());
  }
  if (LogExists(folder)) {
    ThrowUnusable("the folder " + folder.string() + " holds a log already");
  }
  WriteLogFile(folder, stored);
  SyncFolder(folder / "..");
}

std::string ReadAll(int file, const std::filesystem::path& path) {
  std::string bytes;
  std::string buffer(1 << 16, '\0');
  for (;;) {
    const ssize_t count = ::read(file, buffer.data(), buffer.size());
    if (count < 0 && errno != EINTR) {
      ThrowUnusable(ErrnoMessage("cannot read", path));
    }
    if (count == 0) {
      return bytes;
    }
    bytes.append(buffer, 0, static_cast<size_t>(std::max<ssize_t>(count, 0)));
  }
}

}  // namespace

StoredLog InitialLog(const std::vector<InstanceId>& voters) {
  StoredLog stored;
  // Index 1 and not 0: a learner starts at 0, so that the leader sends it this snapshot, which
  // names the voters.
  stored.snapshot.index = LogIndex(1);
  for (const InstanceId& voter : voters) {
    stored.snapshot.voters.push_back({voter, Incarnation(0)});
  }
  return stored;
}

void InitializeLog(const std::filesystem::path& folder, const std::vector<InstanceId>& voters) {
  CreateLogFile(folder, InitialLog(voters));
}

void InitializeLearnerLog(const std::filesystem::path& folder, Incarnation incarnation) {
  ENDIVECLEAT_CHECK(incarnation != Incarnation(0),
                    "incarnation 0 is reserved for the initial voters");
  StoredLog stored;
  stored.incarnation = incarnation;
  CreateLogFile(folder, stored);
}

bool LogExists(const std::filesystem::path& folder) {
  return std::filesystem::exists(folder / kLogFileName);
}

LogStore::LogStore(std::filesystem::path folder) : folder_(std::move(folder)) {
  if (!LogExists(folder_)) {
    ThrowUnusable("the folder " + folder_.string() + " holds no log");
  }
  lock_ = OpenOrThrow(folder_ / kLockFileName, O_RDWR | O_CREAT);
  if (::flock(lock_, LOCK_EX | LOCK_NB) != 0) {
    const std::string message = ErrnoMessage("another process uses", folder_);
    ::close(lock_);
    ThrowUnusable(message);
  }
}

LogStore::~LogStore() {
  if (file_ >= 0) {
    ::close(file_);
  }
  ::close(lock_);
}

void LogStore::OpenFile() {
  if (file_ >= 0) {
    ::close(file_);
  }
  file_ = OpenOrThrow(folder_ / kLogFileName, O_RDWR | O_APPEND);
}

StoredLog LogStore::Load() {
  OpenFile();
  const std::string bytes = ReadAll(file_, folder_ / kLogFileName);
  DecodedLogFile decoded = DecodeLogFile(bytes);
  if (decoded.valid_bytes < bytes.size()) {
    const auto length = static_cast<off_t>(decoded.valid_bytes);
    if (::ftruncate(file_, length) != 0 || ::fdatasync(file_) != 0) {
      ThrowUnusable(ErrnoMessage("cannot truncate", folder_ / kLogFileName));
    }
  }
  incarnation_ = decoded.stored.incarnation;
  hard_state_ = decoded.stored.hard_state;
  commit_ = decoded.stored.commit;
  return std::move(decoded.stored);
}

void LogStore::Persist(const Ready& ready) {
  ENDIVECLEAT_CHECK(file_ >= 0 && !failed_,
                    "the log is not loaded, or an earlier write has failed");
  if (ready.hard_state) {
    hard_state_ = *ready.hard_state;
  }
  commit_ = ready.commit.value_or(commit_);
  if (ready.snapshot) {
    Replace({incarnation_, hard_state_, *ready.snapshot, ready.entries, commit_});
  } else if (ready.hard_state || ready.commit || !ready.entries.empty()) {
    Append(EncodeBatchRecord(ready));
  }
}

void LogStore::Append(const std::string& record) {
  failed_ = true;
  const bool stored = WriteAll(file_, record) && ::fdatasync(file_) == 0;
  ENDIVECLEAT_CHECK(stored, ErrnoMessage("cannot append to", folder_ / kLogFileName));
  failed_ = false;
}

void LogStore::Replace(const StoredLog& stored) {
  failed_ = true;
  try {
    WriteLogFile(folder_, stored);
    OpenFile();
  } catch (const UserError& error) {
    ENDIVECLEAT_CHECK(false, error.what());
  }
  failed_ = false;
}

}  // namespace endivecleat
