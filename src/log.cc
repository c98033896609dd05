#include "log.h"

#include <boost/core/null_deleter.hpp>
#include <boost/log/core.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/make_shared.hpp>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>

#include "errors.h"
#include "wall_clock.h"

namespace endivecleat {
namespace {

namespace logging = boost::log;
using Sink = logging::sinks::synchronous_sink<logging::sinks::text_ostream_backend>;

struct LogState {
  std::string instance;
  LogLevel least_level = LogLevel::kInfo;
  bool started = false;
};

LogState& State() {
  static LogState state;
  return state;
}

LogLevel LevelOf(const std::string& name) {
  if (name == "debug") {
    return LogLevel::kDebug;
  }
  if (name == "warning") {
    return LogLevel::kWarning;
  }
  return name == "error" ? LogLevel::kError : LogLevel::kInfo;
}

const char* NameOf(LogLevel level) {
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

boost::shared_ptr<std::ostream> OpenTarget(const std::string& target) {
  if (target == "stderr") {
    return {&std::clog, boost::null_deleter()};
  }
  if (target == "stdout") {
    return {&std::cout, boost::null_deleter()};
  }
  auto file = boost::make_shared<std::ofstream>(target, std::ios::app);
  if (!*file) {
    throw UserError(ResultCode::kSettingsUnreadable, "cannot open the log file " + target);
  }
  return file;
}

}  // namespace

void StartLog(const InstanceId& instance, const LogSettings& settings) {
  auto backend = boost::make_shared<logging::sinks::text_ostream_backend>();
  backend->add_stream(OpenTarget(settings.target));
  backend->auto_flush(true);
  logging::core::get()->remove_all_sinks();
  logging::core::get()->add_sink(boost::make_shared<Sink>(backend));
  State() = {instance.value(), LevelOf(settings.level), true};
}

void Log(LogLevel level, const std::string& event, const LogFields& fields) {
  const LogState& state = State();
  if (!state.started || level < state.least_level) {
    return;
  }
  nlohmann::ordered_json line = {{"time_ms", WallNow().value()},
                                 {"level", NameOf(level)},
                                 {"instance", state.instance},
                                 {"event", event}};
  for (const auto& [key, value] : fields) {
    std::visit([&line, &name = key](const auto& plain) { line[name] = plain; }, value);
  }
  static logging::sources::severity_logger<int> logger;
  BOOST_LOG_SEV(logger, static_cast<int>(level))
      << line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

}  // namespace endivecleat
