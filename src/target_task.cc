// Connects TargetCall to the event loop: turns effects into HTTP requests, ledger commands and
// admission calls, and feeds their results back. A periodic tick drives probes and admission.
#include "target_task.h"

#include <algorithm>
#include <utility>

#include "errors.h"
#include "log.h"
#include "wall_clock.h"

namespace endivecleat {
namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(50);
constexpr Duration kProbeTimeout = std::chrono::seconds(1);
// For a target that answers no calls either. A probe takes the target 6 ms and a slot.
constexpr Duration kSuspectProbeTimeout = std::chrono::milliseconds(400);
// Distinguishes a dead target from a single broken request: a target that still accepts a
// connection is alive.
constexpr Duration kDeathProbeTimeout = std::chrono::milliseconds(200);
// The connections of a dying process may end before its listening socket, so that the first probe
// is still accepted.
constexpr Duration kSecondDeathProbeDelay = std::chrono::milliseconds(100);

bool ProbePassed(const HttpOutcome& outcome) {
  return outcome.kind == HttpOutcome::kAnswered && outcome.response.status < 500;
}

// The process that an attempt comes from: the part of the id before the number of its call.
std::string CallingProcess(const AttemptId& attempt) {
  return attempt.value().substr(0, attempt.value().rfind('-'));
}

void AddForwardedFor(HttpRequest& request) {
  if (request.peer_ip.empty()) {
    return;
  }
  const std::string before = request.headers.ValueOr("x-forwarded-for", "");
  request.headers.Set("x-forwarded-for",
                      before.empty() ? request.peer_ip : before + ", " + request.peer_ip);
}

}  // namespace

struct TargetTask::Exchange {
  Exchange(TargetCallRequest call_request, TraceSpan hop)
      : call(std::move(call_request)), span(std::move(hop)) {}

  RequestNumber number;
  AttemptMessage message;
  TargetCallRequest request;
  TargetCall call;
  TraceSpan span;
  TimePoint deadline;
  WallTime started;
  TimePoint arrived;
  std::optional<TimePoint> called;  // the target is running it since then
  Reply reply;                      // empty after the reply was sent
  bool slot_is_free = false;        // the call has ended, and its slot is to be released
  std::optional<CallId> target_call;
  std::optional<TimerId> timer;
};

TargetTask::TargetTask(DaemonContext& context)
    : context_(context),
      target_(TargetSettings{}),
      admission_(ServicePolicy{}),
      evidence_(context.run_id) {
  // Where the load field is known, only a target that states its pace has its speed learned: where
  // all targets are alike, the estimates cost more than they gain.
  admission_.SetAdaptiveLimit(context.settings.adaptive_limit &&
                              context.settings.headers.load.empty());
  timer_ = context_.loop.RunAfter(kTickInterval, [this] { Tick(); });
}

TargetTask::~TargetTask() {
  context_.loop.Cancel(timer_);
  if (second_death_probe_timer_) {
    context_.loop.Cancel(*second_death_probe_timer_);
  }
}

void TargetTask::HandlePeer(const std::string& payload, const PeerResponder& replier) {
  AttemptMessage message = DecodeAttempt(payload);
  if (message.sent_at) {
    DeductTransit(message, transit_delay_.Arrived(BootClockNow(), CallingProcess(message.attempt),
                                                  *message.sent_at));
  }
  if (message.body_follows) {
    message.request.body_stream = replier.ReceiveBody(message.body_length);
  }
  ExchangePtr exchange;
  StartAttempt(
      message,
      [replier, format = message.reply_format](const AttemptReply& reply,
                                               std::shared_ptr<void> slot) {
        replier.Respond(EncodeAttemptReply(reply, format), std::move(slot));
      },
      &exchange);
  if (exchange) {
    replier.OnCancel([this, weak = std::weak_ptr<Exchange>(exchange)] {
      if (const ExchangePtr cancelled = weak.lock()) {
        OnCancelled(cancelled);
      }
    });
  }
}

void TargetTask::HandleLocal(const AttemptMessage& message, Reply reply) {
  // The reply is posted, since it must not run inside the caller's current step.
  auto later = [this, reply = std::move(reply)](const AttemptReply& answer,
                                                const std::shared_ptr<void>& /*slot*/) {
    context_.loop.Post([reply, answer] { reply(answer, nullptr); });
  };
  ExchangePtr exchange;
  StartAttempt(message, std::move(later), &exchange);
  if (exchange) {
    local_exchanges_[message.attempt] = exchange;
  }
}

