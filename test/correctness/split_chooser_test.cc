// Tests of SplitChooser. They guard against shares that are far from their weights after a few
// hundred requests, and against daemons that all send their first requests to the same service.
#include "split_chooser.h"

#include <CppUTest/TestHarness.h>

#include <map>

using namespace endivecleat;  // NOLINT(google-build-using-namespace)

namespace {

CompiledRoute Split(uint64_t first, uint64_t second) {
  CompiledRoute route;
  route.name = RouteName("r");
  route.shares = {{ServiceName("a"), first}, {ServiceName("b"), second}};
  return route;
}

}  // namespace

TEST_GROUP(SplitChooserWeights){};

TEST(SplitChooserWeights, HoldAfterAHundredRequestsOfOneDaemon) {
  SplitChooser chooser(3);
  std::map<ServiceName, int> counts;
  for (int request = 0; request < 100; ++request) {
    ++counts[chooser.Choose(Split(90, 10))];
  }
  CHECK(counts[ServiceName("b")] >= 8 && counts[ServiceName("b")] <= 12);
}

TEST(SplitChooserWeights, HoldOverTheFirstRequestsOfManyDaemons) {
  int second = 0;
  for (uint64_t daemon = 1; daemon <= 200; ++daemon) {
    SplitChooser chooser(daemon);
    second += chooser.Choose(Split(70, 30)) == ServiceName("b") ? 1 : 0;
  }
  CHECK(second > 40 && second < 80);
}

TEST(SplitChooserWeights, SendNothingElsewhereOnARouteWithOneService) {
  CompiledRoute route;
  route.shares = {{ServiceName("a"), 1}};
  SplitChooser chooser(1);
  for (int request = 0; request < 10; ++request) {
    CHECK(chooser.Choose(route) == ServiceName("a"));
  }
}
