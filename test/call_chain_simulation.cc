// Each step of a request is an event; the targets' admission is ticked every millisecond.
#include "call_chain_simulation.h"

#include <algorithm>
#include <cmath>
#include <string>
#include <utility>

#include "attempt_tracker.h"

namespace endivecleat::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart = TimePoint{} + seconds(100);
constexpr Duration kStep = milliseconds(1);
constexpr Duration kOneWay = milliseconds(1);
constexpr Duration kReportInterval = seconds(2);
constexpr size_t kSlots = 7;
constexpr size_t kCallsOfRead = 2;
constexpr uint64_t kReadsWithCallsPercent = 70;
constexpr Duration kCallTimeout = milliseconds(800);
constexpr int kClientRetries = 2;
constexpr Duration kClientPause = milliseconds(10);  // after a failure without a retry-after
constexpr std::array kSpeeds = {0.7, 0.7, 1.6};
constexpr Percent kRetryPercent{14};
constexpr RetryHundredths kBudgetSize{158};
constexpr size_t kRefusalBytes = 150;

struct RouteTerms {
  bool idempotent;
  Priority priority;
  Duration objective;
  Duration timeout;
  double mean_work_ms;
  double per_second;
  size_t request_bytes;  // on the link, with all headers
  size_t answer_bytes;
};
constexpr std::array<RouteTerms, 4> kRoutes = {{
    {true, Priority(2), milliseconds(800), seconds(5), 230, 534, 500, 1000},
    {false, Priority(1), milliseconds(1000), seconds(6), 300, 298, 1900, 5700},
    {false, Priority(0), milliseconds(600), seconds(5), 160, 174, 1900, 5700},
    {true, Priority(1), milliseconds(250), kCallTimeout, 58, 0, 500, 700},
}};

InstanceId Instance(size_t number) { return InstanceId(std::to_string(number)); }

}  // namespace

struct CallChainSimulation::Daemon {
  explicit Daemon(uint64_t seed) : calling{seed, kRetryPercent}, called{seed + 1, kRetryPercent} {}
  struct Service {
    Service(uint64_t seed, Percent percent) : balancer(seed), budget(percent, kBudgetSize) {}
    Balancer balancer;
    RetryBudget budget;
  };
  Service calling;
  Service called;
};

struct CallChainSimulation::Target {
  TransitDelay transit_delay;
  Admission admission{ServicePolicy{
      .slots = SlotCount(kSlots), .queue_length = QueueLength(40), .warm_up = Duration{}}};
};

struct CallChainSimulation::Client {
  RouteIndex route;
  TimePoint started;
  int retries_left = kClientRetries;
  bool counted = true;
};

struct CallChainSimulation::Exchange {
  RouteIndex route;
  size_t daemon;
  TimePoint started;
  TimePoint deadline;
  std::optional<RunId> parent;
  std::function<void(int, Duration)> done;
  std::unique_ptr<Call> call;
  std::unique_ptr<AttemptTracker> attempts;
  size_t target = 0;  // of the current attempt
  RequestNumber number;
  AttemptId attempt;
};

struct CallChainSimulation::RunningRequest {
  size_t target;
  ExchangeId exchange;
  AttemptId attempt;
  RequestNumber number;
  RouteIndex route;
  TimePoint started;
  TimePoint deadline;
  Duration rest{};  // work after the calls
  size_t calls_left = 0;
  std::vector<ExchangeId> calls;
};

CallChainSimulation::CallChainSimulation(uint64_t seed, double link_bytes_per_second,
                                         const CalledServiceTrouble& trouble)
    : random_(seed),
      link_bytes_per_second_(link_bytes_per_second),
      trouble_(trouble),
      now_(kStart) {
  for (size_t number = 0; number < kTargets; ++number) {
    targets_.push_back(std::make_unique<Target>());
    targets_.back()->admission.Open(kStart);
    daemons_.push_back(std::make_unique<Daemon>(random_.Next()));
  }
}

CallChainSimulation::~CallChainSimulation() = default;

