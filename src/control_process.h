// A control instance: a replica of the logs "config" and "once", the configuration source of its
// data centre, and the operators' interface.
#ifndef ENDIVECLEAT_CONTROL_PROCESS_H_
#define ENDIVECLEAT_CONTROL_PROCESS_H_

#include <functional>
#include <memory>
#include <string>

#include "config_source.h"
#include "crash_relay.h"
#include "event_loop.h"
#include "mesh_node.h"
#include "metrics.h"
#include "operator_service.h"
#include "replica_task.h"
#include "replicated_states.h"
#include "settings.h"
#include "units.h"

namespace endivecleat {

class ControlProcess {
 public:
  /// Opens the data folder and listens. Throws UserError when the folder cannot be used.
  ControlProcess(EventLoop& loop, ControlSettings settings, uint64_t seed);
  ControlProcess(const ControlProcess&) = delete;
  ControlProcess& operator=(const ControlProcess&) = delete;
  ~ControlProcess();

  /// The replicated configuration, for other interfaces of this instance to operators.
  ReplicaTask<ConfigState>& config() { return config_; }
  const ReplicaTask<ConfigState>& config() const { return config_; }
  Metrics& metrics() { return metrics_; }
  /// Requests of such interfaces that are not answered yet; a planned stop waits for them.
  void SetOtherInFlight(std::function<size_t()> count) { other_in_flight_ = std::move(count); }

  /// Takes no new operators' requests, answers those in flight, then stops the loop.
  void Drain();

 private:
  void OnMessage(const InstanceId& from, PeerChannel channel, const std::string& bytes);
  void OnRequest(PeerChannel channel, const std::string& payload, const PeerReplier& replier);
  void OnLedgerRequest(const std::string& payload, const PeerReplier& replier);
  void ForwardLedgerRequest(LedgerCommand command, const PeerReplier& replier);
  void Tick();
  void Flush();
  void PublishNewVersion();
  void SendConfigMessages(const std::vector<PeerMessage>& messages);
  void ExchangeSummaries();
  void ExchangeCrashTotals();
  void OnCrashTotals(const InstanceId& from, const std::string& bytes);
  /// Of several control instances of a data centre, the first that is alive reports the crashes of
  /// others; each of them would count as a reporter of its own.
  bool ReportsForOthers() const;
  void SendToOtherDataCentres(PeerChannel channel, const std::string& bytes);
  void UpdateMetrics();
  void FinishDrain(TimePoint limit);
  ReplicatedLogSettings LogSettingsOf(uint64_t seed) const;
  void FollowMembers();
  void LogRole();

  EventLoop& loop_;
  ControlSettings settings_;
  Metrics metrics_;
  MeshNode node_;
  ReplicaTask<ConfigState> config_;
  std::unique_ptr<ReplicaTask<OnceState>> once_;  // null when the settings switch the ledger off
  ConfigSource source_;
  SummarySchedule summary_schedule_;
  CrashRelay crash_relay_;
  std::unique_ptr<OperatorService> operators_;
  TimerId timer_;
  std::string logged_role_;  // role, leader and voters as logged last
  std::function<size_t()> other_in_flight_;
  uint64_t ledger_requests_ = 0;  // not answered
};

/// Writes the data folder of a voter of a new cluster. Throws UserError (kDataFolderUnusable) when
/// it holds data already.
void InitializeControl(const ControlSettings& settings);

}  // namespace endivecleat

#endif  // ENDIVECLEAT_CONTROL_PROCESS_H_
