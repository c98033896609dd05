// Guards against an at-most-once request that runs twice, against the result "not run" (501) for a
// request that ran or runs later, and against an answer that differs from that of the run.
// Simulates random histories with lost, delayed, duplicated and reordered messages, killed daemons
// and targets, and callers that resend a key through other daemons, and checks the runs at the
// targets.
#include <CppUTest/TestHarness.h>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "call.h"
#include "fake_network.h"
#include "seed_runner.h"
#include "seeded_random.h"
#include "state_chart.h"
#include "target_call.h"

using namespace endivecleat;        // NOLINT(google-build-using-namespace)
using namespace endivecleat::test;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;

namespace {

struct AttemptMessage {
  AttemptId attempt;
  IdempotencyKey key;
  std::string digest;
  TimePoint deadline;
};
struct CancelMessage {
  AttemptId attempt;
};
struct AnswerMessage {
  AttemptId attempt;
  TargetAnswer answer;
};
struct RefusalMessage {
  AttemptId attempt;
  Refusal refusal;
};
struct BrokenLinkMessage {
  AttemptId attempt;
};
enum class Command { kClaim, kRelease, kComplete, kRefuse };
struct CommandMessage {
  Command command;
  IdempotencyKey key;
  AttemptId attempt;
  std::string digest;
  TargetAnswer answer;
};
using Message = std::variant<AttemptMessage, CancelMessage, AnswerMessage, RefusalMessage,
                             BrokenLinkMessage, CommandMessage, LedgerReply>;

// Reference model of the ledger: the states of charts/once.chart and the outcomes that the design
// document lists for each command (section 3.7).
class ReferenceLedger {
 public:
  LedgerReply Apply(const CommandMessage& message) {
    static const StateChart chart(
#include "once.chart"
    );
    static const char* const events[] = {"claim", "release", "complete", "refuse"};
    Record& record = records_[message.key];
    const bool needs_digest =
        message.command == Command::kClaim || message.command == Command::kRefuse;
    if (needs_digest && record.state != "free" && record.digest != message.digest) {
      return {message.attempt, LedgerOutcome::kDigestMismatch, {}};
    }
    const bool own = record.attempt == message.attempt;
    const std::string before = record.state;
    const bool owner_only =
        message.command == Command::kRelease || message.command == Command::kComplete;
    if (!owner_only || own) {
      record.state = chart.Next(before, events[static_cast<size_t>(message.command)]);
    }
    if (before == "free" && record.state != "free") {
      record.attempt = message.attempt;
      record.digest = message.digest;
    }
    if (before == "claimed" && record.state == "ran") {
      record.answer = message.answer;
    }
    return {message.attempt, Outcome(message.command, record, message.attempt), record.answer};
  }
  bool Claimed(const IdempotencyKey& key) { return records_[key].state == "claimed"; }

 private:
  struct Record {
    std::string state = "free";
    AttemptId attempt;
    std::string digest;
    TargetAnswer answer;
  };

  static LedgerOutcome Outcome(Command command, const Record& record, const AttemptId& attempt) {
    if (command == Command::kRelease) {
      return LedgerOutcome::kDone;
    }
    if (record.state == "ran") {
      return LedgerOutcome::kRan;
    }
    if (record.state == "refused") {
      return LedgerOutcome::kRefused;
    }
    const bool granted = command == Command::kClaim && record.attempt == attempt;
    return granted ? LedgerOutcome::kGranted : LedgerOutcome::kInProgress;
  }

  std::map<IdempotencyKey, Record> records_;
};

// What an outside observer sees of one key.
struct KeyHistory {
  std::vector<std::string> runs;  // response bodies of the runs, in the order of their starts
  std::set<std::string> answers;  // response bodies returned to callers
  bool answered_not_run = false;
  int pending = 0;  // unanswered calls of the caller
  int resends = 0;
};

struct Totals {
  uint64_t ran = 0, not_run = 0, unknown = 0, not_started = 0, kills = 0, abandoned_claims = 0,
           keys = 0;
};

const InstanceId kLedger("ledger");
constexpr int kCallerDaemons = 3;
constexpr int kTargetDaemons = 4;
constexpr int kKeys = 6;
constexpr int kMaxResends = 8;
const Duration kStep = milliseconds(1);
const Duration kHistory = std::chrono::seconds(6);

class Simulation {
 public:
  Simulation(uint64_t seed, Totals& totals)
      : random_(seed),
        network_(seed + 1, {.drop_percent = 4,
                            .duplicate_percent = 12,
                            .min_delay = milliseconds(1),
                            .max_delay = milliseconds(60)}),
        totals_(totals) {
    for (int number = 0; number < kTargetDaemons; ++number) {
      targets_[InstanceId("target-" + std::to_string(number))].number = number;
    }
    for (int number = 0; number < kCallerDaemons; ++number) {
      callers_[InstanceId("caller-" + std::to_string(number))];
    }
    for (int number = 0; number < kKeys; ++number) {
      ScheduleCall(IdempotencyKey("key-" + std::to_string(number)));
    }
  }

