// One request of a caller at the daemon that received it, until its response is sent. Included by
// the sources of CallerTask only.
#ifndef ENDIVECLEAT_CALLER_EXCHANGE_H_
#define ENDIVECLEAT_CALLER_EXCHANGE_H_

#include "attempt_tracker.h"
#include "caller_task.h"
#include "quota_task.h"

namespace endivecleat {

struct CallerTask::Exchange {
  Exchange(HttpRequest incoming, ResponseSink response_sink, TraceSpan call_span)
      : request(std::move(incoming)), sink(std::move(response_sink)), span(std::move(call_span)) {}

  RequestNumber number;
  std::string request_id;  // from the caller's header; empty without one
  HttpRequest request;
  ResponseSink sink;
  TraceSpan span;
  std::shared_ptr<const CompiledConfiguration> configuration;
  const CompiledRoute* route = nullptr;
  const Tenant* tenant = nullptr;  // null on open routes and without tenants
  const CompiledService* service = nullptr;
  ServiceState* state = nullptr;
  CallRequest call_request;
  Fingerprint fingerprint;
  std::unique_ptr<Call> call;
  std::optional<bool> new_version;                   // chosen by the share of a rollout
  std::optional<AttemptTracker> attempts;            // set with `call`
  std::map<AttemptId, PeerRequestId> peer_requests;  // of attempts to other instances
  TimePoint started;
  std::optional<TimerId> timer;
  std::optional<QuotaToken> token;  // returned if no target ran the request
  bool may_have_run = false;        // at some target
  Duration quota_retry_after{};     // with kQuotaExceeded
};

}  // namespace endivecleat

#endif  // ENDIVECLEAT_CALLER_EXCHANGE_H_
