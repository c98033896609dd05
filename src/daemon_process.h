// The sidecar daemon of a target: it holds the configuration in force, routes the requests of local
// callers, controls admission to its target, and takes part in the membership of its data centre.
#ifndef ENDIVECLEAT_DAEMON_PROCESS_H_
#define ENDIVECLEAT_DAEMON_PROCESS_H_

#include <memory>
#include <string>

#include "caller_task.h"
#include "config_exchange.h"
#include "config_replica.h"
#include "crash_report_exchange.h"
#include "daemon_context.h"
#include "http_server.h"
#include "ingress_budget.h"
#include "ledger_client.h"
#include "load_log.h"
#include "mesh_node.h"
#include "metrics.h"
#include "quota_task.h"
#include "settings.h"
#include "stored_compiler.h"
#include "target_task.h"
#include "trace.h"

namespace endivecleat {

class DaemonProcess {
 public:
  /// Starts listening immediately on the addresses for callers, for peers and for the target.
  DaemonProcess(EventLoop& loop, DaemonSettings settings, uint64_t seed);
  DaemonProcess(const DaemonProcess&) = delete;
  DaemonProcess& operator=(const DaemonProcess&) = delete;
  ~DaemonProcess();

  /// Drains the target after part of CommonSettings::drain_notice, finishes the requests in flight,
  /// leaves the membership and stops the loop. Waits at most for CommonSettings::drain_timeout.
  void Drain();

  // The following functions are for adapters to other interfaces.

  /// Handles a new or repeated announcement of the target on this instance.
  void Announce(const Announcement& announcement);
  /// Sends no new requests to the target until it announces itself again.
  void DrainTarget();
  /// Removes the target after it has left.
  void RemoveTarget();
  /// Whether this daemon is ready for callers: it has a configuration and is not draining.
  bool AcceptsCalls() const { return context_.configuration != nullptr && !draining_; }
  /// The ingress budget that all client ports of this process share.
  const std::shared_ptr<IngressBudget>& ingress() const { return ingress_; }
  const DaemonSettings& settings() const { return settings_; }
  const CompiledConfiguration* configuration() const { return context_.configuration.get(); }

 private:
  void OnMessage(const InstanceId& from, PeerChannel channel, const std::string& bytes);
  void OnRequest(PeerChannel channel, const std::string& payload, const PeerResponder& replier);
  void OnLocalRequest(const HttpRequest& request, const ResponseSink& sink);
  void OnAnnounceRequest(const HttpRequest& request, const ResponseSink& sink);
  HttpResponse Health() const;
  bool Install(ConfigVersion version, const std::string& text);
  void Tick();
  void SendConfigMessages(const std::vector<PeerMessage>& messages);
  void UpdateSelf();
  void SendRolloutReport();
  void UpdateMetrics();
  void FinishDrain(TimePoint not_before, TimePoint deadline);
  void StopWhenIdle(TimePoint deadline);
  bool Idle() const;
  ConfigReplicaSettings MakeReplicaSettings() const;

  EventLoop& loop_;
  DaemonSettings settings_;
  Metrics metrics_;
  Tracer tracer_;
  MeshNode node_;
  LedgerClient ledger_;
  DaemonContext context_;
  CrashReportExchange crash_reports_;
  TargetTask target_;
  QuotaTask quota_;
  CallerTask callers_;
  LoadLog load_log_;
  StoredCompiler compiler_;
  ConfigReplica replica_;
  ConfigExchange config_exchange_;
  std::shared_ptr<IngressBudget> ingress_;
  HttpServer caller_server_;
  HttpServer local_server_;
  TimerId timer_;
  bool draining_ = false;
};

/// Parses the body of POST /announce. Throws UserError (kBadRequest) that lists every problem.
Announcement ReadAnnouncement(const std::string& body);

}  // namespace endivecleat

#endif  // ENDIVECLEAT_DAEMON_PROCESS_H_
