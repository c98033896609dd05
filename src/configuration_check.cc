// Holds the tables of numeric policy fields, and PresetChecker, which validates a preset in one
// pass over its services and routes.
#include "configuration_check.h"

#include <algorithm>
#include <array>
#include <set>
#include <string>
#include <utility>

#include "json_document.h"
#include "target_pattern.h"

namespace endivecleat {
namespace {

constexpr size_t kMaxNameBytes = 64;
constexpr size_t kMaxHostBytes = 253;    // limit of a domain name in RFC 1035
constexpr size_t kMaxPrefixBytes = 512;  // bounds a lookup, which hashes every shorter prefix
constexpr size_t kMaxQuotedBytes = 128;
constexpr int64_t kMaxTimeoutMs = 600'000;
constexpr int64_t kMaxBodyBytes = int64_t{4} << 20;  // listeners buffer at most 4 MiB
// No response arrives after the timeout, so an objective far above it must be a mistake.
constexpr Duration kMaxObjectiveExcess = std::chrono::minutes(1);
constexpr int64_t kMaxWeight = 1'000'000;
constexpr size_t kMaxRevisionBytes = 64;
constexpr int64_t kMaxPriority = 1'000;
constexpr size_t kMaxKeyBytes = 512;
constexpr double kMaxQuota = 1e9;  // requests per second, or requests of a burst

constexpr std::string_view kAlphanumericCharacters =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789";
constexpr std::string_view kNameCharacters =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789._-";
constexpr std::string_view kHostCharacters = "abcdefghijklmnopqrstuvwxyz0123456789.-";
constexpr std::array<std::string_view, 7> kMethods = {"GET",   "HEAD",   "POST",   "PUT",
                                                      "PATCH", "DELETE", "OPTIONS"};

Duration Milliseconds(int64_t value) { return std::chrono::milliseconds(value); }
int64_t ToMilliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

const std::array<NumericField<ServicePolicy>, 9> kServicePolicyFields = {{
    {"slots", 1, 10'000,
     [](ServicePolicy& policy, int64_t value) {
       policy.slots = SlotCount(static_cast<uint64_t>(value));
     },
     [](const ServicePolicy& policy) { return static_cast<int64_t>(policy.slots.value()); }},
    {"connections", 1, 100'000,
     [](ServicePolicy& policy, int64_t value) {
       policy.connections = ConnectionCount(static_cast<uint64_t>(value));
     },
     [](const ServicePolicy& policy) { return static_cast<int64_t>(policy.connections.value()); }},
    {"queue_length", 0, 100'000,
     [](ServicePolicy& policy, int64_t value) {
       policy.queue_length = QueueLength(static_cast<uint64_t>(value));
     },
     [](const ServicePolicy& policy) { return static_cast<int64_t>(policy.queue_length.value()); }},
    {"queue_wait_ms", 0, kMaxTimeoutMs,
     [](ServicePolicy& policy, int64_t value) { policy.queue_wait = Milliseconds(value); },
     [](const ServicePolicy& policy) { return ToMilliseconds(policy.queue_wait); }},
    {"warm_up_ms", 0, kMaxTimeoutMs,
     [](ServicePolicy& policy, int64_t value) { policy.warm_up = Milliseconds(value); },
     [](const ServicePolicy& policy) { return ToMilliseconds(policy.warm_up); }},
    {"timeout_ms", 1, kMaxTimeoutMs,
     [](ServicePolicy& policy, int64_t value) { policy.timeout = Milliseconds(value); },
     [](const ServicePolicy& policy) { return ToMilliseconds(policy.timeout); }},
    {"retry_percent", 0, 100,
     [](ServicePolicy& policy, int64_t value) {
       policy.retry_percent = Percent(static_cast<uint64_t>(value));
     },
     [](const ServicePolicy& policy) {
       return static_cast<int64_t>(policy.retry_percent.value());
     }},
    {"max_attempts", 1, 10,
     [](ServicePolicy& policy, int64_t value) {
       policy.max_attempts = AttemptCount(static_cast<uint64_t>(value));
     },
     [](const ServicePolicy& policy) { return static_cast<int64_t>(policy.max_attempts.value()); }},
    {"body_limit_bytes", 1, kMaxBodyBytes,
     [](ServicePolicy& policy, int64_t value) {
       policy.body_limit = ByteCount(static_cast<uint64_t>(value));
     },
     [](const ServicePolicy& policy) { return static_cast<int64_t>(policy.body_limit.value()); }},
}};

const std::array<NumericField<RoutePolicy>, 4> kRoutePolicyFields = {{
    {"timeout_ms", 1, kMaxTimeoutMs,
     [](RoutePolicy& policy, int64_t value) { policy.timeout = Milliseconds(value); },
     [](const RoutePolicy& policy) { return ToMilliseconds(policy.timeout); }},
    {"objective_ms", 1, 2 * kMaxTimeoutMs,
     [](RoutePolicy& policy, int64_t value) { policy.objective = Milliseconds(value); },
     [](const RoutePolicy& policy) { return ToMilliseconds(policy.objective); }},
    {"max_attempts", 1, 1'000,
     [](RoutePolicy& policy, int64_t value) {
       policy.max_attempts = AttemptCount(static_cast<uint64_t>(value));
     },
     [](const RoutePolicy& policy) { return static_cast<int64_t>(policy.max_attempts.value()); }},
    {"priority", 0, kMaxPriority,
     [](RoutePolicy& policy, int64_t value) {
       policy.priority = Priority(static_cast<uint64_t>(value));
     },
     [](const RoutePolicy& policy) { return static_cast<int64_t>(policy.priority.value()); }},
}};

constexpr int64_t kMaxCallerLimitBytes = int64_t{1} << 40;

const std::array<NumericField<CallerLimits>, 4> kCallerLimitFields = {{
    {"header_bytes", 1, kMaxCallerLimitBytes,
     [](CallerLimits& limits, int64_t value) {
       limits.header_bytes = ByteCount(static_cast<uint64_t>(value));
     },
     [](const CallerLimits& limits) { return static_cast<int64_t>(limits.header_bytes.value()); }},
    {"body_bytes", 1, kMaxCallerLimitBytes,
     [](CallerLimits& limits, int64_t value) {
       limits.body_bytes = ByteCount(static_cast<uint64_t>(value));
     },
     [](const CallerLimits& limits) { return static_cast<int64_t>(limits.body_bytes.value()); }},
    {"header_timeout_ms", 1, 10 * kMaxTimeoutMs,
     [](CallerLimits& limits, int64_t value) { limits.header_timeout = Milliseconds(value); },
     [](const CallerLimits& limits) { return ToMilliseconds(limits.header_timeout); }},
    {"idle_timeout_ms", 1, 10 * kMaxTimeoutMs,
     [](CallerLimits& limits, int64_t value) { limits.idle_timeout = Milliseconds(value); },
     [](const CallerLimits& limits) { return ToMilliseconds(limits.idle_timeout); }},
}};

std::string Quoted(const std::string& value) {
  return "\"" + TruncateUtf8(value, kMaxQuotedBytes) + "\"";
}

bool ConsistsOf(std::string_view text, std::string_view characters) {
  return text.find_first_not_of(characters) == std::string_view::npos;
}

bool IsValidName(std::string_view name) {
  return !name.empty() && name.size() <= kMaxNameBytes && ConsistsOf(name, kNameCharacters) &&
         ConsistsOf(name.substr(0, 1), kAlphanumericCharacters);
}

bool IsValidPrefix(std::string_view prefix) {
  const bool visible = std::all_of(prefix.begin(), prefix.end(), [](char c) {
    return c > ' ' && c < '\x7f' && c != '?' && c != '#';
  });
  return prefix.starts_with('/') && prefix.size() <= kMaxPrefixBytes && visible &&
         prefix.find("//") == std::string_view::npos;
}

bool IsValidHost(std::string_view host) {
  return !host.empty() && host.size() <= kMaxHostBytes && ConsistsOf(host, kHostCharacters);
}

/// Copies the fields present in the document to the policy and reports those out of range.
template <class Policy>
void ApplyNumericFields(const std::string& path, std::span<const NumericField<Policy>> table,
                        const std::map<std::string, int64_t>& numeric_fields, Policy& policy,
                        std::vector<Problem>& problems) {
  for (const NumericField<Policy>& field : table) {
    const auto found = numeric_fields.find(std::string(field.key));
    if (found == numeric_fields.end()) {
      continue;
    }
    if (found->second < field.minimum || found->second > field.maximum) {
      problems.push_back(
          {JsonPathAppend(path, field.key), "must be from " + std::to_string(field.minimum) +
                                                " to " + std::to_string(field.maximum) + ", not " +
                                                std::to_string(found->second)});
      continue;
    }
    field.set(policy, found->second);
  }
}

// Checks the services and routes of one preset and appends their problems to `problems`.
class PresetChecker {
 public:
  PresetChecker(const ParsedPreset& preset, std::vector<Problem>& problems)
      : preset_(preset),
        path_(JsonPathAppend("/presets", preset.name.value())),
        problems_(problems) {
    for (const ParsedService& service : preset.services) {
      service_names_.insert(service.name.value());
    }
  }

