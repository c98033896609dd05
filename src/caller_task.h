// The caller's side of a daemon: takes requests of callers over HTTP, finds the route, drives a
// Call for each and answers with the target's answer or a result code.
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
#include "retry_budget.h"
#include "split_chooser.h"
#include "startup_queue.h"
#include "target_task.h"

namespace endivecleat {

class CallerTask {
 public:
  /// Attempts to the daemon's own target go to `target` without the network.
  CallerTask(DaemonContext& context, TargetTask& target);
  CallerTask(const CallerTask&) = delete;
  CallerTask& operator=(const CallerTask&) = delete;
  ~CallerTask();

  void Handle(HttpRequest request, const ResponseSink& sink);
  /// The incoming calls that these calls were made for were cancelled.
  void Cancel(const std::vector<RequestNumber>& calls);
  /// A version is in force. Begins what was held for it.
  void ConfigurationChanged();
  /// To be called every 100 ms.
  void Tick();
  size_t in_flight() const { return exchanges_.size() + held_.size(); }

 private:
  struct ServiceState {
    ServiceState(uint64_t seed, Percent retry_percent, uint64_t most_tokens)
        : balancer(seed), budget(retry_percent, most_tokens) {}
    Balancer balancer;
    RetryBudget budget;
  };
  /// The metrics of one service, kept because a look-up by name and labels copies them all.
  struct ServiceMetrics {
    prometheus::Histogram* seconds = nullptr;
    std::map<ResultCode, prometheus::Counter*> calls;
  };
  struct Exchange;

  void Hold(const std::shared_ptr<Exchange>& exchange);
  void BeginHeld(const std::vector<RequestNumber>& numbers);
  void Begin(const std::shared_ptr<Exchange>& exchange);
  /// Takes the candidates of every service from the membership and the summaries.
  void RefreshCandidates();
  Duration CallerTimeout(const HttpRequest& request) const;
  std::optional<ResultCode> Prepare(Exchange& exchange);
  std::optional<ResultCode> PrepareOnce(Exchange& exchange);
  TimePoint OwnDeadline(Exchange& exchange) const;
  uint64_t MostRetryTokens() const;
  ServiceState& StateOf(const CompiledService& service);
  std::vector<Candidate> CandidatesFor(const CompiledService& service,
                                       const std::vector<DataCentreSummary>& summaries) const;
  void Carry(const std::shared_ptr<Exchange>& exchange, const CallEffects& effects);
  AttemptMessage MakeAttempt(const Exchange& exchange, const AttemptId& attempt) const;
  void Send(const std::shared_ptr<Exchange>& exchange, const SendAttempt& effect);
  void OnReply(const std::shared_ptr<Exchange>& exchange, const SendAttempt& effect,
               const AttemptReply& reply);
  void OnLost(const std::shared_ptr<Exchange>& exchange, const SendAttempt& effect, bool sent);
  void CancelSent(Exchange& exchange, const CancelAttempt& effect);
  void Refuse(const std::shared_ptr<Exchange>& exchange, const RefuseInLedger& effect);
  void Finish(const std::shared_ptr<Exchange>& exchange, const FinishCall& effect);
  void Respond(const Exchange& exchange, ResultCode code, const TargetAnswer* answer);
  Duration RetryAfter(const Exchange& exchange, ResultCode code);
  void LogCall(const Exchange& exchange, ResultCode code, const TargetAnswer* answer) const;
  void Count(const Exchange& exchange, ResultCode code);
  void ArmTimer(const std::shared_ptr<Exchange>& exchange);

  DaemonContext& context_;
  TargetTask& target_;
  StartupQueue startup_;
  std::map<RequestNumber, std::shared_ptr<Exchange>> held_;  // those that startup_ holds
  SplitChooser splits_;
  SeededRandom random_;
  std::map<ServiceName, std::unique_ptr<ServiceState>> services_;
  std::map<ServiceName, ServiceMetrics> metrics_;  // an empty name stands for no service
  std::map<RequestNumber, std::shared_ptr<Exchange>> exchanges_;  // not finished
};

/// An answer that states a result code, as JSON with the header endivecleat-result.
/// One that states that nothing ran asks the caller to come back after the given time.
HttpResponse ErrorResponse(ResultCode code, const std::string& detail = "",
                           Duration retry_after = std::chrono::seconds(1));

}  // namespace endivecleat

#endif  // ENDIVECLEAT_CALLER_TASK_H_
