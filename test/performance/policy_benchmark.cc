// Discrete-event simulation of the call policy against two baselines. 20 daemons call 9 targets
// with 9 slots and a mean service time of 20 ms, at 0.5 to 4 times the capacity. The policy runs
// the real Call, Balancer, RetryBudget and Admission objects. Guards against changes of the policy
// that lose goodput under overload or delay at-most-once requests.
#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "admission.h"
#include "balancer.h"
#include "call.h"
#include "retry_budget.h"
#include "seeded_random.h"

using namespace endivecleat;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr size_t kTargets = 9;
constexpr size_t kSlots = 9;
constexpr size_t kCallers = 20;
constexpr uint64_t kOncePercent = 10;
constexpr double kCapacity = kTargets * kSlots / 0.020;  // calls per second
constexpr double kSlowFactor = 5;
constexpr double kColdFactor = 5;  // slowdown of a cold target at the start; falls to 1 linearly
const Duration kMeanServiceTime = milliseconds(20);
const Duration kErrorServiceTime = milliseconds(1);
const Duration kLedgerRoundTrip = milliseconds(5);  // round trip to the ledger within a region
const Duration kNetworkDelay = Duration(500);
const Duration kWarmUpTime = seconds(5);
const Duration kReportDelay = milliseconds(500);
const Duration kTimeout = seconds(1);  // deadline; later answers count as failures
const Duration kSimulatedTime = seconds(8);
constexpr size_t kBaselineAttempts = 3;
const Duration kBaselineAttemptTimeout = milliseconds(333);

enum class Strategy { kPolicy, kRandom, kRoundRobin };

struct Scenario {
  const char* name;
  bool slow_target;
  bool error_target;
  bool cold_start;
};

// Event queue in virtual time.
class Clock {
 public:
  TimePoint now() const { return now_; }
  void At(TimePoint time, std::function<void()> action) {
    events_.push_back({time, next_++, std::move(action)});
    std::push_heap(events_.begin(), events_.end());
  }
  void After(Duration delay, std::function<void()> action) { At(now_ + delay, std::move(action)); }
  void RunUntil(TimePoint end) {
    while (!events_.empty() && events_.front().time <= end) {
      std::pop_heap(events_.begin(), events_.end());
      const Event event = std::move(events_.back());
      events_.pop_back();
      now_ = event.time;
      event.action();
    }
  }

 private:
  struct Event {
    TimePoint time;
    uint64_t order;
    std::function<void()> action;
    bool operator<(const Event& other) const {
      return std::pair(other.time, other.order) < std::pair(time, order);
    }
  };

  TimePoint now_ = TimePoint{} + seconds(1000);
  uint64_t next_ = 0;
  std::vector<Event> events_;  // a heap, the earliest event first
};

struct Results {
  uint64_t calls = 0;
  uint64_t good = 0;
  uint64_t once_calls = 0;
  uint64_t attempts = 0;
  std::vector<Duration> once_latencies;
};

// A request of a caller, over all its attempts.
struct Client {
  TimePoint sent_at;
  bool once = false;
  bool done = false;
};

// One simulation run of a strategy.
class Simulation {
 public:
  Simulation(Strategy strategy, const Scenario& scenario, double load, uint64_t seed)
      : strategy_(strategy), scenario_(scenario), rate_(load * kCapacity), random_(seed) {
    for (size_t number = 0; number < kTargets; ++number) {
      targets_.push_back({.instance = InstanceId(std::to_string(number))});
      targets_[number].admission.Open(start_ - (scenario.cold_start ? Duration{} : kWarmUpTime));
    }
    for (size_t number = 0; number < kCallers; ++number) {
      callers_.push_back({Balancer(seed * 1000 + number), RetryBudget(policy_.retry_percent)});
    }
  }

  Results Run() {
    if (strategy_ == Strategy::kPolicy) {
      Gossip();
    }
    Arrive();
    clock_.RunUntil(start_ + kSimulatedTime + kTimeout);
    return std::move(results_);
  }

 private:
  struct Job {
    bool once = false;
    TimePoint deadline;
    std::function<void(int status)> answered;
    std::function<void(ResultCode code)> refused;
    bool finished = false;
  };
  struct Target {
    InstanceId instance;
    Admission admission{ServicePolicy{}};
    std::map<RequestNumber, std::shared_ptr<Job>> jobs;  // of the policy
    std::deque<std::shared_ptr<Job>> waiting;            // of the baselines, unbounded
    size_t busy = 0;                                     // of the baselines
  };
  struct Caller {
    Balancer balancer;
    RetryBudget budget;
  };