  CheckedPreset Run() {
    CheckName(path_, preset_.name.value());
    CheckedPreset checked{.name = preset_.name};
    for (const ParsedService& service : preset_.services) {
      checked.services.push_back(CheckService(service));
    }
    for (size_t position = 0; position < preset_.routes.size(); ++position) {
      const std::string path = JsonPathAppend(path_ + "/routes", position);
      checked.routes.push_back(CheckRoute(path, preset_.routes[position]));
    }
    return checked;
  }

 private:
  void Report(std::string path, std::string message) {
    problems_.push_back({std::move(path), std::move(message)});
  }

  void CheckName(const std::string& path, const std::string& name) {
    if (!IsValidName(name)) {
      Report(path, "name " + Quoted(name) +
                       " must be 1 to 64 letters, digits, \".\", \"_\" or \"-\", and must start "
                       "with a letter or digit");
    }
  }

  CompiledService CheckService(const ParsedService& service) {
    const std::string path = JsonPathAppend(path_ + "/services", service.name.value());
    CheckName(path, service.name.value());
    CompiledService checked{.name = service.name};
    if (service.targets) {
      checked.target_patterns = *service.targets;
      CheckPatterns(path + "/targets", *service.targets);
    }
    ApplyNumericFields<ServicePolicy>(path, kServicePolicyFields, service.numeric_fields,
                                      checked.policy, problems_);
    if (service.health_path) {
      checked.policy.health_path = *service.health_path;
      if (!service.health_path->starts_with('/')) {
        Report(path + "/health_path", "must start with \"/\"");
      }
    }
    if (checked.policy.slots.value() > checked.policy.connections.value()) {
      Report(path + "/connections",
             "connections (" + std::to_string(checked.policy.connections.value()) +
                 ") must not be fewer than slots (" + std::to_string(checked.policy.slots.value()) +
                 "), since each request in a slot holds a connection");
    }
    return checked;
  }

