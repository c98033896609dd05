// Reads the keys and types of a configuration document.
#ifndef ENDIVECLEAT_CONFIGURATION_PARSE_H_
#define ENDIVECLEAT_CONFIGURATION_PARSE_H_

#include <vector>

#include "configuration.h"

namespace endivecleat {

/// Reads what is readable and appends every problem to `problems`. Throws UserError 200 or 203 when
/// nothing is readable.
ParsedConfiguration ParseDocument(const SubmittedConfiguration& submitted,
                                  std::vector<Problem>& problems);

}  // namespace endivecleat

#endif  // ENDIVECLEAT_CONFIGURATION_PARSE_H_