  // Inter-arrival and service times are exponentially distributed.
  Duration Exponential(Duration mean) {
    const double uniform = static_cast<double>(random_.Below(1000000) + 1) / 1000001.0;
    return Duration(static_cast<int64_t>(-std::log(uniform) * static_cast<double>(mean.count())));
  }

  void Arrive() {
    if (clock_.now() >= start_ + kSimulatedTime) {
      return;
    }
    auto client = std::make_shared<Client>();
    client->sent_at = clock_.now();
    client->once = random_.Chance(kOncePercent);
    ++results_.calls;
    results_.once_calls += client->once ? 1 : 0;
    if (strategy_ == Strategy::kPolicy) {
      CallByPolicy(client);
    } else {
      CallByBaseline(client, 1);
    }
    clock_.After(Exponential(Duration(static_cast<int64_t>(1e6 / rate_))), [this] { Arrive(); });
  }

  void Answer(const std::shared_ptr<Client>& client, int status) {
    const Duration latency = clock_.now() - client->sent_at;
    if (std::exchange(client->done, true) || latency > kTimeout || status >= 500) {
      return;
    }
    ++results_.good;
    if (client->once) {
      results_.once_latencies.push_back(latency);
    }
  }

  // Service times and results of the targets, the same for every strategy.

  Duration ServiceTime(size_t number, bool once) {
    if (IsErrorTarget(number)) {
      return kErrorServiceTime;
    }
    double factor = scenario_.slow_target && number == 0 ? kSlowFactor : 1;
    const Duration age = clock_.now() - start_;
    if (scenario_.cold_start && age < kWarmUpTime) {
      const double cold =
          1 - static_cast<double>(age.count()) / static_cast<double>(kWarmUpTime.count());
      factor *= 1 + (kColdFactor - 1) * cold;
    }
    const auto mean = static_cast<int64_t>(static_cast<double>(kMeanServiceTime.count()) * factor);
    return Exponential(Duration(mean)) + (once ? kLedgerRoundTrip : Duration{});
  }
  bool IsErrorTarget(size_t number) const { return scenario_.error_target && number == 1; }
  int Status(size_t number) const { return IsErrorTarget(number) ? 500 : 200; }

  // The policy under test.

  void Gossip() {
    std::vector<Candidate> candidates;
    for (const Target& target : targets_) {
      candidates.push_back(
          {{target.instance, {}}, TargetId(target.instance.value()), {}, Load(target)});
    }
    for (Caller& caller : callers_) {
      if (caller.balancer.size() == 0) {
        caller.balancer.SetCandidates(clock_.now(), candidates, {"*"});
      }
    }
    clock_.After(kReportDelay, [this, candidates] {
      for (Caller& caller : callers_) {
        caller.balancer.SetCandidates(clock_.now(), candidates, {"*"});
      }
      Gossip();
    });
  }

  TargetLoad Load(const Target& target) const {
    const size_t busy = target.admission.running() + target.admission.queued();
    return {busy, target.admission.slots(clock_.now())};
  }

  struct PolicyCall {
    std::shared_ptr<Client> client;
    size_t caller;
    std::unique_ptr<Call> call;
    bool in_flight = false;
    InstanceId instance;
    RequestNumber number;
  };
  using PolicyCallPointer = std::shared_ptr<PolicyCall>;

  void CallByPolicy(const std::shared_ptr<Client>& client) {
    auto call = std::make_shared<PolicyCall>();
    call->client = client;
    call->caller = random_.Below(kCallers);
    CallRequest request{.call_id = std::to_string(results_.calls),
                        .kind = client->once ? CallKind::kAtMostOnce : CallKind::kIdempotent,
                        .deadline = clock_.now() + kTimeout};
    if (client->once) {
      request.key = IdempotencyKey(request.call_id);
    }
    call->call = std::make_unique<Call>(request, callers_[call->caller].budget);
    clock_.At(request.deadline,
              [this, call] { Execute(call, call->call->TimedOut(clock_.now())); });
    Execute(call, call->call->Start(clock_.now()));
  }

