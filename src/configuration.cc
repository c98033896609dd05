// Drives the stages over ParseDocument and CheckValues, serializes each stage with nlohmann::json
// and builds the canonical text and its digest.
#include "configuration.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <utility>

#include "configuration_check.h"
#include "configuration_parse.h"
#include "target_pattern.h"

namespace endivecleat {
namespace {

using Json = nlohmann::json;

void ThrowIfAny(std::vector<Problem> problems) {
  if (problems.empty()) {
    return;
  }
  const std::string message = "the configuration has " + std::to_string(problems.size()) +
                              (problems.size() == 1 ? " problem" : " problems");
  throw UserError(ResultCode::kDocumentInvalid, message, std::move(problems));
}

std::string Serialize(const Json& value) {
  return value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Json OptionalJson(const std::optional<std::string>& text) {
  return text ? Json(*text) : Json(nullptr);
}

Json OptionalJson(const std::optional<PresetName>& name) {
  return name ? Json(name->value()) : Json(nullptr);
}

Json SplitJson(const std::optional<std::vector<ParsedShare>>& split) {
  if (!split) {
    return nullptr;
  }
  Json parts = Json::array();
  for (const ParsedShare& share : *split) {
    parts.push_back({{"service", OptionalJson(share.service)}, {"weight", share.weight}});
  }
  return parts;
}

Json SharesJson(const std::vector<RouteShare>& shares) {
  Json parts = Json::array();
  for (const RouteShare& share : shares) {
    parts.push_back({{"service", share.service.value()}, {"weight", share.weight}});
  }
  return parts;
}

/// The numeric fields of a policy, by their keys in the document.
template <class Policy>
Json NumericFieldsJson(std::span<const NumericField<Policy>> table, const Policy& policy) {
  Json numeric_fields = Json::object();
  for (const NumericField<Policy>& field : table) {
    numeric_fields[std::string(field.key)] = field.get(policy);
  }
  return numeric_fields;
}

Json ParsedRouteJson(const ParsedRoute& route) {
  return {{"name", OptionalJson(route.name)},
          {"host", OptionalJson(route.host)},
          {"path_prefix", OptionalJson(route.path_prefix)},
          {"methods", route.methods ? Json(*route.methods) : Json(nullptr)},
          {"service", OptionalJson(route.service)},
          {"split", SplitJson(route.split)},
          {"policy", route.numeric_fields},
          {"idempotent", route.idempotent},
          {"at_most_once", route.at_most_once},
          {"large_responses", route.large_responses},
          {"large_requests", route.large_requests},
          {"open", route.open}};
}

Json ParsedPresetJson(const ParsedPreset& preset) {
  Json services = Json::object();
  for (const ParsedService& service : preset.services) {
    Json& entry = services[service.name.value()];
    entry = service.numeric_fields;
    entry["targets"] = service.targets ? Json(*service.targets) : Json(nullptr);
  }
  Json routes = Json::array();
  for (const ParsedRoute& route : preset.routes) {
    routes.push_back(ParsedRouteJson(route));
  }
  return {{"services", std::move(services)}, {"routes", std::move(routes)}};
}

Json ServicesJson(const std::vector<CompiledService>& services) {
  Json result = Json::object();
  for (const CompiledService& service : services) {
    Json& entry = result[service.name.value()];
    entry = NumericFieldsJson(ServicePolicyFields(), service.policy);
    entry["targets"] = service.target_patterns;
    entry["health_path"] = service.policy.health_path;
  }
  return result;
}

Json RoutesJson(const std::vector<CompiledRoute>& routes) {
  Json result = Json::array();
  for (const CompiledRoute& route : routes) {
    result.push_back({{"name", route.name.value()},
                      {"host", route.host},
                      {"path_prefix", route.path_prefix},
                      {"methods", route.methods},
                      {"split", SharesJson(route.shares)},
                      {"policy", NumericFieldsJson(RoutePolicyFields(), route.policy)},
                      {"idempotent", route.idempotent},
                      {"at_most_once", route.at_most_once},
                      {"large_responses", route.large_responses},
                      {"large_requests", route.large_requests},
                      {"open", route.open}});
  }
  return result;
}

}  // namespace

bool CompiledService::AllowsTarget(const TargetId& target) const {
  return MatchesAnyPattern(target_patterns, target);
}

const CheckedPreset* CheckedConfiguration::FindPreset(const PresetName& name) const {
  const auto found = std::find_if(presets.begin(), presets.end(),
                                  [&](const CheckedPreset& preset) { return preset.name == name; });
  return found == presets.end() ? nullptr : &*found;
}

const CompiledService* CompiledConfiguration::FindService(const ServiceName& name) const {
  const auto found = service_positions_.find(name);
  return found == service_positions_.end() ? nullptr : &services_[found->second];
}

ParsedConfiguration Parse(const SubmittedConfiguration& submitted) {
  std::vector<Problem> problems;
  ParsedConfiguration parsed = ParseDocument(submitted, problems);
  ThrowIfAny(std::move(problems));
  return parsed;
}

CheckedConfiguration Check(const ParsedConfiguration& parsed) {
  std::vector<Problem> problems;
  CheckedConfiguration checked = CheckValues(parsed, problems);
  ThrowIfAny(std::move(problems));
  return checked;
}

CheckedConfiguration ParseAndCheck(const SubmittedConfiguration& submitted) {
  std::vector<Problem> problems;
  const ParsedConfiguration parsed = ParseDocument(submitted, problems);
  CheckedConfiguration checked = CheckValues(parsed, problems);
  ThrowIfAny(std::move(problems));
  return checked;
}

std::shared_ptr<const CompiledConfiguration> Compile(const CheckedConfiguration& checked,
                                                     ConfigVersion version, PresetName in_force) {
  CheckedConfiguration chosen = checked;
  chosen.preset_in_force = std::move(in_force);
  std::string text = CanonicalText(checked, *chosen.preset_in_force);
  return CompileChecked(std::move(chosen), version, std::move(text));
}

std::shared_ptr<const CompiledConfiguration> CompileChecked(CheckedConfiguration checked,
                                                            ConfigVersion version,
                                                            std::string text) {
  if (!checked.preset_in_force) {
    throw UserError(ResultCode::kDocumentInvalid, "the stored configuration is incomplete",
                    {{"", "key \"preset_in_force\" is missing"}});
  }
  const auto preset = std::find_if(
      checked.presets.begin(), checked.presets.end(),
      [&](const CheckedPreset& each) { return each.name == *checked.preset_in_force; });
  if (preset == checked.presets.end()) {
    throw UserError(ResultCode::kUnknownPreset,
                    "the configuration has no preset \"" + checked.preset_in_force->value() + "\"");
  }
  std::shared_ptr<CompiledConfiguration> compiled(new CompiledConfiguration());
  compiled->version_ = version;
  compiled->services_ = std::move(preset->services);
  for (size_t position = 0; position < compiled->services_.size(); ++position) {
    compiled->service_positions_[compiled->services_[position].name] = position;
  }
  compiled->routes_ = RouteTable(std::move(preset->routes));
  compiled->callers_ = checked.callers;
  compiled->tenants_ = std::move(checked.tenants);
  compiled->rollouts_ = std::move(checked.rollouts);
  compiled->revision_ = checked.revision.value_or("");
  compiled->text_ = std::move(text);
  compiled->digest_ = TextDigest(compiled->text_);
  compiled->preset_ = std::move(*checked.preset_in_force);
  return compiled;
}

std::shared_ptr<const CompiledConfiguration> CompileStored(const std::string& text,
                                                           ConfigVersion version) {
  return CompileChecked(ParseAndCheck({text}), version, text);
}

std::string CanonicalText(const CheckedConfiguration& checked, const PresetName& in_force) {
  std::string text = "{";
  if (!checked.callers_text.empty()) {
    text += "\"callers\":" + checked.callers_text + ",";
  }
  text += "\"preset_in_force\":" + Json(in_force.value()).dump();
  text += ",\"presets\":" + checked.presets_text;
  if (checked.revision) {
    text += ",\"revision\":" + Json(*checked.revision).dump();
  }
  if (const std::string rollouts = RolloutsText(checked.rollouts); !rollouts.empty()) {
    text += ",\"rollouts\":" + rollouts;
  }
  if (!checked.tenants_text.empty()) {
    text += ",\"tenants\":" + checked.tenants_text;
  }
  return text + "}";
}

std::string TextDigest(std::string_view text) {
  const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
  std::array<char, 33> digits{};
  // NOLINTNEXTLINE(google-runtime-int): %llx takes unsigned long long
  using Wide = unsigned long long;
  std::snprintf(digits.data(), digits.size(), "%016llx%016llx", static_cast<Wide>(hash.high64),
                static_cast<Wide>(hash.low64));
  return digits.data();
}

std::string ToJson(const SubmittedConfiguration& submitted) {
  return Serialize({{"stage", "submitted"}, {"text", submitted.text}});
}

std::string ToJson(const ParsedConfiguration& parsed) {
  Json presets = Json::object();
  for (const ParsedPreset& preset : parsed.presets) {
    presets[preset.name.value()] = ParsedPresetJson(preset);
  }
  return Serialize({{"stage", "parsed"},
                    {"preset_in_force", OptionalJson(parsed.preset_in_force)},
                    {"presets", std::move(presets)}});
}

std::string ToJson(const CheckedConfiguration& checked) {
  Json presets = Json::object();
  for (const CheckedPreset& preset : checked.presets) {
    presets[preset.name.value()] = {{"services", ServicesJson(preset.services)},
                                    {"routes", RoutesJson(preset.routes)}};
  }
  return Serialize({{"stage", "checked"},
                    {"preset_in_force", OptionalJson(checked.preset_in_force)},
                    {"presets", std::move(presets)}});
}

std::string ToJson(const CompiledConfiguration& compiled) {
  return Serialize({{"stage", "compiled"},
                    {"version", compiled.version().value()},
                    {"preset", compiled.preset().value()},
                    {"digest", compiled.digest()},
                    {"services", ServicesJson(compiled.services())},
                    {"routes", RoutesJson(compiled.routes())}});
}

}  // namespace endivecleat
