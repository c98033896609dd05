// The stages of processing a configuration document, from the submitted text to the form that
// daemons route with: SubmittedConfiguration (raw text), ParsedConfiguration (keys and types are
// valid), CheckedConfiguration (values and references are valid) and CompiledConfiguration (one
// version with one preset in force, indexed for lookups). ToJson prints each stage for operators.
#ifndef ENDIVECLEAT_CONFIGURATION_H_
#define ENDIVECLEAT_CONFIGURATION_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "errors.h"
#include "rollout.h"
#include "route_table.h"
#include "service_policy.h"
#include "tenant_table.h"
#include "units.h"

namespace endivecleat {

/// Size limit of a submitted document. A document of 1,000 services in three presets takes 0.72 MB.
constexpr size_t kMaxDocumentBytes = size_t{4} << 20;

struct SubmittedConfiguration {
  std::string text;
};

/// A service as written in the document. `numeric_fields` maps the keys of its numeric policy
/// fields, such as "queue_wait_ms", to their values.
struct ParsedService {
  ServiceName name;
  std::optional<std::vector<std::string>> targets;
  std::map<std::string, int64_t> numeric_fields;
  std::optional<std::string> health_path;
};

/// An entry of a route's weighted split, as written in the document.
struct ParsedShare {
  std::optional<std::string> service;
  int64_t weight = 1;
};

/// A route as written in the document. After a successful Parse, `name` and `path_prefix` are set,
/// and so is at least one of `service` and `split`.
struct ParsedRoute {
  std::optional<std::string> name;
  std::optional<std::string> host;
  std::optional<std::string> path_prefix;
  std::optional<std::vector<std::string>> methods;
  std::optional<std::string> service;
  std::optional<std::vector<ParsedShare>> split;
  bool idempotent = false;
  bool at_most_once = false;
  bool large_responses = false;
  bool large_requests = false;
  bool open = false;
  std::map<std::string, int64_t> numeric_fields;
};

/// A tenant as written in the document.
struct ParsedTenant {
  TenantName name;
  std::vector<std::string> api_keys;
  std::optional<int64_t> priority;
  std::optional<double> rate_per_second;
  std::optional<double> burst;
};

struct ParsedPreset {
  PresetName name;
  std::vector<ParsedService> services;
  std::vector<ParsedRoute> routes;
};

struct ParsedConfiguration {
  std::optional<PresetName> preset_in_force;  // absent: the current preset stays in force
  std::vector<ParsedPreset> presets;
  std::string presets_text;  // canonical JSON of "presets"
  std::map<std::string, int64_t> caller_numeric_fields;
  std::string callers_text;             // canonical JSON of "callers"; empty when it is absent
  std::optional<std::string> revision;  // identifier chosen by the submitter
  std::vector<ParsedTenant> tenants;
  std::string tenants_text;  // canonical JSON of "tenants"; empty when it is absent
  Rollouts rollouts;
};

struct CompiledService {
  ServiceName name;
  std::vector<std::string> target_patterns;
  ServicePolicy policy;

  /// Whether the target's id matches one of `target_patterns`.
  bool AllowsTarget(const TargetId& target) const;
};

struct CheckedPreset {
  PresetName name;
  std::vector<CompiledService> services;
  std::vector<CompiledRoute> routes;
};

/// A configuration whose presets are all valid. `preset_in_force`, if present, names one of them.
struct CheckedConfiguration {
  std::optional<PresetName> preset_in_force;
  std::vector<CheckedPreset> presets;
  std::string presets_text;
  std::string callers_text;
  CallerLimits callers;
  std::optional<std::string> revision;
  std::shared_ptr<const TenantTable> tenants;  // null when the document has no tenants
  std::string tenants_text;
  Rollouts rollouts;

  const CheckedPreset* FindPreset(const PresetName& name) const;
};

/// An immutable configuration version with one preset in force. Created by Compile.
class CompiledConfiguration {
 public:
  ConfigVersion version() const { return version_; }
  const PresetName& preset() const { return preset_; }

