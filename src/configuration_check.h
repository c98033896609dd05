// The rules that the values of a configuration keep, apart from keys and types.
#ifndef ENDIVECLEAT_CONFIGURATION_CHECK_H_
#define ENDIVECLEAT_CONFIGURATION_CHECK_H_

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

#include "configuration.h"

namespace endivecleat {

/// One figure of a policy: its key in the document, its range, and its place in the policy.
template <class Policy>
struct Figure {
  std::string_view key;
  int64_t least;
  int64_t most;
  void (*set)(Policy&, int64_t);
  int64_t (*read)(const Policy&);
};

std::span<const Figure<ServicePolicy>> PolicyFigures();
std::span<const Figure<RoutePolicy>> RouteFigures();
std::span<const Figure<CallerLimits>> CallerFigures();

/// The checked form, with every problem appended to `problems`. Values that Parse could not read
/// are absent and are passed over, since Parse has reported them.
CheckedConfiguration CheckValues(const ParsedConfiguration& parsed, std::vector<Problem>& problems);

}  // namespace endivecleat

#endif  // ENDIVECLEAT_CONFIGURATION_CHECK_H_
