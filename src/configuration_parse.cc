// Walks the document with one Read function per kind of object. A value of the wrong type is
// reported and left out, so that one pass finds all problems.
#include "configuration_parse.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "configuration_check.h"
#include "json_document.h"

namespace endivecleat {
namespace {

using Json = nlohmann::json;

// Key of free-form metadata, which is stored with the document but not interpreted.
constexpr std::string_view kAnnotations = "annotations";
constexpr int64_t kLargest = std::numeric_limits<int64_t>::max();

std::string TypeName(const Json& value) {
  if (value.is_number_float()) {
    return "a fraction";
  }
  return value.is_null() ? "null" : "a value of type " + std::string(value.type_name());
}

// Converts a JSON document to ParsedConfiguration and reports unknown and missing keys and wrong
// types. The path arguments are JSON pointers, used in problem reports.
class DocumentReader {
 public:
  explicit DocumentReader(std::vector<Problem>& problems) : problems_(problems) {}

  ParsedConfiguration Read(const Json& document) {
    ParsedConfiguration parsed;
    if (!IsObject("", document)) {
      return parsed;
    }
    CheckKeys("", document, {"callers", "preset_in_force", "presets", "revision"});
    parsed.revision = OptionalText("", document, "revision");
    if (const auto callers = document.find("callers"); callers != document.end()) {
      ReadCallers(*callers, parsed);
    }
    if (auto name = OptionalText("", document, "preset_in_force")) {
      parsed.preset_in_force = PresetName(std::move(*name));
    }
    const Json* presets = Required("", document, "presets");
    if (presets == nullptr || !IsObject("/presets", *presets)) {
      return parsed;
    }
    if (presets->empty()) {
      Report("/presets", "must hold at least one preset");
    }
    for (const auto& [name, preset] : presets->items()) {
      parsed.presets.push_back(ReadPreset(name, preset));
    }
    parsed.presets_text = presets->dump();
    return parsed;
  }

 private:
  void Report(std::string path, std::string message) {
    problems_.push_back({std::move(path), std::move(message)});
  }

  bool IsObject(const std::string& path, const Json& value) {
    return HasType(path, value, value.is_object(), "an object");
  }

  bool HasType(const std::string& path, const Json& value, bool fits, const std::string& wanted) {
    if (!fits) {
      Report(path, "must be " + wanted + ", not " + TypeName(value));
    }
    return fits;
  }

  void CheckKeys(const std::string& path, const Json& object,
                 const std::vector<std::string_view>& known) {
    for (const auto& [key, value] : object.items()) {
      if (std::find(known.begin(), known.end(), key) == known.end()) {
        Report(JsonPathAppend(path, key), "unknown key");
      }
    }
  }

  // Returns null and reports a problem if the key is missing.
  const Json* Required(const std::string& path, const Json& object, const std::string& key) {
    const auto found = object.find(key);
    if (found == object.end()) {
      Report(path, "key \"" + key + "\" is missing");
      return nullptr;
    }
    return &*found;
  }

  std::optional<std::string> TextOf(const std::string& path, const Json* value) {
    if (value == nullptr || !HasType(path, *value, value->is_string(), "a string")) {
      return std::nullopt;
    }
    return value->get<std::string>();
  }

  std::optional<std::string> RequiredText(const std::string& path, const Json& object,
                                          const std::string& key) {
    return TextOf(JsonPathAppend(path, key), Required(path, object, key));
  }

  std::optional<std::string> OptionalText(const std::string& path, const Json& object,
                                          const std::string& key) {
    const auto found = object.find(key);
    return TextOf(JsonPathAppend(path, key), found == object.end() ? nullptr : &*found);
  }

  std::optional<std::vector<std::string>> RequiredTexts(const std::string& path, const Json& object,
                                                        const std::string& key) {
    const Json* value = Required(path, object, key);
    const std::string own_path = JsonPathAppend(path, key);
    if (value == nullptr || !HasType(own_path, *value, value->is_array(), "an array of strings")) {
      return std::nullopt;
    }
    std::vector<std::string> texts;
    bool complete = true;
    for (size_t position = 0; position < value->size(); ++position) {
      auto text = TextOf(JsonPathAppend(own_path, position), &(*value)[position]);
      complete = complete && text.has_value();
      texts.push_back(std::move(text).value_or(""));
    }
    return complete ? std::optional(std::move(texts)) : std::nullopt;
  }

  bool FlagOf(const std::string& path, const Json& object, const std::string& key) {
    const auto found = object.find(key);
    return found != object.end() &&
           HasType(JsonPathAppend(path, key), *found, found->is_boolean(), "true or false") &&
           found->get<bool>();
  }

