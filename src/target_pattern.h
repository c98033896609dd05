// Glob patterns of target ids: "*" stands for any run of characters, "?" for any one character, and
// everything else for itself.
#ifndef ENDIVECLEAT_TARGET_PATTERN_H_
#define ENDIVECLEAT_TARGET_PATTERN_H_

#include <string>
#include <string_view>
#include <vector>

#include "units.h"

namespace endivecleat {

/// Whether the whole text matches. Takes at most pattern size times text size steps.
bool MatchesPattern(std::string_view pattern, std::string_view text);

bool MatchesAnyPattern(const std::vector<std::string>& patterns, const TargetId& target);

/// Whether the pattern is 1 to 128 letters, digits, ".", "_", "-", ":", "*" or "?".
bool IsValidPattern(std::string_view pattern);

}  // namespace endivecleat

#endif  // ENDIVECLEAT_TARGET_PATTERN_H_
