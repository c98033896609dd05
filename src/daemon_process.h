// The daemon beside a target: it holds the configuration in force, takes its callers' requests,
// guards its target, and is a member of its data centre.
#ifndef ENDIVECLEAT_DAEMON_PROCESS_H_
#define ENDIVECLEAT_DAEMON_PROCESS_H_

#include <memory>
#include <string>

#include "caller_task.h"
#include "config_replica.h"
#include "crash_report_exchange.h"
#include "daemon_context.h"
#include "http_server.h"
#include "ledger_client.h"
#include "mesh_node.h"
#include "metrics.h"
#include "settings.h"
#include "target_task.h"
#include "trace.h"

namespace endivecleat {

class DaemonProcess {
 public:
  /// Listens at once on the addresses for callers, for peers and for the target.
  DaemonProcess(EventLoop& loop, DaemonSettings settings, uint64_t seed);
  DaemonProcess(const DaemonProcess&) = delete;
  DaemonProcess& operator=(const DaemonProcess&) = delete;
  ~DaemonProcess();

  /// Takes no new work, finishes what is in flight, leaves the data centre and stops the loop.
  void Drain();

  // For adapters to other interfaces.
  /// A new or renewed announcement of the target on this instance.
  void Announce(const Announcement& announcement);
  /// The target takes no new work until it announces itself again.
  void DrainTarget();
  /// The target has left.
  void ForgetTarget();
  /// Whether callers may be sent to this daemon: it has a configuration and does not stop.
  bool TakesCalls() const { return context_.configuration != nullptr && !draining_; }
  const DaemonSettings& settings() const { return settings_; }
  const CompiledConfiguration* configuration() const { return context_.configuration.get(); }

 private:
  void OnMessage(const InstanceId& from, PeerChannel channel, const std::string& bytes);
  void OnRequest(PeerChannel channel, const std::string& payload, const PeerReplier& replier);
  void OnLocalRequest(const HttpRequest& request, const ResponseSink& sink);
  void OnAnnounce(const HttpRequest& request, const ResponseSink& sink);
  HttpResponse Health() const;
  bool Install(ConfigVersion version, const std::string& text);
  void Tick();
  void SendConfigMessages(const std::vector<PeerMessage>& messages);
  void UpdateSelf();
  void UpdateMetrics();
  void FinishDrain(TimePoint not_before, TimePoint limit);
  ConfigReplicaSettings ReplicaSettings() const;

  EventLoop& loop_;
  DaemonSettings settings_;
  Metrics metrics_;
  Tracer tracer_;
  MeshNode node_;
  LedgerClient ledger_;
  DaemonContext context_;
  CrashReportExchange crash_reports_;
  TargetTask target_;
  CallerTask callers_;
  ConfigReplica replica_;
  HttpServer caller_server_;
  HttpServer local_server_;
  TimerId timer_;
  bool draining_ = false;
};

/// The announcement in the body of POST /announce. Throws UserError (kBadRequest) with each
/// problem.
Announcement ReadAnnouncement(const std::string& body);

}  // namespace endivecleat

#endif  // ENDIVECLEAT_DAEMON_PROCESS_H_