void TargetTask::CancelLocal(const AttemptId& attempt) {
  const auto found = local_exchanges_.find(attempt);
  if (found != local_exchanges_.end()) {
    const ExchangePtr exchange = found->second;
    OnCancelled(exchange);
  }
}

void TargetTask::Announce(const Announcement& announcement) {
  const bool address_changed = client_ == nullptr || client_->target() != announcement.address;
  const TargetVersion version_before = target_.announcement().version;
  target_.Announce(context_.loop.now(), announcement);
  HoldUnexpectedVersion(version_before);
  if (address_changed) {
    client_ = std::make_unique<HttpClient>(
        context_.loop, announcement.address,
        HttpClientOptions{.connections = announcement.connections,
                          .echoed_header = context_.settings.headers.request_id});
    probe_client_ = std::make_unique<HttpClient>(context_.loop, announcement.address, 1);
    Log(LogLevel::kInfo, "target_announced",
        {{"service", announcement.service.value()},
         {"target", announcement.target.value()},
         {"address", announcement.address.text()}});
  }
  ConfigurationChanged();
  ApplyState();
}

void TargetTask::Leave() {
  target_.Leave(context_.loop.now());
  ApplyState();
}

void TargetTask::Drain() {
  target_.Drain(context_.loop.now());
  ApplyState();
}

void TargetTask::DrainAndHold() {
  target_.DrainAndHold(context_.loop.now());
  ApplyState();
}

void TargetTask::ConfigurationChanged() {
  const ServicePolicy policy = EffectivePolicy();
  target_.SetWarmUp(policy.warm_up);
  ApplyDecisions(admission_.SetPolicy(context_.loop.now(), policy));
}

void TargetTask::FillRecord(MemberRecord& record) const {
  const TimePoint now = context_.loop.now();
  record.service = target_.announcement().service;
  record.target = target_.announcement().target;
  record.target_version = target_.announcement().version;
  record.state = target_.state();
  // Without the concurrency limit: a change of the slots is sent as a whole record, which is five
  // times as large as a change of the free ones.
  record.slots = static_cast<uint32_t>(admission_.policy_slots(now));
  const auto slots = static_cast<double>(admission_.slots(now));
  record.free_slots = static_cast<uint32_t>(std::max(slots - admission_.mean_load(now), 0.0));
}

void TargetTask::StartAttempt(const AttemptMessage& message, Reply reply, ExchangePtr* started) {
  if (!Serves(message.service) || !VersionMayRun(message)) {
    if (FindRollout() != nullptr) {
      context_.metrics
          .Counter("endivecleat_rollout_refusals_total",
                   "Requests refused since a rollout was ordered, by version or for other reasons")
          .Increment();
    }
    ResultCode code = message.kind == CallKind::kAtMostOnce ? ResultCode::kNotStarted
                                                            : ResultCode::kNoReadyTarget;
    if (message.body_follows) {
      // kNoReadyTarget is how a daemon of the version before refuses every upload.
      code = ResultCode::kTargetUnreachable;
    }
    reply({Refusal{code, false}, Load()}, nullptr);
    return;
  }
  const RequestNumber number = context_.NextRequestNumber();
  TargetCallRequest request;
  request.kind = message.kind;
  request.key = message.key;
  request.attempt = AttemptId(context_.run_id + "-t" + std::to_string(number.value()));
  request.digest = message.digest;
  request.fingerprint = FingerprintOf(message.service, context_.settings.headers, message.request);
  request.deadline = context_.loop.now() + message.time_left;
  const std::optional<TraceContext> parent =
      ParseTraceparent(message.request.headers.ValueOr(kTraceparentHeader, ""));
  auto exchange = std::make_shared<Exchange>(request, context_.tracer.StartSpan("serve", parent));
  exchange->number = number;
  exchange->message = message;
  exchange->request = request;
  exchange->deadline = request.deadline;
  exchange->started = WallNow();
  exchange->arrived = context_.loop.now();
  exchange->reply = std::move(reply);
  exchanges_[number] = exchange;
  *started = exchange;
  context_.call_registry.AddIncoming(number, exchange->span.context().trace, exchange->deadline);
  ApplyDecisions(admission_.Submit(context_.loop.now(), ToAdmissionRequest(*exchange)));
  ArmTimer(exchange);
}

