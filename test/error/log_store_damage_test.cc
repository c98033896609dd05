// Guards against a log that is unreadable after a crash during a write, against corruption of
// synced records that is not detected, and against two processes that use the same folder.
#include <CppUTest/TestHarness.h>

#include <fstream>
#include <iterator>

#include "errors.h"
#include "log_store.h"
#include "temporary_folder.h"

using namespace endivecleat;  // NOLINT(google-build-using-namespace)
using endivecleat::test::TemporaryFolder;

namespace {

LogEntry Entry(uint64_t index) {
  return {LogIndex(index), Term(1), EntryKind::kCommand, "payload"};
}

}  // namespace

TEST_GROUP(LogStoreDamaged) {
  TemporaryFolder folder;
  std::filesystem::path file = folder.path() / "log";

  void setup() override {
    InitializeLog(folder.path(), {InstanceId("a")});
    LogStore store(folder.path());
    store.Load();
    store.Persist({.entries = {Entry(2)}});
    store.Persist({.entries = {Entry(3), Entry(4)}});
  }
  std::string Bytes() {
    std::ifstream stream(file, std::ios::binary);
    return std::string(std::istreambuf_iterator<char>(stream), {});
  }
  void Write(const std::string& bytes) {
    std::ofstream(file, std::ios::binary | std::ios::trunc) << bytes;
  }
  size_t Load() { return LogStore(folder.path()).Load().entries.size(); }
  ResultCode LoadCode() {
    try {
      Load();
    } catch (const UserError& error) {
      return error.code();
    }
    return ResultCode::kOk;
  }
};

TEST(LogStoreDamaged, TornLastRecordIsTruncatedAtEveryLength) {
  const std::string bytes = Bytes();
  size_t length = bytes.size() - 1;
  for (; Load() != 0 && length > 0; --length) {
    Write(bytes.substr(0, length));
    const size_t entries = Load();
    CHECK(entries == 1 || entries == 0);
    if (entries == 0) {
      break;
    }
  }
  CHECK(length > 0);
}

TEST(LogStoreDamaged, AppendsAfterATruncatedTail) {
  Write(Bytes() + "torn");
  {
    LogStore store(folder.path());
    LONGS_EQUAL(3, store.Load().entries.size());
    store.Persist({.entries = {Entry(5)}});
  }
  LONGS_EQUAL(4, Load());
}

TEST(LogStoreDamaged, FlippedBitBeforeTheLastRecordIsReported) {
  const std::string bytes = Bytes();
  const size_t last_payload = bytes.rfind("payload", bytes.rfind("payload") - 1);
  const size_t second_record = bytes.find("payload");
  CHECK(second_record < last_payload);
  for (size_t i = 0; i < second_record + 7; ++i) {
    std::string damaged = bytes;
    damaged[i] = static_cast<char>(damaged[i] ^ 1);
    Write(damaged);
    CHECK(LoadCode() == ResultCode::kDataCorrupt);
  }
}

TEST(LogStoreDamaged, EmptyFileIsReported) {
  Write("");
  CHECK(LoadCode() == ResultCode::kDataCorrupt);
}

TEST(LogStoreDamaged, LockedFolderIsRejected) {
  LogStore store(folder.path());
  CHECK(LoadCode() == ResultCode::kDataFolderUnusable);
}

TEST(LogStoreDamaged, FolderWithoutALogIsRejected) {
  std::filesystem::remove(file);
  CHECK_FALSE(LogExists(folder.path()));
  CHECK(LoadCode() == ResultCode::kDataFolderUnusable);
}
