// What the tasks of a daemon share: the loop, the mesh, the configuration in force and the
// decisions that both sides of a call need. Everything is used on the loop's thread.
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

struct DaemonContext {
  EventLoop& loop;
  const DaemonSettings& settings;
  MeshNode& node;
  LedgerClient& ledger;
  Metrics& metrics;
  Tracer& tracer;
  CrashGuard guard;
  IncomingCalls calls;
  std::shared_ptr<const CompiledConfiguration> configuration;  // null before the first version
  std::string run_id;  // differs between instances and between restarts of one
  uint64_t last_number = 0;

  RequestNumber NextNumber() { return RequestNumber(++last_number); }
};

}  // namespace endivecleat

#endif  // ENDIVECLEAT_DAEMON_CONTEXT_H_
