// Public header of the library endivecleat_core: the system's logic as deterministic state
// machines. Nothing here does I/O, reads a clock or uses a source of randomness other than a seed
// passed in.
#ifndef ENDIVECLEAT_ENDIVECLEAT_CORE_H_
#define ENDIVECLEAT_ENDIVECLEAT_CORE_H_

#include "admission.h"
#include "attempt_tracker.h"
#include "balancer.h"
#include "call.h"
#include "config_replica.h"
#include "config_source.h"
#include "config_store.h"
#include "config_timing.h"
#include "configuration.h"
#include "configuration_diff.h"
#include "crash_guard.h"
#include "deadline.h"
#include "delta.h"
#include "errors.h"
#include "json_reader.h"
#include "membership.h"
#include "once_ledger.h"
#include "replicated_log.h"
#include "result_code.h"
#include "retry_budget.h"
#include "service_policy.h"
#include "startup_queue.h"
#include "state_chart.h"
#include "stored_compiler.h"
#include "target_call.h"
#include "target_pattern.h"
#include "target_state.h"
#include "transit_delay.h"
#include "units.h"

#endif  // ENDIVECLEAT_ENDIVECLEAT_CORE_H_
