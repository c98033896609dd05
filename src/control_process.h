// A control instance: it replicates the logs "config" and "once", distributes new configuration
// versions to its data centre, and serves the operator API.
#ifndef ENDIVECLEAT_CONTROL_PROCESS_H_
#define ENDIVECLEAT_CONTROL_PROCESS_H_

#include <functional>
#include <memory>
#include <string>

#include "config_exchange.h"
#include "config_source.h"
#include "crash_relay.h"
#include "event_loop.h"
#include "ingress_budget.h"
#include "mesh_node.h"
#include "metrics.h"
#include "operator_service.h"
#include "quota_owner_task.h"
#include "replica_task.h"
#include "replicated_states.h"
#include "rollout_task.h"
#include "settings.h"
#include "units.h"

namespace endivecleat {

class ControlProcess {
 public:
  /// Opens the data folder and starts listening. Throws UserError if the folder is unusable.
  ControlProcess(EventLoop& loop, ControlSettings settings, uint64_t seed);
  ControlProcess(const ControlProcess&) = delete;
  ControlProcess& operator=(const ControlProcess&) = delete;
  ~ControlProcess();

  /// The ingress budget that all client ports of this process share.
  const std::shared_ptr<IngressBudget>& ingress() const { return ingress_; }
  /// The replicated configuration, for additional operator APIs of this instance.
  ReplicaTask<ConfigState>& config() { return config_; }
  const ReplicaTask<ConfigState>& config() const { return config_; }
  RolloutTask& rollouts() { return rollouts_; }
  Metrics& metrics() { return metrics_; }
  /// Sets a function that counts the pending requests of additional operator APIs; Drain waits for
  /// them.
  void SetExternalInFlight(std::function<size_t()> count) {
    external_in_flight_ = std::move(count);
  }

  /// Stops accepting operator requests, waits until those in flight are answered, transfers
  /// leadership, and stops the loop. Waits at most for CommonSettings::drain_timeout.
  void Drain();

 private:
  void OnMessage(const InstanceId& from, PeerChannel channel, const std::string& bytes);
  void OnRequest(PeerChannel channel, const std::string& payload, const PeerResponder& replier);
  void OnQuotaRequest(const std::string& payload, const PeerResponder& replier);
  void OnLedgerRequest(const std::string& payload, const PeerResponder& replier);
  void ForwardLedgerRequest(LedgerCommand command, const PeerResponder& replier);
  void Tick();
  void Flush();
  void PublishNewVersion();
  void OnConfigMessage(const InstanceId& from, const ConfigMessage& message);
  void SendConfigMessages(const std::vector<PeerMessage>& messages);
  void ExchangeSummaries();
  void ExchangeCrashTotals();
  void OnCrashTotals(const InstanceId& from, const std::string& bytes);
  /// Whether this instance reports the crash totals of other data centres. Only the first live
  /// control instance of a data centre does, since each report counts as that of a separate
  /// reporter.
  bool IsCrashReporter() const;
  void SendToOtherDataCentres(PeerChannel channel, const std::string& bytes);
  void UpdateMetrics();
  void FinishDrain(TimePoint deadline);
  ReplicatedLogSettings MakeLogSettings(uint64_t seed) const;
  void UpdateVoterCandidates();
  void LogRoleChange();

  EventLoop& loop_;
  ControlSettings settings_;
  Metrics metrics_;
  MeshNode node_;
  ReplicaTask<ConfigState> config_;
  RolloutTask rollouts_;
  std::unique_ptr<ReplicaTask<OnceState>> once_;  // null if the settings disable the ledger
  ConfigSource source_;
  ConfigExchange config_exchange_;
  SummarySchedule summary_schedule_;
  CrashRelay crash_relay_;
  QuotaOwnerTask quota_owner_;
  std::shared_ptr<IngressBudget> ingress_;
  std::unique_ptr<OperatorService> operators_;
  TimerId timer_;
  std::string logged_role_;  // role, leader and voters in the last log line
  std::function<size_t()> external_in_flight_;
  uint64_t ledger_requests_ = 0;  // in flight
};

/// Initializes the data folder of a voter of a new cluster. Throws UserError (kDataFolderUnusable)
/// if it already contains data.
void InitializeControl(const ControlSettings& settings);

}  // namespace endivecleat

#endif  // ENDIVECLEAT_CONTROL_PROCESS_H_
