// The operators' subcommands. Each prints its result and returns the exit status of the process,
// and throws UserError for errors that the operator can correct.
#ifndef ENDIVECLEAT_OPERATOR_COMMANDS_H_
#define ENDIVECLEAT_OPERATOR_COMMANDS_H_

#include "command_options.h"

namespace endivecleat {

int RunCheck(const CommandOptions& options);
int RunSubmit(const CommandOptions& options);
int RunPreset(const CommandOptions& options);
int RunShow(const CommandOptions& options);
int RunGet(const CommandOptions& options);
int RunDiff(const CommandOptions& options);
int RunHistory(const CommandOptions& options);
int RunWatch(const CommandOptions& options);
int RunDrain(const CommandOptions& options);

}  // namespace endivecleat

#endif  // ENDIVECLEAT_OPERATOR_COMMANDS_H_
