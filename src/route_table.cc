// Looks up ever shorter prefixes of the path in a hash table, so that the cost of a lookup depends
// on the depth of the path and not on the number of routes.
#include "route_table.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace endivecleat {
namespace {

bool AcceptsMethod(const CompiledRoute& route, std::string_view method) {
  return route.methods.empty() ||
         std::find(route.methods.begin(), route.methods.end(), method) != route.methods.end();
}

// Returns the next shorter prefix that ends at a segment boundary. Repeated calls turn "/a/b" into
// "/a/", "/a", "/" and "".
std::string_view ShorterPrefix(std::string_view prefix) {
  if (prefix.size() <= 1) {
    return {};
  }
  if (prefix.back() == '/') {
    return prefix.substr(0, prefix.size() - 1);
  }
  return prefix.substr(0, prefix.find_last_of('/') + 1);
}

}  // namespace

std::string NormalizedHost(std::string_view host) {
  const size_t colon = host.find_last_of(':');
  const size_t bracket = host.find_last_of(']');
  const bool has_port =
      colon != std::string_view::npos && (bracket == std::string_view::npos || bracket < colon);
  std::string result(host.substr(0, has_port ? colon : host.size()));
  std::transform(result.begin(), result.end(), result.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return result;
}

RouteTable::RouteTable(std::vector<CompiledRoute> routes) : routes_(std::move(routes)) {
  for (size_t position = 0; position < routes_.size(); ++position) {
    const CompiledRoute& route = routes_[position];
    HostRoutes& host = routes_by_host_[route.host];
    host.by_prefix[route.path_prefix].push_back(position);
    host.longest_prefix = std::max(host.longest_prefix, route.path_prefix.size());
  }
}

const CompiledRoute* RouteTable::FindRoute(std::string_view method, std::string_view host,
                                           std::string_view path) const {
  if (path.empty() || path.front() != '/') {
    return nullptr;
  }
  const std::string normalized = NormalizedHost(host);
  if (const auto exact = routes_by_host_.find(normalized); exact != routes_by_host_.end()) {
    if (const CompiledRoute* route = FindForHost(exact->second, method, path); route != nullptr) {
      return route;
    }
  }
  const auto any_host = routes_by_host_.find(std::string_view());
  return any_host == routes_by_host_.end() ? nullptr : FindForHost(any_host->second, method, path);
}

const CompiledRoute* RouteTable::FindForHost(const HostRoutes& host, std::string_view method,
                                             std::string_view path) const {
  for (std::string_view prefix = path; !prefix.empty(); prefix = ShorterPrefix(prefix)) {
    if (prefix.size() > host.longest_prefix) {
      continue;
    }
    const auto found = host.by_prefix.find(prefix);
    if (found == host.by_prefix.end()) {
      continue;
    }
    for (const size_t position : found->second) {
      if (AcceptsMethod(routes_[position], method)) {
        return &routes_[position];
      }
    }
  }
  return nullptr;
}

}  // namespace endivecleat
