// Holds the table of the built-in subcommands and the reporting of UserError on stdout (JSON) or
// stderr (text).
#include "command_line.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "command_options.h"
#include "configuration.h"
#include "control_process.h"
#include "daemon_process.h"
#include "errors.h"
#include "json_reader.h"
#include "log.h"
#include "operator_commands.h"
#include "process_runner.h"
#include "settings.h"

namespace endivecleat {
namespace {

const std::string& RequiredSettings(const CommandOptions& options) {
  if (options.settings.empty()) {
    throw UserError(ResultCode::kUsage, "--settings is missing");
  }
  return options.settings;
}

int RunControl(const CommandOptions& options) {
  return RunProcess<ControlProcess, ControlSettings>(RequiredSettings(options),
                                                     LoadControlSettings);
}

int RunDaemon(const CommandOptions& options) {
  return RunProcess<DaemonProcess, DaemonSettings>(RequiredSettings(options), LoadDaemonSettings);
}

int RunInit(const CommandOptions& options) {
  const ControlSettings settings = LoadControlSettings(RequiredSettings(options));
  InitializeControl(settings);
  std::cout << "initialised " << settings.data_folder << "\n";
  return 0;
}

const std::vector<Subcommand>& Subcommands() {
  static const std::vector<Subcommand> commands = {
      {{"control", "", "Runs a control instance.", "s"}, RunControl},
      {{"daemon", "", "Runs the sidecar daemon of a target.", "s"}, RunDaemon},
      {{"init", "", "Initializes the data folder of a control instance of a new cluster.", "s"},
       RunInit},
      {{"check", "FILE",
        "Checks a configuration or a settings file; prints every problem, and with control "
        "instances the differences from the version in force.",
        "cgjs"},
       RunCheck},
      {{"submit", "FILE", "Submits a configuration.", "cojs"}, RunSubmit},
      {{"preset", "NAME", "Switches the preset in force.", "cojs"}, RunPreset},
      {{"show", "", "Shows version, preset, services, members and outdated instances.", "cjs"},
       RunShow},
      {{"get", "", "Prints the configuration in force or a stored version.", "cvjs"}, RunGet},
      {{"diff", "VERSION [VERSION|FILE]", "Shows the differences between two versions.", "cjs"},
       RunDiff},
      {{"history", "", "Lists the accepted changes.", "cajs"}, RunHistory},
      {{"watch", "", "Prints each change as it is accepted.", "cajs"}, RunWatch},
      {{"drain", "TARGET", "Drains a target: it finishes its requests and gets no new ones.",
        "cjs"},
       RunDrain},
  };
  return commands;
}

int PrintHelp(std::ostream& out, const std::vector<Subcommand>& commands) {
  out << "Usage: endivecleat COMMAND [OPTION...]\n\nCommands:\n";
  for (const Subcommand& command : commands) {
    std::string head = command.usage.name + " " + command.usage.arguments;
    head.resize(std::max<size_t>(head.size(), 32), ' ');
    out << "  " << head << command.usage.summary << "\n";
  }
  out << "\nendivecleat COMMAND --help lists the options of a command.\n"
      << "Exit status: 0 success, 1 rejected or failed, 2 invalid input, 3 conflict, 4 "
         "unreachable.\n";
  return 0;
}

int ReportError(const UserError& error, bool json) {
  const ResultCodeInfo& info = Describe(error.code());
  if (json) {
    nlohmann::json problems = nlohmann::json::array();
    for (const Problem& problem : error.problems()) {
      problems.push_back({{"path", problem.json_path}, {"message", problem.message}});
    }
    const nlohmann::json report = {{"code", static_cast<int>(error.code())},
                                   {"name", info.name},
                                   {"message", error.what()},
                                   {"problems", problems}};
    std::cout << report.dump() << "\n";
    return info.exit_status;
  }
  std::cerr << "endivecleat: " << error.what() << " (" << static_cast<int>(error.code()) << " "
            << info.name << ")\n";
  for (const Problem& problem : error.problems()) {
    std::cerr << "  " << problem.json_path << ": " << problem.message << "\n";
  }
  return info.exit_status;
}

}  // namespace

int RunCommandLine(int argc, const char** argv, const std::vector<Subcommand>& additional) {
  std::vector<Subcommand> commands = Subcommands();
  commands.insert(commands.end(), additional.begin(), additional.end());
  const std::string name = argc > 1 ? argv[1] : "";
  if (name == "--help" || name == "help" || name == "-?") {
    return PrintHelp(std::cout, commands);
  }
  const auto command = std::find_if(commands.begin(), commands.end(), [&](const Subcommand& each) {
    return each.usage.name == name;
  });
  if (command == commands.end()) {
    std::cerr << "endivecleat: "
              << (name.empty() ? "COMMAND is missing" : "unknown command " + name) << "\n\n";
    PrintHelp(std::cerr, commands);
    return Describe(ResultCode::kUsage).exit_status;
  }
  bool json = false;
  try {
    const CommandOptions options = ReadOptions(command->usage, argc - 1, argv + 1);
    json = options.json;
    return command->run(options);
  } catch (const UserError& error) {
    return ReportError(error, json);
  } catch (const std::exception& error) {
    std::cerr << "endivecleat: " << error.what() << "\n";
    return 1;
  }
}

}  // namespace endivecleat
