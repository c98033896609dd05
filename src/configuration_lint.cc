// One pass over the presets and one over the tenants.
#include "configuration_lint.h"

#include <algorithm>
#include <set>
#include <string>
#include <utility>

#include "json_document.h"

namespace endivecleat {
namespace {

// A request line repeats the prefix between a method and the protocol version.
constexpr size_t kRequestLineOverhead = sizeof "GET  HTTP/1.1\r\n" - 1;

int64_t Milliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

class Linter {
 public:
  explicit Linter(const CheckedConfiguration& checked) : checked_(checked) {}

  std::vector<Problem> Run() {
    for (const CheckedPreset& preset : checked_.presets) {
      LintPreset(preset);
    }
    LintCallers();
    if (checked_.tenants) {
      for (const Tenant& tenant : checked_.tenants->tenants()) {
        LintTenant(tenant);
      }
    }
    return std::move(findings_);
  }

 private:
  void Report(std::string path, std::string message) {
    findings_.push_back({std::move(path), std::move(message)});
  }

  void LintPreset(const CheckedPreset& preset) {
    const std::string path = JsonPathAppend("/presets", preset.name.value());
    std::set<ServiceName> used;
    for (size_t position = 0; position < preset.routes.size(); ++position) {
      const CompiledRoute& route = preset.routes[position];
      for (const RouteShare& share : route.shares) {
        used.insert(share.service);
      }
      LintRoute(JsonPathAppend(path + "/routes", position), route);
    }
    for (const CompiledService& service : preset.services) {
      const std::string service_path = JsonPathAppend(path + "/services", service.name.value());
      if (!used.contains(service.name)) {
        Report(service_path, "no route leads to this service");
      }
      LintService(service_path, service.policy);
    }
  }

  void LintRoute(const std::string& path, const CompiledRoute& route) {
    const RoutePolicy& policy = route.policy;
    if (policy.timeout > Duration{} && policy.objective > policy.timeout) {
      Report(path + "/objective_ms", "is " + std::to_string(Milliseconds(policy.objective)) +
                                         " ms, but no response is sent after timeout_ms (" +
                                         std::to_string(Milliseconds(policy.timeout)) + " ms)");
    }
    const uint64_t header_limit = checked_.callers.header_bytes.value();
    if (header_limit > 0 && route.path_prefix.size() + kRequestLineOverhead > header_limit) {
      Report(path + "/path_prefix",
             "can never match: a request for it exceeds the header_bytes of the callers (" +
                 std::to_string(header_limit) + ")");
    }
    if (route.open && !checked_.tenants) {
      Report(path + "/open", "has no effect, because the configuration has no tenants");
    }
    const bool body_never_sent =
        !route.methods.empty() &&
        std::all_of(route.methods.begin(), route.methods.end(),
                    [](const std::string& method) { return method == "GET" || method == "HEAD"; });
    if (route.large_requests && body_never_sent) {
      Report(path + "/large_requests", "has no effect, because no method of the route has a body");
    }
  }

  void LintService(const std::string& path, const ServicePolicy& policy) {
    if (policy.queue_wait >= policy.timeout) {
      Report(path + "/queue_wait_ms",
             "is not below timeout_ms: a request may spend all of its time in the queue");
    }
    const uint64_t caller_body = checked_.callers.body_bytes.value();
    if (caller_body > 0 && policy.body_limit.value() > caller_body) {
      Report(path + "/body_limit_bytes", "is above the body_bytes of the callers (" +
                                             std::to_string(caller_body) +
                                             "), so that it never takes effect");
    }
  }

  void LintCallers() {
    const CallerLimits& callers = checked_.callers;
    if (callers.header_timeout > Duration{} && callers.idle_timeout > Duration{} &&
        callers.header_timeout > callers.idle_timeout) {
      Report("/callers/header_timeout_ms",
             "is above idle_timeout_ms: a connection is closed before the time for a head is over");
    }
  }

  void LintTenant(const Tenant& tenant) {
    const std::string path = JsonPathAppend("/tenants", tenant.name.value());
    if (checked_.tenants->KeyCountOf(tenant) == 0) {
      Report(path + "/api_keys", "is empty: no request can belong to this tenant");
    }
    if (!tenant.quota.limited() && tenant.quota.burst > 0) {
      Report(path + "/burst", "has no effect without rate_per_second");
    }
    if (tenant.quota.limited() && tenant.quota.rate_per_second < 1 && tenant.quota.burst < 1) {
      Report(path + "/burst", "is below one request, as is rate_per_second: none is ever admitted");
    }
  }

  const CheckedConfiguration& checked_;
  std::vector<Problem> findings_;
};

}  // namespace

std::vector<Problem> LintConfiguration(const CheckedConfiguration& checked) {
  return Linter(checked).Run();
}

}  // namespace endivecleat
