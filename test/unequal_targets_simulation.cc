// Steps of one millisecond. Gossip reports the load of the targets every 2 s, as it was 2 s before.
#include "unequal_targets_simulation.h"

#include <algorithm>
#include <cmath>

namespace endivecleat::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart = TimePoint{} + seconds(100);
constexpr Duration kOneWay = milliseconds(1);
constexpr Duration kReportInterval = seconds(2);
constexpr Duration kLearningTime = seconds(3);  // the averages are unknown; nothing is counted

}  // namespace

Duration UnequalTargetsSimulation::Outcome::Percentile(double share) const {
  std::vector<Duration> sorted = times;
  std::sort(sorted.begin(), sorted.end());
  return sorted.empty()
             ? Duration{}
             : sorted[static_cast<size_t>(share * static_cast<double>(sorted.size() - 1))];
}

UnequalTargetsSimulation::UnequalTargetsSimulation(const Options& options)
    : options_(options), random_(options.seed), now_(kStart) {
  double capacity_per_ms = 0;
  for (size_t number = 0; number < options.targets; ++number) {
    targets_.push_back(std::make_unique<Target>());
    Target& target = *targets_.back();
    target.kind = options.kinds[number % options.kinds.size()];
    target.admission.SetAdaptiveLimit(options.adaptive);
    target.admission.Open(kStart);
    daemons_.push_back(std::make_unique<Daemon>(options.seed * 1000 + number));
    capacity_per_ms += target.kind.speed * std::min(target.kind.cores, double{kSlots}) / kWorkMs;
  }
  per_step_ = capacity_per_ms * options.percent / 100;
}

UnequalTargetsSimulation::Outcome UnequalTargetsSimulation::Run(Duration length) {
  double due = 0;
  for (const TimePoint end = now_ + length; now_ < end; now_ += milliseconds(1)) {
    if ((now_ - kStart) % kReportInterval == Duration{}) {
      ReportLoad();
    }
    while (!events_.empty() && events_.begin()->first <= now_) {
      const auto event = events_.extract(events_.begin());
      event.mapped()();
    }
    for (size_t number = 0; number < targets_.size(); ++number) {
      RunTarget(number);
      Decide(number, targets_[number]->admission.Tick(now_));
    }
    // Arrivals swing by 15% within some seconds.
    for (due +=
         per_step_ * (1 + 0.15 * std::sin(std::chrono::duration<double>(now_ - kStart).count()));
         due >= 1; due -= 1) {
      Arrive(random_.Below(daemons_.size()));
    }
  }
  return outcome_;
}

void UnequalTargetsSimulation::ReportLoad() {
  std::vector<Candidate> candidates;
  for (size_t number = 0; number < targets_.size(); ++number) {
    Target& target = *targets_[number];
    candidates.push_back({{Instance(number), {}},
                          TargetId(),
                          Locality::kOwnDataCentre,
                          {target.reported_busy, kSlots}});
    const double free = std::max(
        static_cast<double>(target.admission.slots(now_)) - target.admission.mean_load(now_), 0.0);
    target.reported_busy = kSlots - std::min(static_cast<size_t>(free), kSlots);
  }
  for (const auto& daemon : daemons_) {
    daemon->balancer.SetCandidates(now_, candidates, {"*"});
  }
}

double UnequalTargetsSimulation::Pace(size_t number) const {
  const bool spell = number == 0 && now_ >= options_.spell_start && now_ < options_.spell_end;
  return spell ? options_.spell : 1;
}

void UnequalTargetsSimulation::RunTarget(size_t number) {
  Target& target = *targets_[number];
  const double sharing =
      std::max(1.0, static_cast<double>(target.running.size()) / target.kind.cores);
  const double done_ms = target.kind.speed / sharing / Pace(number);
  std::vector<RequestNumber> ended;
  for (auto& [id, work] : target.running) {
    work.left_ms -= done_ms;
    if (work.left_ms <= 0) {
      ended.push_back(id);
    }
  }
  for (const RequestNumber id : ended) {
    const uint64_t request = target.running.extract(id).mapped().request;
    target.admission.Answered(now_, id, false);
    if (options_.states_pace) {
      target.admission.Reported(
          now_, {target.running.size(), 0, kSlots, static_cast<uint64_t>(100 * Pace(number))});
    }
    Decide(number, target.admission.Finish(now_, id));
    events_.emplace(now_ + kOneWay, [this, request] {
      Reply(request, AttemptResult::kAnswered);
      Request& each = requests_.at(request);
      Execute(request, each.call->Answered(now_, each.attempt, {.status = 200}));
    });
  }
}