  void CheckPatterns(const std::string& path, const std::vector<std::string>& patterns) {
    if (patterns.empty()) {
      Report(path, "must name at least one pattern of target ids");
    }
    std::set<std::string> seen;
    for (size_t position = 0; position < patterns.size(); ++position) {
      const std::string& pattern = patterns[position];
      if (!IsValidPattern(pattern)) {
        Report(JsonPathAppend(path, position),
               "pattern " + Quoted(pattern) +
                   " must be 1 to 128 letters, digits, \".\", \"_\", \"-\", \":\", \"*\" or "
                   "\"?\"");
      } else if (!seen.insert(pattern).second) {
        Report(JsonPathAppend(path, position), "pattern " + Quoted(pattern) + " is listed twice");
      }
    }
  }

  CompiledRoute CheckRoute(const std::string& path, const ParsedRoute& route) {
    CompiledRoute checked;
    checked.name = RouteName(route.name.value_or(""));
    checked.host = route.host.value_or("");
    checked.path_prefix = route.path_prefix.value_or("");
    checked.methods = route.methods.value_or(std::vector<std::string>());
    checked.idempotent = route.idempotent;
    checked.at_most_once = route.at_most_once;
    checked.large_responses = route.large_responses;
    checked.large_requests = route.large_requests;
    checked.open = route.open;
    ApplyNumericFields<RoutePolicy>(path, kRoutePolicyFields, route.numeric_fields, checked.policy,
                                    problems_);
    const bool has_both =
        checked.policy.timeout > Duration{} && checked.policy.objective > Duration{};
    if (has_both && checked.policy.objective >= checked.policy.timeout + kMaxObjectiveExcess) {
      Report(path + "/objective_ms", "must be less than a minute above timeout_ms");
    }
    CheckRouteName(path, route);
    CheckSplit(path, route, checked);
    CheckHostAndPrefix(path, route);
    CheckMethods(path + "/methods", route);
    if (route.idempotent && route.at_most_once) {
      Report(path, "a route cannot be both idempotent and at_most_once");
    }
    // A large response that breaks off is lost, so its request must be one that may run again.
    if (route.large_responses && !route.idempotent) {
      Report(path + "/large_responses", "needs an idempotent route");
    }
    // A request that is passed on while it arrives cannot be sent to a second target.
    if (route.large_requests && (route.idempotent || route.at_most_once)) {
      Report(path + "/large_requests", "needs a route that is neither idempotent nor at_most_once");
    }
    CheckDuplicateRoute(path, route);
    return checked;
  }

