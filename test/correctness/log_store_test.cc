// Guards against a stored log that is read back differently after a restart.
#include "log_store.h"

#include <CppUTest/TestHarness.h>
#include <sys/resource.h>

#include <csignal>
#include <fstream>

#include "replicated_log.h"
#include "temporary_folder.h"

using namespace endivecleat;  // NOLINT(google-build-using-namespace)
using endivecleat::test::TemporaryFolder;

namespace {

const std::vector<InstanceId> kVoters{InstanceId("a"), InstanceId("b")};

LogEntry Entry(uint64_t index, uint64_t term, const char* payload = "p") {
  return {LogIndex(index), Term(term), EntryKind::kCommand, payload};
}

StoredLog Reload(const TemporaryFolder& folder) { return LogStore(folder.path()).Load(); }

}  // namespace

TEST_GROUP(LogStoreNew) { TemporaryFolder folder; };

TEST(LogStoreNew, HoldsTheInitialVotersInIncarnationZero) {
  InitializeLog(folder.path() / "config", kVoters);
  const StoredLog stored = LogStore(folder.path() / "config").Load();
  CHECK(stored == InitialLog(kVoters));
  CHECK(stored.incarnation == Incarnation(0));
  CHECK((stored.snapshot.voters[1] == Voter{InstanceId("b"), Incarnation(0)}));
}

TEST(LogStoreNew, OfALearnerHasNoVoters) {
  InitializeLearnerLog(folder.path(), Incarnation(77));
  const StoredLog stored = Reload(folder);
  CHECK(stored.incarnation == Incarnation(77));
  CHECK(stored.snapshot.voters.empty());
  ReplicatedLog log(InstanceId("a"), {.members = kVoters}, stored, TimePoint{});
  CHECK_FALSE(log.is_voter());
}

TEST(LogStoreNew, DoesNotOverwriteAnExistingLog) {
  InitializeLog(folder.path(), kVoters);
  CHECK_THROWS(UserError, InitializeLog(folder.path(), kVoters));
  CHECK_THROWS(UserError, InitializeLearnerLog(folder.path(), Incarnation(1)));
}

TEST_GROUP(LogStoreReloaded) {
  TemporaryFolder folder;
  void setup() override { InitializeLog(folder.path(), kVoters); }
  void Persist(const Ready& ready) {
    LogStore store(folder.path());
    store.Load();
    store.Persist(ready);
  }
};

TEST(LogStoreReloaded, KeepsHardStateAndEntries) {
  Persist({.hard_state = HardState{Term(3), InstanceId("b")},
           .entries = {Entry(2, 3), Entry(3, 3, "")}});
  const StoredLog stored = Reload(folder);
  CHECK((stored.hard_state == HardState{Term(3), InstanceId("b")}));
  CHECK((stored.entries == std::vector{Entry(2, 3), Entry(3, 3, "")}));
}

TEST(LogStoreReloaded, KeepsTheNewestCommitIndex) {
  Persist({.entries = {Entry(2, 1), Entry(3, 1)}, .commit = LogIndex(2)});
  Persist({.commit = LogIndex(3)});
  Persist({.entries = {Entry(4, 1)}});
  CHECK(Reload(folder).commit == LogIndex(3));
  Persist({.snapshot = LogSnapshot{LogIndex(3), Term(1), {}, "s"}, .entries = {Entry(4, 1)}});
  CHECK(Reload(folder).commit == LogIndex(3));
}

TEST(LogStoreReloaded, ReplacesASuffixOfEntries) {
  Persist({.entries = {Entry(2, 1), Entry(3, 1), Entry(4, 1)}});
  Persist({.entries = {Entry(3, 2)}});
  CHECK((Reload(folder).entries == std::vector{Entry(2, 1), Entry(3, 2)}));
}

TEST(LogStoreReloaded, KeepsOnlyEntriesAfterASnapshot) {
  Persist({.hard_state = HardState{Term(5), std::nullopt}, .entries = {Entry(2, 5), Entry(3, 5)}});
  const LogSnapshot snapshot{LogIndex(2), Term(5), {{InstanceId("c"), Incarnation(9)}}, "state"};
  Persist({.snapshot = snapshot, .entries = {Entry(3, 5)}});
  Persist({.entries = {Entry(4, 5)}});
  const StoredLog stored = Reload(folder);
  CHECK(stored.snapshot == snapshot);
  CHECK((stored.entries == std::vector{Entry(3, 5), Entry(4, 5)}));
  CHECK(stored.hard_state.term == Term(5));
}

// The limit of the size of files stands in for a full disk: a write stores the bytes up to it, or
// none.
TEST_GROUP(LogStoreOnAFullDisk) {
  TemporaryFolder folder;
  std::unique_ptr<LogStore> store;

  void setup() override {
    std::signal(SIGXFSZ, SIG_IGN);
    InitializeLog(folder.path(), kVoters);
    store = std::make_unique<LogStore>(folder.path());
    store->Load();
    CHECK(store->Persist({.entries = {Entry(2, 1)}}));
  }
  void teardown() override {
    store.reset();
    SetLimit(RLIM_INFINITY);
    std::signal(SIGXFSZ, SIG_DFL);
  }
  static void SetLimit(rlim_t bytes) {
    const rlimit limit = {.rlim_cur = bytes, .rlim_max = RLIM_INFINITY};
    CHECK_EQUAL(0, setrlimit(RLIMIT_FSIZE, &limit));
  }
  rlim_t FileSize() const { return std::filesystem::file_size(folder.path() / "log"); }
  /// What a process finds that starts now.
  StoredLog Restart() {
    store.reset();
    store = std::make_unique<LogStore>(folder.path());
    return store->Load();
  }
};

TEST(LogStoreOnAFullDisk, KeepsWhatItHasAndStoresTheSameOnceThereIsRoom) {
  const Ready ready = {.hard_state = HardState{Term(2), InstanceId("b")}, .entries = {Entry(3, 2)}};
  for (const rlim_t room : {0, 1, 9, 20}) {
    SetLimit(FileSize() + room);
    CHECK_FALSE(store->Persist(ready));
    CHECK_FALSE(store->Persist(ready));
  }
  CHECK((Restart().entries == std::vector{Entry(2, 1)}));
  CHECK_FALSE(store->Persist(ready));
  SetLimit(RLIM_INFINITY);
  CHECK(store->Persist(ready));
  CHECK(store->Persist({.entries = {Entry(4, 2)}}));
  const StoredLog stored = Restart();
  CHECK((stored.entries == std::vector{Entry(2, 1), Entry(3, 2), Entry(4, 2)}));
  CHECK((stored.hard_state == HardState{Term(2), InstanceId("b")}));
}

TEST(LogStoreOnAFullDisk, KeepsTheOldLogWhenASnapshotFindsNoRoom) {
  const Ready snapshot = {.snapshot = LogSnapshot{LogIndex(2), Term(1), {}, std::string(500, 's')}};
  SetLimit(100);
  CHECK_FALSE(store->Persist(snapshot));
  CHECK((Restart().entries == std::vector{Entry(2, 1)}));
  CHECK_FALSE(store->Persist(snapshot));
  SetLimit(RLIM_INFINITY);
  CHECK(store->Persist(snapshot));
  CHECK(Restart().snapshot.state == std::string(500, 's'));
}
