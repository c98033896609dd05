// Guards against a replicated log that, under random faults, loses or changes committed entries,
// elects two leaders in a term, commits or confirms reads without a majority, lets an instance that
// lost its disk vote, or makes no progress after the faults end. Runs are deterministic in their
// seed: ENDIVECLEAT_SEED replays one, and ENDIVECLEAT_SEEDS sets their number.
#include "replicated_log.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <cstdlib>
#include <functional>

#include "errors.h"
#include "linearizability.h"
#include "log_cluster.h"

using endivecleat::Duration;
using endivecleat::InternalError;
using endivecleat::LogIndex;
using endivecleat::SeededRandom;
using endivecleat::test::IsLinearizable;
using endivecleat::test::LinearizabilityChecker;
using endivecleat::test::LogCluster;
using endivecleat::test::LogNode;
using endivecleat::test::NetworkFaults;

namespace {

constexpr uint64_t kDefaultSeeds = 3000;
constexpr uint64_t kDefaultLearnerSeeds = 1000;
constexpr auto kFaultTime = std::chrono::seconds(25);
constexpr auto kHealTime = std::chrono::seconds(90);

uint64_t FromEnvironment(const char* name, uint64_t default_value) {
  const char* text = std::getenv(name);
  return text == nullptr ? default_value : std::strtoull(text, nullptr, 10);
}

// One simulated run: random faults and client operations for kFaultTime, then all faults end and
// the cluster has to make progress within kHealTime.
class FaultyRun {
 public:
  /// With learners, leaders replace unreachable voters by them, and the cluster has at least three
  /// voters: a single voter may go on alone when it is isolated from the learner, which the checks
  /// would report as a violation.
  explicit FaultyRun(uint64_t seed, size_t learners = 0)
      : random_(seed),
        voter_count_(std::max(kSizes[random_.Below(4)], learners == 0 ? size_t{1} : size_t{3})),
        cluster_(random_.Next(), voter_count_ + learners, RandomFaults(), voter_count_) {
    cluster_.set_crash_chance(random_.Below(random_.Chance(25) ? 30 : 4));
    cluster_.set_compaction_entries(5 + random_.Below(40));
  }

  /// Returns the first violation; empty when there is none.
  std::string Run() {
    try {
      InjectFaults();
      Heal();
      CheckProgress();
      if (cluster_.failure().empty() && !IsLinearizable(cluster_.history())) {
        cluster_.Fail("the history of the client operations is not linearizable");
      }
    } catch (const InternalError& error) {
      return error.what();
    }
    return cluster_.failure();
  }

 private:
  static constexpr size_t kSizes[] = {3, 5, 3, 1};

  NetworkFaults RandomFaults() {
    return {
        .drop_percent = random_.Below(15),
        .duplicate_percent = random_.Below(15),
        .min_delay = Duration(500),
        .max_delay = std::chrono::milliseconds(5 + random_.Below(random_.Chance(30) ? 1500 : 80))};
  }

  LogNode& AnyNode() { return cluster_.node(random_.Below(cluster_.size())); }
  LogNode& LeaderOrAny() {
    LogNode* leader = cluster_.Leader();
    return leader != nullptr && random_.Chance(60) ? *leader : AnyNode();
  }

  void InjectFaults() {
    const auto end = cluster_.now() + kFaultTime;
    while (cluster_.now() < end && cluster_.failure().empty()) {
      cluster_.Step();
      StopAnotherAfterRepair();
      if (random_.Chance(2)) {
        InjectFault();
      }
      if (random_.Chance(4)) {
        StartOperation();
      }
    }
  }

  void InjectFault() {
    LogNode& node = LeaderOrAny();
    const auto time = std::chrono::milliseconds(random_.Below(6000));
    switch (random_.Below(9)) {
      case 0:
        return cluster_.network().CutOneWay(node.id, AnyNode().id);
      case 1:
        return cluster_.network().CutBothWays(node.id, AnyNode().id);
      case 2:
        return cluster_.Isolate(node);
      case 3:
        return cluster_.Freeze(node, time);
      case 4:
        return node.stopped_forever ? void() : cluster_.Crash(node, time);
      case 5:
        return LoseOneDisk(node, time);
      default:
        return cluster_.HealAll();
    }
  }

  // At most one disk per run, since two disks lost at a time may hold the only copies of an entry.
  void LoseOneDisk(LogNode& node, Duration down) {
    if (cluster_.size() >= 3 && disk_lost_ == nullptr) {
      cluster_.LoseDisk(node, down);
      disk_lost_ = &node;
    }
  }

