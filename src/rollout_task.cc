// All proposals go through Apply, one at a time. What another leader has decided arrives with the
// log, from which SyncControllers takes the state of each rollout.
#include "rollout_task.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "config_store.h"
#include "log.h"
#include "wall_clock.h"

namespace endivecleat {
namespace {

using std::chrono::milliseconds;

constexpr char kAuthor[] = "rollout";
constexpr Duration kDecisionInterval = milliseconds(100);
// An order is answered within 5 s.
constexpr Duration kOrderTimeout = milliseconds(4'000);
// A new target is cold for 3 s.
constexpr Duration kColdTime = milliseconds(3'000);
// Until then, an order that says the same as a reverted one repeats it and does not try again.
constexpr uint64_t kRepeatTimeMs = 60'000;

bool IsServing(const Rollout& rollout) { return rollout.state == RolloutState::kServing; }

bool IsReady(const MemberRecord& member) {
  return member.state == TargetState::kReady || member.state == TargetState::kWarming;
}

}  // namespace

RolloutTask::RolloutTask(EventLoop& loop, ReplicaTask<ConfigState>& config, MeshNode& node,
                         Metrics& metrics)
    : loop_(loop), config_(config), node_(node), metrics_(metrics) {}

bool RolloutTask::Leads() const { return config_.log().role() == ReplicaRole::kLeader; }

void RolloutTask::Order(const ServiceName& service, const TargetVersion& version, Duration time,
                        const OrderCallback& callback) {
  if (!Leads()) {
    callback(RolloutOrderResult::kNotLeader);
    return;
  }
  PendingOrder order{service, version, time, loop_.now() + kOrderTimeout, callback};
  config_.ConfirmRead(loop_.now(), [this, order](bool confirmed) {
    if (!confirmed) {
      order.callback(RolloutOrderResult::kUndecided);
      return;
    }
    StartOrder(order);
  });
}

// Called again for an order that had to wait or met another change.
void RolloutTask::StartOrder(PendingOrder order) {
  if (!Leads()) {
    order.callback(RolloutOrderResult::kUndecided);
    return;
  }
  const WallTime now = WallNow();
  const Rollouts& rollouts = config_.state().store.rollouts();
  const auto found = rollouts.find(order.service);
  if (found != rollouts.end()) {
    const Rollout& newest = found->second;
    const auto time_ms =
        static_cast<uint64_t>(std::chrono::duration_cast<milliseconds>(order.time).count());
    const bool same = newest.version == order.version &&
                      newest.deadline.value() - newest.start.value() == time_ms;
    const bool again = newest.state == RolloutState::kReverted &&
                       now.value() > newest.deadline.value() + kRepeatTimeMs;
    if (same && !again) {
      order.callback(RolloutOrderResult::kAccepted);
      return;
    }
    if (IsServing(newest)) {
      order.callback(RolloutOrderResult::kInProgress);
      return;
    }
  }
  if (!ServiceExists(order.service)) {
    order.callback(RolloutOrderResult::kUnknownService);
    return;
  }
  if (loop_.now() >= order.give_up_at) {
    order.callback(RolloutOrderResult::kUndecided);
    return;
  }
  if (in_flight_ || config_.has_proposals()) {
    orders_.push_back(std::move(order));
    return;
  }
  Rollout rollout;
  rollout.version = order.version;
  rollout.barred = BarredAfter(found == rollouts.end() ? nullptr : &found->second, order.version);
  rollout.share = RolloutController::kFirstShare;
  rollout.start = now;
  rollout.deadline =
      WallTime(now.value() +
               static_cast<uint64_t>(std::chrono::duration_cast<milliseconds>(order.time).count()));
  Log(LogLevel::kInfo, "rollout_ordered",
      {{"service", order.service.value()},
       {"target_version", order.version.value()},
       {"deadline_ms", rollout.deadline.value()}});
  const ServiceName service = order.service;
  Apply(service, rollout, [this, order](const std::optional<ChangeResult>& result) {
    if (!result) {
      order.callback(RolloutOrderResult::kUndecided);
    } else if (result->code == ResultCode::kOk) {
      order.callback(RolloutOrderResult::kAccepted);
    } else {
      orders_.push_back(order);  // met another change; it is tried again on the next version
    }
  });
}

void RolloutTask::Find(const ServiceName& service, const FindCallback& callback) {
  config_.ConfirmRead(loop_.now(), [this, service, callback](bool confirmed) {
    const Rollouts& rollouts = config_.state().store.rollouts();
    const auto found = rollouts.find(service);
    callback(confirmed,
             confirmed && found != rollouts.end() ? std::optional(found->second) : std::nullopt);
  });
}

void RolloutTask::RunBetweenSteps(std::function<void()> change) {
  if (in_flight_) {
    waiting_changes_.push_back(std::move(change));
  } else {
    change();
  }
}

void RolloutTask::Apply(const ServiceName& service, const Rollout& rollout,
                        const std::function<void(const std::optional<ChangeResult>&)>& done) {
  const ConfigStore& store = config_.state().store;
  const Change change{.operation = OperationId("rollout/" + service.value() + "/" +
                                               std::to_string(store.version().value()) + "/" +
                                               std::to_string(config_.log().term().value()) + "/" +
                                               std::to_string(++proposals_)),
                      .base = store.version(),
                      .payload = PrepareRollout(store, service, rollout),
                      .author = kAuthor,
                      .at = WallNow()};
  in_flight_ = true;
  const bool proposed = config_.Propose(
      loop_.now(), EncodeChange(change), [this, done](const std::optional<ChangeResult>& result) {
        in_flight_ = false;
        done(result);
        for (const auto& waiting : std::exchange(waiting_changes_, {})) {
          waiting();
        }
      });
  if (!proposed) {
    in_flight_ = false;
    done(std::nullopt);
  }
}

bool RolloutTask::ServiceExists(const ServiceName& service) {
  const ConfigStore& store = config_.state().store;
  if (store.version() == ConfigVersion()) {
    return false;
  }
  if (!compiled_ || compiled_->version() != store.version()) {
    compiled_ = compiler_.Compile(store.text(), store.version());
  }
  return compiled_->FindService(service) != nullptr;
}

void RolloutTask::OnReport(std::string_view bytes) {
  const std::optional<RolloutReport> report = DecodeRolloutReport(bytes);
  if (!report) {
    Log(LogLevel::kWarning, "rollout_report_malformed", {});
    return;
  }
  SyncControllers();
  const auto found = controllers_.find(report->service);
  if (found != controllers_.end()) {
    found->second.Add(loop_.now(), *report);
  }
}

// Followers keep controllers as well, so that a new leader has the evidence at once.
void RolloutTask::SyncControllers() {
  const ConfigStore& store = config_.state().store;
  if (store.version() == synced_version_) {
    return;
  }
  synced_version_ = store.version();
  for (const auto& [service, rollout] : store.rollouts()) {
    const auto found = controllers_.find(service);
    const bool same = found != controllers_.end() && found->second.rollout().start == rollout.start;
    if (!IsServing(rollout)) {
      controllers_.erase(service);
    } else if (same) {
      found->second.Applied(loop_.now(), rollout);
    } else {
      controllers_.insert_or_assign(service, RolloutController(rollout));
      controllers_.at(service).Applied(loop_.now(), rollout);
    }
  }
  if (controllers_.empty()) {
    ready_since_.clear();
  }
}

void RolloutTask::Tick() {
  SyncControllers();
  if (!in_flight_ && !config_.has_proposals()) {
    for (PendingOrder& order : std::exchange(orders_, {})) {
      StartOrder(std::move(order));
    }
  }
  if (loop_.now() < next_decision_) {
    return;
  }
  next_decision_ = loop_.now() + kDecisionInterval;
  StartSteps();
}

void RolloutTask::StartSteps() {
  for (auto& [service, controller] : controllers_) {
    const RolloutFleet fleet = FleetOf(service, controller.rollout());
    if (!Leads() || in_flight_ || config_.has_proposals()) {
      continue;
    }
    const std::optional<RolloutStep> step = controller.Decide(loop_.now(), WallNow(), fleet);
    if (!step) {
      continue;
    }
    Rollout next = controller.rollout();
    next.state = step->state;
    next.share = step->share;
    Log(LogLevel::kInfo, IsServing(next) ? "rollout_step" : "rollout_decided",
        {{"service", service.value()},
         {"target_version", next.version.value()},
         {"state", std::string(RolloutStateName(next.state))},
         {"share", uint64_t{next.share}},
         {"reason", step->reason},
         {"responses", controller.new_responses()},
         {"targets", static_cast<uint64_t>(fleet.new_targets)},
         {"distributed", fleet.distributed}});
    metrics_
        .Counter("endivecleat_rollout_steps_total", "Steps of rollouts that this leader proposed",
                 {{"state", RolloutStateName(next.state)}})
        .Increment();
    Apply(service, next, [](const std::optional<ChangeResult>&) {});
  }
}

RolloutFleet RolloutTask::FleetOf(const ServiceName& service, const Rollout& rollout) {
  RolloutFleet fleet;
  fleet.distributed = true;
  const ConfigVersion newest = config_.state().store.version();
  const TimePoint now = loop_.now();
  for (const MemberRecord& member : node_.membership().members()) {
    if (!member.is_control && !node_.membership().IsSuspect(member)) {
      fleet.distributed = fleet.distributed && member.config_version >= newest;
    }
    if (member.service != service || !IsReady(member)) {
      continue;
    }
    if (rollout.Bars(member.target_version)) {
      continue;
    }
    if (member.target_version != rollout.version) {
      fleet.old_slots += member.slots;
      continue;
    }
    ++fleet.new_targets;
    const TimePoint since = ready_since_.emplace(member.instance, now).first->second;
    (now - since >= kColdTime ? fleet.warm_new_slots : fleet.cold_new_slots) += member.slots;
  }
  return fleet;
}

void RolloutTask::UpdateMetrics() {
  for (const auto& [service, rollout] : config_.state().store.rollouts()) {
    metrics_
        .Gauge("endivecleat_rollout_share",
               "Share of the requests of a service that the newest rollout sends to its version",
               {{"service", service.value()}})
        .Set(static_cast<double>(rollout.share) / kWholeShare);
    metrics_
        .Gauge("endivecleat_rollout_state",
               "State of the newest rollout: 0 serving, 1 complete, 2 reverted",
               {{"service", service.value()}})
        .Set(static_cast<double>(rollout.state));
  }
}

}  // namespace endivecleat
