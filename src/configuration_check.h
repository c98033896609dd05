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
struct Figure {
  std::string_view key;
  int64_t least;
  int64_t most;
  void (*set)(Policy&, int64_t);
  int64_t (*read)(const Policy&);
};

/// The numeric fields of services, of routes and of the "callers" object.
std::span<const Figure<ServicePolicy>> PolicyFigures();
std::span<const Figure<RoutePolicy>> RouteFigures();
std::span<const Figure<CallerLimits>> CallerFigures();

/// Returns the checked form and appends every problem to `problems`. Skips absent values, since the
/// parser has already reported those that it could not read.
CheckedConfiguration CheckValues(const ParsedConfiguration& parsed, std::vector<Problem>& problems);

}  // namespace endivecleat

#endif  // ENDIVECLEAT_CONFIGURATION_CHECK_H_