AdmissionRequest TargetTask::ToAdmissionRequest(const Exchange& exchange) {
  const AttemptMessage& message = exchange.message;
  return {exchange.number,   message.priority, exchange.deadline, message.objective_left,
          message.objective, message.max_wait, message.tenant};
}

bool TargetTask::Serves(const ServiceName& service) const {
  const Announcement& announced = target_.announcement();
  if (client_ == nullptr || announced.service != service || !context_.configuration) {
    return false;
  }
  const CompiledService* declared = context_.configuration->FindService(service);
  return declared != nullptr && declared->AllowsTarget(announced.target);
}

ServicePolicy TargetTask::EffectivePolicy() const {
  ServicePolicy policy;
  const Announcement& announced = target_.announcement();
  if (context_.configuration) {
    const CompiledService* service = context_.configuration->FindService(announced.service);
    policy = service == nullptr ? policy : service->policy;
  }
  if (announced.slots > 0) {
    policy.slots = std::min(policy.slots, SlotCount(announced.slots));
  }
  return policy;
}

void TargetTask::OnCancelled(const ExchangePtr& exchange) {
  if (cancel_outgoing_) {
    cancel_outgoing_(context_.call_registry.CancelIncoming(exchange->number));
  }
  ExecuteEffects(exchange, exchange->call.Cancelled(context_.loop.now()));
}

void TargetTask::ApplyDecisions(const std::vector<AdmissionDecision>& decisions) {
  for (const AdmissionDecision& decision : decisions) {
    const auto found = exchanges_.find(decision.number);
    if (found == exchanges_.end()) {
      continue;
    }
    const ExchangePtr exchange = found->second;
    const TimePoint now = context_.loop.now();
    if (!decision.refusal_code && !VersionMayRun(exchange->message)) {
      // A rollout was decided while the request waited.
      ExecuteEffects(exchange, exchange->call.AdmissionRefused(now, ResultCode::kNoReadyTarget));
      context_.loop.Post([this, number = decision.number] {
        ApplyDecisions(admission_.Finish(context_.loop.now(), number));
      });
      continue;
    }
    if (decision.refusal_code) {
      ExecuteEffects(exchange, exchange->call.AdmissionRefused(now, *decision.refusal_code));
      continue;
    }
    const CrashVerdict verdict =
        context_.crash_guard.Check(WallNow(), exchange->request.fingerprint);
    ExecuteEffects(exchange, exchange->call.Admitted(now, verdict));
  }
}

void TargetTask::ExecuteEffects(const ExchangePtr& exchange, const TargetCallEffects& effects) {
  for (const TargetCallEffect& effect : effects) {
    ExecuteEffect(exchange, effect);
  }
  if (std::exchange(exchange->slot_is_free, false)) {
    // Posted, since the decisions about other requests must not run between effects of this one.
    context_.loop.Post([this, number = exchange->number] {
      ApplyDecisions(admission_.Finish(context_.loop.now(), number));
    });
  }
  ArmTimer(exchange);
  if (exchange->call.finished()) {
    RemoveFinished(exchange);
  }
}

void TargetTask::ExecuteEffect(const ExchangePtr& exchange, const TargetCallEffect& effect) {
  if (const auto* claim = std::get_if<SendClaim>(&effect)) {
    SendCommand(exchange, LedgerCommand::kClaim, claim->digest, {});
  } else if (std::holds_alternative<SendRelease>(effect)) {
    SendCommand(exchange, LedgerCommand::kRelease, "", {});
  } else if (const auto* complete = std::get_if<SendComplete>(&effect)) {
    SendCommand(exchange, LedgerCommand::kComplete, "", ToStored(complete->answer));
  } else if (const auto* refuse = std::get_if<SendRefuse>(&effect)) {
    SendCommand(exchange, LedgerCommand::kRefuse, refuse->digest, {});
  } else if (const auto* call = std::get_if<CallTarget>(&effect)) {
    SendToTarget(exchange, *call);
  } else if (std::holds_alternative<CancelTarget>(effect)) {
    if (exchange->target_call) {
      client_->Cancel(*exchange->target_call);
      CountEvidence(exchange->message.request, exchange->called, nullptr);
      CountSlotUse(*exchange, false);
    }
  } else if (const auto* end = std::get_if<RecordCallEnding>(&effect)) {
    context_.crash_guard.RecordEnding(WallNow(), end->fingerprint, end->ending, deaths_);
  } else if (std::holds_alternative<LeaveQueue>(effect)) {
    admission_.Cancel(exchange->number);
  } else if (std::holds_alternative<FreeSlot>(effect)) {
    exchange->slot_is_free = true;
  } else if (const auto* answer = std::get_if<AnswerCaller>(&effect)) {
    SendReply(exchange, answer->answer);
  } else if (const auto* refusal = std::get_if<RefuseCaller>(&effect)) {
    SendReply(exchange, refusal->refusal);
  }
}