  ParsedPreset ReadPreset(const std::string& name, const Json& preset) {
    ParsedPreset parsed{.name = PresetName(name)};
    const std::string path = JsonPathAppend("/presets", name);
    if (!IsObject(path, preset)) {
      return parsed;
    }
    CheckKeys(path, preset, {"services", "routes"});
    const Json* services = Required(path, preset, "services");
    if (services != nullptr && IsObject(path + "/services", *services)) {
      for (const auto& [service_name, service] : services->items()) {
        parsed.services.push_back(ReadService(path + "/services", service_name, service));
      }
    }
    const Json* routes = Required(path, preset, "routes");
    if (routes != nullptr && HasType(path + "/routes", *routes, routes->is_array(), "an array")) {
      for (size_t position = 0; position < routes->size(); ++position) {
        parsed.routes.push_back(
            ReadRoute(JsonPathAppend(path + "/routes", position), (*routes)[position]));
      }
    }
    return parsed;
  }

  void ReadCallers(const Json& callers, ParsedConfiguration& parsed) {
    if (!IsObject("/callers", callers)) {
      return;
    }
    std::vector<std::string_view> known = {kAnnotations};
    ReadFigures<CallerLimits>("/callers", CallerFigures(), callers, known, parsed.caller_figures);
    CheckKeys("/callers", callers, known);
    parsed.callers_text = callers.dump();
  }

  ParsedService ReadService(const std::string& parent, const std::string& name,
                            const Json& service) {
    ParsedService parsed{.name = ServiceName(name)};
    const std::string path = JsonPathAppend(parent, name);
    if (!IsObject(path, service)) {
      return parsed;
    }
    std::vector<std::string_view> known = {"targets", "health_path", kAnnotations};
    ReadFigures<ServicePolicy>(path, PolicyFigures(), service, known, parsed.figures);
    CheckKeys(path, service, known);
    parsed.health_path = OptionalText(path, service, "health_path");
    parsed.targets = RequiredTexts(path, service, "targets");
    return parsed;
  }

  template <class Policy>
  void ReadFigures(const std::string& path, std::span<const Figure<Policy>> table,
                   const Json& object, std::vector<std::string_view>& known,
                   std::map<std::string, int64_t>& figures) {
    for (const Figure<Policy>& figure : table) {
      known.push_back(figure.key);
      const auto found = object.find(figure.key);
      if (found == object.end()) {
        continue;
      }
      if (const auto number = WholeNumber(JsonPathAppend(path, figure.key), *found)) {
        figures[std::string(figure.key)] = *number;
      }
    }
  }

  std::optional<int64_t> WholeNumber(const std::string& path, const Json& value) {
    if (!HasType(path, value, value.is_number_integer(), "a whole number")) {
      return std::nullopt;
    }
    const bool too_large = value.is_number_unsigned() && value.get<uint64_t>() > kLargest;
    return too_large ? kLargest : value.get<int64_t>();
  }

  ParsedRoute ReadRoute(const std::string& path, const Json& route) {
    ParsedRoute parsed;
    if (!IsObject(path, route)) {
      return parsed;
    }
    std::vector<std::string_view> known = {"name",       "host",         "path_prefix",
                                           "methods",    "service",      "split",
                                           "idempotent", "at_most_once", kAnnotations};
    ReadFigures<RoutePolicy>(path, RouteFigures(), route, known, parsed.figures);
    CheckKeys(path, route, known);
    parsed.name = RequiredText(path, route, "name");
    parsed.host = OptionalText(path, route, "host");
    parsed.path_prefix = RequiredText(path, route, "path_prefix");
    if (route.contains("methods")) {
      parsed.methods = RequiredTexts(path, route, "methods");
    }
    if (const auto split = route.find("split"); split != route.end()) {
      parsed.split = ReadSplit(path + "/split", *split);
      parsed.service = OptionalText(path, route, "service");
    } else {
      parsed.service = RequiredText(path, route, "service");
    }
    parsed.idempotent = FlagOf(path, route, "idempotent");
    parsed.at_most_once = FlagOf(path, route, "at_most_once");
    return parsed;
  }

  std::vector<ParsedShare> ReadSplit(const std::string& path, const Json& split) {
    std::vector<ParsedShare> shares;
    if (!HasType(path, split, split.is_array(), "an array")) {
      return shares;
    }
    for (size_t position = 0; position < split.size(); ++position) {
      const std::string own_path = JsonPathAppend(path, position);
      ParsedShare& share = shares.emplace_back();
      if (!IsObject(own_path, split[position])) {
        continue;
      }
      CheckKeys(own_path, split[position], {"service", "weight"});
      share.service = RequiredText(own_path, split[position], "service");
      if (const Json* weight = Required(own_path, split[position], "weight")) {
        share.weight = WholeNumber(own_path + "/weight", *weight).value_or(1);
      }
    }
    return shares;
  }

  std::vector<Problem>& problems_;
};

}  // namespace

ParsedConfiguration ParseDocument(const SubmittedConfiguration& submitted,
                                  std::vector<Problem>& problems) {
  if (submitted.text.size() > kMaxDocumentBytes) {
    throw UserError(ResultCode::kDocumentTooLarge,
                    "the configuration has " + std::to_string(submitted.text.size()) +
                        " bytes; the limit is " + std::to_string(kMaxDocumentBytes));
  }
  const Json document = ReadJsonDocument(submitted.text, problems);
  return DocumentReader(problems).Read(document);
}

}  // namespace endivecleat
