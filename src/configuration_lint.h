// Findings about a valid configuration that an operator should look at before submitting it:
// entries that can never take effect, and limits that contradict each other. Used by the operator
// command "check"; they never keep a configuration from being accepted.
#ifndef ENDIVECLEAT_CONFIGURATION_LINT_H_
#define ENDIVECLEAT_CONFIGURATION_LINT_H_

#include <vector>

#include "configuration.h"
#include "errors.h"

namespace endivecleat {

/// Returns the findings of all presets, in the order of the document. Each has the JSON pointer of
/// the entry in the form that `endivecleat submit` takes.
std::vector<Problem> LintConfiguration(const CheckedConfiguration& checked);

}  // namespace endivecleat

#endif  // ENDIVECLEAT_CONFIGURATION_LINT_H_
