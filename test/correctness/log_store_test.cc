// Guards against a stored log that is read back differently after a restart.
#include "log_store.h"

#include <CppUTest/TestHarness.h>

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
