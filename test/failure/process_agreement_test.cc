// Tests of the replicated configuration log with real processes: a control instance is killed,
// frozen or loses its data folder.
#include <CppUTest/TestHarness.h>

#include <atomic>
#include <chrono>
#include <csignal>
#include <mutex>
#include <thread>

#include "linearizability.h"
#include "process_cluster.h"
#include "seeded_random.h"
#include "test_seed.h"

namespace endivecleat::test {
namespace {

constexpr int kNotLeader = 302;
constexpr int kNoMajority = 303;
constexpr int kVersionConflict = 301;

bool OutcomeKnown(const RpcAnswer& answer) {
  return answer.answered && answer.code != kNotLeader && answer.code != kNoMajority;
}

// Concurrent operators that submit changes based on the newest version they read, and record the
// history of their operations. The history is that of a compare-and-set register whose value is the
// version, so that two accepted changes with the same base version are not linearizable.
class Operators {
 public:
  static constexpr int kThreads = 3;
  static constexpr int kRounds = 6;

  explicit Operators(const ProcessCluster& cluster, uint64_t seed) : cluster_(cluster) {
    for (int number = 0; number < kThreads; ++number) {
      threads_.emplace_back(
          [this, number, seed] { Run(number, seed * kThreads + static_cast<uint64_t>(number)); });
    }
  }

  ~Operators() { Join(); }
  Operators(const Operators&) = delete;
  Operators& operator=(const Operators&) = delete;

  void Join() {
    for (std::thread& thread : threads_) {
      if (thread.joinable()) {
        thread.join();
      }
    }
  }

  int rounds_done() const { return rounds_done_; }
  const std::string& failure() const { return failure_; }
  const std::map<std::string, uint64_t>& accepted() const { return accepted_; }
  const std::vector<RegisterOperation>& history() const { return history_; }

  bool Read(uint64_t* version) {
    return WaitFor([&] {
      for (int control = 1; control <= ProcessCluster::kControls; ++control) {
        RegisterOperation read{.kind = RegisterOperation::Kind::kRead, .id = "", .result = {}};
        read.invoked = ++logical_clock_;
        const nlohmann::json shown = cluster_.Show(control);
        if (shown.is_object() && shown["confirmed"] == true) {
          *version = shown["version"].get<uint64_t>();
          read.result = static_cast<int64_t>(*version);
          Record(read);
          return true;
        }
      }
      return false;
    });
  }

 private:
  void Run(int number, uint64_t seed) {
    SeededRandom random(seed);
    for (int round = 0; round < kRounds; ++round) {
      uint64_t base = 0;
      if (!Read(&base)) {
        RecordFailure("no read was confirmed");
        return;
      }
      const std::string operation =
          "operator-" + std::to_string(number) + "-" + std::to_string(round);
      const std::string document = ProcessCluster::Document(number * kRounds + round + 1);
      const RpcAnswer first = Send(operation, base, document);
      if (random.Below(2) == 0) {
        const RpcAnswer resent = Send(operation, base, document);
        if (first.code != resent.code || first.result != resent.result) {
          RecordFailure(operation + " got a different response when it was resent");
        }
      }
      ++rounds_done_;
      std::this_thread::sleep_for(std::chrono::milliseconds(random.Below(200)));
    }
  }

  // All attempts of a change, with and without a known outcome, are one operation of the history:
  // they share an operation id, so the change takes effect once, between the first and the last.
  RpcAnswer Send(const std::string& operation, uint64_t base, const std::string& document) {
    RegisterOperation change{.kind = RegisterOperation::Kind::kCompareAndSet,
                             .id = operation,
                             .expected = static_cast<int64_t>(base),
                             .desired = static_cast<int64_t>(base) + 1,
                             .result = {}};
    change.invoked = ++logical_clock_;
    RpcAnswer answer = cluster_.SubmitUntilKnown(operation, base, document);
    if (!OutcomeKnown(answer) || (answer.code != 0 && answer.code != kVersionConflict)) {
      RecordFailure(operation + " was answered with code " + std::to_string(answer.code));
    } else {
      change.result = answer.code == 0 ? 1 : 0;
    }
    Record(change);
    if (answer.code == 0 && OutcomeKnown(answer)) {
      const std::lock_guard<std::mutex> lock(mutex_);
      accepted_[operation] = answer.result.value("version", uint64_t{0});
    }
    return answer;
  }