CallChainOutcome CallChainSimulation::Run(Duration length) {
  for (const TimePoint end = now_ + length; now_ < end; now_ += kStep) {
    if ((now_ - kStart) % kReportInterval == Duration{}) {
      ReportLoad();
    }
    while (!events_.empty() && events_.begin()->first <= now_) {
      const auto event = events_.extract(events_.begin());
      event.mapped()();
    }
    for (size_t number = 0; number < targets_.size(); ++number) {
      Decide(number, targets_[number]->admission.Tick(now_));
    }
    for (size_t route = 0; route < due_.size(); ++route) {
      const double per_step = kRoutes[route].per_second / 1000;
      for (due_[route] += per_step; due_[route] >= 1; due_[route] -= 1) {
        Arrive(static_cast<RouteIndex>(route));
      }
    }
  }
  return outcome_;
}

// Returns when the message has arrived. Messages leave and arrive one after the other.
TimePoint CallChainSimulation::Transmit(size_t from, size_t to, size_t bytes) {
  if (from == to) {
    return now_ + kOneWay;
  }
  const auto time = Duration(
      static_cast<Duration::rep>(static_cast<double>(bytes) * 1'000'000 / link_bytes_per_second_));
  TimePoint& sent = outbound_free_at_[from];
  sent = std::max(sent, now_) + time;
  TimePoint& received = inbound_free_at_[to];
  received = std::max(received, sent + kOneWay) + time;
  return received;
}

// What gossip tells: it was measured at the report before.
void CallChainSimulation::ReportLoad() {
  for (size_t daemon = 0; daemon < daemons_.size(); ++daemon) {
    std::array<std::vector<Candidate>, 2> candidates;
    for (size_t number = 0; number < targets_.size(); ++number) {
      const bool lost =
          IsCalled(number) && InTrouble() && number + trouble_.lost_targets >= kTargets;
      if (!lost) {
        candidates[IsCalled(number) ? 1 : 0].push_back({{Instance(number), {}},
                                                        TargetId(),
                                                        Locality::kOwnDataCentre,
                                                        {reported_[number], kSlots},
                                                        number == daemon});
      }
    }
    daemons_[daemon]->calling.balancer.SetCandidates(now_, candidates[0], {"*"});
    daemons_[daemon]->called.balancer.SetCandidates(now_, candidates[1], {"*"});
  }
  for (size_t number = 0; number < targets_.size(); ++number) {
    reported_[number] =
        static_cast<uint64_t>(std::lround(targets_[number]->admission.mean_load(now_)));
  }
}

void CallChainSimulation::Arrive(RouteIndex route) {
  auto client = std::make_shared<Client>();
  client->route = route;
  client->started = now_;
  SendClient(client);
}

void CallChainSimulation::SendClient(const std::shared_ptr<Client>& client) {
  const Duration time_left = client->started + kRoutes[client->route].timeout - now_;
  StartExchange(
      client->route, random_.Below(kTargets), time_left,
      [this, client](int status, Duration retry_after) {
        ClientAnswered(client, status, retry_after);
      },
      std::nullopt);
}

void CallChainSimulation::ClientAnswered(const std::shared_ptr<Client>& client, int status,
                                         Duration retry_after) {
  const RouteTerms& terms = kRoutes[client->route];
  const TimePoint deadline = client->started + terms.timeout;
  const Duration pause =
      status == 503 ? std::min(retry_after, (deadline - now_) / 3) : Duration(kClientPause);
  const bool again = status != 200 && (terms.idempotent || status == 503) &&
                     client->retries_left > 0 && now_ + pause < deadline;
  if (again) {
    --client->retries_left;
    At(now_ + pause, [this, client] { SendClient(client); });
    return;
  }
  CallChainOutcome::Route& route = client->route == kRead     ? outcome_.reads
                                   : client->route == kUpdate ? outcome_.updates
                                                              : outcome_.confirmations;
  ++route.arrived;
  if (status == 200) {
    ++(now_ - client->started <= terms.objective ? route.in_time : route.late);
  }
}

