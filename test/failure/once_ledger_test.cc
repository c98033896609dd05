// Guards against a request that runs twice, or runs after it was refused. Daemons send claim,
// release, complete and refuse for the same keys over a network that reorders, duplicates, delays
// and drops messages, while the ledger restarts from snapshots. Each seed runs one random history;
// ENDIVECLEAT_SEED=<n> replays the seed that a failure prints.
#include "once_ledger.h"

#include <CppUTest/TestHarness.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "errors.h"
#include "fake_network.h"
#include "test_seed.h"

using endivecleat::Duration;
using endivecleat::IdempotencyKey;
using endivecleat::InstanceId;
using endivecleat::LedgerCommand;
using endivecleat::LedgerResult;
using endivecleat::OnceLedger;
using endivecleat::SeededRandom;
using endivecleat::StoredAnswer;
using endivecleat::TimePoint;
using endivecleat::WallTime;
using endivecleat::test::FakeNetwork;

namespace {

constexpr uint64_t kSeeds = 300;
constexpr uint64_t kKeys = 3;
constexpr uint64_t kDaemons = 4;
constexpr int kSteps = 400;
constexpr Duration kStep = std::chrono::milliseconds(1);
const InstanceId kLedger("ledger");

struct Message {
  std::string command;  // encoded; an answer repeats the command that it belongs to
  std::string answer;   // encoded; empty in a request
};

// Checks the invariants of at-most-once execution from the observed commands and answers only,
// without access to the ledger's records.
class InvariantChecker {
 public:
  void Observe(const LedgerCommand& command, const LedgerResult& answer) {
    KeyHistory& key = keys_[command.key];
    kinds_.insert(answer.kind);
    switch (answer.kind) {
      case LedgerResult::kGranted:
        Expect(command.kind == LedgerCommand::kClaim, "only a claim is granted");
        Expect(!key.ran && !key.refused, "no claim is granted after ran or refused");
        Expect(!key.holder || *key.holder == command.attempt, "one attempt is granted at a time");
        Expect(!key.released.contains(command.attempt), "a released attempt is never granted");
        key.holder = command.attempt;
        break;
      case LedgerResult::kRan:
        Expect(key.ran && *key.ran == answer.answer, "the first answer is repeated");
        break;
      case LedgerResult::kRefused:
        Expect(!key.ran && !key.holder, "a key that is granted or ran is not refused");
        key.refused = true;
        break;
      case LedgerResult::kInProgress:
        Expect(key.holder.has_value(), "a key in progress has a granted attempt");
        break;
      case LedgerResult::kDone:
        ObserveDone(key, command);
        break;
      default:
        Expect(false, "unexpected digest mismatch or full ledger");
    }
    Expect(!key.refused || answer.kind == LedgerResult::kRefused, "refused is final");
    Expect(!key.ran || answer.kind == LedgerResult::kRan || command.attempt == *key.holder,
           "ran is final");
  }

  // True when the ledger must grant the claim: the key is free and the attempt was never released.
  bool MustGrant(const LedgerCommand& claim) {
    KeyHistory& key = keys_[claim.key];
    return !key.ran && !key.refused && !key.holder && !key.released.contains(claim.attempt);
  }

  bool refused(const IdempotencyKey& key) { return keys_[key].refused; }
  const std::set<std::string>& violations() const { return violations_; }
  const std::set<LedgerResult::Kind>& kinds() const { return kinds_; }
  void Expect(bool condition, const char* invariant) {
    if (!condition) {
      violations_.insert(invariant);
    }
  }

 private:
  struct KeyHistory {
    std::optional<std::string> holder;
    std::set<std::string> released;
    std::optional<StoredAnswer> ran;
    bool refused = false;
  };

  void ObserveDone(KeyHistory& key, const LedgerCommand& command) {
    const bool is_holder = key.holder == command.attempt;
    if (command.kind == LedgerCommand::kRelease) {
      Expect(!key.ran, "a request that ran is not released");
      key.released.insert(command.attempt);
      key.holder = is_holder ? std::nullopt : key.holder;
    } else if (command.kind == LedgerCommand::kComplete) {
      Expect(is_holder || !key.holder, "only the granted attempt completes");
      key.ran = is_holder && !key.ran ? command.answer : key.ran;
    } else if (command.kind == LedgerCommand::kClaim) {
      Expect(key.released.contains(command.attempt),
             "a claim gets kDone only after a release of its attempt");
    }
  }

  std::map<IdempotencyKey, KeyHistory> keys_;
  std::set<std::string> violations_;
  std::set<LedgerResult::Kind> kinds_;  // of all answers
};

// Simulates daemons that claim, run, release, complete and refuse requests over a faulty network,
// and their ledger.
class LedgerHistory {
 public:
  explicit LedgerHistory(uint64_t seed)
      : random_(seed),
        network_(seed + 1, {.drop_percent = 10,
                            .duplicate_percent = 30,
                            .max_delay = std::chrono::milliseconds(60)}) {}

