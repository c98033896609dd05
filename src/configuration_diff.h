// The differences between two configuration documents, for the operators' command "diff".
#ifndef ENDIVECLEAT_CONFIGURATION_DIFF_H_
#define ENDIVECLEAT_CONFIGURATION_DIFF_H_

#include <string>
#include <string_view>
#include <vector>

namespace endivecleat {

/// One difference. `before` and `after` are JSON; one of them is empty where a value was added or
/// removed. In an array whose elements all have a name, an element is found by its name, and its
/// path has "name=..." in place of the position, such as "/presets/peak/routes/name=bins/service".
struct Difference {
  std::string json_path;
  std::string before;
  std::string after;

  bool operator==(const Difference&) const = default;
};

/// In order of path. The order of named elements makes no difference. An empty text stands for {}.
/// Throws UserError 200 when a text is not JSON.
std::vector<Difference> DiffDocuments(std::string_view before, std::string_view after);

/// One line each: "+ path: value" added, "- path: value" removed, "~ path: before -> after"
/// changed.
std::string FormatDifferences(const std::vector<Difference>& differences);

}  // namespace endivecleat

#endif  // ENDIVECLEAT_CONFIGURATION_DIFF_H_
