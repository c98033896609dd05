// The options that the subcommands share, read by popt.
#ifndef ENDIVECLEAT_COMMAND_OPTIONS_H_
#define ENDIVECLEAT_COMMAND_OPTIONS_H_

#include <optional>
#include <string>
#include <vector>

#include "units.h"

namespace endivecleat {

/// What a subcommand was given. Strings are empty and numbers unset where an option is absent.
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
  std::vector<std::string> arguments;           // what is no option
};

/// A subcommand as --help shows it.
struct CommandUsage {
  std::string name;
  std::string arguments;   // such as "FILE"
  std::string summary;     // one line
  std::string option_set;  // letters of the options that it takes; see command_options.cc
};

/// Reads the arguments after the subcommand's name. Throws UserError (kUsage) for a wrong option.
/// --help prints the usage and ends the process with status 0.
CommandOptions ReadOptions(const CommandUsage& usage, int argc, const char** argv);

}  // namespace endivecleat

#endif  // ENDIVECLEAT_COMMAND_OPTIONS_H_
