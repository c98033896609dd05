// Splits a stored configuration text into the routes of the preset in force and the rest, without
// parsing either. StoredCompiler uses it to find what differs between two texts.
#ifndef ENDIVECLEAT_STORED_TEXT_H_
#define ENDIVECLEAT_STORED_TEXT_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace endivecleat {

/// Parts of one text; they refer to it.
struct StoredTextParts {
  struct Preset {
    std::string_view name;  // as written, without the quotes
    std::string_view text;  // its JSON object
  };
  std::string_view before_presets;  // up to the bracket that opens "presets", inclusive
  // From the bracket that closes it to the end of the text, excluding the last bracket; without the
  // member "tenants", which is the last one.
  std::string_view after_presets;
  std::string_view tenants;   // the member with the comma before it; empty if the text has none
  std::string_view in_force;  // name of the preset in force, as written
  // The JSON object of the preset in force, without the elements of its array "routes".
  std::string_view before_routes;
  std::string_view after_routes;
  std::vector<std::string_view> routes;
  std::vector<Preset> other_presets;
};

/// Returns nullopt for a text that has no preset in force with routes, has two presets of one name,
/// or is not in the stored form (JSON without whitespace). The parts together cover the text, and
/// each route is one element of the array if the text is valid JSON; nothing else is checked.
std::optional<StoredTextParts> SplitStoredText(std::string_view text);

/// The text of a configuration that has only these routes in its preset in force, beside it only
/// these other presets, and the tenants if they are wanted.
std::string JoinStoredText(const StoredTextParts& parts,
                           const std::vector<std::string_view>& routes,
                           const std::vector<StoredTextParts::Preset>& other_presets,
                           bool with_tenants = true);

/// A member of the object that a stored text is; with the comma before it.
struct StoredMember {
  size_t start = 0;  // of the comma
  size_t end = 0;
  std::string_view value;
};

/// Finds a top-level member. If the text has none of the name, `value` is empty and `start` and
/// `end` are where it belongs, which is before the first member whose key sorts after it. The name
/// must sort after "preset_in_force", which each stored text has. A text that is not in the stored
/// form has no members.
StoredMember FindStoredMember(std::string_view text, std::string_view name);

}  // namespace endivecleat

#endif  // ENDIVECLEAT_STORED_TEXT_H_
