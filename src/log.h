// The structured log of a process, written through Boost.Log: one JSON object per line with time,
// level, instance, event and the event's fields. Uses log_rate_limiter.h against floods and
// line_writer.h against stalled readers.
#ifndef ENDIVECLEAT_LOG_H_
#define ENDIVECLEAT_LOG_H_

#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "settings.h"

namespace endivecleat {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

using LogValue = std::variant<std::string, int64_t, uint64_t, double, bool>;
using LogFields = std::vector<std::pair<std::string, LogValue>>;

/// Sets the log's destination (stderr, stdout or a file) and the minimum level of this process; may
/// be called again when the settings are reloaded. Throws UserError if the file cannot be opened.
void ConfigureLog(const InstanceId& instance, const LogSettings& settings);

/// Writes one line, unless the log is not started, the level is below the minimum, or the event
/// exceeds its rate limit. The event is a short constant name in snake case.
void Log(LogLevel level, const std::string& event, const LogFields& fields = {});

}  // namespace endivecleat

#endif  // ENDIVECLEAT_LOG_H_
