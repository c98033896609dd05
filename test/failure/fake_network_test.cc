// Guards against a FakeNetwork that does not inject the requested fault: tests that rely on a cut
// or a duplicate would then pass without testing anything.
#include "fake_network.h"

#include <CppUTest/TestHarness.h>

using endivecleat::Duration;
using endivecleat::InstanceId;
using endivecleat::TimePoint;
using endivecleat::test::FakeNetwork;
using endivecleat::test::NetworkFaults;

namespace {
const InstanceId kOne("one");
const InstanceId kTwo("two");
const TimePoint kStart{};
const TimePoint kLater = kStart + std::chrono::seconds(1);
}  // namespace

TEST_GROUP(FakeNetworkCut){};

TEST(FakeNetworkCut, DropsAMessageInTransit) {
  FakeNetwork<int> network(1, NetworkFaults{});
  network.Send(kStart, kOne, kTwo, 7);
  network.CutOneWay(kOne, kTwo);
  CHECK(network.TakeDue(kLater).empty());
}

TEST(FakeNetworkCut, LeavesTheOtherDirectionOpen) {
  FakeNetwork<int> network(1, NetworkFaults{});
  network.CutOneWay(kOne, kTwo);
  network.Send(kStart, kTwo, kOne, 8);
  LONGS_EQUAL(1, network.TakeDue(kLater).size());
}

TEST_GROUP(FakeNetworkDuplicating){};

TEST(FakeNetworkDuplicating, DeliversAMessageTwice) {
  FakeNetwork<int> network(1, NetworkFaults{.duplicate_percent = 100});
  network.Send(kStart, kOne, kTwo, 9);
  LONGS_EQUAL(2, network.TakeDue(kLater).size());
}