void TargetTask::SendCommand(const ExchangePtr& exchange, LedgerCommand::Kind kind,
                             const std::string& digest, const StoredAnswer& answer) {
  LedgerCommand command;
  command.kind = kind;
  command.key = exchange->request.key;
  command.attempt = exchange->request.attempt.value();
  command.digest = digest;
  command.answer = answer;
  command.admitted_at = exchange->started;
  context_.ledger.Send(command, [this, exchange](const LedgerReply& reply) {
    ExecuteEffects(exchange, exchange->call.LedgerAnswered(context_.loop.now(), reply));
  });
}

void TargetTask::SendToTarget(const ExchangePtr& exchange, const CallTarget& effect) {
  const TimePoint now = context_.loop.now();
  HttpRequest request = exchange->message.request;
  const CallHeaders& names = context_.settings.headers;
  if (names.diagnostics) {
    AddForwardedFor(request);
    request.headers.Set(std::string(kTraceparentHeader),
                        FormatTraceparent(exchange->span.context()));
  }
  request.headers.Set(names.timeout, FormatTimeout(now, effect.deadline));
  if (!names.target.empty()) {
    request.headers.Set(names.target, target_.announcement().target.value());
  }
  target_.CallStarted(now);
  exchange->called = now;
  exchange->target_call =
      client_->Send(std::move(request), std::max(effect.limit - now, Duration(1)),
                    [this, exchange](const HttpOutcome& outcome) { OnOutcome(exchange, outcome); });
}

void TargetTask::OnOutcome(const ExchangePtr& exchange, const HttpOutcome& outcome) {
  const TimePoint now = context_.loop.now();
  exchange->target_call.reset();
  CountEvidence(exchange->message.request, exchange->called, &outcome);
  CountSlotUse(*exchange, outcome.kind == HttpOutcome::kAnswered && outcome.response.status < 500);
  switch (outcome.kind) {
    case HttpOutcome::kAnswered:
      ReportLoad(outcome.response);
      admission_.Answered(
          now, exchange->number,
          ClassifyAnswer(context_.settings.headers, outcome.response) == AnswerKind::kNotRun);
      OnAnswer(exchange, outcome.response);
      return;
    case HttpOutcome::kNotSent:
      target_.CallFailed(now);
      ApplyState();
      ExecuteEffects(exchange, exchange->call.TargetFailed(now, TargetFault::kNotSent));
      return;
    case HttpOutcome::kBroken:
      AwaitDeathProbe(exchange);
      return;
    case HttpOutcome::kTimedOut:
      LogAttempt(*exchange, "call_timed_out", 0);
      ExecuteEffects(exchange, exchange->call.TargetFailed(now, TargetFault::kBroken));
      return;
  }
}

void TargetTask::ReportLoad(const HttpResponse& response) {
  const std::string& name = context_.settings.headers.load;
  if (name.empty()) {
    return;
  }
  const auto load = ParseLoadField(response.headers.ValueOr(name, ""));
  if (load) {
    if (load->pace && context_.settings.adaptive_limit) {
      admission_.SetAdaptiveLimit(true);
    }
    admission_.Reported(context_.loop.now(), *load);
  }
}

void TargetTask::CountSlotUse(Exchange& exchange, bool succeeded) {
  if (!exchange.called) {
    return;
  }
  const TimePoint now = context_.loop.now();
  const std::optional<Duration>& objective_left = exchange.message.objective_left;
  const bool late = objective_left && now - exchange.arrived > *objective_left;
  Duration& use = !succeeded ? slot_use_.failed : late ? slot_use_.late : slot_use_.in_objective;
  use += now - *exchange.called;
  exchange.called.reset();
}