void CallChainSimulation::StartExchange(RouteIndex route, size_t daemon, Duration timeout,
                                        std::function<void(int, Duration)> done,
                                        std::optional<RunId> parent) {
  const ExchangeId id = ++last_id_;
  auto exchange = std::make_unique<Exchange>();
  exchange->route = route;
  exchange->daemon = daemon;
  exchange->started = now_;
  exchange->deadline = now_ + timeout;
  exchange->parent = parent;
  exchange->done = std::move(done);
  CallRequest terms;
  terms.call_id = std::to_string(id);
  terms.kind = kRoutes[route].idempotent ? CallKind::kIdempotent : CallKind::kOther;
  terms.deadline = exchange->deadline;
  terms.max_offers = 3;
  terms.retry_error_answers = true;
  terms.urgent = !kRoutes[route].idempotent || timeout < Admission::kMinTimeToRetry;
  Daemon& owner = *daemons_[daemon];
  Daemon::Service& service = route == kRead || route == kUpdate ? owner.calling : owner.called;
  exchange->call = std::make_unique<Call>(terms, service.budget);
  exchange->attempts = std::make_unique<AttemptTracker>(service.balancer, kRoutes[route].objective);
  Call& call = *exchange->call;
  exchanges_[id] = std::move(exchange);
  Execute(id, call.Start(now_));
  At(now_ + timeout, [this, id] {
    if (exchanges_.contains(id)) {
      Execute(id, exchanges_.at(id)->call->TimedOut(now_));
    }
  });
}

void CallChainSimulation::Execute(ExchangeId id, const CallEffects& effects) {
  for (const CallEffect& effect : effects) {
    if (const auto* choose = std::get_if<ChooseCandidate>(&effect)) {
      Exchange& exchange = *exchanges_.at(id);
      ChoiceTerms terms;
      terms.objective = kRoutes[exchange.route].objective;
      terms.objective_left =
          std::max<Duration>(terms.objective - (now_ - exchange.started), milliseconds(50));
      terms.free_slot_only = !choose->may_wait;
      Daemon& daemon = *daemons_[exchange.daemon];
      Daemon::Service& service =
          exchange.route == kRead || exchange.route == kUpdate ? daemon.calling : daemon.called;
      Execute(id, exchange.call->Chosen(now_, service.balancer.Choose(now_, choose->tried, terms)));
    } else if (const auto* send = std::get_if<SendAttempt>(&effect)) {
      Send(id, *send);
    } else if (std::holds_alternative<CancelAttempt>(effect)) {
      CancelSent(id);
    } else if (const auto* finish = std::get_if<FinishCall>(&effect)) {
      Finish(id, *finish);
      return;
    }
  }
}

void CallChainSimulation::Send(ExchangeId id, const SendAttempt& send) {
  Exchange& exchange = *exchanges_.at(id);
  exchange.target = std::stoul(send.endpoint.instance.value());
  exchange.attempt = send.attempt;
  exchange.number = RequestNumber(++last_id_);
  exchange.attempts->Sent(now_, send.attempt, send.endpoint.instance, !send.may_wait);
  const RouteTerms& route = kRoutes[exchange.route];
  AdmissionRequest request;
  request.number = exchange.number;
  request.priority = route.priority;
  request.objective = route.objective;
  AttemptMessage message;
  message.time_left = exchange.deadline - now_;
  message.objective_left =
      std::max<Duration>(route.objective - (now_ - exchange.started), Duration{});
  message.sent_at = now_;
  if (!send.may_wait) {
    request.max_wait = Duration{};
  }
  numbers_[request.number] = {id, send.attempt, exchange.route, exchange.deadline};
  const TimePoint arrival = Transmit(exchange.daemon, exchange.target, route.request_bytes);
  At(arrival, [this, target = exchange.target, sender = Instance(exchange.daemon).value(), request,
               message]() mutable {
    DeductTransit(message, targets_[target]->transit_delay.Arrived(now_, sender, *message.sent_at));
    request.deadline = now_ + message.time_left;
    request.objective_left = message.objective_left;
    const bool lost = IsCalled(target) && InTrouble() && target + trouble_.lost_targets >= kTargets;
    const bool rejected =
        IsCalled(target) && InTrouble() && random_.Chance(trouble_.rejected_percent);
    if (lost || rejected) {
      const Submitted submitted = numbers_.extract(request.number).mapped();
      const ExchangeId id = submitted.exchange;
      const AttemptId attempt = submitted.attempt;
      const ResultCode code = lost ? ResultCode::kTargetUnreachable : ResultCode::kOverloaded;
      Reply(id, attempt, lost ? AttemptResult::kUnreachable : AttemptResult::kErrorStatus,
            [this, id, attempt, code, rejected] {
              Execute(id, exchanges_.at(id)->call->Refused(now_, attempt, {code, false, rejected}));
            });
      return;
    }
    Decide(target, targets_[target]->admission.Submit(now_, request));
  });
}