  std::string Run() {
    while (now_ < TimePoint{} + kHistory && violation_.empty()) {
      now_ += kStep;
      StartCalls();
      for (const auto& delivery : network_.TakeDue(now_)) {
        Deliver(delivery.from, delivery.to, delivery.message);
      }
      EndRuns();
      FireTimers();
      CheckInvariants();
    }
    totals_.keys += kKeys;
    for (auto& [key, history] : histories_) {
      totals_.abandoned_claims += ledger_.Claimed(key) && history.runs.empty() ? 1 : 0;
    }
    return violation_;
  }

 private:
  struct ActiveTargetCall {
    InstanceId from;
    AttemptId attempt;  // assigned by the caller's daemon
    IdempotencyKey key;
    std::unique_ptr<TargetCall> call;
  };
  struct TargetDaemon {
    int number = 0;
    uint64_t boot = 0;
    TimePoint up_at{};
    uint64_t next = 0;
    std::map<AttemptId, ActiveTargetCall> calls;  // by the attempt id of the claim
  };
  struct ActiveCall {
    IdempotencyKey key;
    std::unique_ptr<Call> call;
    TimePoint deadline;
  };
  struct CallerDaemon {
    std::map<std::string, ActiveCall> calls;
  };
  struct PendingRun {  // a request that the target is running
    TimePoint ends;
    InstanceId daemon;
    uint64_t boot;
    AttemptId attempt;
    std::optional<TargetFault> fault;
    std::string body;
  };

  void ScheduleCall(const IdempotencyKey& key) {
    ++histories_[key].pending;
    starts_.push_back({now_ + milliseconds(random_.Below(400)), key});
  }

  void StartCalls() {
    for (const auto& [at, key] : std::exchange(starts_, {})) {
      if (at > now_) {
        starts_.push_back({at, key});
        continue;
      }
      auto daemon = callers_.begin();
      std::advance(daemon, random_.Below(callers_.size()));
      const std::string id = daemon->first.value() + "/" + std::to_string(++next_call_);
      const TimePoint deadline = now_ + milliseconds(20 + random_.Below(900));
      CallRequest request{.call_id = id,
                          .kind = CallKind::kAtMostOnce,
                          .key = key,
                          .digest = "digest",
                          .deadline = deadline,
                          .deadline_from_caller = random_.Chance(50)};
      ActiveCall& active = daemon->second.calls[id];
      active = {key, std::make_unique<Call>(request, budget_), deadline};
      ExecuteEffects(daemon->first, id, active.call->Start(now_));
      if (random_.Chance(10) && histories_[key].resends < kMaxResends) {
        ++histories_[key].resends;  // the caller resends before the first copy is answered
        ScheduleCall(key);
      }
    }
  }

  void ExecuteEffects(const InstanceId& daemon, const std::string& id, const CallEffects& effects) {
    for (const CallEffect& effect : effects) {
      ActiveCall& active = callers_[daemon].calls[id];
      if (std::holds_alternative<ChooseCandidate>(effect)) {
        const auto& tried = std::get<ChooseCandidate>(effect).tried;
        ExecuteEffects(daemon, id, active.call->Chosen(now_, ChooseTarget(tried)));
      } else if (const auto* send = std::get_if<SendAttempt>(&effect)) {
        const AttemptMessage message{send->attempt, active.key, "digest", active.deadline};
        network_.Send(now_, daemon, send->endpoint.instance, message);
      } else if (const auto* cancel = std::get_if<CancelAttempt>(&effect)) {
        network_.Send(now_, daemon, cancel->endpoint.instance, CancelMessage{cancel->attempt});
      } else if (const auto* refuse = std::get_if<RefuseInLedger>(&effect)) {
        const CommandMessage message{
            Command::kRefuse, refuse->key, refuse->attempt, refuse->digest, {}};
        network_.Send(now_, daemon, kLedger, message);
      } else if (const auto* finish = std::get_if<FinishCall>(&effect)) {
        OnFinished(active.key, *finish);
        callers_[daemon].calls.erase(id);
        return;
      }
    }
  }