  void Execute(const PolicyCallPointer& call, const CallEffects& effects) {
    for (const CallEffect& effect : effects) {
      if (const auto* choose = std::get_if<ChooseCandidate>(&effect)) {
        const auto chosen = callers_[call->caller].balancer.Choose(clock_.now(), choose->tried);
        Execute(call, call->call->Chosen(clock_.now(), chosen));
      } else if (const auto* send = std::get_if<SendAttempt>(&effect)) {
        Send(call, *send);
      } else if (std::holds_alternative<CancelAttempt>(effect)) {
        Cancel(call);
      } else if (const auto* finish = std::get_if<FinishCall>(&effect)) {
        Answer(call->client, finish->answer.has_value() ? finish->answer->status : 503);
      }
    }
  }

  void Send(const PolicyCallPointer& call, const SendAttempt& send) {
    ++results_.attempts;
    call->in_flight = true;
    call->instance = send.endpoint.instance;
    call->number = RequestNumber(++next_request_);
    callers_[call->caller].balancer.Sent(call->instance);
    const size_t target = std::stoul(call->instance.value());
    const AttemptId attempt = send.attempt;
    auto job = std::make_shared<Job>();
    job->once = call->client->once;
    job->deadline = call->client->sent_at + kTimeout;
    job->answered = [this, call, attempt, target](int status) {
      const TargetLoad load = Load(targets_[target]);
      clock_.After(kNetworkDelay, [this, call, attempt, status, load] {
        const bool error = status >= 500;
        Finished(call, attempt, error ? AttemptResult::kErrorStatus : AttemptResult::kAnswered,
                 load);
        Execute(call, call->call->Answered(clock_.now(), attempt, {.status = status}));
      });
    };
    job->refused = [this, call, attempt, target](ResultCode code) {
      const TargetLoad load = Load(targets_[target]);
      clock_.After(kNetworkDelay, [this, call, attempt, code, load] {
        Finished(call, attempt, AttemptResult::kRefused, load);
        Execute(call, call->call->Refused(clock_.now(), attempt, {code}));
      });
    };
    const RequestNumber number = call->number;
    clock_.After(kNetworkDelay, [this, target, number, job] {
      targets_[target].jobs[number] = job;
      Decide(target,
             targets_[target].admission.Submit(
                 clock_.now(), {number, Priority(job->once ? 0 : 1), job->deadline, std::nullopt}));
    });
  }

  void Finished(const PolicyCallPointer& call, const AttemptId& attempt, AttemptResult result,
                const TargetLoad& load) {
    const bool current = call->call->state() == "waiting" &&
                         attempt.value().ends_with("/" + std::to_string(call->call->attempts()));
    if (current && std::exchange(call->in_flight, false)) {
      callers_[call->caller].balancer.Finished(clock_.now(), call->instance, result, load);
    }
  }

  void Cancel(const PolicyCallPointer& call) {
    if (std::exchange(call->in_flight, false)) {
      callers_[call->caller].balancer.Finished(clock_.now(), call->instance, AttemptResult::kFailed,
                                               std::nullopt);
    }
    const size_t number = std::stoul(call->instance.value());
    const RequestNumber request = call->number;
    clock_.After(kNetworkDelay, [this, number, request] {
      Target& target = targets_[number];
      const auto found = target.jobs.find(request);
      if (found != target.jobs.end() && !found->second->once) {
        target.admission.Cancel(request);
      }
    });
  }

  void Decide(size_t number, const std::vector<AdmissionDecision>& decisions) {
    Target& target = targets_[number];
    for (const AdmissionDecision& decision : decisions) {
      const std::shared_ptr<Job> job = target.jobs.at(decision.number);
      if (decision.refusal_code.has_value()) {
        target.jobs.erase(decision.number);
        job->refused(*decision.refusal_code);
        continue;
      }
      const RequestNumber request = decision.number;
      clock_.After(ServiceTime(number, job->once), [this, number, request, job] {
        targets_[number].jobs.erase(request);
        job->answered(Status(number));
        Decide(number, targets_[number].admission.Finish(clock_.now(), request));
      });
    }
    const TimePoint timer = target.admission.next_timer(clock_.now());
    if (timer != TimePoint::max()) {
      clock_.At(timer,
                [this, number] { Decide(number, targets_[number].admission.Tick(clock_.now())); });
    }
  }

  // The baselines: targets have unbounded FIFO queues and ignore deadlines.