  void CheckRouteName(const std::string& path, const ParsedRoute& route) {
    if (route.name) {
      CheckName(path + "/name", *route.name);
      if (!route_names_.insert(*route.name).second) {
        Report(path + "/name", "route " + Quoted(*route.name) + " is defined twice");
      }
    }
  }

  void CheckServiceExists(const std::string& path, const std::string& service) {
    if (!service_names_.contains(service)) {
      Report(path, "preset " + Quoted(preset_.name.value()) + " has no service " + Quoted(service));
    }
  }

  void CheckSplit(const std::string& path, const ParsedRoute& route, CompiledRoute& checked) {
    if (route.service) {
      CheckServiceExists(path + "/service", *route.service);
      checked.shares.push_back({ServiceName(*route.service), 1});
    }
    if (!route.split) {
      return;
    }
    if (route.service) {
      Report(path, "has both a service and a split");
    }
    if (route.split->empty()) {
      Report(path + "/split", "must have at least one part");
    }
    std::set<std::string> seen;
    uint64_t weight_sum = 0;
    for (size_t position = 0; position < route.split->size(); ++position) {
      const ParsedShare& share = (*route.split)[position];
      const std::string share_path = JsonPathAppend(path + "/split", position);
      if (share.weight < 0 || share.weight > kMaxWeight) {
        Report(share_path + "/weight", "must be from 0 to " + std::to_string(kMaxWeight));
        continue;
      }
      if (!share.service) {
        continue;  // already reported by the parser
      }
      CheckServiceExists(share_path + "/service", *share.service);
      if (!seen.insert(*share.service).second) {
        Report(share_path + "/service", "service " + Quoted(*share.service) + " is listed twice");
      }
      weight_sum += static_cast<uint64_t>(share.weight);
      if (share.weight > 0) {
        checked.shares.push_back(
            {ServiceName(*share.service), static_cast<uint64_t>(share.weight)});
      }
    }
    if (!route.split->empty() && weight_sum == 0) {
      Report(path + "/split", "must have a part with a weight above 0");
    }
  }

