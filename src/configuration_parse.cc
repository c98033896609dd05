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
constexpr std::string_view kAnnotationsKey = "annotations";
constexpr int64_t kMaxInteger = std::numeric_limits<int64_t>::max();

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
    ReportUnknownKeys("", document,
                      {"callers", "preset_in_force", "presets", "revision", "rollouts", "tenants"});
    parsed.revision = ReadOptionalString("", document, "revision");
    if (const auto callers = document.find("callers"); callers != document.end()) {
      ReadCallers(*callers, parsed);
    }
    if (const auto tenants = document.find("tenants"); tenants != document.end()) {
      ReadTenants(*tenants, parsed);
    }
    if (const auto rollouts = document.find("rollouts"); rollouts != document.end()) {
      parsed.rollouts = ReadRollouts("/rollouts", *rollouts, problems_);
    }
    if (auto name = ReadOptionalString("", document, "preset_in_force")) {
      parsed.preset_in_force = PresetName(std::move(*name));
    }
    const Json* presets = FindRequired("", document, "presets");
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

  bool HasType(const std::string& path, const Json& value, bool matches,
               const std::string& expected) {
    if (!matches) {
      Report(path, "must be " + expected + ", not " + TypeName(value));
    }
    return matches;
  }

  void ReportUnknownKeys(const std::string& path, const Json& object,
                         const std::vector<std::string_view>& known_keys) {
    for (const auto& [key, value] : object.items()) {
      if (std::find(known_keys.begin(), known_keys.end(), key) == known_keys.end()) {
        Report(JsonPathAppend(path, key), "unknown key");
      }
    }
  }

  // Returns null and reports a problem if the key is missing.
  const Json* FindRequired(const std::string& path, const Json& object, const std::string& key) {
    const auto found = object.find(key);
    if (found == object.end()) {
      Report(path, "key \"" + key + "\" is missing");
      return nullptr;
    }
    return &*found;
  }

  std::optional<std::string> ReadString(const std::string& path, const Json* value) {
    if (value == nullptr || !HasType(path, *value, value->is_string(), "a string")) {
      return std::nullopt;
    }
    return value->get<std::string>();
  }

  std::optional<std::string> ReadRequiredString(const std::string& path, const Json& object,
                                                const std::string& key) {
    return ReadString(JsonPathAppend(path, key), FindRequired(path, object, key));
  }

  std::optional<std::string> ReadOptionalString(const std::string& path, const Json& object,
                                                const std::string& key) {
    const auto found = object.find(key);
    return ReadString(JsonPathAppend(path, key), found == object.end() ? nullptr : &*found);
  }

  std::optional<std::vector<std::string>> ReadRequiredStrings(const std::string& path,
                                                              const Json& object,
                                                              const std::string& key) {
    const Json* value = FindRequired(path, object, key);
    const std::string value_path = JsonPathAppend(path, key);
    if (value == nullptr ||
        !HasType(value_path, *value, value->is_array(), "an array of strings")) {
      return std::nullopt;
    }
    std::vector<std::string> texts;
    bool complete = true;
    for (size_t position = 0; position < value->size(); ++position) {
      auto text = ReadString(JsonPathAppend(value_path, position), &(*value)[position]);
      complete = complete && text.has_value();
      texts.push_back(std::move(text).value_or(""));
    }
    return complete ? std::optional(std::move(texts)) : std::nullopt;
  }

  bool ReadBool(const std::string& path, const Json& object, const std::string& key) {
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
    ReportUnknownKeys(path, preset, {"services", "routes"});
    const Json* services = FindRequired(path, preset, "services");
    if (services != nullptr && IsObject(path + "/services", *services)) {
      for (const auto& [service_name, service] : services->items()) {
        parsed.services.push_back(ReadService(path + "/services", service_name, service));
      }
    }
    const Json* routes = FindRequired(path, preset, "routes");
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
    std::vector<std::string_view> known_keys = {kAnnotationsKey};
    ReadNumericFields<CallerLimits>("/callers", CallerLimitFields(), callers, known_keys,
                                    parsed.caller_numeric_fields);
    ReportUnknownKeys("/callers", callers, known_keys);
    parsed.callers_text = callers.dump();
  }

  void ReadTenants(const Json& tenants, ParsedConfiguration& parsed) {
    if (!IsObject("/tenants", tenants)) {
      return;
    }
    for (const auto& [name, tenant] : tenants.items()) {
      parsed.tenants.push_back(ReadTenant(name, tenant));
    }
    parsed.tenants_text = tenants.dump();
  }

  ParsedTenant ReadTenant(const std::string& name, const Json& tenant) {
    ParsedTenant parsed{.name = TenantName(name)};
    const std::string path = JsonPathAppend("/tenants", name);
    if (!IsObject(path, tenant)) {
      return parsed;
    }
    ReportUnknownKeys(path, tenant,
                      {"api_keys", "priority", "rate_per_second", "burst", kAnnotationsKey});
    parsed.api_keys =
        ReadRequiredStrings(path, tenant, "api_keys").value_or(std::vector<std::string>());
    if (const auto priority = tenant.find("priority"); priority != tenant.end()) {
      parsed.priority = ReadInteger(path + "/priority", *priority);
    }
    parsed.rate_per_second = ReadOptionalDecimal(path, tenant, "rate_per_second");
    parsed.burst = ReadOptionalDecimal(path, tenant, "burst");
    return parsed;
  }

  std::optional<double> ReadOptionalDecimal(const std::string& path, const Json& object,
                                            const std::string& key) {
    const auto found = object.find(key);
    if (found == object.end() ||
        !HasType(JsonPathAppend(path, key), *found, found->is_number(), "a number")) {
      return std::nullopt;
    }
    return found->get<double>();
  }

  ParsedService ReadService(const std::string& parent, const std::string& name,
                            const Json& service) {
    ParsedService parsed{.name = ServiceName(name)};
    const std::string path = JsonPathAppend(parent, name);
    if (!IsObject(path, service)) {
      return parsed;
    }
    std::vector<std::string_view> known_keys = {"targets", "health_path", kAnnotationsKey};
    ReadNumericFields<ServicePolicy>(path, ServicePolicyFields(), service, known_keys,
                                     parsed.numeric_fields);
    ReportUnknownKeys(path, service, known_keys);
    parsed.health_path = ReadOptionalString(path, service, "health_path");
    parsed.targets = ReadRequiredStrings(path, service, "targets");
    return parsed;
  }

  template <class Policy>
  void ReadNumericFields(const std::string& path, std::span<const NumericField<Policy>> table,
                         const Json& object, std::vector<std::string_view>& known_keys,
                         std::map<std::string, int64_t>& numeric_fields) {
    for (const NumericField<Policy>& field : table) {
      known_keys.push_back(field.key);
      const auto found = object.find(field.key);
      if (found == object.end()) {
        continue;
      }
      if (const auto number = ReadInteger(JsonPathAppend(path, field.key), *found)) {
        numeric_fields[std::string(field.key)] = *number;
      }
    }
  }

  std::optional<int64_t> ReadInteger(const std::string& path, const Json& value) {
    if (!HasType(path, value, value.is_number_integer(), "a whole number")) {
      return std::nullopt;
    }
    const bool too_large = value.is_number_unsigned() && value.get<uint64_t>() > kMaxInteger;
    return too_large ? kMaxInteger : value.get<int64_t>();
  }

  ParsedRoute ReadRoute(const std::string& path, const Json& route) {
    ParsedRoute parsed;
    if (!IsObject(path, route)) {
      return parsed;
    }
    std::vector<std::string_view> known_keys = {"name",           "host",         "path_prefix",
                                                "methods",        "service",      "split",
                                                "idempotent",     "at_most_once", "large_responses",
                                                "large_requests", "open",         kAnnotationsKey};
    ReadNumericFields<RoutePolicy>(path, RoutePolicyFields(), route, known_keys,
                                   parsed.numeric_fields);
    ReportUnknownKeys(path, route, known_keys);
    parsed.name = ReadRequiredString(path, route, "name");
    parsed.host = ReadOptionalString(path, route, "host");
    parsed.path_prefix = ReadRequiredString(path, route, "path_prefix");
    if (route.contains("methods")) {
      parsed.methods = ReadRequiredStrings(path, route, "methods");
    }
    if (const auto split = route.find("split"); split != route.end()) {
      parsed.split = ReadSplit(path + "/split", *split);
      parsed.service = ReadOptionalString(path, route, "service");
    } else {
      parsed.service = ReadRequiredString(path, route, "service");
    }
    parsed.idempotent = ReadBool(path, route, "idempotent");
    parsed.at_most_once = ReadBool(path, route, "at_most_once");
    parsed.large_responses = ReadBool(path, route, "large_responses");
    parsed.large_requests = ReadBool(path, route, "large_requests");
    parsed.open = ReadBool(path, route, "open");
    return parsed;
  }

  std::vector<ParsedShare> ReadSplit(const std::string& path, const Json& split) {
    std::vector<ParsedShare> shares;
    if (!HasType(path, split, split.is_array(), "an array")) {
      return shares;
    }
    for (size_t position = 0; position < split.size(); ++position) {
      const std::string value_path = JsonPathAppend(path, position);
      ParsedShare& share = shares.emplace_back();
      if (!IsObject(value_path, split[position])) {
        continue;
      }
      ReportUnknownKeys(value_path, split[position], {"service", "weight"});
      share.service = ReadRequiredString(value_path, split[position], "service");
      if (const Json* weight = FindRequired(value_path, split[position], "weight")) {
        share.weight = ReadInteger(value_path + "/weight", *weight).value_or(1);
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