  void Record(RegisterOperation operation) {
    const std::lock_guard<std::mutex> lock(mutex_);
    operation.returned = ++logical_clock_;
    history_.push_back(operation);
  }

  void RecordFailure(const std::string& failure) {
    const std::lock_guard<std::mutex> lock(mutex_);
    failure_ = failure;
  }

  const ProcessCluster& cluster_;
  std::atomic<uint64_t> logical_clock_ = 0;
  std::atomic<int> rounds_done_ = 0;
  std::mutex mutex_;  // guards the next three members
  std::vector<RegisterOperation> history_;
  std::map<std::string, uint64_t> accepted_;
  std::string failure_;
  std::vector<std::thread> threads_;
};

bool ContainsAll(const std::map<uint64_t, std::string>& history,
                 const std::map<std::string, uint64_t>& accepted) {
  for (const auto& [operation, version] : accepted) {
    const auto found = history.find(version);
    if (found == history.end() || found->second != operation) {
      return false;
    }
  }
  return true;
}

}  // namespace

TEST_GROUP(ProcessAgreement) { ProcessCluster cluster; };

// Guards against two accepted changes with the same base version, a different response to a resent
// operation, and the loss of an accepted change when the leader is killed.
TEST(ProcessAgreement, LeaderKilledWhileOperatorsSubmitHistoryIsLinearizable) {
  CHECK(cluster.StartControls());
  std::map<std::string, uint64_t> accepted;
  {
    Operators operators(cluster, TestSeed(1));
    int killed = 0;
    for (const int rounds : {2, 6, 10, 14}) {
      CHECK(WaitFor([&] { return operators.rounds_done() >= rounds; }));
      int leader = 0;
      CHECK(cluster.WaitForLeader(&leader));
      if (killed != 0) {
        cluster.Launch(ProcessCluster::Control(killed));
        CHECK(WaitFor([&] { return cluster.Show(killed).is_object(); }));
      }
      cluster.Kill(ProcessCluster::Control(leader));
      killed = leader;
    }
    operators.Join();
    uint64_t last = 0;
    CHECK(operators.Read(&last));
    STRCMP_EQUAL("", operators.failure().c_str());
    CHECK(last > 0);
    CHECK_EQUAL(last, operators.accepted().size());
    CHECK(IsLinearizable(operators.history()));
    accepted = operators.accepted();
  }
  for (int control = 1; control <= ProcessCluster::kControls; ++control) {
    cluster.Kill(ProcessCluster::Control(control));
  }
  for (int control = 1; control <= ProcessCluster::kControls; ++control) {
    cluster.Launch(ProcessCluster::Control(control));
  }
  int leader = 0;
  CHECK(cluster.WaitForLeader(&leader));
  for (int control = 1; control <= ProcessCluster::kControls; ++control) {
    CHECK(WaitFor([&] { return cluster.History(control).size() >= accepted.size(); }));
    CHECK_EQUAL(accepted.size(), cluster.History(control).size());
    CHECK(ContainsAll(cluster.History(control), accepted));
  }
}

// Guards against a stale leader: one that was frozen, and after resuming accepts a change or
// confirms a read although a new leader has already accepted a newer version.
TEST(ProcessAgreement, LeaderFrozenWhileAnotherAcceptsAnswersNothingFromTheOldVersion) {
  CHECK(cluster.StartControls());
  CHECK_EQUAL(0, cluster.SubmitUntilKnown("first", 0, ProcessCluster::Document(1)).code);
  int frozen_leader = 0;
  CHECK(cluster.WaitForLeader(&frozen_leader));
  cluster.SendSignal(ProcessCluster::Control(frozen_leader), SIGSTOP);
  // The requests wait in the socket buffers of the frozen instance, which reads them on resuming.
  std::vector<std::thread> threads;
  std::array<RpcAnswer, 4> changes;
  std::array<nlohmann::json, 4> reads;
  const RpcAnswer newer =
      cluster.SubmitUntilKnown("newer", 1, ProcessCluster::Document(2), /*excluded=*/frozen_leader);
  for (size_t number = 0; number < changes.size(); ++number) {
    threads.emplace_back([&, number] {
      changes[number] = cluster.Submit(frozen_leader, "stale-" + std::to_string(number), 1,
                                       ProcessCluster::Document(3 + static_cast<int>(number)));
    });
    threads.emplace_back([&, number] { reads[number] = cluster.Show(frozen_leader); });
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  cluster.SendSignal(ProcessCluster::Control(frozen_leader), SIGCONT);
  for (std::thread& thread : threads) {
    thread.join();
  }
  CHECK(newer.answered);
  CHECK_EQUAL(0, newer.code);
  for (const RpcAnswer& change : changes) {
    CHECK(change.answered);
    CHECK(change.code != 0);
  }
  for (const nlohmann::json& read : reads) {
    CHECK(read.is_object());
    CHECK_FALSE(read["confirmed"] == true && read["version"] < 2);
  }
  for (int control = 1; control <= ProcessCluster::kControls; ++control) {
    CHECK(WaitFor([&] { return cluster.History(control).size() >= 2; }));
    const std::map<uint64_t, std::string> expected = {{1, "first"}, {2, "newer"}};
    CHECK(cluster.History(control) == expected);
  }
}

// Guards against an instance that votes after losing its persistent state, and against an
// incomplete recovery: the loss of a second instance must neither stop the system nor lose an
// accepted change.
TEST(ProcessAgreement, DataFolderDeletedThenAnotherInstanceLostStillAcceptsAndKeepsEverything) {
  CHECK(cluster.Start());
  int leader = 0;
  CHECK(cluster.WaitForLeader(&leader));
  const int wiped = leader % ProcessCluster::kControls + 1;
  const std::string name = ProcessCluster::Control(wiped);
  cluster.Kill(name);
  CHECK_EQUAL(0, cluster.SubmitUntilKnown("while-down", 1, ProcessCluster::Document(2)).code);
  CHECK(WaitFor(
      [&] { return ResultOf(cluster.Call(1, PostRequest("/invoices", "before-repair"))) == 0; }));
  cluster.DeleteData(name);
  cluster.Launch(name);
  CHECK(WaitFor([&] {
    return cluster.Metric(wiped, "endivecleat_config_voter") == 1 &&
           cluster.Metric(wiped, "endivecleat_once_voter") == 1;
  }));
  CHECK(cluster.LogText(name).find("data_folder_empty") != std::string::npos);
  CHECK(cluster.WaitForLeader(&leader));
  const int second = leader != wiped ? leader : wiped % ProcessCluster::kControls + 1;
  cluster.Kill(ProcessCluster::Control(second));
  CHECK_EQUAL(0, cluster.SubmitUntilKnown("after", 2, ProcessCluster::Document(3)).code);
  const std::map<uint64_t, std::string> expected = {{1, "first"}, {2, "while-down"}, {3, "after"}};
  CHECK(WaitFor([&] { return cluster.History(wiped) == expected; }));
  HttpResponse replayed;
  for (int daemon = 1; daemon <= ProcessCluster::kDaemons; ++daemon) {
    CHECK(WaitFor([&] {
      replayed = cluster.Call(daemon, PostRequest("/invoices", "before-repair"));
      return ResultOf(replayed) == 0;
    }));
    STRCMP_EQUAL("true", replayed.headers.ValueOr("endivecleat-replayed", "").c_str());
  }
}

// Guards against a control instance that ends, or takes no more part in the agreement, after its
// disk was full for some seconds.
TEST_GROUP(ProcessFullDisks) {
  ProcessCluster cluster;

  void setup() override {
    int leader = 0;
    CHECK(cluster.StartControls());
    CHECK(cluster.WaitForLeader(&leader));
  }
};

TEST(ProcessFullDisks, OneAfterAnotherLeaveAllProcessesAndChangesPossible) {
  uint64_t version = 0;
  const auto submit = [&] {
    const std::string operation = "change-" + std::to_string(version);
    const RpcAnswer answer = cluster.SubmitUntilKnown(
        operation, version, ProcessCluster::Document(static_cast<int>(version)));
    CHECK(answer.answered);
    CHECK_EQUAL(0, answer.code);
    ++version;
  };
  submit();
  for (int round = 0; round < 2; ++round) {
    for (int number = 1; number <= ProcessCluster::kControls; ++number) {
      const std::string name = ProcessCluster::Control(number);
      cluster.FillDisk(name);
      submit();
      std::this_thread::sleep_for(std::chrono::seconds(1));
      submit();
      cluster.EmptyDisk(name);
      CHECK(cluster.IsRunning(name));
      submit();
    }
  }
  // Each of them is needed again once another is gone.
  for (int number = 1; number <= ProcessCluster::kControls; ++number) {
    const std::string name = ProcessCluster::Control(number);
    cluster.Kill(name);
    submit();
    cluster.Launch(name);
    submit();
  }
}

}  // namespace endivecleat::test
