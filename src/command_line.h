// The command line of the endivecleat binary: looks up the subcommand, parses its options (see
// command_options.h), runs it, and reports errors as text or JSON with an exit status.
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

/// Runs the subcommand named by the first argument and returns the exit status of the process:
/// 0 success, 1 rejected or failed, 2 invalid input, 3 conflict, 4 unreachable or unconfirmed.
/// `additional` subcommands are appended to the built-in ones.
int RunCommandLine(int argc, const char** argv, const std::vector<Subcommand>& additional = {});

}  // namespace endivecleat

#endif  // ENDIVECLEAT_COMMAND_LINE_H_