  std::optional<Endpoint> ChooseTarget(const std::vector<InstanceId>& tried) {
    std::vector<InstanceId> free;
    for (const auto& [instance, daemon] : targets_) {
      if (std::find(tried.begin(), tried.end(), instance) == tried.end()) {
        free.push_back(instance);
      }
    }
    return free.empty() ? std::nullopt
                        : std::optional(Endpoint{free[random_.Below(free.size())], {}});
  }

  void OnFinished(const IdempotencyKey& key, const FinishCall& finish) {
    KeyHistory& history = histories_[key];
    --history.pending;
    const bool resend =
        finish.code == ResultCode::kOutcomeUnknown || finish.code == ResultCode::kNotStarted;
    if (finish.code == ResultCode::kOk) {
      ++totals_.ran;
      history.answers.insert(finish.answer->body);
    }
    history.answered_not_run = history.answered_not_run || finish.code == ResultCode::kNotRun;
    totals_.not_run += finish.code == ResultCode::kNotRun ? 1 : 0;
    totals_.unknown += finish.code == ResultCode::kOutcomeUnknown ? 1 : 0;
    totals_.not_started += finish.code == ResultCode::kNotStarted ? 1 : 0;
    if ((resend || random_.Chance(40)) && history.resends < kMaxResends) {
      ++history.resends;
      ScheduleCall(key);
    }
  }

  void Deliver(const InstanceId& from, const InstanceId& to, const Message& message) {
    if (to == kLedger) {
      DeliverToLedger(from, std::get<CommandMessage>(message));
    } else if (callers_.contains(to)) {
      DeliverToCaller(to, message);
    } else {
      DeliverToTarget(from, to, message);
    }
  }

  void DeliverToLedger(const InstanceId& from, const CommandMessage& message) {
    const bool unreachable = random_.Chance(3);
    LedgerReply reply{message.attempt, LedgerOutcome::kUnreachable, {}};
    if (!unreachable || random_.Chance(50)) {  // an unconfirmed command may still be applied
      const LedgerReply applied = ledger_.Apply(message);
      reply = unreachable ? reply : applied;
    }
    network_.Send(now_, kLedger, from, reply);
  }

  void DeliverToCaller(const InstanceId& to, const Message& message) {
    for (auto& [id, active] : callers_[to].calls) {
      CallEffects effects;
      if (const auto* answer = std::get_if<AnswerMessage>(&message)) {
        effects = active.call->Answered(now_, answer->attempt, answer->answer);
      } else if (const auto* refusal = std::get_if<RefusalMessage>(&message)) {
        effects = active.call->Refused(now_, refusal->attempt, refusal->refusal);
      } else if (const auto* broken = std::get_if<BrokenLinkMessage>(&message)) {
        effects = active.call->LinkBroken(now_, broken->attempt);
      } else if (const auto* reply = std::get_if<LedgerReply>(&message)) {
        effects = active.call->LedgerAnswered(now_, *reply);
      }
      if (!effects.empty()) {
        const std::string own_id = id;
        ExecuteEffects(to, own_id, effects);
        return;
      }
    }
  }

  void DeliverToTarget(const InstanceId& from, const InstanceId& to, const Message& message) {
    TargetDaemon& daemon = targets_[to];
    if (daemon.up_at > now_) {
      if (const auto* attempt = std::get_if<AttemptMessage>(&message)) {
        network_.Send(now_, to, from, BrokenLinkMessage{attempt->attempt});
      }
      return;
    }
    if (const auto* attempt = std::get_if<AttemptMessage>(&message)) {
      Admit(from, to, *attempt);
    } else if (const auto* cancel = std::get_if<CancelMessage>(&message)) {
      for (auto& [claim, active] : daemon.calls) {
        if (active.attempt == cancel->attempt && !active.call->finished()) {
          ExecuteEffects(to, AttemptId(claim), active.call->Cancelled(now_));
          return;
        }
      }
    } else if (const auto* reply = std::get_if<LedgerReply>(&message)) {
      const auto found = daemon.calls.find(reply->attempt);
      if (found != daemon.calls.end()) {
        ExecuteEffects(to, AttemptId(found->first),
                       found->second.call->LedgerAnswered(now_, *reply));
      }
    }
  }