  void CallByBaseline(const std::shared_ptr<Client>& client, size_t attempt) {
    ++results_.attempts;
    const bool round_robin = strategy_ == Strategy::kRoundRobin;
    const size_t number = round_robin ? next_in_turn_++ % kTargets : random_.Below(kTargets);
    auto job = std::make_shared<Job>();
    job->once = client->once;
    const auto again = [this, client, attempt, round_robin] {
      const bool more = round_robin && attempt < kBaselineAttempts;
      if (more && !client->done && clock_.now() < client->sent_at + kTimeout) {
        CallByBaseline(client, attempt + 1);
      }
    };
    job->answered = [this, client, job_pointer = job.get(), again](int status) {
      const bool timed_out = std::exchange(job_pointer->finished, true);
      if (status >= 500) {
        if (!timed_out) {
          again();
        }
        return;
      }
      clock_.After(kNetworkDelay, [this, client, status] { Answer(client, status); });
    };
    if (round_robin) {
      clock_.After(kBaselineAttemptTimeout, [job, again] {
        if (!std::exchange(job->finished, true)) {
          again();
        }
      });
    }
    clock_.After(kNetworkDelay, [this, number, job] {
      targets_[number].waiting.push_back(job);
      Serve(number);
    });
  }

  void Serve(size_t number) {
    Target& target = targets_[number];
    while (target.busy < kSlots && !target.waiting.empty()) {
      const std::shared_ptr<Job> job = target.waiting.front();
      target.waiting.pop_front();
      ++target.busy;
      clock_.After(ServiceTime(number, job->once), [this, number, job] {
        --targets_[number].busy;
        job->answered(Status(number));
        Serve(number);
      });
    }
  }

  Strategy strategy_;
  Scenario scenario_;
  double rate_;
  SeededRandom random_;
  Clock clock_;
  const TimePoint start_ = clock_.now();
  const ServicePolicy policy_{};
  std::vector<Target> targets_;
  std::vector<Caller> callers_;
  Results results_;
  uint64_t next_request_ = 0;
  size_t next_in_turn_ = 0;
};

double PercentileMs(std::vector<Duration>& latencies, double share) {
  if (latencies.empty()) {
    return 0;
  }
  std::sort(latencies.begin(), latencies.end());
  const auto last = static_cast<double>(latencies.size() - 1);
  return static_cast<double>(latencies[static_cast<size_t>(share * last)].count()) / 1000;
}

void Print(const std::string& name, double value, const char* unit, uint64_t count, uint64_t seed) {
  std::printf("{\"name\":\"%s\",\"value\":%.3f,\"unit\":\"%s\",\"n\":%s,\"seed\":%s}\n",
              name.c_str(), value, unit, std::to_string(count).c_str(),
              std::to_string(seed).c_str());
}

void Measure(Strategy strategy, const char* strategy_name, const Scenario& scenario, double load,
             uint64_t seed) {
  Results results = Simulation(strategy, scenario, load, seed).Run();
  std::array<char, 16> load_text{};
  std::snprintf(load_text.data(), load_text.size(), "%.1fx", load);
  const std::string name =
      std::string("policy.") + scenario.name + "." + load_text.data() + "." + strategy_name;
  const double length = static_cast<double>(kSimulatedTime.count()) / 1e6;
  const uint64_t once = results.once_latencies.size();
  Print(name + ".goodput", static_cast<double>(results.good) / length, "calls/s", results.calls,
        seed);
  Print(name + ".attempts_per_call",
        static_cast<double>(results.attempts) / static_cast<double>(results.calls), "attempts",
        results.calls, seed);
  Print(name + ".once_answered",
        100 * static_cast<double>(once) / static_cast<double>(results.once_calls), "%",
        results.once_calls, seed);
  Print(name + ".once_p50", PercentileMs(results.once_latencies, 0.5), "ms", once, seed);
  Print(name + ".once_p99", PercentileMs(results.once_latencies, 0.99), "ms", once, seed);
}

}  // namespace

int main() {
  const char* seed_text = std::getenv("ENDIVECLEAT_SEED");
  const uint64_t seed = seed_text == nullptr ? 1 : std::strtoull(seed_text, nullptr, 10);
  const Scenario scenarios[] = {{"healthy", false, false, false},
                                {"slow_target", true, false, false},
                                {"error_target", false, true, false},
                                {"cold_start", false, false, true},
                                {"all_faults", true, true, true}};
  for (const Scenario& scenario : scenarios) {
    for (const double load : {0.5, 1.0, 2.0, 4.0}) {
      Measure(Strategy::kPolicy, "endivecleat", scenario, load, seed);
      Measure(Strategy::kRandom, "random", scenario, load, seed);
      Measure(Strategy::kRoundRobin, "round_robin", scenario, load, seed);
    }
  }
  return 0;
}
