// State shared by the tasks of a daemon: the event loop, the mesh node, the configuration in force,
// and the crash guard and incoming calls that both sides of a call use. Used only on the loop's
// thread.
#ifndef ENDIVECLEAT_DAEMON_CONTEXT_H_
#define ENDIVECLEAT_DAEMON_CONTEXT_H_

#include <memory>
#include <string>

#include "configuration.h"
#include "crash_guard.h"
#include "deadline.h"
#include "event_loop.h"
#include "ledger_client.h"
#include "mesh_node.h"
#include "metrics.h"
#include "settings.h"
#include "trace.h"

namespace endivecleat {

class QuotaTask;

/// References must outlive the tasks.
struct DaemonContext {
  EventLoop& loop;
  const DaemonSettings& settings;
  MeshNode& node;
  LedgerClient& ledger;
  Metrics& metrics;
  Tracer& tracer;
  CrashGuard crash_guard;
  CallRegistry call_registry;
  std::shared_ptr<const CompiledConfiguration> configuration;  // null before the first version
  std::string run_id;  // unique per process: differs between instances and restarts
  uint64_t last_request_number = 0;
  QuotaTask* quota = nullptr;  // null: no quotas

  /// Returns a number that this process has not used yet.
  RequestNumber NextRequestNumber() { return RequestNumber(++last_request_number); }
};

}  // namespace endivecleat

#endif  // ENDIVECLEAT_DAEMON_CONTEXT_H_
