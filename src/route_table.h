// The routes of the preset in force, indexed by host and path prefix. Part of
// CompiledConfiguration; daemons use it to select the route of each request.
#ifndef ENDIVECLEAT_ROUTE_TABLE_H_
#define ENDIVECLEAT_ROUTE_TABLE_H_

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "service_policy.h"
#include "units.h"

namespace endivecleat {

/// A service that receives a weighted share of a route's requests.
struct RouteShare {
  ServiceName service;
  uint64_t weight = 1;  // relative to the sum of the route's weights

  bool operator==(const RouteShare&) const = default;
};

struct CompiledRoute {
  RouteName name;
  std::string host;  // lower case without a port; empty: any host
  std::string path_prefix;
  std::vector<std::string> methods;  // empty: any method
  std::vector<RouteShare> shares;    // never empty; weights are positive
  bool idempotent = false;
  bool at_most_once = false;
  bool large_responses = false;  // only on idempotent routes
  bool large_requests = false;   // only on routes that are not idempotent
  bool open = false;             // needs no API key
  RoutePolicy policy;
};

/// Converts a Host header to lower case and removes the port: "Portal.Example:8080" becomes
/// "portal.example".
std::string NormalizedHost(std::string_view host);

/// Selects the route of a request. A route matches if it accepts the method and if its prefix
/// covers whole segments of the path: "/bins" matches "/bins" and "/bins/7", but not "/binsets";
/// "/bins/" matches "/bins/7", but not "/bins". Routes for exactly the request's host take
/// precedence over routes without a host; within each group the longest matching prefix wins.
class RouteTable {
 public:
  RouteTable() = default;
  explicit RouteTable(std::vector<CompiledRoute> routes);

  /// `host` is the value of the Host header; `path` excludes the query. Returns null if no route
  /// matches.
  const CompiledRoute* FindRoute(std::string_view method, std::string_view host,
                                 std::string_view path) const;
  const std::vector<CompiledRoute>& routes() const { return routes_; }

 private:
  struct StringHash {
    using is_transparent = void;  // NOLINT(readability-identifier-naming): required by std
    size_t operator()(std::string_view text) const { return std::hash<std::string_view>()(text); }
  };
  template <class Value>
  using StringMap = std::unordered_map<std::string, Value, StringHash, std::equal_to<>>;

  struct HostRoutes {
    StringMap<std::vector<size_t>> by_prefix;  // indexes of routes_
    size_t longest_prefix = 0;                 // in bytes
  };

  const CompiledRoute* FindForHost(const HostRoutes& host, std::string_view method,
                                   std::string_view path) const;

  std::vector<CompiledRoute> routes_;
  StringMap<HostRoutes> routes_by_host_;  // the key "" holds the routes without a host
};

}  // namespace endivecleat

#endif  // ENDIVECLEAT_ROUTE_TABLE_H_
