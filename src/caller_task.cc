// Each request is an Exchange that lives until its response is sent. Execution of a Call's effects
// feeds the resulting events back into the Call.
#include "caller_task.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "admission.h"
#include "attempt_tracker.h"
#include "caller_exchange.h"
#include "candidate_subset.h"
#include "errors.h"
#include "log.h"
#include "quota_task.h"
#include "tenant_identity.h"
#include "wall_clock.h"
#include "whole_body.h"

namespace endivecleat {
namespace {

constexpr char kKeyHeader[] = "idempotency-key";
constexpr size_t kMaxKeyBytes = 255;
// Added to the network timeout of an attempt, so that Call, and not the network, decides what
// happens at the deadline.
constexpr Duration kNetworkGrace = std::chrono::seconds(1);

// Daemons that a request is offered to while none accepts it, on routes that set max_attempts. An
// offer costs about a millisecond within a region.
constexpr uint64_t kMaxOffers = 3;
// The rest of the shared burst is reserved for daemons that this one has not discovered yet.
constexpr double kBurstPercentUsed = 80;
// Objective for the choice of a target once most or all of the route's objective has passed.
constexpr Duration kMinObjective = std::chrono::milliseconds(50);

std::string HostWithoutPort(const HeaderList& headers) {
  std::string host = headers.ValueOr("host", "");
  const size_t colon = host.rfind(':');
  if (colon != std::string::npos && host.find(']', colon) == std::string::npos) {
    host.resize(colon);
  }
  return host;
}

CallKind KindOf(const CompiledRoute& route) {
  if (route.at_most_once) {
    return CallKind::kAtMostOnce;
  }
  return route.idempotent ? CallKind::kIdempotent : CallKind::kOther;
}

std::string RequestTarget(const HttpRequest& request) {
  return request.query.empty() ? request.path : request.path + "?" + request.query;
}

TargetLoad LoadOf(const MemberRecord& member) {
  const uint64_t slots = std::max<uint32_t>(member.slots, 1);
  const uint64_t free = std::min<uint64_t>(member.free_slots, slots);
  return {slots - free, slots};
}

Locality LocalityOf(const MemberRecord& member, const Location& here) {
  if (member.data_centre == here.data_centre) {
    return Locality::kOwnDataCentre;
  }
  return member.region == here.region ? Locality::kOwnRegion : Locality::kOtherRegion;
}

bool AcceptsRequests(TargetState state) {
  return state == TargetState::kReady || state == TargetState::kWarming;
}

AttemptResult ResultOf(const AttemptReply& reply) {
  if (const auto* answer = std::get_if<TargetAnswer>(&reply.outcome)) {
    return answer->status >= 500 ? AttemptResult::kErrorStatus : AttemptResult::kAnswered;
  }
  const Refusal& refusal = std::get<Refusal>(reply.outcome);
  if (refusal.reached_target) {
    return AttemptResult::kErrorStatus;  // the target itself refused, although a slot was free
  }
  return refusal.code == ResultCode::kOverloaded ? AttemptResult::kBusy : AttemptResult::kRefused;
}

}  // namespace

CallerTask::CallerTask(DaemonContext& context, TargetTask& target)
    : context_(context),
      target_(target),
      startup_queue_(context.loop.now()),
      split_chooser_(std::hash<std::string>()(context.run_id)),
      random_(std::hash<std::string>()(context.run_id) + 1) {}

CallerTask::~CallerTask() = default;

void CallerTask::Handle(HttpRequest request, const ResponseSink& sink) {
  const TimePoint now = context_.loop.now();
  const std::optional<TraceContext> parent =
      ParseTraceparent(request.headers.ValueOr(kTraceparentHeader, ""));
  auto exchange = std::make_shared<Exchange>(std::move(request), sink,
                                             context_.tracer.StartSpan("call", parent));
  exchange->number = context_.NextRequestNumber();
  exchange->started =
      exchange->request.received_at == TimePoint{} ? now : exchange->request.received_at;
  if (const std::string& name = context_.settings.headers.request_id; !name.empty()) {
    exchange->request_id = exchange->request.headers.ValueOr(name, "");
  }
  StartOrRefuse(exchange);
}

const CompiledRoute* CallerTask::FindRoute(const HttpRequest& request) const {
  return context_.configuration
             ? context_.configuration->FindRoute(request.method, HostWithoutPort(request.headers),
                                                 request.path)
             : nullptr;
}

// The digest of an at-most-once request needs its whole body.
bool CallerTask::StreamsBody(const HttpRequest& head) const {
  const CompiledRoute* route = FindRoute(head);
  return route != nullptr && route->large_requests && !route->at_most_once;
}

bool CallerTask::MayRunConcurrently(const HttpRequest& request) const {
  const CompiledRoute* route = FindRoute(request);
  return route != nullptr && route->idempotent && !route->large_requests && !route->large_responses;
}

bool CallerTask::HoldDuringStartup(const std::shared_ptr<Exchange>& exchange) {
  if (!startup_queue_.Add(context_.loop.now(), exchange->number, exchange->started,
                          CallerTimeout(exchange->request))) {
    return false;
  }
  held_[exchange->number] = exchange;
  exchange->sink.OnDisconnect([this, number = exchange->number] {
    startup_queue_.Remove(number);
    held_.erase(number);
  });
  return true;
}

void CallerTask::ConfigurationChanged() {
  RefreshCandidates();
  StartHeld(startup_queue_.TakeAll());
}

void CallerTask::Tick() {
  RefreshCandidates();
  StartHeld(context_.configuration ? startup_queue_.TakeAll()
                                   : startup_queue_.TakeExpired(context_.loop.now()));
}

void CallerTask::StartHeld(const std::vector<RequestNumber>& numbers) {
  for (const RequestNumber number : numbers) {
    const auto found = held_.find(number);
    if (found == held_.end()) {
      continue;
    }
    const std::shared_ptr<Exchange> exchange = found->second;
    held_.erase(found);
    StartOrRefuse(exchange);
  }
}

void CallerTask::StartOrRefuse(const std::shared_ptr<Exchange>& exchange) {
  try {
    Start(exchange);
  } catch (const UserError& error) {
    exchange->sink.Send(ErrorResponse(error.code(), error.what()));
    if (exchange->request.body_stream) {
      exchange->request.body_stream->Cancel();
    }
  }
}

void CallerTask::Start(const std::shared_ptr<Exchange>& exchange) {
  if (!context_.configuration && HoldDuringStartup(exchange)) {
    return;
  }
  if (const std::optional<ResultCode> error = Prepare(*exchange)) {
    Respond(*exchange, *error, nullptr);
    return;
  }
  if (exchange->state->balancer.size() == 0 && HoldDuringStartup(exchange)) {
    context_.call_registry.RemoveOutgoing(exchange->number);
    return;
  }
  if (!HasRoom(*exchange)) {
    context_.call_registry.RemoveOutgoing(exchange->number);
    context_.metrics
        .Counter("endivecleat_calls_without_room_total",
                 "Calls refused before they were sent, since no known target would take them")
        .Increment();
    Respond(*exchange, ResultCode::kOverloaded, nullptr);
    return;
  }
  if (TakeQuota(exchange)) {
    StartCall(exchange);
  }
}

void CallerTask::StartCall(const std::shared_ptr<Exchange>& exchange) {
  exchanges_[exchange->number] = exchange;
  exchange->sink.OnDisconnect([this, weak = std::weak_ptr<Exchange>(exchange)] {
    if (const auto active = weak.lock(); active && !active->call->finished()) {
      Execute(active, active->call->Cancelled(context_.loop.now()));
    }
  });
  const TimePoint now = context_.loop.now();
  const bool stopped =
      context_.crash_guard.Check(WallNow(), exchange->fingerprint) == CrashVerdict::kStop;
  Execute(exchange, stopped ? exchange->call->StartBlocked(now) : exchange->call->Start(now));
}

void CallerTask::Cancel(const std::vector<RequestNumber>& calls) {
  for (const RequestNumber number : calls) {
    const auto waiting = waiting_.find(number);
    if (waiting != waiting_.end()) {
      StopWaiting(std::shared_ptr<Exchange>(waiting->second));
    }
    const auto found = exchanges_.find(number);
    if (found != exchanges_.end()) {
      const std::shared_ptr<Exchange> exchange = found->second;
      Execute(exchange, exchange->call->Cancelled(context_.loop.now()));
    }
  }
}

void CallerTask::RefreshCandidates() {
  if (!context_.configuration) {
    return;
  }
  const std::vector<DataCentreSummary> summaries = context_.node.membership().summaries();
  const RetryHundredths budget_size = RetryBudgetSize();
  for (const CompiledService& service : context_.configuration->services()) {
    const auto found = services_.find(service.name);
    if (found != services_.end()) {
      found->second->budget.SetPercent(service.policy.retry_percent);
      found->second->budget.SetSize(budget_size);
      RefreshTargets(*found->second, service, summaries);
    }
  }
}

void CallerTask::RefreshTargets(ServiceState& state, const CompiledService& service,
                                const std::vector<DataCentreSummary>& summaries) {
  state.balancer.SetCandidates(context_.loop.now(), CandidatesFor(service, summaries), {"*"});
  const Rollout* rollout = context_.configuration->FindRollout(service.name);
  std::vector<VersionedTarget> targets;
  if (rollout != nullptr) {
    for (const MemberRecord& member : context_.node.membership().members()) {
      if (IsUsable(member, service)) {
        targets.push_back({member.instance, member.target_version, member.boot_time});
      }
    }
  }
  state.split.Update(rollout, WallNow(), targets);
}

bool CallerTask::IsUsable(const MemberRecord& member, const CompiledService& service) const {
  return member.service == service.name && AcceptsRequests(member.state) &&
         service.AllowsTarget(member.target) && !context_.node.membership().IsSuspect(member);
}

std::optional<ResultCode> CallerTask::Prepare(Exchange& exchange) {
  // A request that was held is prepared again, maybe with another configuration, and what it
  // selected in the one before ends with that one.
  exchange.route = nullptr;
  exchange.tenant = nullptr;
  exchange.service = nullptr;
  exchange.state = nullptr;
  exchange.configuration = context_.configuration;
  if (!exchange.configuration) {
    return ResultCode::kNoConfiguration;
  }
  const CallHeaders& names = context_.settings.headers;
  if (!names.origin_service.empty()) {
    exchange.request.headers.Set(names.origin_service, context_.settings.service.value());
  }
  const HttpRequest& request = exchange.request;
  exchange.route = exchange.configuration->FindRoute(
      request.method, HostWithoutPort(request.headers), request.path);
  if (exchange.route == nullptr) {
    return ResultCode::kNoRoute;
  }
  const TenantIdentity identity = IdentifyTenant(exchange.configuration->tenants().get(),
                                                 exchange.route->open, exchange.request.headers);
  if (!identity.accepted) {
    return ResultCode::kUnknownKey;
  }
  exchange.tenant = identity.tenant;
  exchange.service = exchange.configuration->FindService(split_chooser_.Choose(*exchange.route));
  ENDIVECLEAT_CHECK(exchange.service != nullptr, "a compiled route names an unknown service");
  const ServicePolicy& policy = exchange.service->policy;
  const RoutePolicy& route = exchange.route->policy;
  if (request.body.size() > policy.body_limit.value()) {
    return ResultCode::kBodyTooLarge;
  }
  if (EndsBeforeAnswer(route)) {
    return ResultCode::kDraining;
  }
  CallRequest& call = exchange.call_request;
  call.digest = RequestDigest(request.method, RequestTarget(request), request.body);
  call.kind = KindOf(*exchange.route);
  call.call_id = context_.run_id + "-" + std::to_string(exchange.number.value());
  call.max_attempts = policy.max_attempts;
  if (route.max_attempts.value() > 0) {
    call.max_attempts = route.max_attempts;
    call.retry_error_answers = true;
    call.max_offers = kMaxOffers;
    // Without time to come back, the caller is a target whose own request fails with this one.
    const bool cannot_come_back = CallerTimeout(request) < Admission::kMinTimeToRetry;
    call.urgent = call.kind != CallKind::kIdempotent || cannot_come_back;
  }
  if (call.kind == CallKind::kAtMostOnce) {
    if (const std::optional<ResultCode> error = PrepareAtMostOnce(exchange)) {
      return error;
    }
  }
  exchange.fingerprint = FingerprintOf(exchange.service->name, names, request);
  call.deadline = context_.call_registry.AddOutgoing(
      exchange.number, exchange.span.context().trace,
      std::min(ComputeDeadline(exchange), end_.value_or(TimePoint::max())));
  exchange.state = &FindOrCreateState(*exchange.service);
  exchange.attempts.emplace(exchange.state->balancer, route.objective);
  exchange.call = std::make_unique<Call>(call, exchange.state->budget);
  return std::nullopt;
}

std::optional<ResultCode> CallerTask::PrepareAtMostOnce(Exchange& exchange) {
  const HttpRequest& request = exchange.request;
  const std::string key = request.headers.ValueOr(kKeyHeader, "");
  if (key.empty()) {
    return ResultCode::kKeyMissing;
  }
  if (key.size() > kMaxKeyBytes) {
    return ResultCode::kBadRequest;
  }
  // Callers choose keys, so the same key at two services may name different requests.
  exchange.call_request.key = IdempotencyKey(exchange.service->name.value() + "/" + key);
  return std::nullopt;
}

Duration CallerTask::CallerTimeout(const HttpRequest& request) const {
  const auto timeout = request.headers.Find(context_.settings.headers.timeout);
  return timeout ? ParseTimeout(*timeout) : ServicePolicy{}.timeout;
}

TimePoint CallerTask::ComputeDeadline(Exchange& exchange) const {
  const Duration route_timeout = exchange.route->policy.timeout;
  const auto timeout = exchange.request.headers.Find(context_.settings.headers.timeout);
  if (!timeout) {
    return exchange.started +
           (route_timeout > Duration{} ? route_timeout : exchange.service->policy.timeout);
  }
  exchange.call_request.deadline_from_caller = true;
  const Duration caller_timeout = ParseTimeout(*timeout);
  return exchange.started +
         (route_timeout > Duration{} ? std::min(route_timeout, caller_timeout) : caller_timeout);
}

// Whether a request could be cut by the end of the process before it has had the time in which most
// are answered.
bool CallerTask::EndsBeforeAnswer(const RoutePolicy& policy) const {
  return end_ && context_.loop.now() + policy.objective >= *end_;
}

// This daemon's share of the retry burst that all daemons share.
RetryHundredths CallerTask::RetryBudgetSize() const {
  const double burst = context_.settings.shared_retry_burst;
  if (burst == 0) {
    return RetryBudget::kDefaultSize;
  }
  const auto daemons = static_cast<double>(std::max<size_t>(CountDaemons(), 1));
  return RetryHundredths(static_cast<uint64_t>(burst * kBurstPercentUsed / daemons));
}

size_t CallerTask::CountDaemons() const {
  const std::vector<MemberRecord>& members = context_.node.membership().members();
  return static_cast<size_t>(std::count_if(
      members.begin(), members.end(), [](const MemberRecord& each) { return !each.is_control; }));
}

CallerTask::ServiceState& CallerTask::FindOrCreateState(const CompiledService& service) {
  std::unique_ptr<ServiceState>& state = services_[service.name];
  if (!state) {
    state = std::make_unique<ServiceState>(
        std::hash<std::string>()(context_.run_id) ^ std::hash<ServiceName>()(service.name),
        service.policy.retry_percent, RetryBudgetSize());
    RefreshTargets(*state, service, context_.node.membership().summaries());
  }
  return *state;
}

std::vector<Candidate> CallerTask::CandidatesFor(
    const CompiledService& service, const std::vector<DataCentreSummary>& summaries) const {
  const Location& here = context_.settings.common.location;
  const Rollout* rollout = context_.configuration->FindRollout(service.name);
  std::vector<LocatedCandidate> candidates;
  std::vector<LocatedCandidate> new_candidates;  // limited separately, so that both versions remain
  for (const MemberRecord& member : context_.node.membership().members()) {
    if (IsUsable(member, service)) {
      const bool is_new = rollout != nullptr && member.target_version == rollout->version;
      (is_new ? new_candidates : candidates)
          .push_back({member.data_centre,
                      {{member.instance, member.address},
                       member.target,
                       LocalityOf(member, here),
                       LoadOf(member),
                       member.instance == context_.settings.common.instance}});
    }
  }
  for (const DataCentreSummary& summary : summaries) {
    const Locality locality =
        summary.region == here.region ? Locality::kOwnRegion : Locality::kOtherRegion;
    for (const ServiceSummary& entry : summary.services) {
      if (entry.service != service.name || entry.ready_targets == 0) {
        continue;
      }
      for (const Address& address : entry.daemons) {
        // A summary lists no target ids; the daemon next to the target checks the patterns itself.
        candidates.push_back(
            {summary.data_centre,
             {{InstanceId(address.text()), address}, TargetId(), locality, {0, 1}}});
      }
    }
  }
  std::vector<Candidate> chosen = LimitCandidates(context_.settings.common.instance, candidates);
  for (Candidate& candidate : LimitCandidates(context_.settings.common.instance, new_candidates)) {
    chosen.push_back(std::move(candidate));
  }
  return chosen;
}

// A request that the new version has refused or failed goes to the old one, and never the other way
// round: the share limits the requests of the new version.
std::optional<Endpoint> CallerTask::ChooseTarget(Exchange& exchange,
                                                 const ChooseCandidate& choose) {
  const TimePoint now = context_.loop.now();
  const ChoiceTerms terms = TermsOf(exchange, choose.may_wait);
  ServiceState& state = *exchange.state;
  if (!state.split.active()) {
    return state.balancer.Choose(now, choose.tried, terms);
  }
  const auto choose_of = [&](bool new_version) {
    std::vector<InstanceId> excluded = choose.tried;
    const std::vector<InstanceId>& others = state.split.Excluded(new_version);
    excluded.insert(excluded.end(), others.begin(), others.end());
    return state.balancer.Choose(now, excluded, terms);
  };
  const bool first = !exchange.new_version.has_value();
  exchange.new_version = first ? state.split.ChooseNew(random_.Next()) : state.split.only_new();
  if (*exchange.new_version) {
    std::optional<Endpoint> endpoint = choose_of(true);
    if (endpoint || !choose.may_wait) {
      return endpoint;
    }
  }
  return choose_of(false);
}

void CallerTask::Execute(const std::shared_ptr<Exchange>& exchange, const CallEffects& effects) {
  for (const CallEffect& effect : effects) {
    if (const auto* choose = std::get_if<ChooseCandidate>(&effect)) {
      // A body of which a part was passed on cannot be sent again.
      const auto& body = exchange->request.body_stream;
      const std::optional<Endpoint> endpoint =
          body && body->opened() ? std::nullopt : ChooseTarget(*exchange, *choose);
      Execute(exchange, exchange->call->Chosen(context_.loop.now(), endpoint));
    } else if (const auto* send = std::get_if<SendAttempt>(&effect)) {
      Send(exchange, *send);
    } else if (const auto* cancel = std::get_if<CancelAttempt>(&effect)) {
      CancelSent(*exchange, *cancel);
    } else if (const auto* refuse = std::get_if<RefuseInLedger>(&effect)) {
      WriteRefusal(exchange, *refuse);
    } else if (const auto* finish = std::get_if<FinishCall>(&effect)) {
      Finish(exchange, *finish);
    }
  }
  ArmTimer(exchange);
}

ChoiceTerms CallerTask::TermsOf(const Exchange& exchange, bool may_wait) const {
  ChoiceTerms terms;
  terms.free_slot_only = !may_wait;
  terms.large_response = exchange.route->large_responses;
  terms.objective = exchange.route->policy.objective;
  if (terms.objective > Duration{}) {
    const Duration passed = context_.loop.now() - exchange.started;
    terms.objective_left = std::max(terms.objective - passed, kMinObjective);
  }
  return terms;
}

Priority CallerTask::PriorityOf(const Exchange& exchange) {
  if (exchange.call_request.kind == CallKind::kAtMostOnce) {
    return Priority(0);
  }
  const Priority of_route = exchange.route->policy.priority;
  if (exchange.tenant != nullptr) {
    return exchange.tenant->priority.value_or(of_route);
  }
  // Where callers belong to tenants, a request without one is a call of a target. It goes first: a
  // tenant's priority says nothing of the calls that its running requests need, and the work done
  // for them is lost if a call is refused.
  return exchange.configuration->tenants() ? Priority(0) : of_route;
}

AttemptMessage CallerTask::MakeAttempt(const Exchange& exchange, const SendAttempt& effect) const {
  AttemptMessage message;
  message.service = exchange.service->name;
  message.kind = exchange.call_request.kind;
  message.key = exchange.call_request.key;
  message.digest = exchange.call_request.digest;
  message.attempt = effect.attempt;
  if (!effect.may_wait) {
    message.max_wait = Duration{};
  }
  message.time_left = exchange.call_request.deadline - context_.loop.now();
  const RoutePolicy& route = exchange.route->policy;
  message.priority = PriorityOf(exchange);
  message.tenant = TenantOf(exchange);
  if (route.objective > Duration{}) {
    const Duration passed = context_.loop.now() - exchange.started;
    message.objective_left = std::max(route.objective - passed, Duration(0));
    message.objective = route.objective;
  }
  const CallHeaders& names = context_.settings.headers;
  message.request_id = exchange.request_id;
  message.target_version = exchange.state->split.VersionOf(effect.endpoint.instance);
  message.request = exchange.request;
  RemoveHopByHopHeaders(message.request.headers);
  ReplaceKeyByTenant(exchange.configuration->tenants().get(), exchange.tenant, names.tenant,
                     message.request.headers);
  if (names.diagnostics) {
    message.request.headers.Set(std::string(kTraceparentHeader),
                                FormatTraceparent(exchange.span.context()));
  }
  return message;
}

void CallerTask::Send(const std::shared_ptr<Exchange>& exchange, const SendAttempt& effect) {
  AttemptMessage message = MakeAttempt(*exchange, effect);
  exchange->attempts->Sent(context_.loop.now(), effect.attempt, effect.endpoint.instance,
                           !effect.may_wait);
  if (effect.endpoint.instance == context_.settings.common.instance) {
    target_.HandleLocal(message, [this, exchange, effect](const AttemptReply& reply,
                                                          const std::shared_ptr<void>& /*slot*/) {
      OnReply(exchange, effect, reply);
    });
    return;
  }
  const Duration timeout = std::max(message.time_left, Duration(0)) + kNetworkGrace;
  message.sent_at = BootClockNow();
  const std::shared_ptr<BodyStream> body = message.request.body_stream;
  message.body_follows = body != nullptr;
  message.body_length = body ? body->length() : std::nullopt;
  const PeerRequestId sent = context_.node.network().Request(
      effect.endpoint.address, PeerChannel::kCall, EncodeAttempt(message), timeout,
      [this, exchange, effect](const PeerOutcome& outcome) {
        if (outcome.kind != PeerOutcome::kAnswered) {
          OnAttemptLost(exchange, effect, outcome.kind != PeerOutcome::kNotSent);
          return;
        }
        try {
          OnReply(exchange, effect, DecodeAttemptReply(outcome.payload));
        } catch (const UserError&) {
          OnAttemptLost(exchange, effect, true);
        }
      });
  exchange->peer_requests[effect.attempt] = sent;
  if (body) {
    context_.node.network().SendBody(sent, body);
  }
}

void CallerTask::OnReply(const std::shared_ptr<Exchange>& exchange, const SendAttempt& effect,
                         const AttemptReply& reply) {
  const TimePoint now = context_.loop.now();
  const auto* answer = std::get_if<TargetAnswer>(&reply.outcome);
  const auto* refusal = std::get_if<Refusal>(&reply.outcome);
  exchange->may_have_run |=
      refusal == nullptr || refusal->reached_target || !GuaranteesNotRun(refusal->code);
  ReportWait(*exchange, effect, reply);
  exchange->attempts->Ended(now, effect.attempt, ResultOf(reply), reply.load);
  if (SendWhole(exchange, effect, reply)) {
    return;
  }
  Execute(exchange, answer != nullptr ? exchange->call->Answered(now, effect.attempt, *answer)
                                      : exchange->call->Refused(now, effect.attempt,
                                                                std::get<Refusal>(reply.outcome)));
}

// A daemon that knows uploads refuses them with kTargetUnreachable if it lacks the service.
bool CallerTask::SendWhole(const std::shared_ptr<Exchange>& exchange, const SendAttempt& effect,
                           const AttemptReply& reply) {
  const std::shared_ptr<BodyStream> body = exchange->request.body_stream;
  const auto* refusal = std::get_if<Refusal>(&reply.outcome);
  const ByteCount limit = exchange->service->policy.body_limit;
  if (!body || body->opened() || exchange->call->finished() || refusal == nullptr ||
      refusal->code != ResultCode::kNoReadyTarget || body->length().value_or(0) > limit.value()) {
    return false;
  }
  ReadWholeBody(body, limit, [this, exchange, effect](std::optional<std::string> whole) {
    // Posted, since the stream may be in use by its writer.
    context_.loop.Post([this, exchange, effect, whole = std::move(whole)]() mutable {
      if (exchange->call->finished()) {
        return;
      }
      if (!whole) {
        Execute(exchange, exchange->call->Refused(context_.loop.now(), effect.attempt,
                                                  {ResultCode::kBodyTooLarge, false}));
        return;
      }
      exchange->request.body = std::move(*whole);
      exchange->request.body_stream = nullptr;
      Send(exchange, effect);
    });
  });
  return true;
}

void CallerTask::ReportWait(const Exchange& exchange, const SendAttempt& effect,
                            const AttemptReply& reply) {
  WaitReports& waits = exchange.state->balancer.wait_reports();
  const InstanceId& instance = effect.endpoint.instance;
  const TimePoint now = context_.loop.now();
  const TenantName tenant = TenantOf(exchange);
  if (std::holds_alternative<TargetAnswer>(reply.outcome)) {
    waits.Taken(now, instance, PriorityOf(exchange), tenant);
  } else if (ResultOf(reply) == AttemptResult::kBusy) {
    waits.Refused(now, instance, PriorityOf(exchange), tenant, reply.load.time_until_room);
  }
}

// A request that must run at most once is always sent: its refusal may have to be recorded.
bool CallerTask::HasRoom(const Exchange& exchange) const {
  return exchange.call_request.kind == CallKind::kAtMostOnce ||
         exchange.state->balancer.HasRoom(context_.loop.now(), PriorityOf(exchange),
                                          TenantOf(exchange));
}

TenantName CallerTask::TenantOf(const Exchange& exchange) {
  return exchange.tenant == nullptr ? TenantName() : exchange.tenant->name;
}

void CallerTask::OnAttemptLost(const std::shared_ptr<Exchange>& exchange, const SendAttempt& effect,
                               bool was_sent) {
  const TimePoint now = context_.loop.now();
  exchange->may_have_run |= was_sent;
  exchange->attempts->Ended(now, effect.attempt,
                            was_sent ? AttemptResult::kFailed : AttemptResult::kUnreachable);
  Execute(exchange, was_sent ? exchange->call->LinkBroken(now, effect.attempt)
                             : exchange->call->Refused(now, effect.attempt,
                                                       {ResultCode::kTargetUnreachable, false}));
}

void CallerTask::CancelSent(Exchange& exchange, const CancelAttempt& effect) {
  exchange.may_have_run = true;
  const auto request = exchange.peer_requests.find(effect.attempt);
  if (request != exchange.peer_requests.end()) {
    context_.node.network().Cancel(request->second);
  } else {
    target_.CancelLocal(effect.attempt);
  }
  exchange.attempts->Ended(context_.loop.now(), effect.attempt, AttemptResult::kCancelled);
}

void CallerTask::WriteRefusal(const std::shared_ptr<Exchange>& exchange,
                              const RefuseInLedger& effect) {
  LedgerCommand command;
  command.kind = LedgerCommand::kRefuse;
  command.key = effect.key;
  command.attempt = effect.attempt.value();
  command.digest = effect.digest;
  context_.ledger.Send(command, [this, exchange](const LedgerReply& reply) {
    Execute(exchange, exchange->call->LedgerAnswered(context_.loop.now(), reply));
  });
}

void CallerTask::Finish(const std::shared_ptr<Exchange>& exchange, const FinishCall& effect) {
  context_.call_registry.RemoveOutgoing(exchange->number);
  if (exchange->token && !exchange->may_have_run) {
    context_.quota->Return(*exchange->token);
  }
  Respond(*exchange, effect.code, effect.answer ? &*effect.answer : nullptr);
  exchanges_.erase(exchange->number);
}

void CallerTask::ArmTimer(const std::shared_ptr<Exchange>& exchange) {
  if (exchange->timer) {
    context_.loop.Cancel(*exchange->timer);
    exchange->timer.reset();
  }
  const TimePoint due =
      exchange->call->finished() ? TimePoint::max() : exchange->call->next_timer();
  if (due == TimePoint::max()) {
    return;
  }
  const Duration delay = std::max(due - context_.loop.now(), Duration(0));
  exchange->timer = context_.loop.RunAfter(delay, [this, exchange] {
    exchange->timer.reset();
    Execute(exchange, exchange->call->TimedOut(context_.loop.now()));
  });
}

}  // namespace endivecleat