void TargetTask::OnAnswer(const ExchangePtr& exchange, const HttpResponse& response) {
  const TimePoint now = context_.loop.now();
  switch (ClassifyAnswer(context_.settings.headers, response)) {
    case AnswerKind::kAnswer:
      target_.CallSucceeded(now);
      ExecuteEffects(exchange, exchange->call.TargetAnswered(now, ToAnswer(response)));
      return;
    case AnswerKind::kNotRun:
      LogAttempt(*exchange, "target_refused", response.status);
      ExecuteEffects(exchange, exchange->call.TargetFailed(now, TargetFault::kNotRun));
      return;
    case AnswerKind::kInvalid:
      LogAttempt(*exchange, "answer_spoilt", response.status);
      ExecuteEffects(exchange, exchange->call.TargetFailed(now, TargetFault::kBroken));
      return;
  }
}

void TargetTask::LogAttempt(const Exchange& exchange, const std::string& event, int status) const {
  Log(LogLevel::kInfo, event,
      {{"request", exchange.message.request_id},
       {"attempt", exchange.message.attempt.value()},
       {"service", exchange.message.service.value()},
       {"target", target_.announcement().target.value()},
       {"status", static_cast<int64_t>(status)},
       {"running", static_cast<uint64_t>(admission_.running())},
       {"queued", static_cast<uint64_t>(admission_.queued())}});
}

// A broken call is answered when it is known whether the target died: only then can the crash
// guard stop the request before it reaches a second target.
void TargetTask::AwaitDeathProbe(const ExchangePtr& exchange) {
  awaiting_death_probe_.push_back(exchange);
  if (!death_probe_ && !second_death_probe_timer_) {
    StartDeathProbe(false);
  }
}

// A process that dies may still accept connections for a moment, so an accepted probe is
// repeated.
void TargetTask::StartDeathProbe(bool last) {
  death_probe_ = std::make_unique<ConnectProbe>(
      context_.loop, target_.announcement().address, kDeathProbeTimeout,
      [this, last](ConnectResult result) {
        death_probe_.reset();
        if (result == ConnectResult::kRefused || last) {
          FinishBroken(result == ConnectResult::kRefused);
          return;
        }
        second_death_probe_timer_ = context_.loop.RunAfter(kSecondDeathProbeDelay, [this] {
          second_death_probe_timer_.reset();
          StartDeathProbe(true);
        });
      });
}

void TargetTask::FinishBroken(bool died) {
  const TimePoint now = context_.loop.now();
  if (died) {
    ++deaths_;
    target_.CallFailed(now);
    Log(LogLevel::kWarning, "target_died",
        {{"target", target_.announcement().target.value()},
         {"requests", static_cast<uint64_t>(awaiting_death_probe_.size())}});
    ApplyState();
  }
  const std::vector<ExchangePtr> broken = std::exchange(awaiting_death_probe_, {});
  for (const ExchangePtr& exchange : broken) {
    LogAttempt(*exchange, died ? "target_died_during_call" : "answer_broken", 0);
    const TargetFault fault = died ? TargetFault::kDied : TargetFault::kBroken;
    ExecuteEffects(exchange, exchange->call.TargetFailed(now, fault));
  }
}

void TargetTask::SendReply(const ExchangePtr& exchange,
                           std::variant<TargetAnswer, Refusal> outcome) {
  const Reply reply = std::exchange(exchange->reply, nullptr);
  if (!reply) {
    return;
  }
  const auto* answer = std::get_if<TargetAnswer>(&outcome);
  const bool large = answer != nullptr && answer->body.size() >= kMinBulkResponseBytes;
  std::shared_ptr<void> slot;
  if (large && std::exchange(exchange->slot_is_free, false)) {
    slot = HoldSlot(*exchange);
  }
  TargetLoad load = Load();
  load.service_time = admission_.ServiceTime(exchange->message.objective);
  if (const auto* refusal = std::get_if<Refusal>(&outcome);
      refusal != nullptr && refusal->code == ResultCode::kOverloaded && !refusal->reached_target) {
    load.time_until_room =
        admission_.TimeUntilRoom(context_.loop.now(), ToAdmissionRequest(*exchange));
  }
  reply({std::move(outcome), load}, std::move(slot));
}