void CallChainSimulation::CancelSent(ExchangeId id) {
  Exchange& exchange = *exchanges_.at(id);
  exchange.attempts->Ended(now_, exchange.attempt, AttemptResult::kCancelled);
  const TimePoint arrival = Transmit(exchange.daemon, exchange.target, kRefusalBytes);
  At(arrival, [this, target = exchange.target, number = exchange.number] {
    if (numbers_.erase(number) > 0) {
      targets_[target]->admission.Cancel(number);
      return;
    }
    for (const auto& [run, state] : runs_) {
      if (state->number == number) {
        EndRun(run, 0);
        return;
      }
    }
  });
}

void CallChainSimulation::Decide(size_t target, const std::vector<AdmissionDecision>& decisions) {
  for (const AdmissionDecision& decision : decisions) {
    const auto found = numbers_.find(decision.number);
    if (found == numbers_.end()) {
      continue;
    }
    const Submitted submitted = found->second;
    numbers_.erase(found);
    if (!decision.refusal_code) {
      StartRun(target, submitted, decision.number);
      continue;
    }
    Reply(submitted.exchange, submitted.attempt, AttemptResult::kBusy,
          [this, id = submitted.exchange, attempt = submitted.attempt,
           code = *decision.refusal_code] {
            Execute(id, exchanges_.at(id)->call->Refused(now_, attempt, {code}));
          });
  }
}

// The work of a request follows an exponential distribution with a minimum.
Duration CallChainSimulation::ServiceTime(RouteIndex route, size_t target) {
  const double uniform = static_cast<double>(1 + random_.Below(1'000'000)) / 1'000'001;
  double work_ms = kRoutes[route].mean_work_ms * (0.4 - 0.6 * std::log(uniform));
  work_ms /= kSpeeds[target % kSpeeds.size()];
  if (InTrouble() && IsCalled(target) && target < kCallingTargets + trouble_.slow_targets) {
    work_ms *= trouble_.slowness;
  }
  return Duration(static_cast<Duration::rep>(work_ms * 1000));
}

void CallChainSimulation::StartRun(size_t target, const Submitted& submitted,
                                   RequestNumber number) {
  outcome_.started_long_after_deadline += now_ > submitted.deadline + milliseconds(500) ? 1 : 0;
  const RunId run_id = ++last_id_;
  auto run = std::make_unique<RunningRequest>();
  run->target = target;
  run->exchange = submitted.exchange;
  run->attempt = submitted.attempt;
  run->number = number;
  run->route = submitted.route;
  run->started = now_;
  run->deadline = submitted.deadline;
  const Duration work = ServiceTime(submitted.route, target);
  const bool calls = run->route == kRead && random_.Chance(kReadsWithCallsPercent);
  run->rest = calls ? work / 2 : Duration{};
  runs_[run_id] = std::move(run);
  At(now_ + (calls ? work / 2 : work), [this, run_id, calls] {
    if (calls) {
      MakeCalls(run_id);
    } else {
      EndRun(run_id, 200);
    }
  });
}

