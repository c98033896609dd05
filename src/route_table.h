// The routes of the preset in force, indexed by host and path prefix.
#ifndef ENDIVECLEAT_ROUTE_TABLE_H_
#define ENDIVECLEAT_ROUTE_TABLE_H_

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "service_policy.h"
#include "units.h"

namespace endivecleat {

/// One part of a route's requests.
struct RouteShare {
  ServiceName service;
  uint64_t weight = 1;  // of the sum over the parts

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
  RoutePolicy policy;
};

/// Lower case, without the port: "Portal.Example:8080" becomes "portal.example".
std::string NormalizedHost(std::string_view host);

/// Finds the route of a request. Routes with exactly the host are tried before routes without a
/// host; among them the longest matching prefix wins. A prefix matches whole path segments: "/bins"
/// matches "/bins" and "/bins/7" and not "/binsets"; "/bins/" matches "/bins/7" and not "/bins". A
/// route with other methods does not match.
class RouteTable {
 public:
  RouteTable() = default;
  explicit RouteTable(std::vector<CompiledRoute> routes);

  /// `host` as in the Host header; `path` without the query. Null when no route matches.
  const CompiledRoute* Find(std::string_view method, std::string_view host,
                            std::string_view path) const;
  const std::vector<CompiledRoute>& routes() const { return routes_; }

 private:
  struct TextHash {
    using is_transparent = void;  // NOLINT(readability-identifier-naming): the standard's name
    size_t operator()(std::string_view text) const { return std::hash<std::string_view>()(text); }
  };
  template <class Value>
  using TextMap = std::unordered_map<std::string, Value, TextHash, std::equal_to<>>;

  struct HostRoutes {
    TextMap<std::vector<size_t>> by_prefix;  // positions in routes_
    size_t longest_prefix = 0;               // in bytes
  };

  const CompiledRoute* FindAt(const HostRoutes& host, std::string_view method,
                              std::string_view path) const;

  std::vector<CompiledRoute> routes_;
  TextMap<HostRoutes> hosts_;  // key "": routes without a host
};

}  // namespace endivecleat

#endif  // ENDIVECLEAT_ROUTE_TABLE_H_