// A large response keeps its slot until it has left this process: while the network link is the
// bottleneck, more requests would only wait there, and the wait for a slot shows it to the
// callers' daemons. More urgent requests may use the target meanwhile. The slot is released at the
// request's deadline at the latest, since a caller's daemon that reads nothing must not keep it.
std::shared_ptr<void> TargetTask::HoldSlot(const Exchange& exchange) {
  context_.loop.Post([this, number = exchange.number, alive = std::weak_ptr<bool>(alive_)] {
    if (!alive.expired()) {
      ApplyDecisions(admission_.SendsResponse(context_.loop.now(), number));
    }
  });
  const auto finish = std::make_shared<std::function<void()>>(
      [this, number = exchange.number, alive = std::weak_ptr<bool>(alive_)] {
        if (!alive.expired()) {
          ApplyDecisions(admission_.Finish(context_.loop.now(), number));
        }
      });
  const auto release_once = [&loop = context_.loop, finish] {
    if (auto task = std::exchange(*finish, nullptr)) {
      loop.Post(std::move(task));
    }
  };
  const Duration time_left = exchange.deadline - context_.loop.now();
  context_.loop.RunAfter(std::max(time_left, Duration(0)), release_once);
  return {nullptr, [release_once](void*) { release_once(); }};
}

void TargetTask::ArmTimer(const ExchangePtr& exchange) {
  if (exchange->timer) {
    context_.loop.Cancel(*exchange->timer);
    exchange->timer.reset();
  }
  const TimePoint due = exchange->call.finished() ? TimePoint::max() : exchange->call.next_timer();
  if (due == TimePoint::max()) {
    return;
  }
  const Duration delay = std::max(due - context_.loop.now(), Duration(0));
  exchange->timer = context_.loop.RunAfter(delay, [this, exchange] {
    exchange->timer.reset();
    ExecuteEffects(exchange, exchange->call.TimedOut(context_.loop.now()));
  });
}

void TargetTask::RemoveFinished(const ExchangePtr& exchange) {
  if (exchanges_.erase(exchange->number) == 0) {
    return;
  }
  local_exchanges_.erase(exchange->message.attempt);
  context_.call_registry.RemoveIncoming(exchange->number);
}

void TargetTask::Tick() {
  const TimePoint now = context_.loop.now();
  timer_ = context_.loop.RunAfter(kTickInterval, [this] { Tick(); });
  target_.Tick(now);
  if (client_ && probe_client_->outstanding() == 0 && target_.ProbeDue(now)) {
    Probe();
  }
  if (target_.state() == TargetState::kDraining && admission_.empty()) {
    target_.Drained(now);
  }
  ApplyState();
  ApplyDecisions(admission_.Tick(now));
}

HttpRequest TargetTask::HealthRequest() const {
  HttpRequest request;
  request.method = "GET";
  request.path = EffectivePolicy().health_path;
  return request;
}

void TargetTask::Probe() {
  const bool suspected = target_.suspected(context_.loop.now());
  probe_client_->Send(HealthRequest(), suspected ? kSuspectProbeTimeout : kProbeTimeout,
                      [this, suspected](const HttpOutcome& outcome) {
                        if (!ProbePassed(outcome)) {
                          Log(LogLevel::kWarning, "target_probe_failed",
                              {{"target", target_.announcement().target.value()},
                               {"calls_unanswered", suspected},
                               {"status", int64_t{outcome.response.status}},
                               {"running", static_cast<uint64_t>(admission_.running())}});
                        }
                        if (outcome.kind == HttpOutcome::kAnswered) {
                          ReportLoad(outcome.response);
                        }
                        target_.ProbeResult(context_.loop.now(), ProbePassed(outcome));
                        ApplyState();
                      });
}

void TargetTask::ApplyState() {
  const TargetState state = target_.state();
  if (state == applied_state_) {
    return;
  }
  const auto open = [](TargetState each) {
    return each == TargetState::kWarming || each == TargetState::kReady;
  };
  const bool was_open = open(applied_state_);
  applied_state_ = state;
  Log(LogLevel::kInfo, "target_state",
      {{"target", target_.announcement().target.value()}, {"state", TargetStateName(state)}});
  if (open(state) && !was_open) {
    admission_.Open(context_.loop.now());
  } else if (state == TargetState::kDraining) {
    admission_.Drain(context_.loop.now());
  } else if (!open(state)) {
    ApplyDecisions(admission_.Close());
  }
  if (state_changed_) {
    state_changed_();
  }
}

TargetLoad TargetTask::Load() const {
  const uint64_t slots = std::max<size_t>(admission_.slots(context_.loop.now()), 1);
  return {admission_.running() + admission_.queued(), slots};
}

}  // namespace endivecleat
