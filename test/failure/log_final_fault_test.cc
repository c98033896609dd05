// Guards against the loss of an acknowledged change when, right after the acknowledgement, as many
// instances as the cluster must survive lose their disks while all others, learners too, lose
// power. Runs are deterministic in their seed.
#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <functional>
#include <string>
#include <vector>

#include "linearizability.h"
#include "log_cluster.h"
#include "seeds.h"

using endivecleat::Duration;
using endivecleat::SeededRandom;
using endivecleat::test::FailWithSeed;
using endivecleat::test::IsLinearizable;
using endivecleat::test::LogCluster;
using endivecleat::test::LogNode;
using endivecleat::test::NetworkFaults;
using endivecleat::test::Seeds;

namespace {

constexpr auto kRecoveryTime = std::chrono::seconds(15);
constexpr auto kRepairTime = std::chrono::seconds(60);
constexpr int kRounds = 3;

class FinalFaults {
 public:
  /// A cluster that must survive `losses` instances at a time, with `learners` beside its voters.
  FinalFaults(uint64_t seed, size_t losses, size_t learners)
      : seed_(seed),
        losses_(losses),
        random_(seed),
        cluster_(random_.Next(), 2 * losses + 1 + learners, Delays(), 2 * losses + 1) {
    cluster_.set_compaction_entries(3 + random_.Below(30));
  }

  void Run() {
    for (int round = 0; round < kRounds; ++round) {
      AcknowledgeSomeChanges(1 + random_.Below(8));
      Strike();
      RequireLastChange();
      RequireRepair();
    }
    if (!IsLinearizable(cluster_.history())) {
      FailWithSeed(seed_, "the history of the client operations is not linearizable");
    }
  }

 private:
  NetworkFaults Delays() {
    NetworkFaults faults;
    faults.max_delay = std::chrono::milliseconds(1 + random_.Below(60));
    return faults;
  }

  void Require(Duration limit, const std::string& what, const std::function<bool()>& condition) {
    if (!cluster_.RunUntil(limit, condition)) {
      FailWithSeed(seed_, cluster_.failure().empty() ? what : cluster_.failure());
    }
  }

  void AcknowledgeSomeChanges(uint64_t count) {
    for (; count > 0; --count) {
      Require(kRecoveryTime, "there is no leader", [&] { return cluster_.Leader() != nullptr; });
      const size_t operation = cluster_.history().size();
      cluster_.CompareAndSet(*cluster_.Leader(), "op" + std::to_string(value_), value_, value_ + 1);
      Require(kRecoveryTime, "a change was not acknowledged", [&] {
        return cluster_.history().size() > operation &&
               cluster_.history()[operation].result.has_value();
      });
      ++value_;
    }
  }

  void Strike() {
    std::vector<LogNode*> nodes;
    for (size_t i = 0; i < cluster_.size(); ++i) {
      nodes.push_back(&cluster_.node(i));
    }
    for (size_t i = 0; i < nodes.size(); ++i) {
      std::swap(nodes[i], nodes[i + random_.Below(nodes.size() - i)]);
    }
    // The instance that acknowledged is the likeliest to hold what no other has.
    if (random_.Chance(60)) {
      const auto leader = std::find(nodes.begin(), nodes.end(), cluster_.Leader());
      std::iter_swap(nodes.begin(), leader);
    }
    for (size_t i = 0; i < nodes.size(); ++i) {
      const auto down = std::chrono::milliseconds(random_.Below(1500));
      if (i < losses_) {
        cluster_.LoseDisk(*nodes[i], down);
      } else {
        cluster_.Crash(*nodes[i], down);
      }
    }
  }

  void RequireLastChange() {
    Require(kRecoveryTime, "the last acknowledged change is not readable", [&] {
      const LogNode* leader = cluster_.Leader();
      return leader != nullptr && leader->state_machine.value == value_;
    });
    const size_t read = cluster_.history().size();
    cluster_.Read(*cluster_.Leader());
    Require(kRecoveryTime, "a read was not answered", [&] {
      return cluster_.history().size() > read && cluster_.history()[read].result.has_value();
    });
  }

  // The next fault of this kind is to be survived once the lost instances have been replaced.
  void RequireRepair() {
    Require(kRepairTime, "the voters are not complete again", [&] {
      const LogNode* leader = cluster_.Leader();
      if (leader == nullptr || leader->log->voters().size() != 2 * losses_ + 1) {
        return false;
      }
      size_t current = 0;
      for (size_t i = 0; i < cluster_.size(); ++i) {
        const LogNode& node = cluster_.node(i);
        const auto& voters = leader->log->voters();
        const bool votes = std::any_of(voters.begin(), voters.end(), [&](const auto& voter) {
          return voter.instance == node.id && voter.incarnation == node.incarnation;
        });
        current += votes && node.log && node.state_machine.value == value_ ? 1 : 0;
      }
      return current == 2 * losses_ + 1;
    });
  }

  uint64_t seed_;
  size_t losses_;
  SeededRandom random_;
  LogCluster cluster_;
  int64_t value_ = 0;
};

}  // namespace

TEST_GROUP(LogAfterAFinalFault){};

TEST(LogAfterAFinalFault, OfOneDiskAndThePowerOfAllOthersKeepsWhatWasAcknowledged) {
  for (const uint64_t seed : Seeds(150)) {
    FinalFaults(seed, 1, 1).Run();
  }
}

TEST(LogAfterAFinalFault, OfTwoDisksAndThePowerOfAllOthersKeepsWhatWasAcknowledged) {
  for (const uint64_t seed : Seeds(150)) {
    FinalFaults(seed, 2, 1).Run();
  }
}