  void Admit(const InstanceId& from, const InstanceId& to, const AttemptMessage& message) {
    TargetDaemon& daemon = targets_[to];
    const AttemptId claim(to.value() + "/" + std::to_string(daemon.boot) + "/" +
                          std::to_string(++daemon.next));
    auto call = std::make_unique<TargetCall>(TargetCallRequest{.kind = CallKind::kAtMostOnce,
                                                               .key = message.key,
                                                               .attempt = claim,
                                                               .digest = message.digest,
                                                               .fingerprint = Fingerprint("f"),
                                                               .deadline = message.deadline});
    TargetCall& added = *call;
    daemon.calls[claim] = {from, message.attempt, message.key, std::move(call)};
    if (random_.Chance(10)) {
      ExecuteEffects(to, claim, added.AdmissionRefused(now_, ResultCode::kOverloaded));
      return;
    }
    const bool stopped = random_.Chance(3);
    ExecuteEffects(to, claim,
                   added.Admitted(now_, stopped ? CrashVerdict::kStop : CrashVerdict::kRun));
  }

  // The daemon may be killed before each effect.
  void ExecuteEffects(const InstanceId& daemon, const AttemptId& claim,
                      const TargetCallEffects& effects) {
    for (const TargetCallEffect& effect : effects) {
      if (random_.Below(1000) < 15) {
        Kill(daemon);
        return;
      }
      const ActiveTargetCall& active = targets_[daemon].calls[claim];
      if (const auto* send = std::get_if<SendClaim>(&effect)) {
        SendToLedger(daemon, {Command::kClaim, send->key, send->attempt, send->digest, {}});
      } else if (const auto* send = std::get_if<SendRelease>(&effect)) {
        SendToLedger(daemon, {Command::kRelease, send->key, send->attempt, {}, {}});
      } else if (const auto* send = std::get_if<SendComplete>(&effect)) {
        SendToLedger(daemon, {Command::kComplete, send->key, send->attempt, {}, send->answer});
      } else if (const auto* send = std::get_if<SendRefuse>(&effect)) {
        SendToLedger(daemon, {Command::kRefuse, send->key, send->attempt, send->digest, {}});
      } else if (std::holds_alternative<CallTarget>(effect)) {
        StartRun(daemon, claim, active.key);
      } else if (const auto* answer = std::get_if<AnswerCaller>(&effect)) {
        network_.Send(now_, daemon, active.from, AnswerMessage{active.attempt, answer->answer});
      } else if (const auto* refuse = std::get_if<RefuseCaller>(&effect)) {
        network_.Send(now_, daemon, active.from, RefusalMessage{active.attempt, refuse->refusal});
      }
    }
  }

  void SendToLedger(const InstanceId& daemon, const CommandMessage& message) {
    network_.Send(now_, daemon, kLedger, message);
  }

  void StartRun(const InstanceId& daemon, const AttemptId& claim, const IdempotencyKey& key) {
    PendingRun run{now_ + milliseconds(1 + random_.Below(80)),
                   daemon,
                   targets_[daemon].boot,
                   claim,
                   std::nullopt,
                   ""};
    const uint64_t chance = random_.Below(100);
    if (chance < 20) {
      run.fault = TargetFault::kNotSent;
    } else {
      run.body = key.value() + " run by " + claim.value();
      histories_[key].runs.push_back(run.body);
      if (chance < 30) {
        run.fault = chance < 25 ? TargetFault::kDied : TargetFault::kBroken;
      }
    }
    runs_.push_back(run);
  }

  void EndRuns() {
    for (const PendingRun& run : std::exchange(runs_, {})) {
      if (run.ends > now_) {
        runs_.push_back(run);
        continue;
      }
      TargetDaemon& daemon = targets_[run.daemon];
      const auto found = daemon.calls.find(run.attempt);
      if (daemon.boot != run.boot || found == daemon.calls.end()) {
        continue;
      }
      TargetCall& call = *found->second.call;
      const TargetAnswer answer{.status = 200, .body = run.body};
      ExecuteEffects(run.daemon, run.attempt,
                     run.fault.has_value() ? call.TargetFailed(now_, *run.fault)
                                           : call.TargetAnswered(now_, answer));
    }
  }

