// Formats the lines as JSON and hands them to a Boost.Log sink. The state is global, one log per
// process.
#include "log.h"

#include <fcntl.h>
#include <unistd.h>

#include <boost/log/core.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/make_shared.hpp>
#include <nlohmann/json.hpp>

#include "errors.h"
#include "line_writer.h"
#include "log_rate_limiter.h"
#include "wall_clock.h"

namespace endivecleat {
namespace {

namespace logging = boost::log;

struct LogState {
  std::string instance;
  LogLevel min_level = LogLevel::kInfo;
  std::string destination;
  LogRateLimiter rate_limiter;
  bool started = false;
};

LogState& State() {
  static LogState state;
  return state;
}

LogLevel ParseLevel(const std::string& name) {
  if (name == "debug") {
    return LogLevel::kDebug;
  }
  if (name == "warning") {
    return LogLevel::kWarning;
  }
  return name == "error" ? LogLevel::kError : LogLevel::kInfo;
}

const char* LevelName(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return "debug";
    case LogLevel::kInfo:
      return "info";
    case LogLevel::kWarning:
      return "warning";
    case LogLevel::kError:
      break;
  }
  return "error";
}

// A Boost.Log sink backend that writes through a LineWriter, which never blocks on its reader.
class LineWriterBackend : public logging::sinks::basic_formatted_sink_backend<char> {
 public:
  explicit LineWriterBackend(int descriptor) : writer_(descriptor) {}

  void consume(const logging::record_view&, const std::string& line) { writer_.Write(line); }

 private:
  LineWriter writer_;
};

/// Returns the log's file descriptor. A file is opened for appending and never closed.
int OpenDestination(const std::string& destination) {
  if (destination == "stderr") {
    return STDERR_FILENO;
  }
  if (destination == "stdout") {
    return STDOUT_FILENO;
  }
  constexpr int kMode = 0644;
  const int file = open(destination.c_str(), O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, kMode);
  if (file < 0) {
    throw UserError(ResultCode::kSettingsUnreadable, "cannot open the log file " + destination);
  }
  return file;
}

void WriteLine(LogLevel level, WallTime now, const std::string& event, const LogFields& fields) {
  nlohmann::ordered_json line = {{"time_ms", now.value()},
                                 {"level", LevelName(level)},
                                 {"instance", State().instance},
                                 {"event", event}};
  for (const auto& [key, value] : fields) {
    std::visit([&line, &name = key](const auto& typed) { line[name] = typed; }, value);
  }
  static logging::sources::severity_logger<int> logger;
  BOOST_LOG_SEV(logger, static_cast<int>(level))
      << line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

}  // namespace

void ConfigureLog(const InstanceId& instance, const LogSettings& settings) {
  LogState& state = State();
  // A reload of the settings opens the destination only if it has changed.
  if (!state.started || state.destination != settings.target) {
    auto backend = boost::make_shared<LineWriterBackend>(OpenDestination(settings.target));
    logging::core::get()->remove_all_sinks();
    logging::core::get()->add_sink(
        boost::make_shared<logging::sinks::synchronous_sink<LineWriterBackend>>(backend));
  }
  state.instance = instance.value();
  state.destination = settings.target;
  state.min_level = ParseLevel(settings.level);
  state.started = true;
}

void Log(LogLevel level, const std::string& event, const LogFields& fields) {
  LogState& state = State();
  if (!state.started || level < state.min_level) {
    return;
  }
  const WallTime now = WallNow();
  const bool admitted = state.rate_limiter.Admit(now, event);
  for (const auto& [name, count] : state.rate_limiter.TakeDropped()) {
    WriteLine(LogLevel::kWarning, now, "log_lines_passed_over",
              {{"of_event", name}, {"lines", count}});
  }
  if (admitted) {
    WriteLine(level, now, event, fields);
  }
}

}  // namespace endivecleat
