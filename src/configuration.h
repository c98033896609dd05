// The stages of a configuration, from the text an operator submits to what a proxy uses:
// SubmittedConfiguration (text), ParsedConfiguration (known keys and types), CheckedConfiguration
// (possible values, references that exist) and CompiledConfiguration (one version with one preset
// in force). Each stage prints as JSON.
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
#include "route_table.h"
#include "service_policy.h"
#include "units.h"

namespace endivecleat {

/// Largest document, as text. 1,000 services in three presets take 0.72 MB.
constexpr size_t kMaxDocumentBytes = size_t{4} << 20;

struct SubmittedConfiguration {
  std::string text;
};

/// A service as written. `figures` holds the policy figures by their key in the document, such as
/// "queue_wait_ms".
struct ParsedService {
  ServiceName name;
  std::optional<std::vector<std::string>> targets;
  std::map<std::string, int64_t> figures;
  std::optional<std::string> health_path;
};

/// A part of a route as written.
struct ParsedShare {
  std::optional<std::string> service;
  int64_t weight = 1;
};

/// A route as written. After Parse only `host`, `methods` and one of `service` and `split` can be
/// absent.
struct ParsedRoute {
  std::optional<std::string> name;
  std::optional<std::string> host;
  std::optional<std::string> path_prefix;
  std::optional<std::vector<std::string>> methods;
  std::optional<std::string> service;
  std::optional<std::vector<ParsedShare>> split;
  bool idempotent = false;
  bool at_most_once = false;
  std::map<std::string, int64_t> figures;
};

struct ParsedPreset {
  PresetName name;
  std::vector<ParsedService> services;
  std::vector<ParsedRoute> routes;
};

struct ParsedConfiguration {
  std::optional<PresetName> preset_in_force;  // absent: the document leaves the choice as it is
  std::vector<ParsedPreset> presets;
  std::string presets_text;  // canonical JSON of "presets"
  std::map<std::string, int64_t> caller_figures;
  std::string callers_text;             // canonical JSON of "callers"; empty when it is absent
  std::optional<std::string> revision;  // the submitter's own name for this document
};

struct CompiledService {
  ServiceName name;
  std::vector<std::string> target_patterns;
  ServicePolicy policy;

  /// Whether the preset lets this target serve the service.
  bool Allows(const TargetId& target) const;
};

struct CheckedPreset {
  PresetName name;
  std::vector<CompiledService> services;
  std::vector<CompiledRoute> routes;
};

/// Every preset is valid, and `preset_in_force`, where present, names one of them.
struct CheckedConfiguration {
  std::optional<PresetName> preset_in_force;
  std::vector<CheckedPreset> presets;
  std::string presets_text;
  std::string callers_text;
  CallerLimits callers;
  std::optional<std::string> revision;

  const CheckedPreset* FindPreset(const PresetName& name) const;
};

class CompiledConfiguration {
 public:
  ConfigVersion version() const { return version_; }
  const PresetName& preset() const { return preset_; }

  /// See RouteTable for the order. Null when no route matches.
  const CompiledRoute* FindRoute(std::string_view method, std::string_view host,
                                 std::string_view path) const {
    return routes_.Find(method, host, path);
  }
  /// Null when the preset in force does not have the service.
  const CompiledService* FindService(const ServiceName& name) const;
  const std::vector<CompiledService>& services() const { return services_; }
  const std::vector<CompiledRoute>& routes() const { return routes_.routes(); }
  const CallerLimits& callers() const { return callers_; }
  /// The submitter's own name for this version; empty where the document has none.
  const std::string& revision() const { return revision_; }

  /// XXH3-128 of text() as 32 hexadecimal digits.
  const std::string& digest() const { return digest_; }
  /// Canonical JSON of all presets and the preset in force.
  const std::string& text() const { return text_; }

 private:
  friend std::shared_ptr<const CompiledConfiguration> Compile(const CheckedConfiguration&,
                                                              ConfigVersion, PresetName);
  CompiledConfiguration() = default;

  ConfigVersion version_;
  PresetName preset_;
  std::vector<CompiledService> services_;
  std::unordered_map<ServiceName, size_t> service_positions_;  // in services_
  RouteTable routes_;  // every route names services in services_
  CallerLimits callers_;
  std::string revision_;
  std::string digest_;
  std::string text_;
};

/// Reads the keys and types. Throws UserError 200 (not JSON), 201 (with every problem) or 203 (over
/// kMaxDocumentBytes).
ParsedConfiguration Parse(const SubmittedConfiguration& submitted);

/// Checks values and references. Throws UserError 201 with every problem.
CheckedConfiguration Check(const ParsedConfiguration& parsed);

/// Parse and Check in one; the problems of both are in one UserError.
CheckedConfiguration ParseAndCheck(const SubmittedConfiguration& submitted);

/// Throws UserError 202 when the configuration does not have the preset.
std::shared_ptr<const CompiledConfiguration> Compile(const CheckedConfiguration& checked,
                                                     ConfigVersion version, PresetName in_force);

/// Parse, Check and Compile of a stored text, which names its preset in force. Throws UserError as
/// these do, and 201 when the text names no preset in force.
std::shared_ptr<const CompiledConfiguration> CompileStored(const std::string& text,
                                                           ConfigVersion version);

/// The stored form of a configuration: {"preset_in_force":..,"presets":..}, sorted keys, no spaces,
/// with "callers" before and "revision" after them where the document has these.
std::string CanonicalText(const CheckedConfiguration& checked, const PresetName& in_force);

/// XXH3-128 as 32 hexadecimal digits.
std::string TextDigest(std::string_view text);

std::string ToJson(const SubmittedConfiguration& submitted);
std::string ToJson(const ParsedConfiguration& parsed);
std::string ToJson(const CheckedConfiguration& checked);
std::string ToJson(const CompiledConfiguration& compiled);

}  // namespace endivecleat

#endif  // ENDIVECLEAT_CONFIGURATION_H_