  void Kill(const InstanceId& instance) {
    TargetDaemon& daemon = targets_[instance];
    ++totals_.kills;
    for (const auto& [claim, active] : daemon.calls) {
      network_.Send(now_, instance, active.from, BrokenLinkMessage{active.attempt});
    }
    daemon.calls.clear();
    ++daemon.boot;
    daemon.next = 0;
    daemon.up_at = now_ + milliseconds(random_.Below(600));
  }

  void FireTimers() {
    for (auto& [instance, daemon] : targets_) {
      std::vector<AttemptId> due;
      for (const auto& [claim, active] : daemon.calls) {
        if (active.call->next_timer() <= now_) {
          due.push_back(claim);
        }
      }
      for (const AttemptId& claim : due) {
        const auto found = daemon.calls.find(claim);
        if (found != daemon.calls.end()) {
          ExecuteEffects(instance, claim, found->second.call->TimedOut(now_));
        }
      }
      std::erase_if(daemon.calls, [](const auto& entry) { return entry.second.call->finished(); });
    }
    for (auto& [instance, daemon] : callers_) {
      std::vector<std::string> due;
      for (const auto& [id, active] : daemon.calls) {
        if (active.call->next_timer() <= now_) {
          due.push_back(id);
        }
      }
      for (const std::string& id : due) {
        ExecuteEffects(instance, id, daemon.calls[id].call->TimedOut(now_));
      }
    }
  }

  void CheckInvariants() {
    for (const auto& [key, history] : histories_) {
      if (history.runs.size() > 1) {
        violation_ = key.value() + " ran twice: " + history.runs[0] + ", " + history.runs[1];
      } else if (history.answered_not_run && !history.runs.empty()) {
        violation_ = key.value() + " was answered \"not run\" but ran";
      } else if (history.answers.size() > 1) {
        violation_ = key.value() + " was given two different answers";
      } else if (!history.answers.empty() && !history.runs.empty() &&
                 *history.answers.begin() != history.runs.front()) {
        violation_ = key.value() + " was given an answer that differs from the one of its run";
      } else if (!history.answers.empty() && history.runs.empty()) {
        violation_ = key.value() + " was given an answer without a run";
      }
    }
  }

  SeededRandom random_;
  FakeNetwork<Message> network_;
  Totals& totals_;
  RetryBudget budget_{Percent(100)};
  ReferenceLedger ledger_;
  TimePoint now_{};
  std::map<InstanceId, TargetDaemon> targets_;
  std::map<InstanceId, CallerDaemon> callers_;
  std::map<IdempotencyKey, KeyHistory> histories_;
  std::vector<std::pair<TimePoint, IdempotencyKey>> starts_;
  std::vector<PendingRun> runs_;
  uint64_t next_call_ = 0;
  std::string violation_;
};

}  // namespace

TEST_GROUP(AtMostOnceFaultyHistory){};

TEST(AtMostOnceFaultyHistory, RunsEachKeyAtMostOnceAndReportsItsOutcome) {
  Totals totals;
  ForEachSeed(150, [&](uint64_t seed) { return Simulation(seed, totals).Run(); });
  std::printf(
      "\n  ran %llu, not run %llu, unknown %llu, not started %llu, kills %llu, keys %llu, "
      "claimed but never run %llu\n",
      static_cast<unsigned long long>(totals.ran), static_cast<unsigned long long>(totals.not_run),
      static_cast<unsigned long long>(totals.unknown),
      static_cast<unsigned long long>(totals.not_started),
      static_cast<unsigned long long>(totals.kills), static_cast<unsigned long long>(totals.keys),
      static_cast<unsigned long long>(totals.abandoned_claims));
  // Over all seeds every outcome must occur, or the test would not cover it. A single replayed seed
  // may lack some.
  if (totals.keys > kKeys) {
    CHECK(totals.ran > 0 && totals.not_run > 0 && totals.unknown > 0 && totals.not_started > 0);
    CHECK(totals.kills > 0);
  }
}
