// Public header of endivecleat_core: the decisions of the system as pure state machines. Nothing
// here opens a socket, reads a clock, touches a disk or draws a random number.
#ifndef ENDIVECLEAT_ENDIVECLEAT_CORE_H_
#define ENDIVECLEAT_ENDIVECLEAT_CORE_H_

#include "errors.h"
#include "replicated_log.h"
#include "result_code.h"
#include "state_chart.h"
#include "units.h"

#endif  // ENDIVECLEAT_ENDIVECLEAT_CORE_H_