  void CheckHostAndPrefix(const std::string& path, const ParsedRoute& route) {
    if (route.host && !IsValidHost(*route.host)) {
      Report(path + "/host", "host " + Quoted(*route.host) +
                                 " must be 1 to 253 lower-case letters, digits, \".\" or \"-\", "
                                 "without a port");
    }
    if (route.path_prefix && !IsValidPrefix(*route.path_prefix)) {
      Report(path + "/path_prefix", "path prefix " + Quoted(*route.path_prefix) +
                                        " must start with \"/\" and must be at most 512 visible "
                                        "characters without \"?\", \"#\" "
                                        "or \"//\"");
    }
  }

  void CheckMethods(const std::string& path, const ParsedRoute& route) {
    if (!route.methods) {
      return;
    }
    if (route.methods->empty()) {
      Report(path, "must name at least one method");
    }
    std::set<std::string> seen;
    for (size_t position = 0; position < route.methods->size(); ++position) {
      const std::string& method = (*route.methods)[position];
      if (std::find(kMethods.begin(), kMethods.end(), method) == kMethods.end()) {
        Report(JsonPathAppend(path, position),
               "method " + Quoted(method) +
                   " must be one of GET, HEAD, POST, PUT, PATCH, DELETE and OPTIONS");
      } else if (!seen.insert(method).second) {
        Report(JsonPathAppend(path, position), "method " + method + " is listed twice");
      }
    }
  }

  // Rejects routes with the same host, path prefix and method: which of them a request takes would
  // depend on their order in the document.
  void CheckDuplicateRoute(const std::string& path, const ParsedRoute& route) {
    if (!route.path_prefix) {
      return;
    }
    std::vector<const ParsedRoute*>& earlier =
        routes_by_match_[{route.host.value_or(""), *route.path_prefix}];
    if (!earlier.empty()) {
      ReportDuplicates(path, route, earlier);
    }
    earlier.push_back(&route);
  }

  static std::set<std::string> MethodsOf(const ParsedRoute& route) {
    return route.methods ? std::set<std::string>(route.methods->begin(), route.methods->end())
                         : std::set<std::string>(kMethods.begin(), kMethods.end());
  }

  void ReportDuplicates(const std::string& path, const ParsedRoute& route,
                        const std::vector<const ParsedRoute*>& earlier) {
    std::set<std::string> reported;
    for (const std::string& method : MethodsOf(route)) {
      const auto existing = std::find_if(
          earlier.begin(), earlier.end(),
          [&](const ParsedRoute* other) { return MethodsOf(*other).contains(method); });
      if (existing == earlier.end()) {
        continue;
      }
      const std::string name = (*existing)->name.value_or("");
      if (reported.insert(name).second) {
        Report(path, "equals route " + Quoted(name) + " in host, path prefix and method " + method);
      }
    }
  }

  using RouteMatch = std::pair<std::string, std::string>;  // host, path prefix

  const ParsedPreset& preset_;
  std::string path_;
  std::vector<Problem>& problems_;
  std::set<std::string> service_names_;
  std::set<std::string> route_names_;
  std::map<RouteMatch, std::vector<const ParsedRoute*>> routes_by_match_;
};

// Checks the tenants. Messages never quote an API key.
class TenantChecker {
 public:
  explicit TenantChecker(std::vector<Problem>& problems) : problems_(problems) {}

