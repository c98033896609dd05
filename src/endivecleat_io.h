// Public header of the library endivecleat_io: sockets, files, logs, metrics and traces for the
// state machines of endivecleat_core, and the control and daemon processes built from both.
#ifndef ENDIVECLEAT_ENDIVECLEAT_IO_H_
#define ENDIVECLEAT_ENDIVECLEAT_IO_H_

#include "control_process.h"
#include "daemon_process.h"
#include "endivecleat_core.h"
#include "event_loop.h"
#include "http_client.h"
#include "http_message.h"
#include "http_server.h"
#include "json_reader.h"
#include "log.h"
#include "log_store.h"
#include "operator_client.h"
#include "peer_network.h"
#include "settings.h"
#include "signal_watch.h"

#endif  // ENDIVECLEAT_ENDIVECLEAT_IO_H_
