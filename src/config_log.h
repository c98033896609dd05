// Logs and counts what the configuration distribution of a process does (config_event.h).
#ifndef ENDIVECLEAT_CONFIG_LOG_H_
#define ENDIVECLEAT_CONFIG_LOG_H_

#include "config_event.h"
#include "config_message.h"
#include "metrics.h"

namespace endivecleat {

/// Writes one log line for each event, within the log's rate limit, and updates the metrics.
void RecordConfigEvents(const ConfigEvents& events, Metrics& metrics);

/// Records how long an installation occupied the event loop.
void RecordInstallation(Duration taken, Metrics& metrics);

/// Returns the codec with its encoding times recorded. `metrics` must outlive it.
TransferCodec MakeMeasuredCodec(TransferCodec codec, Metrics& metrics);

}  // namespace endivecleat

#endif  // ENDIVECLEAT_CONFIG_LOG_H_