  /// Returns the route that RouteTable::FindRoute selects, or null if none matches.
  const CompiledRoute* FindRoute(std::string_view method, std::string_view host,
                                 std::string_view path) const {
    return routes_.FindRoute(method, host, path);
  }
  /// Returns null if the preset in force does not define the service.
  const CompiledService* FindService(const ServiceName& name) const;
  const std::vector<CompiledService>& services() const { return services_; }
  const std::vector<CompiledRoute>& routes() const { return routes_.routes(); }
  const CallerLimits& callers() const { return callers_; }
  /// Null if the document has no tenants; requests then need no API key.
  const std::shared_ptr<const TenantTable>& tenants() const { return tenants_; }
  /// The newest rollout of a service, or null if it never had one.
  const Rollout* FindRollout(const ServiceName& service) const {
    const auto found = rollouts_.find(service);
    return found == rollouts_.end() ? nullptr : &found->second;
  }
  const Rollouts& rollouts() const { return rollouts_; }
  /// The identifier that the submitter chose for this version; empty if the document has none.
  const std::string& revision() const { return revision_; }

  /// XXH3-128 of text() as 32 hexadecimal digits.
  const std::string& digest() const { return digest_; }
  /// The stored form: canonical JSON of all presets and the preset in force.
  const std::string& text() const { return text_; }

 private:
  friend std::shared_ptr<const CompiledConfiguration> CompileChecked(CheckedConfiguration,
                                                                     ConfigVersion, std::string);
  CompiledConfiguration() = default;

  ConfigVersion version_;
  PresetName preset_;
  std::vector<CompiledService> services_;
  std::unordered_map<ServiceName, size_t> service_positions_;  // in services_
  RouteTable routes_;  // refers only to services in services_
  CallerLimits callers_;
  std::shared_ptr<const TenantTable> tenants_;
  Rollouts rollouts_;
  std::string revision_;
  std::string digest_;
  std::string text_;
};

/// Parses the text and checks keys and types. Throws UserError with kDocumentSyntax (not JSON),
/// kDocumentInvalid (lists every problem) or kDocumentTooLarge (over kMaxDocumentBytes).
ParsedConfiguration Parse(const SubmittedConfiguration& submitted);

/// Checks values and references. Throws UserError with kDocumentInvalid, which lists every problem.
CheckedConfiguration Check(const ParsedConfiguration& parsed);

/// Runs Parse and Check, and reports the problems of both in a single UserError.
CheckedConfiguration ParseAndCheck(const SubmittedConfiguration& submitted);

/// Builds the lookup structures for one preset. Throws UserError with kUnknownPreset if the
/// configuration does not define the preset.
std::shared_ptr<const CompiledConfiguration> Compile(const CheckedConfiguration& checked,
                                                     ConfigVersion version, PresetName in_force);

/// Runs Parse, Check and Compile on a stored text, which must name its preset in force. The text is
/// kept as it is, so that its digest is the one that the distribution announces. Throws
/// UserError as they do, and with kDocumentInvalid if "preset_in_force" is missing.
std::shared_ptr<const CompiledConfiguration> CompileStored(const std::string& text,
                                                           ConfigVersion version);

/// Compiles a configuration that has been checked and whose preset in force has all its services
/// and routes; the other presets may be missing. `text` is its stored form. Throws UserError as
/// CompileStored does if it names no preset in force.
std::shared_ptr<const CompiledConfiguration> CompileChecked(CheckedConfiguration checked,
                                                            ConfigVersion version,
                                                            std::string text);

/// Returns the stored form of a configuration: JSON with sorted keys and no whitespace. The members
/// are "callers" (if present), "preset_in_force", "presets", "revision", "rollouts" and "tenants"
/// (each if present).
std::string CanonicalText(const CheckedConfiguration& checked, const PresetName& in_force);

/// Returns the XXH3-128 hash of the text as 32 hexadecimal digits.
std::string TextDigest(std::string_view text);

/// JSON of a stage for operators; its "stage" member names the stage.
std::string ToJson(const SubmittedConfiguration& submitted);
std::string ToJson(const ParsedConfiguration& parsed);
std::string ToJson(const CheckedConfiguration& checked);
std::string ToJson(const CompiledConfiguration& compiled);

}  // namespace endivecleat

#endif  // ENDIVECLEAT_CONFIGURATION_H_
