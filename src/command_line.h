// The command line of the binary: subcommands, their options by popt, their output as text or JSON
// and their exit statuses.
#ifndef ENDIVECLEAT_COMMAND_LINE_H_
#define ENDIVECLEAT_COMMAND_LINE_H_

#include <functional>
#include <vector>

#include "command_options.h"

namespace endivecleat {

struct Subcommand {
  CommandUsage usage;
  std::function<int(const CommandOptions&)> run;  // returns the exit status
};

/// Runs the subcommand that the arguments name and returns the exit status of the process: 0 done,
/// 1 refused or failed, 2 wrong input, 3 conflict, 4 unreachable or unconfirmed.
int RunCommandLine(int argc, const char** argv, const std::vector<Subcommand>& additional = {});

}  // namespace endivecleat

#endif  // ENDIVECLEAT_COMMAND_LINE_H_