void CallChainSimulation::MakeCalls(RunId id) {
  const auto found = runs_.find(id);
  if (found == runs_.end()) {
    return;
  }
  const size_t daemon = found->second->target;
  const Duration timeout = std::min<Duration>(kCallTimeout, found->second->deadline - now_);
  found->second->calls_left = kCallsOfRead;
  for (size_t call = 0; call < kCallsOfRead; ++call) {
    found->second->calls.push_back(last_id_ + 1);
    StartExchange(
        kLookup, daemon, timeout,
        [this, id](int status, Duration) {
          At(now_, [this, id, status] { CallEnded(id, status == 200); });
        },
        id);
  }
}

void CallChainSimulation::CallEnded(RunId id, bool succeeded) {
  const auto found = runs_.find(id);
  if (found == runs_.end()) {
    return;
  }
  if (!succeeded) {
    EndRun(id, 500);
  } else if (--found->second->calls_left == 0) {
    At(now_ + found->second->rest, [this, id] { EndRun(id, 200); });
  }
}

// Status 0: the request was cancelled, and nobody waits for an answer.
void CallChainSimulation::EndRun(RunId id, int status) {
  auto node = runs_.extract(id);
  if (node.empty()) {
    return;
  }
  const RunningRequest& run = *node.mapped();
  if (!IsCalled(run.target)) {
    outcome_.calling_slot_time += now_ - run.started;
    outcome_.calling_slot_time_failed += status == 200 ? Duration{} : now_ - run.started;
  }
  for (const ExchangeId call : run.calls) {
    if (const auto found = exchanges_.find(call); found != exchanges_.end()) {
      Execute(call, found->second->call->Cancelled(now_));
    }
  }
  Decide(run.target, targets_[run.target]->admission.Finish(now_, run.number));
  if (status != 0) {
    Reply(run.exchange, run.attempt,
          status == 200 ? AttemptResult::kAnswered : AttemptResult::kErrorStatus,
          [this, exchange = run.exchange, attempt = run.attempt, status] {
            Execute(exchange,
                    exchanges_.at(exchange)->call->Answered(now_, attempt, {.status = status}));
          });
  }
}

void CallChainSimulation::Reply(ExchangeId id, const AttemptId& attempt, AttemptResult result,
                                const std::function<void()>& then) {
  const auto found = exchanges_.find(id);
  if (found == exchanges_.end()) {
    return;
  }
  const Exchange& replied = *found->second;
  const Admission& admission = targets_[replied.target]->admission;
  const TargetLoad load{admission.running() + admission.queued(), kSlots};
  const size_t bytes =
      result == AttemptResult::kAnswered ? kRoutes[replied.route].answer_bytes : kRefusalBytes;
  At(Transmit(replied.target, replied.daemon, bytes), [this, id, attempt, result, load, then] {
    if (const auto exchange = exchanges_.find(id); exchange != exchanges_.end()) {
      exchange->second->attempts->Ended(now_, attempt, result, load);
      then();
    }
  });
}

void CallChainSimulation::Finish(ExchangeId id, const FinishCall& finish) {
  const auto node = exchanges_.extract(id);
  const Exchange& exchange = *node.mapped();
  if (finish.code == ResultCode::kCancelled) {
    return;
  }
  Daemon& daemon = *daemons_[exchange.daemon];
  Duration retry_after = milliseconds(500);
  if (finish.code == ResultCode::kOverloaded) {
    const Daemon::Service& service =
        exchange.route == kRead || exchange.route == kUpdate ? daemon.calling : daemon.called;
    const Duration wait = service.balancer.ExpectedWait();
    retry_after = wait == Duration{} ? Duration(milliseconds(20))
                                     : std::clamp<Duration>(wait, milliseconds(250), seconds(2));
  }
  retry_after += Duration(random_.Below(static_cast<uint64_t>(retry_after.count())));
  const int status = finish.answer                                ? finish.answer->status
                     : finish.code == ResultCode::kDeadlinePassed ? 504
                                                                  : 503;
  exchange.done(status, retry_after);
}

}  // namespace endivecleat::test
