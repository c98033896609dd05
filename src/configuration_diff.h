// Compares two configuration documents for the operator command "diff".
#ifndef ENDIVECLEAT_CONFIGURATION_DIFF_H_
#define ENDIVECLEAT_CONFIGURATION_DIFF_H_

#include <string>
#include <string_view>
#include <vector>

namespace endivecleat {

/// One difference. `before` and `after` are JSON text; `before` is empty for an added value,
/// `after` for a removed one. If all elements of an array have distinct names, elements are matched
/// by name, and the path has "name=..." instead of the index:
/// "/presets/peak/routes/name=bins/service".
struct Difference {
  std::string json_path;
  std::string before;
  std::string after;

  bool operator==(const Difference&) const = default;
};

/// Returns the differences, sorted by key at each level. Ignores the order of elements matched by
/// name. An empty text counts as {}. Throws UserError with kDocumentSyntax if a text is not JSON.
std::vector<Difference> DiffDocuments(std::string_view before, std::string_view after);

/// Replaces API keys by "(hidden)", so that a terminal or its history does not keep them.
std::vector<Difference> WithoutApiKeys(std::vector<Difference> differences);

/// Formats one line per difference: "+ path: value" for an added, "- path: value" for a removed and
/// "~ path: before -> after" for a changed value.
std::string FormatDifferences(const std::vector<Difference>& differences);

}  // namespace endivecleat

#endif  // ENDIVECLEAT_CONFIGURATION_DIFF_H_