  // Returns the violated invariants.
  std::set<std::string> Run() {
    for (int step = 0; step < kSteps; ++step, now_ += kStep) {
      if (random_.Chance(25)) {
        StartAttempt();
      }
      if (random_.Chance(5)) {
        ledger_ = OnceLedger::Restore(ledger_.Snapshot());
      }
      for (auto& delivery : network_.TakeDue(now_)) {
        if (delivery.to == kLedger) {
          ApplyAtLedger(delivery.from, delivery.message);
        } else {
          ReceiveAtDaemon(delivery.to, delivery.message);
        }
      }
    }
    CheckRuns();
    return checker_.violations();
  }

  const std::set<LedgerResult::Kind>& kinds() const { return checker_.kinds(); }

 private:
  struct Attempt {
    bool answered = false;
    bool runs = false;
  };

  void StartAttempt() {
    const InstanceId daemon("daemon-" + std::to_string(random_.Below(kDaemons)));
    const IdempotencyKey key("key-" + std::to_string(random_.Below(kKeys)));
    const std::string attempt = daemon.value() + "/" + std::to_string(attempts_.size());
    attempts_[attempt] = {};
    const bool refuses = random_.Chance(5);
    Send(daemon,
         {refuses ? LedgerCommand::kRefuse : LedgerCommand::kClaim, key, attempt, "digest"});
    // A daemon without an answer resends, and one that gives up before the answer releases.
    if (random_.Chance(30)) {
      Send(daemon,
           {refuses ? LedgerCommand::kRefuse : LedgerCommand::kClaim, key, attempt, "digest"});
    }
    if (!refuses && random_.Chance(10)) {
      attempts_[attempt].answered = true;
      Send(daemon, {LedgerCommand::kRelease, key, attempt, "digest"});
    }
    // A faulty daemon completes an attempt that was not granted.
    if (random_.Chance(10)) {
      Send(daemon, {LedgerCommand::kComplete, key, attempt, "digest", {500, "", "not granted"}});
    }
  }

  void Send(const InstanceId& daemon, const LedgerCommand& command) {
    network_.Send(now_, daemon, kLedger, {EncodeLedgerCommand(command), ""});
  }

  void ApplyAtLedger(const InstanceId& from, const Message& message) {
    LedgerCommand command = endivecleat::DecodeLedgerCommand(message.command);
    command.at = WallTime(static_cast<uint64_t>(now_.time_since_epoch().count() / 1'000));
    const bool must_grant = command.kind == LedgerCommand::kClaim && checker_.MustGrant(command);
    const LedgerResult answer = ledger_.Apply(command);
    checker_.Expect(!must_grant || answer.kind == LedgerResult::kGranted,
                    "a free key is granted to a new attempt");
    checker_.Observe(command, answer);
    network_.Send(now_, kLedger, from, {message.command, EncodeLedgerResult(answer)});
  }

  void ReceiveAtDaemon(const InstanceId& daemon, const Message& message) {
    LedgerCommand command = endivecleat::DecodeLedgerCommand(message.command);
    Attempt& attempt = attempts_[command.attempt];
    const LedgerResult answer = endivecleat::DecodeLedgerResult(message.answer);
    if (attempt.answered || answer.kind != LedgerResult::kGranted) {
      return;
    }
    attempt.answered = true;
    command.answer = {200, "text/plain", command.attempt};
    if (random_.Chance(40)) {  // the target refused the connection
      command.kind = LedgerCommand::kRelease;
    } else {
      ++runs_[command.key];
      command.kind = LedgerCommand::kComplete;
    }
    for (uint64_t copies = random_.Below(3); copies > 0; --copies) {  // 0: the daemon crashed
      Send(daemon, command);
    }
  }

  void CheckRuns() {
    for (const auto& [key, runs] : runs_) {
      checker_.Expect(runs <= 1, "a request runs at most once");
      checker_.Expect(!checker_.refused(key), "a refused request never runs");
    }
  }

  SeededRandom random_;
  FakeNetwork<Message> network_;
  TimePoint now_{};
  OnceLedger ledger_;
  InvariantChecker checker_;
  std::map<std::string, Attempt> attempts_;
  std::map<IdempotencyKey, int> runs_;
};

// Runs one history, fails the test on a violation, and returns the kinds of answers that occurred.
std::set<LedgerResult::Kind> RunAndCheckHistory(uint64_t seed) {
  std::string report = "replay with ENDIVECLEAT_SEED=" + std::to_string(seed) + ":";
  LedgerHistory history(seed);
  const std::set<std::string> violations = history.Run();
  for (const std::string& invariant : violations) {
    report += "\n  violated: " + invariant;
  }
  CHECK_TEXT(violations.empty(), report.c_str());
  return history.kinds();
}

}  // namespace

TEST_GROUP(OnceLedgerUnderFaults){};

TEST(OnceLedgerUnderFaults, RunsEachRequestAtMostOnce) {
  if (const auto seed = endivecleat::test::ReplayedSeed()) {
    RunAndCheckHistory(*seed);
    return;
  }
  std::set<LedgerResult::Kind> kinds;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    kinds.merge(RunAndCheckHistory(seed));
  }
  // Without these answers the histories would not exercise all invariants.
  const std::set<LedgerResult::Kind> expected = {LedgerResult::kGranted, LedgerResult::kRan,
                                                 LedgerResult::kRefused, LedgerResult::kInProgress,
                                                 LedgerResult::kDone};
  CHECK(kinds == expected);
}
