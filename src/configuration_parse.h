// The first stage of configuration validation: reads a JSON document into ParsedConfiguration and
// checks keys and types. configuration_check then checks the values.
#ifndef ENDIVECLEAT_CONFIGURATION_PARSE_H_
#define ENDIVECLEAT_CONFIGURATION_PARSE_H_

#include <vector>

#include "configuration.h"

namespace endivecleat {

/// Reads every value that has the expected type and appends every problem to `problems`. Throws
/// UserError with kDocumentSyntax if the text is not JSON, or with kDocumentTooLarge.
ParsedConfiguration ParseDocument(const SubmittedConfiguration& submitted,
                                  std::vector<Problem>& problems);

}  // namespace endivecleat

#endif  // ENDIVECLEAT_CONFIGURATION_PARSE_H_
