// Greedy glob matching that backtracks only to the last "*", which avoids exponential time on
// patterns with many stars.
#include "target_pattern.h"

#include <algorithm>

namespace endivecleat {
namespace {

constexpr size_t kMaxPatternBytes = 128;
constexpr std::string_view kPatternLetters =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789._-:*?";

}  // namespace

bool MatchesPattern(std::string_view pattern, std::string_view text) {
  size_t at_pattern = 0;
  size_t at_text = 0;
  size_t last_star = std::string_view::npos;
  size_t after_star = 0;  // end of the text that the last star matches
  while (at_text < text.size()) {
    const bool in_pattern = at_pattern < pattern.size();
    if (in_pattern && pattern[at_pattern] == '*') {
      last_star = at_pattern++;
      after_star = at_text;
    } else if (in_pattern && (pattern[at_pattern] == '?' || pattern[at_pattern] == text[at_text])) {
      ++at_pattern;
      ++at_text;
    } else if (last_star != std::string_view::npos) {
      at_pattern = last_star + 1;
      at_text = ++after_star;
    } else {
      return false;
    }
  }
  return pattern.find_first_not_of('*', at_pattern) == std::string_view::npos;
}

bool MatchesAnyPattern(const std::vector<std::string>& patterns, const TargetId& target) {
  return std::any_of(patterns.begin(), patterns.end(), [&](const std::string& pattern) {
    return MatchesPattern(pattern, target.value());
  });
}

bool IsValidPattern(std::string_view pattern) {
  return !pattern.empty() && pattern.size() <= kMaxPatternBytes &&
         pattern.find_first_not_of(kPatternLetters) == std::string_view::npos;
}

}  // namespace endivecleat