  TenantTable Run(const std::vector<ParsedTenant>& tenants) {
    TenantTable table;
    for (const ParsedTenant& tenant : tenants) {
      const std::string path = JsonPathAppend("/tenants", tenant.name.value());
      CheckTenantName(path, tenant.name.value());
      Tenant checked{.name = tenant.name};
      if (InRange(path + "/priority", tenant.priority, kMaxPriority)) {
        checked.priority = Priority(static_cast<uint64_t>(*tenant.priority));
      }
      if (InRange(path + "/rate_per_second", tenant.rate_per_second, kMaxQuota)) {
        checked.quota.rate_per_second = *tenant.rate_per_second;
      }
      if (InRange(path + "/burst", tenant.burst, kMaxQuota)) {
        checked.quota.burst = *tenant.burst;
      }
      table.AddTenant(std::move(checked));
      for (size_t position = 0; position < tenant.api_keys.size(); ++position) {
        CheckKey(JsonPathAppend(path + "/api_keys", position), tenant.api_keys[position], table);
      }
    }
    return table;
  }

 private:
  void Report(std::string path, std::string message) {
    problems_.push_back({std::move(path), std::move(message)});
  }

  void CheckTenantName(const std::string& path, const std::string& name) {
    const bool visible =
        std::all_of(name.begin(), name.end(), [](char c) { return c > ' ' && c < '\x7f'; });
    if (name.empty() || name.size() > kMaxNameBytes || !visible) {
      Report(path, "name " + Quoted(name) + " must be 1 to 64 visible ASCII characters");
    }
  }

  void CheckKey(const std::string& path, const std::string& key, TenantTable& table) {
    if (key.empty() || key.size() > kMaxKeyBytes) {
      Report(path, "an API key must have 1 to 512 bytes");
      return;
    }
    const Tenant& added_last = table.tenants().back();
    const Tenant* owner = table.AddKey(key);
    if (owner != nullptr && owner->name != added_last.name) {
      Report(path, "tenants " + Quoted(owner->name.value()) + " and " +
                       Quoted(added_last.name.value()) + " share an API key");
    }
  }

  template <class Number>
  bool InRange(const std::string& path, const std::optional<Number>& number, Number maximum) {
    if (number && (*number < 0 || *number > maximum)) {
      Report(path, "must be from 0 to " + std::to_string(static_cast<int64_t>(maximum)));
      return false;
    }
    return number.has_value();
  }

  std::vector<Problem>& problems_;
};

}  // namespace

std::span<const NumericField<ServicePolicy>> ServicePolicyFields() { return kServicePolicyFields; }
std::span<const NumericField<RoutePolicy>> RoutePolicyFields() { return kRoutePolicyFields; }
std::span<const NumericField<CallerLimits>> CallerLimitFields() { return kCallerLimitFields; }

CheckedConfiguration CheckValues(const ParsedConfiguration& parsed,
                                 std::vector<Problem>& problems) {
  CheckedConfiguration checked{.preset_in_force = parsed.preset_in_force,
                               .presets_text = parsed.presets_text,
                               .callers_text = parsed.callers_text,
                               .revision = parsed.revision,
                               .tenants_text = parsed.tenants_text,
                               .rollouts = parsed.rollouts};
  if (!parsed.tenants_text.empty()) {
    checked.tenants =
        std::make_shared<const TenantTable>(TenantChecker(problems).Run(parsed.tenants));
  }
  ApplyNumericFields<CallerLimits>("/callers", kCallerLimitFields, parsed.caller_numeric_fields,
                                   checked.callers, problems);
  if (checked.revision && checked.revision->size() > kMaxRevisionBytes) {
    problems.push_back({"/revision", "must have at most 64 bytes"});
  }
  for (const ParsedPreset& preset : parsed.presets) {
    checked.presets.push_back(PresetChecker(preset, problems).Run());
  }
  if (checked.preset_in_force && checked.FindPreset(*checked.preset_in_force) == nullptr) {
    problems.push_back({"/preset_in_force", "the configuration has no preset " +
                                                Quoted(checked.preset_in_force->value())});
  }
  return checked;
}

}  // namespace endivecleat
