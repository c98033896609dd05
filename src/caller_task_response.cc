// The part of CallerTask that responds to a request, and logs and counts its result.
#include <algorithm>
#include <nlohmann/json.hpp>

#include "caller_exchange.h"
#include "log.h"

namespace endivecleat {
namespace {

constexpr char kResultHeader[] = "endivecleat-result";
// With no backlog, the caller may retry almost at once and reach another target.
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(20);
// A backlog rarely clears before the running requests end.
constexpr Duration kMinBacklogRetryAfter = std::chrono::milliseconds(250);
// A daemon has its configuration 0.3 s after its start and discovers targets soon after.
constexpr Duration kRecoveryRetryAfter = std::chrono::milliseconds(500);
constexpr Duration kMaxRetryAfter = std::chrono::seconds(2);
constexpr size_t kSuccessSampleInterval = 64;  // logs one in 64 successful calls

// Seconds with three decimals, for the retry-after header.
std::string FormatSeconds(Duration duration) {
  const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
  const std::string fraction = std::to_string(1000 + milliseconds % 1000).substr(1);
  return std::to_string(milliseconds / 1000) + "." + fraction;
}

}  // namespace

void CallerTask::Respond(const Exchange& exchange, ResultCode code, const TargetAnswer* answer) {
  RecordResult(exchange, code);
  LogCall(exchange, code, answer);
  if (code != ResultCode::kOk || answer == nullptr) {
    exchange.sink.Send(ErrorResponse(code, "", RetryAfter(exchange, code)));
    if (exchange.request.body_stream) {
      exchange.request.body_stream->Cancel();
    }
    return;
  }
  HttpResponse response;
  response.status = answer->status;
  for (const auto& [name, value] : answer->headers) {
    response.headers.Add(name, value);
  }
  RemoveHopByHopHeaders(response.headers);
  if (context_.settings.headers.diagnostics) {
    response.headers.Set(kResultHeader, "0");
  }
  if (answer->replayed) {
    response.headers.Set("endivecleat-replayed", "true");
  }
  response.body = answer->body;
  exchange.sink.Send(std::move(response));
}

// Estimates when the request can be served. Without a target or a configuration: the usual recovery
// time. With all slots taken: when the backlog of the least loaded target is done, by the waits
// that refusals of such requests reported. With free slots: almost at once, since only some targets
// refuse. A random jitter of up to the same time prevents callers that were refused together from
// retrying together.
Duration CallerTask::RetryAfter(const Exchange& exchange, ResultCode code) {
  Duration least = kRecoveryRetryAfter;
  if (code == ResultCode::kQuotaExceeded) {
    least = exchange.quota_retry_after;
  }
  if (code == ResultCode::kOverloaded && exchange.state != nullptr) {
    const std::optional<Duration> reported = exchange.state->balancer.wait_reports().Shortest(
        context_.loop.now(), PriorityOf(exchange), TenantOf(exchange));
    const Duration wait =
        std::max(exchange.state->balancer.ExpectedWait(), reported.value_or(Duration{}));
    least = wait == Duration{} ? kMinRetryAfter
                               : std::clamp(wait, kMinBacklogRetryAfter, kMaxRetryAfter);
  }
  return least + Duration(random_.Below(static_cast<uint64_t>(least.count())));
}

// Logs every failure and a sample of the successes. The sample depends on the request id only, so
// all processes log the same calls.
void CallerTask::LogCall(const Exchange& exchange, ResultCode code,
                         const TargetAnswer* answer) const {
  const bool failed = code != ResultCode::kOk || answer == nullptr || answer->status >= 500;
  const bool sampled = std::hash<std::string>()(exchange.request_id) % kSuccessSampleInterval == 0;
  if (!failed && !sampled) {
    return;
  }
  const Duration taken = context_.loop.now() - exchange.started;
  LogFields fields = {
      {"request", exchange.request_id},
      {"result", std::string(Describe(code).name)},
      {"status",
       static_cast<int64_t>(answer == nullptr ? Describe(code).http_status : answer->status)},
      {"route", exchange.route == nullptr ? "" : exchange.route->name.value()},
      {"priority", exchange.route == nullptr ? 0 : exchange.route->policy.priority.value()},
      {"service", exchange.service == nullptr ? "" : exchange.service->name.value()},
      {"version", exchange.configuration ? exchange.configuration->version().value() : 0},
      {"attempts", exchange.call ? exchange.call->attempts() : 0},
      {"taken_ms", static_cast<int64_t>(taken.count() / 1000)}};
  if (exchange.state != nullptr) {
    fields.emplace_back(
        "expected_wait_ms",
        static_cast<int64_t>(exchange.state->balancer.ExpectedWait().count() / 1000));
    fields.emplace_back("retry_tokens", exchange.state->budget.tokens());
    fields.emplace_back("candidates", static_cast<uint64_t>(exchange.state->balancer.size()));
  }
  if (exchange.attempts && exchange.attempts->latest_instance()) {
    fields.emplace_back("last_daemon", exchange.attempts->latest_instance()->value());
  }
  Log(failed ? LogLevel::kWarning : LogLevel::kInfo, failed ? "call_failed" : "call", fields);
}

void CallerTask::RecordResult(const Exchange& exchange, ResultCode code) {
  const ServiceName service = exchange.service == nullptr ? ServiceName() : exchange.service->name;
  ServiceMetrics& metrics = metrics_[service];
  if (metrics.latency == nullptr) {
    metrics.latency = &context_.metrics.DurationHistogram(
        "endivecleat_call_seconds", "Time from receiving a call to responding",
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
  metrics.latency->Observe(std::chrono::duration<double>(taken).count());
}

HttpResponse ErrorResponse(ResultCode code, const std::string& detail, Duration retry_after) {
  const ResultCodeInfo& info = Describe(code);
  HttpResponse response;
  response.status =
      info.http_status == 0 ? Describe(ResultCode::kInternal).http_status : info.http_status;
  response.headers.Add("content-type", "application/json");
  response.headers.Add(kResultHeader, std::to_string(static_cast<int>(code)));
  if (response.status == 503 || response.status == 429) {
    response.headers.Add("retry-after", FormatSeconds(retry_after));
  }
  response.body = nlohmann::json{{"code", static_cast<int>(code)},
                                 {"name", info.name},
                                 {"message", detail.empty() ? std::string(info.meaning) : detail}}
                      .dump();
  return response;
}

}  // namespace endivecleat