void UnequalTargetsSimulation::Arrive(size_t daemon) {
  const uint64_t id = ++last_request_;
  Request& request = requests_[id];
  request.daemon = daemon;
  request.arrived = now_;
  if (random_.Chance(options_.deferrable_percent)) {
    request.priority = Priority(2);
  }
  CallRequest terms;
  terms.call_id = std::to_string(id);
  terms.kind = CallKind::kIdempotent;
  terms.deadline = now_ + seconds(2);
  terms.max_offers = 3;
  request.call = std::make_unique<Call>(terms, daemons_[daemon]->budget);
  const Balancer& balancer = daemons_[daemon]->balancer;
  const bool has_room = balancer.HasRoom(now_, request.priority, TenantName());
  if (options_.refuse_early && !has_room) {
    outcome_.refused_early += now_ >= kStart + kLearningTime ? 1 : 0;
    Finish(id, {ResultCode::kOverloaded, std::nullopt});
    return;
  }
  Execute(id, request.call->Start(now_));
}

void UnequalTargetsSimulation::Execute(uint64_t id, const CallEffects& effects) {
  for (const CallEffect& effect : effects) {
    if (const auto* choose = std::get_if<ChooseCandidate>(&effect)) {
      Request& request = requests_.at(id);
      ChoiceTerms terms;
      terms.objective = kObjective;
      terms.objective_left =
          std::max<Duration>(kObjective - (now_ - request.arrived), milliseconds(50));
      terms.free_slot_only = !choose->may_wait;
      Execute(id, request.call->Chosen(
                      now_, daemons_[request.daemon]->balancer.Choose(now_, choose->tried, terms)));
    } else if (const auto* send = std::get_if<SendAttempt>(&effect)) {
      Send(id, *send);
    } else if (const auto* finish = std::get_if<FinishCall>(&effect)) {
      Finish(id, *finish);
    }
  }
}

void UnequalTargetsSimulation::Send(uint64_t id, const SendAttempt& send) {
  outcome_.sent += now_ >= kStart + kLearningTime ? 1 : 0;
  Request& request = requests_.at(id);
  request.target = std::stoul(send.endpoint.instance.value());
  request.attempt = send.attempt;
  request.sent_at = now_;
  daemons_[request.daemon]->balancer.Sent(send.endpoint.instance);
  request.admission = {};
  request.admission.priority = request.priority;
  request.admission.number = RequestNumber(++last_number_);
  request.admission.deadline = request.arrived + seconds(2);
  request.admission.objective = kObjective;
  request.admission.objective_left =
      std::max<Duration>(kObjective - (now_ - request.arrived), Duration{});
  if (!send.may_wait) {
    request.admission.max_wait = Duration{};
  }
  numbers_[request.admission.number] = id;
  events_.emplace(now_ + kOneWay, [this, target = request.target, admission = request.admission] {
    Decide(target, targets_[target]->admission.Submit(now_, admission));
  });
}

void UnequalTargetsSimulation::Decide(size_t target,
                                      const std::vector<AdmissionDecision>& decisions) {
  for (const AdmissionDecision& decision : decisions) {
    const uint64_t id = numbers_.extract(decision.number).mapped();
    if (decision.refusal_code) {
      events_.emplace(now_ + kOneWay, [this, id, code = *decision.refusal_code] {
        Reply(id, AttemptResult::kBusy);
        Request& request = requests_.at(id);
        Execute(id, request.call->Refused(now_, request.attempt, {code}));
      });
      continue;
    }
    const auto work = static_cast<double>(kWorkMs) / 2 +
                      static_cast<double>(random_.Below(1000)) * kWorkMs / 1000;
    targets_[target]->running[decision.number] = {work, id};
  }
}

void UnequalTargetsSimulation::Reply(uint64_t id, AttemptResult result) {
  const Request& request = requests_.at(id);
  const Admission& admission = targets_[request.target]->admission;
  TargetLoad load{admission.running() + admission.queued(), admission.slots(now_)};
  load.service_time = admission.ServiceTime(kObjective);
  const bool answered = result == AttemptResult::kAnswered;
  WaitReports& waits = daemons_[request.daemon]->balancer.wait_reports();
  if (answered) {
    waits.Taken(now_, Instance(request.target), request.priority, TenantName());
  } else {
    load.time_until_room = admission.TimeUntilRoom(now_, request.admission);
    waits.Refused(now_, Instance(request.target), request.priority, TenantName(),
                  load.time_until_room);
  }
  daemons_[request.daemon]->balancer.Finished(now_, Instance(request.target), result, load,
                                              std::optional(now_ - request.sent_at), kObjective,
                                              request.admission.max_wait == Duration{});
}

void UnequalTargetsSimulation::Finish(uint64_t id, const FinishCall& finish) {
  if (now_ < kStart + kLearningTime) {
    return;
  }
  const Duration taken = now_ - requests_.at(id).arrived;
  outcome_.refused += finish.answer ? 0 : 1;
  const int in_time = finish.answer && taken <= kObjective ? 1 : 0;
  outcome_.in_time += in_time;
  (requests_.at(id).priority == Priority(1) ? outcome_.urgent_in_time
                                            : outcome_.deferrable_in_time) += in_time;
  outcome_.late += finish.answer && taken > kObjective ? 1 : 0;
  if (finish.answer) {
    outcome_.times.push_back(taken);
  }
}

}  // namespace endivecleat::test