  // Stops another instance for good as soon as a leader has committed that the instance that lost
  // its disk is a voter again.
  void StopAnotherAfterRepair() {
    if (disk_lost_ == nullptr || second_stopped_) {
      return;
    }
    const LogNode* leader = cluster_.Leader();
    if (leader == nullptr ||
        !Contains(leader->log->voters(), {disk_lost_->id, disk_lost_->incarnation}) ||
        leader->state_machine.applied < VoterChangeBound(*leader)) {
      return;
    }
    LogNode& other = LeaderOrAny();
    if (&other != disk_lost_) {
      cluster_.StopForever(other);
      second_stopped_ = true;
    }
  }

  // An upper bound of the index of the last membership change.
  LogIndex VoterChangeBound(const LogNode& node) { return node.log->last_index(); }

  void StartOperation() {
    if (cluster_.history().size() >= LinearizabilityChecker::kMaxOperations - 8) {
      return;
    }
    LogNode& node = LeaderOrAny();
    if (random_.Chance(40)) {
      cluster_.Read(node);
      return;
    }
    const bool resend = !changes_.empty() && random_.Chance(25);
    if (!resend) {
      changes_.push_back(
          {LeaderOrAny().state_machine.value, static_cast<int64_t>(changes_.size()) + 1});
    }
    const size_t i = resend ? random_.Below(changes_.size()) : changes_.size() - 1;
    cluster_.CompareAndSet(node, "op" + std::to_string(i), changes_[i].first, changes_[i].second);
  }

  void Heal() {
    cluster_.HealAll();
    cluster_.set_crash_chance(0);
    cluster_.network().SetFaults(NetworkFaults{});
    for (size_t i = 0; i < cluster_.size(); ++i) {
      LogNode& node = cluster_.node(i);
      node.frozen_until = cluster_.now();
      node.down_until = cluster_.now();
    }
  }

  bool AllRunningNodes(const std::function<bool(const LogNode&)>& condition) {
    for (size_t i = 0; i < cluster_.size(); ++i) {
      const LogNode& node = cluster_.node(i);
      if (!node.stopped_forever && (!node.log || !condition(node))) {
        return false;
      }
    }
    return true;
  }

  bool HasLearners() const { return cluster_.size() > voter_count_; }

  bool LeaderHasVoters() {
    const LogNode* leader = cluster_.Leader();
    return leader != nullptr && leader->log->voters().size() >= voter_count_;
  }

  void CheckProgress() {
    const LogIndex before = cluster_.max_committed();
    const bool progressed = cluster_.RunUntil(kHealTime, [&] {
      LogNode* leader = cluster_.Leader();
      if (leader != nullptr && random_.Chance(2)) {
        leader->log->Propose(cluster_.now(), "last 0 0");
      }
      return AllRunningNodes([&](const LogNode& node) {
               return node.state_machine.results.contains("last") &&
                      node.state_machine.applied > before &&
                      (node.log->is_voter() || HasLearners());
             }) &&
             (!HasLearners() || LeaderHasVoters());
    });
    if (!progressed) {
      cluster_.Fail("no progress after the faults ended");
    }
  }

  SeededRandom random_;
  size_t voter_count_;
  LogCluster cluster_;
  LogNode* disk_lost_ = nullptr;
  bool second_stopped_ = false;
  std::vector<std::pair<int64_t, int64_t>> changes_;  // expected and desired value
};

}  // namespace

TEST_GROUP(ReplicatedLogUnderFaults){};

TEST(ReplicatedLogUnderFaults, KeepsItsInvariantsForEverySeed) {
  const uint64_t seeds = FromEnvironment("ENDIVECLEAT_SEEDS", kDefaultSeeds);
  const uint64_t replay = FromEnvironment("ENDIVECLEAT_SEED", UINT64_MAX);
  const uint64_t first = replay == UINT64_MAX ? 1 : replay;
  const uint64_t last = replay == UINT64_MAX ? seeds : replay;
  for (uint64_t seed = first; seed <= last; ++seed) {
    const std::string failure = FaultyRun(seed).Run();
    const std::string message = "ENDIVECLEAT_SEED=" + std::to_string(seed) + ": " + failure;
    CHECK_TEXT(failure.empty(), message.c_str());
  }
}

// Guards against the same failures while learners replace unreachable voters.
TEST(ReplicatedLogUnderFaults, KeepsItsInvariantsWhileLearnersReplaceVoters) {
  const uint64_t seeds = FromEnvironment("ENDIVECLEAT_SEEDS", kDefaultLearnerSeeds);
  const uint64_t replay = FromEnvironment("ENDIVECLEAT_SEED", UINT64_MAX);
  const uint64_t first = replay == UINT64_MAX ? 1 : replay;
  const uint64_t last = replay == UINT64_MAX ? seeds : replay;
  for (uint64_t seed = first; seed <= last; ++seed) {
    const std::string failure = FaultyRun(seed, 1).Run();
    const std::string message = "ENDIVECLEAT_SEED=" + std::to_string(seed) + ": " + failure;
    CHECK_TEXT(failure.empty(), message.c_str());
  }
}
