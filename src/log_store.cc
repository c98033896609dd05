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
#include "log.h"
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

// Whether a write failed for want of room, which may come back.
bool IsNoRoom(int error) { return error == ENOSPC || error == EDQUOT || error == EFBIG; }

// Replaces the log atomically: a crash leaves either the old or the complete new log. Returns
// false, with the old log unchanged, when there is no room for the new one.
bool WriteLogFile(const std::filesystem::path& folder, const StoredLog& stored) {
  const auto path = folder / kNewLogFileName;
  const int file = ::open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, kFileMode);
  const bool written = file >= 0 && WriteAll(file, EncodeCheckpointRecord(stored)) &&
                       ::fdatasync(file) == 0 &&
                       ::rename(path.c_str(), (folder / kLogFileName).c_str()) == 0;
  const int error = errno;
  if (file >= 0) {
    ::close(file);
  }
  if (!written) {
    ::unlink(path.c_str());
    errno = error;
    if (IsNoRoom(error)) {
      return false;
    }
    ThrowUnusable(ErrnoMessage("cannot write", path));
  }
  SyncFolder(folder);
  return true;
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
  if (!WriteLogFile(folder, stored)) {
    ThrowUnusable(ErrnoMessage("cannot write", folder / kNewLogFileName));
  }
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
  length_ = static_cast<off_t>(decoded.valid_bytes);
  has_torn_tail_ = decoded.valid_bytes < bytes.size();
  RemoveTornTail();
  incarnation_ = decoded.stored.incarnation;
  hard_state_ = decoded.stored.hard_state;
  commit_ = decoded.stored.commit;
  return std::move(decoded.stored);
}

bool LogStore::Persist(const Ready& ready) {
  ENDIVECLEAT_CHECK(file_ >= 0 && !failed_,
                    "the log is not loaded, or an earlier write has failed");
  const HardState hard_state = ready.hard_state.value_or(hard_state_);
  const LogIndex commit = ready.commit.value_or(commit_);
  bool stored = true;
  if (ready.snapshot) {
    stored = Replace({incarnation_, hard_state, *ready.snapshot, ready.entries, commit});
  } else if (ready.hard_state || ready.commit || !ready.entries.empty()) {
    stored = Append(EncodeBatchRecord(ready));
  } else {
    return true;
  }
  if (stored == is_full_) {
    is_full_ = !stored;
    Log(stored ? LogLevel::kInfo : LogLevel::kError, stored ? "log_has_room" : "log_has_no_room",
        {{"folder", folder_.string()}, {"bytes", static_cast<int64_t>(length_)}});
  }
  if (stored) {
    hard_state_ = hard_state;
    commit_ = commit;
  }
  return stored;
}

// Cuts off what follows the last complete record. Returns false while a full disk refuses even
// that.
bool LogStore::RemoveTornTail() {
  if (!has_torn_tail_) {
    return true;
  }
  if (::ftruncate(file_, length_) != 0 || ::fdatasync(file_) != 0) {
    if (IsNoRoom(errno)) {
      return false;
    }
    ThrowUnusable(ErrnoMessage("cannot truncate", folder_ / kLogFileName));
  }
  has_torn_tail_ = false;
  return true;
}

bool LogStore::Append(const std::string& record) {
  failed_ = true;
  bool stored = RemoveTornTail();
  if (stored) {
    stored = WriteAll(file_, record) && ::fdatasync(file_) == 0;
    const int error = errno;
    ENDIVECLEAT_CHECK(stored || IsNoRoom(error),
                      ErrnoMessage("cannot append to", folder_ / kLogFileName));
    if (stored) {
      length_ += static_cast<off_t>(record.size());
    } else {
      has_torn_tail_ = true;
      RemoveTornTail();
    }
  }
  failed_ = false;
  return stored;
}

bool LogStore::Replace(const StoredLog& stored) {
  failed_ = true;
  try {
    if (!WriteLogFile(folder_, stored)) {
      failed_ = false;
      return false;
    }
    OpenFile();
  } catch (const UserError& error) {
    ENDIVECLEAT_CHECK(false, error.what());
  }
  length_ = ::lseek(file_, 0, SEEK_END);
  has_torn_tail_ = false;
  failed_ = false;
  return true;
}

}  // namespace endivecleat
