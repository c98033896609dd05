// Guards against a request that is not routed by the longest matching prefix for its host, and
// against a pattern that assigns a target to a service by mistake.
#include "route_table.h"

#include <CppUTest/TestHarness.h>

#include "target_pattern.h"

using endivecleat::CompiledRoute;
using endivecleat::MatchesPattern;
using endivecleat::RouteName;
using endivecleat::RouteTable;

namespace {

CompiledRoute Route(const char* name, const char* host, const char* prefix, const char* method) {
  return {.name = RouteName(name), .host = host, .path_prefix = prefix, .methods = {method}};
}

}  // namespace

TEST_GROUP(RouteTableWithOverlaps) {
  RouteTable table{{Route("root", "", "/", "GET"), Route("bins", "", "/bins", "GET"),
                    Route("deep", "", "/bins/today/all", "GET"),
                    Route("post", "", "/bins/today", "POST"),
                    Route("host", "portal.example", "/bins", "GET")}};

  void ExpectRoute(const char* name, const char* method, const char* host, const char* path) {
    const CompiledRoute* route = table.FindRoute(method, host, path);
    STRCMP_EQUAL(name, route == nullptr ? "" : route->name.value().c_str());
  }
};

TEST(RouteTableWithOverlaps, PathWithSeveralMatchesTakesLongestSegmentPrefix) {
  ExpectRoute("bins", "GET", "", "/bins");
  ExpectRoute("bins", "GET", "", "/bins/7");
  ExpectRoute("bins", "GET", "", "/bins/");
  ExpectRoute("root", "GET", "", "/binsets");
  ExpectRoute("deep", "GET", "", "/bins/today/all/x");
  ExpectRoute("", "GET", "", "bins");
  ExpectRoute("", "GET", "", "");
}

TEST(RouteTableWithOverlaps, RouteWithOtherMethodIsSkipped) {
  ExpectRoute("bins", "GET", "", "/bins/today");
  ExpectRoute("post", "POST", "", "/bins/today");
  ExpectRoute("", "POST", "", "/bins");
}

TEST(RouteTableWithOverlaps, RouteForExactHostTakesPrecedence) {
  ExpectRoute("host", "GET", "Portal.Example:8080", "/bins/today/all");
  ExpectRoute("root", "GET", "portal.example", "/other");
  ExpectRoute("deep", "GET", "other.example", "/bins/today/all");
}

TEST_GROUP(TargetPattern){};

TEST(TargetPattern, PartOfTextDoesNotMatch) {
  CHECK(MatchesPattern("portal-ayto-*", "portal-ayto-7"));
  CHECK(MatchesPattern("portal-ayto-*", "portal-ayto-"));
  CHECK(MatchesPattern("*-a?-*b", "x-a1-yb-b"));
  CHECK(MatchesPattern("*", ""));
  CHECK(MatchesPattern("", ""));
  CHECK_FALSE(MatchesPattern("portal-ayto-*", "xportal-ayto-7"));
  CHECK_FALSE(MatchesPattern("portal-?", "portal-"));
  CHECK_FALSE(MatchesPattern("a*b", "ac"));
  CHECK_FALSE(MatchesPattern("", "a"));
}

TEST(TargetPattern, WithManyStarsTakesPolynomialTime) {
  std::string pattern;
  for (int star = 0; star < 40; ++star) {
    pattern += "*a";
  }
  CHECK_FALSE(MatchesPattern(pattern + "b", std::string(20'000, 'a')));
}

TEST_GROUP(RouteTablePrefixWithSlash){};

// Guards against a prefix with a trailing slash that also matches the path without the slash, or
// that takes precedence over a longer prefix.
TEST(RouteTablePrefixWithSlash, MatchesOnlyPathsBelowThePrefix) {
  CompiledRoute below;
  below.name = RouteName("below");
  below.path_prefix = "/a/";
  CompiledRoute deeper = below;
  deeper.name = RouteName("deeper");
  deeper.path_prefix = "/a/b/";
  const RouteTable table({below, deeper});
  POINTERS_EQUAL(nullptr, table.FindRoute("GET", "any", "/a"));
  POINTERS_EQUAL(nullptr, table.FindRoute("GET", "any", "/ab/c"));
  CHECK(table.FindRoute("PURGE", "any", "/a/")->name == below.name);
  CHECK(table.FindRoute("GET", "any", "/a/x")->name == below.name);
  CHECK(table.FindRoute("GET", "any", "/a/b")->name == below.name);
  CHECK(table.FindRoute("GET", "any", "/a/b/c/d")->name == deeper.name);
}
