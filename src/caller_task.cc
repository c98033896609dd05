#include "caller_task.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "errors.h"
#include "log.h"
#include "wall_clock.h"

namespace endivecleat {
namespace {

constexpr char kResultHeader[] = "endivecleat-result";
constexpr char kKeyHeader[] = "idempotency-key";
constexpr size_t kMaxKeyBytes = 255;
// The answer to an attempt may be on its way when the deadline passes; Call decides at the deadline
// itself, so the network waits a little longer.
constexpr Duration kNetworkGrace = std::chrono::seconds(1);

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

std::string Target(const HttpRequest& request) {
  return request.query.empty() ? request.path : request.path + "?" + request.query;
}

TargetLoad LoadOf(const MemberRecord& member) {
  const uint64_t slots = std::max<uint32_t>(member.slots, 1);
  const uint64_t free = std::min<uint64_t>(member.load, slots);
  return {slots - free, slots};
}

bool TakesWork(TargetState state) {
  return state == TargetState::kReady || state == TargetState::kWarming;
}

}  // namespace

struct CallerTask::Exchange {
  struct Sent {
    InstanceId instance;
    std::optional<PeerRequestId> request;  // nothing for the own target
    bool finished = false;                 // the balancer knows the result
  };

  Exchange(HttpRequest incoming, ResponseSink way_back, TraceSpan hop)
      : request(std::move(incoming)), sink(std::move(way_back)), span(std::move(hop)) {}

