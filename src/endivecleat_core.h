// Public header of endivecleat_core: the decisions of the system as pure state machines. Nothing
// here opens a socket, reads a clock, touches a disk or draws a random number.
#ifndef ENDIVECLEAT_ENDIVECLEAT_CORE_H_
#define ENDIVECLEAT_ENDIVECLEAT_CORE_H_

#include "config_store.h"
#include "configuration.h"
#include "configuration_diff.h"
#include "delta.h"
#include "errors.h"
#include "once_ledger.h"
#include "result_code.h"
#include "state_chart.h"
#include "target_pattern.h"
#include "units.h"

#endif  // ENDIVECLEAT_ENDIVECLEAT_CORE_H_
