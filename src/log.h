// Structured logs through Boost.Log: one JSON object a line with time, level, instance, event and
// the fields of the event.
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

/// Sets the target and the least level for this process. Throws UserError when the file cannot be
/// opened.
void StartLog(const InstanceId& instance, const LogSettings& settings);

/// Writes one line. The event is a short fixed name in snake case.
void Log(LogLevel level, const std::string& event, const LogFields& fields = {});

}  // namespace endivecleat

#endif  // ENDIVECLEAT_LOG_H_
