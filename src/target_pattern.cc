// Greedy glob matching that backtracks only to the last "*", which avoids exponential time on
// patterns with many stars.
#include "target_pattern.h"

#include <algorithm>

namespace endivecleat {
namespace {

constexpr size_t kMaxPatternBytes = 128;
constexpr std::string_view kPatternCharacters =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789._-:*?";

}  // namespace

bool MatchesPattern(std::string_view pattern, std::string_view text) {
  size_t pattern_index = 0;
  size_t text_index = 0;
  size_t star_index = std::string_view::npos;
  size_t star_text_end = 0;  // end of the text that the last star matches
  while (text_index < text.size()) {
    const bool in_pattern = pattern_index < pattern.size();
    if (in_pattern && pattern[pattern_index] == '*') {
      star_index = pattern_index++;
      star_text_end = text_index;
    } else if (in_pattern &&
               (pattern[pattern_index] == '?' || pattern[pattern_index] == text[text_index])) {
      ++pattern_index;
      ++text_index;
    } else if (star_index != std::string_view::npos) {
      pattern_index = star_index + 1;
      text_index = ++star_text_end;
    } else {
      return false;
    }
  }
  return pattern.find_first_not_of('*', pattern_index) == std::string_view::npos;
}

bool MatchesAnyPattern(const std::vector<std::string>& patterns, const TargetId& target) {
  return std::any_of(patterns.begin(), patterns.end(), [&](const std::string& pattern) {
    return MatchesPattern(pattern, target.value());
  });
}

bool IsValidPattern(std::string_view pattern) {
  return !pattern.empty() && pattern.size() <= kMaxPatternBytes &&
         pattern.find_first_not_of(kPatternCharacters) == std::string_view::npos;
}

}  // namespace endivecleat
