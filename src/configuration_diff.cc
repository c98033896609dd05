// Recursively compares the two parsed documents.
#include "configuration_diff.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <set>

#include "json_document.h"

namespace endivecleat {
namespace {

using Json = nlohmann::json;

Json ReadDocument(std::string_view text) {
  std::vector<Problem> ignored;
  return text.empty() ? Json::object() : ReadJsonDocument(text, ignored);
}

// Returns the members of an object by key, or the elements of an array by name. Returns nullopt for
// other values and for an array with unnamed elements or duplicate names.
std::optional<std::map<std::string, const Json*>> NamedChildren(const Json& value) {
  std::map<std::string, const Json*> children;
  if (value.is_object()) {
    for (const auto& [key, child] : value.items()) {
      children.emplace(key, &child);
    }
    return children;
  }
  if (!value.is_array()) {
    return std::nullopt;
  }
  for (const Json& element : value) {
    const bool has_name =
        element.is_object() && element.contains("name") && element.at("name").is_string();
    if (!has_name ||
        !children.emplace("name=" + element.at("name").get<std::string>(), &element).second) {
      return std::nullopt;
    }
  }
  return children;
}

void Compare(const std::string& path, const Json& before, const Json& after,
             std::vector<Difference>& differences) {
  if (before == after) {
    return;
  }
  const auto old_children = NamedChildren(before);
  const auto new_children = NamedChildren(after);
  if (before.type() != after.type() || !old_children || !new_children) {
    differences.push_back({path, before.dump(), after.dump()});
    return;
  }
  std::set<std::string> keys;
  for (const auto& [key, child] : *old_children) {
    keys.insert(key);
  }
  for (const auto& [key, child] : *new_children) {
    keys.insert(key);
  }
  for (const std::string& key : keys) {
    const std::string child_path = JsonPathAppend(path, key);
    const auto old_child = old_children->find(key);
    const auto new_child = new_children->find(key);
    if (old_child == old_children->end()) {
      differences.push_back({child_path, "", new_child->second->dump()});
    } else if (new_child == new_children->end()) {
      differences.push_back({child_path, old_child->second->dump(), ""});
    } else {
      Compare(child_path, *old_child->second, *new_child->second, differences);
    }
  }
}

constexpr char kApiKeys[] = "api_keys";
constexpr char kHidden[] = "(hidden)";

void HideApiKeys(Json& value) {
  for (auto child = value.begin(); child != value.end(); ++child) {
    if (value.is_object() && child.key() == kApiKeys) {
      *child = kHidden;
    } else if (child->is_structured()) {
      HideApiKeys(*child);
    }
  }
}

std::string WithoutApiKeys(const std::string& path, const std::string& text) {
  if (text.empty()) {
    return text;
  }
  if (path.find(std::string("/") + kApiKeys) != std::string::npos) {
    return kHidden;
  }
  Json value = Json::parse(text);
  HideApiKeys(value);
  return value.dump();
}

}  // namespace

std::vector<Difference> WithoutApiKeys(std::vector<Difference> differences) {
  for (Difference& difference : differences) {
    difference.before = WithoutApiKeys(difference.json_path, difference.before);
    difference.after = WithoutApiKeys(difference.json_path, difference.after);
  }
  return differences;
}

std::vector<Difference> DiffDocuments(std::string_view before, std::string_view after) {
  std::vector<Difference> differences;
  Compare("", ReadDocument(before), ReadDocument(after), differences);
  return differences;
}

std::string FormatDifferences(const std::vector<Difference>& differences) {
  std::string lines;
  for (const Difference& difference : differences) {
    if (difference.before.empty()) {
      lines += "+ " + difference.json_path + ": " + difference.after + "\n";
    } else if (difference.after.empty()) {
      lines += "- " + difference.json_path + ": " + difference.before + "\n";
    } else {
      lines +=
          "~ " + difference.json_path + ": " + difference.before + " -> " + difference.after + "\n";
    }
  }
  return lines;
}

}  // namespace endivecleat