  RequestNumber number;
  HttpRequest request;
  ResponseSink sink;
  TraceSpan span;
  std::shared_ptr<const CompiledConfiguration> configuration;
  const CompiledRoute* route = nullptr;
  const CompiledService* service = nullptr;
  ServiceState* state = nullptr;
  CallRequest call_request;
  Fingerprint fingerprint;
  std::unique_ptr<Call> call;
  std::map<AttemptId, Sent> sent;
  TimePoint started;
  std::optional<TimerId> timer;
};

CallerTask::CallerTask(DaemonContext& context, TargetTask& target)
    : context_(context), target_(target) {}

CallerTask::~CallerTask() = default;

void CallerTask::Handle(HttpRequest request, const ResponseSink& sink) {
  const std::optional<TraceContext> parent =
      ParseTraceparent(request.headers.ValueOr(kTraceparentHeader, ""));
  auto exchange =
      std::make_shared<Exchange>(std::move(request), sink, context_.tracer.Start("call", parent));
  exchange->number = context_.NextNumber();
  exchange->started = context_.loop.now();
  try {
    if (const std::optional<ResultCode> fault = Prepare(*exchange)) {
      Respond(*exchange, *fault, nullptr);
      return;
    }
  } catch (const UserError& error) {
    exchange->sink.Send(ErrorResponse(error.code(), error.what()));
    return;
  }
  exchanges_[exchange->number] = exchange;
  exchange->sink.OnGone([this, weak = std::weak_ptr<Exchange>(exchange)] {
    if (const auto gone = weak.lock(); gone && !gone->call->finished()) {
      Carry(gone, gone->call->CallerGone(context_.loop.now()));
    }
  });
  const TimePoint now = context_.loop.now();
  const bool stopped =
      context_.guard.Check(WallNow(), exchange->fingerprint) == CrashVerdict::kStop;
  Carry(exchange, stopped ? exchange->call->StartStopped(now) : exchange->call->Start(now));
}

void CallerTask::Cancel(const std::vector<RequestNumber>& calls) {
  for (const RequestNumber number : calls) {
    const auto found = exchanges_.find(number);
    if (found != exchanges_.end()) {
      const std::shared_ptr<Exchange> exchange = found->second;
      Carry(exchange, exchange->call->CallerGone(context_.loop.now()));
    }
  }
}

void CallerTask::RefreshCandidates() {
  if (!context_.configuration) {
    return;
  }
  const std::vector<DataCentreSummary> summaries = context_.node.membership().summaries();
  for (const CompiledService& service : context_.configuration->services()) {
    const auto found = services_.find(service.name);
    if (found != services_.end()) {
      found->second->budget.SetPercent(service.policy.retry_percent);
      found->second->balancer.SetCandidates(context_.loop.now(), CandidatesFor(service, summaries),
                                            {"*"});
    }
  }
}

std::optional<ResultCode> CallerTask::Prepare(Exchange& exchange) {
  exchange.configuration = context_.configuration;
  if (!exchange.configuration) {
    return ResultCode::kNoConfiguration;
  }
  const HttpRequest& request = exchange.request;
  exchange.route = exchange.configuration->FindRoute(
      request.method, HostWithoutPort(request.headers), request.path);
  if (exchange.route == nullptr) {
    return ResultCode::kNoRoute;
  }
  exchange.service = exchange.configuration->FindService(exchange.route->service);
  ENDIVECLEAT_CHECK(exchange.service != nullptr, "a compiled route names an unknown service");
  const ServicePolicy& policy = exchange.service->policy;
  if (request.body.size() > policy.body_limit.value()) {
    return ResultCode::kBodyTooLarge;
  }
  const std::string digest = RequestDigest(request.method, Target(request), request.body);
  CallRequest& call = exchange.call_request;
  call.digest = digest;
  call.kind = KindOf(*exchange.route);
  call.id = context_.run_id + "-" + std::to_string(exchange.number.value());
  call.max_attempts = policy.max_attempts;
  if (call.kind == CallKind::kAtMostOnce) {
    if (const std::optional<ResultCode> fault = PrepareOnce(exchange)) {
      return fault;
    }
  }
  exchange.fingerprint = FingerprintOf(digest);
  call.deadline = context_.calls.Join(exchange.number, exchange.span.context().trace,
                                      OwnDeadline(exchange, policy));
  exchange.state = &StateOf(*exchange.service);
  exchange.call = std::make_unique<Call>(call, exchange.state->budget);
  return std::nullopt;
}

std::optional<ResultCode> CallerTask::PrepareOnce(Exchange& exchange) {
  const HttpRequest& request = exchange.request;
  const std::string key = request.headers.ValueOr(kKeyHeader, "");
  if (key.empty()) {
    return ResultCode::kKeyMissing;
  }
  if (key.size() > kMaxKeyBytes) {
    return ResultCode::kBadRequest;
  }
  // A key is the caller's; two services may get the same one without meaning the same request.
  exchange.call_request.key = IdempotencyKey(exchange.service->name.value() + "/" + key);
  return std::nullopt;
}

TimePoint CallerTask::OwnDeadline(Exchange& exchange, const ServicePolicy& policy) {
  const auto timeout = exchange.request.headers.Find(kTimeoutHeader);
  if (!timeout) {
    return exchange.started + policy.timeout;
  }
  exchange.call_request.deadline_from_caller = true;
  return exchange.started + ParseTimeout(*timeout);
}

CallerTask::ServiceState& CallerTask::StateOf(const CompiledService& service) {
  std::unique_ptr<ServiceState>& state = services_[service.name];
  if (!state) {
    state = std::make_unique<ServiceState>(
        std::hash<std::string>()(context_.run_id) ^ std::hash<ServiceName>()(service.name),
        service.policy.retry_percent);
    state->balancer.SetCandidates(
        context_.loop.now(), CandidatesFor(service, context_.node.membership().summaries()), {"*"});
  }
  return *state;
}

std::vector<Candidate> CallerTask::CandidatesFor(
    const CompiledService& service, const std::vector<DataCentreSummary>& summaries) const {
  std::vector<Candidate> candidates;
  for (const MemberRecord& member : context_.node.membership().members()) {
    const bool usable = member.service == service.name && TakesWork(member.state) &&
                        service.Allows(member.target) &&
                        !context_.node.membership().IsSuspect(member);
    if (usable) {
      candidates.push_back({{member.instance, member.address},
                            member.target,
                            Locality::kOwnDataCentre,
                            LoadOf(member)});
    }
  }
  for (const DataCentreSummary& summary : summaries) {
    const Locality locality = summary.region == context_.settings.common.place.region
                                  ? Locality::kOwnRegion
                                  : Locality::kOtherRegion;
    for (const ServiceSummary& entry : summary.services) {
      if (entry.service != service.name || entry.ready_targets == 0) {
        continue;
      }
      for (const Address& address : entry.daemons) {
        // A summary names no targets; the daemon beside the target checks the patterns itself.
        candidates.push_back({{InstanceId(address.text()), address}, TargetId(), locality, {0, 1}});
      }
    }
  }
  return candidates;
}

void CallerTask::Carry(const std::shared_ptr<Exchange>& exchange, const CallEffects& effects) {
  for (const CallEffect& effect : effects) {
    if (const auto* choose = std::get_if<ChooseCandidate>(&effect)) {
      const TimePoint now = context_.loop.now();
      Carry(exchange,
            exchange->call->Chosen(now, exchange->state->balancer.Choose(now, choose->tried)));
    } else if (const auto* send = std::get_if<SendAttempt>(&effect)) {
      Send(exchange, *send);
    } else if (const auto* cancel = std::get_if<CancelAttempt>(&effect)) {
      CancelSent(*exchange, *cancel);
    } else if (const auto* refuse = std::get_if<RefuseInLedger>(&effect)) {
      Refuse(exchange, *refuse);
    } else if (const auto* finish = std::get_if<FinishCall>(&effect)) {
      Finish(exchange, *finish);
    }
  }
  ArmTimer(exchange);
}

void CallerTask::Send(const std::shared_ptr<Exchange>& exchange, const SendAttempt& effect) {
  AttemptMessage message;
  message.service = exchange->service->name;
  message.kind = exchange->call_request.kind;
  message.key = exchange->call_request.key;
  message.digest = exchange->call_request.digest;
  message.attempt = effect.attempt;
  message.time_left = exchange->call_request.deadline - context_.loop.now();
  message.request = exchange->request;
  RemoveHopByHopHeaders(message.request.headers);
  message.request.headers.Set(std::string(kTraceparentHeader),
                              FormatTraceparent(exchange->span.context()));
  exchange->state->balancer.Sent(effect.endpoint.instance);
  Exchange::Sent& sent = exchange->sent[effect.attempt];
  sent.instance = effect.endpoint.instance;
  if (effect.endpoint.instance == context_.settings.common.instance) {
    target_.HandleLocal(message, [this, exchange, effect](const AttemptReply& reply) {
      OnReply(exchange, effect, reply);
    });
    return;
  }
  const Duration timeout = std::max(message.time_left, Duration(0)) + kNetworkGrace;
  sent.request = context_.node.network().Request(
      effect.endpoint.address, PeerChannel::kCall, EncodeAttempt(message), timeout,
      [this, exchange, effect](const PeerOutcome& outcome) {
        if (outcome.kind != PeerOutcome::kAnswered) {
          OnLost(exchange, effect, outcome.kind != PeerOutcome::kNotSent);
          return;
        }
        try {
          OnReply(exchange, effect, DecodeAttemptReply(outcome.payload));
        } catch (const UserError&) {
          OnLost(exchange, effect, true);
        }
      });
}

void CallerTask::OnReply(const std::shared_ptr<Exchange>& exchange, const SendAttempt& effect,
                         const AttemptReply& reply) {
  const TimePoint now = context_.loop.now();
  Exchange::Sent& sent = exchange->sent[effect.attempt];
  const auto* answer = std::get_if<TargetAnswer>(&reply.outcome);
  if (!sent.finished) {
    sent.finished = true;
    const AttemptResult result = answer == nullptr       ? AttemptResult::kRefused
                                 : answer->status >= 500 ? AttemptResult::kErrorAnswered
                                                         : AttemptResult::kAnswered;
    exchange->state->balancer.Finished(now, sent.instance, result, reply.load);
  }
  Carry(exchange, answer != nullptr ? exchange->call->Answered(now, effect.attempt, *answer)
                                    : exchange->call->Refused(now, effect.attempt,
                                                              std::get<Refusal>(reply.outcome)));
}

void CallerTask::OnLost(const std::shared_ptr<Exchange>& exchange, const SendAttempt& effect,
                        bool was_sent) {
  const TimePoint now = context_.loop.now();
  Exchange::Sent& sent = exchange->sent[effect.attempt];
  if (!sent.finished) {
    sent.finished = true;
    const AttemptResult result = was_sent ? AttemptResult::kFailed : AttemptResult::kUnreachable;
    exchange->state->balancer.Finished(now, sent.instance, result, std::nullopt);
  }
  Carry(exchange, was_sent ? exchange->call->LinkBroken(now, effect.attempt)
                           : exchange->call->Refused(now, effect.attempt,
                                                     {ResultCode::kTargetUnreachable, false}));
}

void CallerTask::CancelSent(Exchange& exchange, const CancelAttempt& effect) {
  Exchange::Sent& sent = exchange.sent[effect.attempt];
  if (sent.request) {
    context_.node.network().Cancel(*sent.request);
  } else {
    target_.CancelLocal(effect.attempt);
  }
  if (!sent.finished) {
    sent.finished = true;
    exchange.state->balancer.Finished(context_.loop.now(), sent.instance, AttemptResult::kAbandoned,
                                      std::nullopt);
  }
}

void CallerTask::Refuse(const std::shared_ptr<Exchange>& exchange, const RefuseInLedger& effect) {
  LedgerCommand command;
  command.kind = LedgerCommand::kRefuse;
  command.key = effect.key;
  command.attempt = effect.attempt.value();
  command.digest = effect.digest;
  context_.ledger.Send(command, [this, exchange](const LedgerReply& reply) {
    Carry(exchange, exchange->call->LedgerAnswered(context_.loop.now(), reply));
  });
}

void CallerTask::Finish(const std::shared_ptr<Exchange>& exchange, const FinishCall& effect) {
  context_.calls.Leave(exchange->number);
  Respond(*exchange, effect.code, effect.answer ? &*effect.answer : nullptr);
  exchanges_.erase(exchange->number);
}

void CallerTask::Respond(const Exchange& exchange, ResultCode code, const TargetAnswer* answer) {
  Count(exchange, code);
  if (code != ResultCode::kOk || answer == nullptr) {
    exchange.sink.Send(ErrorResponse(code));
    return;
  }
  HttpResponse response;
  response.status = answer->status;
  for (const auto& [name, value] : answer->headers) {
    response.headers.Add(name, value);
  }
  RemoveHopByHopHeaders(response.headers);
  response.headers.Set(kResultHeader, "0");
  if (answer->replayed) {
    response.headers.Set("endivecleat-replayed", "true");
  }
  response.body = answer->body;
  exchange.sink.Send(std::move(response));
}

void CallerTask::Count(const Exchange& exchange, ResultCode code) {
  const ServiceName service = exchange.service == nullptr ? ServiceName() : exchange.service->name;
  ServiceMetrics& metrics = metrics_[service];
  if (metrics.seconds == nullptr) {
    metrics.seconds =
        &context_.metrics.Seconds("endivecleat_call_seconds", "Time from the request to its answer",
                                  {{"service", service.value()}});
  }
  prometheus::Counter*& calls = metrics.calls[code];
  if (calls == nullptr) {
    calls = &context_.metrics.Counter(
        "endivecleat_calls_total", "Calls by service and result",
        {{"service", service.value()}, {"result", std::string(Describe(code).name)}});
  }
  calls->Increment();
  const Duration taken = context_.loop.now() - exchange.started;
  metrics.seconds->Observe(std::chrono::duration<double>(taken).count());
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
  exchange->timer = context_.loop.After(delay, [this, exchange] {
    exchange->timer.reset();
    Carry(exchange, exchange->call->TimedOut(context_.loop.now()));
  });
}

HttpResponse ErrorResponse(ResultCode code, const std::string& detail) {
  const ResultCodeInfo& info = Describe(code);
  HttpResponse response;
  response.status =
      info.http_status == 0 ? Describe(ResultCode::kInternal).http_status : info.http_status;
  response.headers.Add("content-type", "application/json");
  response.headers.Add(kResultHeader, std::to_string(static_cast<int>(code)));
  if (response.status == 503) {
    response.headers.Add("retry-after", "1");
  }
  response.body = nlohmann::json{{"code", static_cast<int>(code)},
                                 {"name", info.name},
                                 {"message", detail.empty() ? std::string(info.meaning) : detail}}
                      .dump();
  return response;
}

}  // namespace endivecleat
