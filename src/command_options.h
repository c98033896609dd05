// Options shared by the subcommands of command_line.h, parsed with popt.
#ifndef ENDIVECLEAT_COMMAND_OPTIONS_H_
#define ENDIVECLEAT_COMMAND_OPTIONS_H_

#include <optional>
#include <string>
#include <vector>

#include "units.h"

namespace endivecleat {

/// Parsed options and arguments of a subcommand. If an option is absent, its string is empty or its
/// optional number is unset.
struct CommandOptions {
  std::string settings;                         // --settings FILE
  std::string control;                          // --control ADDRESS[,ADDRESS...]
  std::string token_file;                       // --token-file FILE
  std::string operation;                        // --operation ID
  std::string author;                           // --author NAME
  std::string stage;                            // --stage NAME
  std::optional<uint64_t> base;                 // --base VERSION
  std::optional<uint64_t> version;              // --version VERSION
  std::optional<uint64_t> after;                // --after VERSION
  Duration timeout = std::chrono::seconds(15);  // --timeout SECONDS
  bool json = false;                            // --json
  std::vector<std::string> arguments;           // positional arguments
};

/// Description of a subcommand, printed by --help.
struct CommandUsage {
  std::string name;
  std::string arguments;      // such as "FILE"
  std::string summary;        // one line
  std::string option_groups;  // one letter per accepted group of options; see command_options.cc
};

/// Parses the arguments; argv[0] is the name of the subcommand. Throws UserError (kUsage) for an
/// invalid option. --help prints the usage and exits the process with status 0.
CommandOptions ReadOptions(const CommandUsage& usage, int argc, const char** argv);

}  // namespace endivecleat

#endif  // ENDIVECLEAT_COMMAND_OPTIONS_H_
