// The second stage of configuration validation: checks the values and references that
// configuration_parse has read. Also defines the numeric policy fields, with their keys and ranges,
// which the parser and the JSON output use as well.
#ifndef ENDIVECLEAT_CONFIGURATION_CHECK_H_
#define ENDIVECLEAT_CONFIGURATION_CHECK_H_

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

#include "configuration.h"

namespace endivecleat {

/// Describes one numeric field of a policy: its key in the document, its inclusive range, and the
/// functions that write and read it in the policy struct.
template <class Policy>
struct NumericField {
  std::string_view key;
  int64_t minimum;
  int64_t maximum;
  void (*set)(Policy&, int64_t);
  int64_t (*get)(const Policy&);
};

/// The numeric fields of services, of routes and of the "callers" object.
std::span<const NumericField<ServicePolicy>> ServicePolicyFields();
std::span<const NumericField<RoutePolicy>> RoutePolicyFields();
std::span<const NumericField<CallerLimits>> CallerLimitFields();

/// Returns the checked form and appends every problem to `problems`. Skips absent values, since the
/// parser has already reported those that it could not read.
CheckedConfiguration CheckValues(const ParsedConfiguration& parsed, std::vector<Problem>& problems);

}  // namespace endivecleat

#endif  // ENDIVECLEAT_CONFIGURATION_CHECK_H_
