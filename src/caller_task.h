// The caller's side of a daemon: receives HTTP requests, matches them to routes, runs a Call for
// each and responds with the target's answer or a result code. TargetTask is the other side.
#ifndef ENDIVECLEAT_CALLER_TASK_H_
#define ENDIVECLEAT_CALLER_TASK_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "balancer.h"
#include "call.h"
#include "call_message.h"
#include "daemon_context.h"
#include "http_server.h"
#include "quota_client.h"
#include "retry_budget.h"
#include "rollout_split.h"
#include "split_chooser.h"
#include "startup_queue.h"
#include "target_task.h"

namespace endivecleat {

/// Handles all requests of callers. Runs on the event loop's thread.
class CallerTask {
 public:
  /// Attempts to the daemon's own target go directly to `target`, without the network.
  CallerTask(DaemonContext& context, TargetTask& target);
  CallerTask(const CallerTask&) = delete;
  CallerTask& operator=(const CallerTask&) = delete;
  ~CallerTask();

  /// Handles a request and sends exactly one response to `sink`, unless the caller disconnects.
  void Handle(HttpRequest request, const ResponseSink& sink);
  /// Whether the request may run at the same time as others of its connection: it is idempotent and
  /// has no large body or response.
  bool MayRunConcurrently(const HttpRequest& request) const;
  /// Whether the body of a request is passed on while it arrives.
  bool StreamsBody(const HttpRequest& head) const;
  /// Cancels calls because the incoming calls that they were made for were cancelled.
  void Cancel(const std::vector<RequestNumber>& calls);
  /// A configuration version has come into force. Starts the requests that were held for it.
  void ConfigurationChanged();
  /// Must be called every 100 ms: expires held requests and refreshes the candidates.
  void Tick();
  /// Requests that arrive from now on are answered by then: their deadline is not later, and those
  /// with less time left than their route's objective are refused.
  void EndBy(TimePoint end) { end_ = end; }
  size_t in_flight() const { return exchanges_.size() + held_.size() + waiting_.size(); }

 private:
  /// Balancer and retry budget of one service.
  struct ServiceState {
    ServiceState(uint64_t seed, Percent retry_percent, RetryHundredths budget_size)
        : balancer(seed), budget(retry_percent, budget_size) {}
    Balancer balancer;
    RetryBudget budget;
    RolloutSplit split;
  };
  /// Cached metrics of one service; a look-up by name and labels would copy all of them.
  struct ServiceMetrics {
    prometheus::Histogram* latency = nullptr;
    std::map<ResultCode, prometheus::Counter*> calls;
  };
  /// One request of a caller, until its response is sent.
  struct Exchange;

  /// Returns false if the request has to be started or refused now.
  bool HoldDuringStartup(const std::shared_ptr<Exchange>& exchange);
  void StartOrRefuse(const std::shared_ptr<Exchange>& exchange);
  void StartHeld(const std::vector<RequestNumber>& numbers);
  void Start(const std::shared_ptr<Exchange>& exchange);
  /// Takes a token of the tenant's quota. Returns false if the request waits for one or was
  /// refused.
  bool TakeQuota(const std::shared_ptr<Exchange>& exchange);
  void OnQuotaAnswer(const std::shared_ptr<Exchange>& exchange, const QuotaAnswer& answer);
  void StopWaiting(const std::shared_ptr<Exchange>& exchange);
  void StartCall(const std::shared_ptr<Exchange>& exchange);
  /// Updates every service's candidates from the membership and the data centre summaries.
  void RefreshCandidates();
  Duration CallerTimeout(const HttpRequest& request) const;
  const CompiledRoute* FindRoute(const HttpRequest& request) const;
  std::optional<ResultCode> Prepare(Exchange& exchange);
  std::optional<ResultCode> PrepareAtMostOnce(Exchange& exchange);
  TimePoint ComputeDeadline(Exchange& exchange) const;
  bool EndsBeforeAnswer(const RoutePolicy& policy) const;
  RetryHundredths RetryBudgetSize() const;
  size_t CountDaemons() const;
  /// Applies the newest targets and the newest rollout of the service.
  void RefreshTargets(ServiceState& state, const CompiledService& service,
                      const std::vector<DataCentreSummary>& summaries);
  bool IsUsable(const MemberRecord& member, const CompiledService& service) const;
  std::optional<Endpoint> ChooseTarget(Exchange& exchange, const ChooseCandidate& choose);
  ServiceState& FindOrCreateState(const CompiledService& service);
  std::vector<Candidate> CandidatesFor(const CompiledService& service,
                                       const std::vector<DataCentreSummary>& summaries) const;
  void Execute(const std::shared_ptr<Exchange>& exchange, const CallEffects& effects);
  ChoiceTerms TermsOf(const Exchange& exchange, bool may_wait) const;
  /// The priority of the tenant goes before that of the route.
  static Priority PriorityOf(const Exchange& exchange);
  AttemptMessage MakeAttempt(const Exchange& exchange, const SendAttempt& effect) const;
  void Send(const std::shared_ptr<Exchange>& exchange, const SendAttempt& effect);
  void OnReply(const std::shared_ptr<Exchange>& exchange, const SendAttempt& effect,
               const AttemptReply& reply);
  /// Sends the attempt again with its whole body if a daemon of the version before refused it for
  /// its body. Returns false if that is not the case.
  bool SendWhole(const std::shared_ptr<Exchange>& exchange, const SendAttempt& effect,
                 const AttemptReply& reply);
  void OnAttemptLost(const std::shared_ptr<Exchange>& exchange, const SendAttempt& effect,
                     bool sent);
  void CancelSent(Exchange& exchange, const CancelAttempt& effect);
  void WriteRefusal(const std::shared_ptr<Exchange>& exchange, const RefuseInLedger& effect);
  void Finish(const std::shared_ptr<Exchange>& exchange, const FinishCall& effect);
  void Respond(const Exchange& exchange, ResultCode code, const TargetAnswer* answer);
  static TenantName TenantOf(const Exchange& exchange);
  /// Whether a target may take the request; see Balancer::HasRoom.
  bool HasRoom(const Exchange& exchange) const;
  void ReportWait(const Exchange& exchange, const SendAttempt& effect, const AttemptReply& reply);
  Duration RetryAfter(const Exchange& exchange, ResultCode code);
  void LogCall(const Exchange& exchange, ResultCode code, const TargetAnswer* answer) const;
  void RecordResult(const Exchange& exchange, ResultCode code);
  void ArmTimer(const std::shared_ptr<Exchange>& exchange);

  DaemonContext& context_;
  TargetTask& target_;
  std::optional<TimePoint> end_;  // set once this process drains
  StartupQueue startup_queue_;
  std::map<RequestNumber, std::shared_ptr<Exchange>> held_;  // the requests in startup_queue_
  SplitChooser split_chooser_;
  SeededRandom random_;
  std::map<ServiceName, std::unique_ptr<ServiceState>> services_;
  std::map<ServiceName, ServiceMetrics>
      metrics_;  // under an empty name: requests without a service
  std::map<RequestNumber, std::shared_ptr<Exchange>> waiting_;    // for a token of their quota
  std::map<RequestNumber, std::shared_ptr<Exchange>> exchanges_;  // not finished
};

/// Builds a response for a result code: a JSON body and the header endivecleat-result. With status
/// 503 it also has a retry-after header. `detail` replaces the code's default message.
HttpResponse ErrorResponse(ResultCode code, const std::string& detail = "",
                           Duration retry_after = std::chrono::seconds(1));

}  // namespace endivecleat

#endif  // ENDIVECLEAT_CALLER_TASK_H_
