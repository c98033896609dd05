// Glob patterns for target ids: "*" matches any sequence of characters, also an empty one, and "?"
// any single character. A preset uses them to list the targets of each service.
#ifndef ENDIVECLEAT_TARGET_PATTERN_H_
#define ENDIVECLEAT_TARGET_PATTERN_H_

#include <string>
#include <string_view>
#include <vector>

#include "units.h"

namespace endivecleat {

/// Whether the pattern matches the whole text. Takes O(pattern size * text size) time.
bool MatchesPattern(std::string_view pattern, std::string_view text);

/// Whether any of the patterns matches the target's id.
bool MatchesAnyPattern(const std::vector<std::string>& patterns, const TargetId& target);

/// Whether the pattern is 1 to 128 letters, digits, ".", "_", "-", ":", "*" or "?".
bool IsValidPattern(std::string_view pattern);

}  // namespace endivecleat

#endif  // ENDIVECLEAT_TARGET_PATTERN_H_
