// Tests of WaitReports and Balancer::HasRoom. They guard against requests that cross a link
// although no target can serve them in time, and against refusing one that has a chance.
#include "wait_reports.h"

#include <CppUTest/TestHarness.h>

#include "balancer.h"

using namespace endivecleat;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const TimePoint kStart = TimePoint{} + seconds(100);
const TenantName kTenant("north");
constexpr Duration kWait = milliseconds(300);

InstanceId Instance(int number) { return InstanceId("i" + std::to_string(number)); }

}  // namespace

TEST_GROUP(RoomForARequest) {
  Balancer balancer{3};
  TimePoint now = kStart;

  /// Five targets of four slots, of which the last has `free` free ones by gossip.
  void Gossip(uint64_t free, Locality locality = Locality::kOwnDataCentre) {
    std::vector<Candidate> candidates;
    for (int number = 0; number < 5; ++number) {
      const uint64_t busy = number == 4 ? 4 - free : 4;
      candidates.push_back({{Instance(number), {}},
                            TargetId(),
                            number == 4 ? locality : Locality::kOwnDataCentre,
                            {busy, 4}});
    }
    balancer.SetCandidates(now, candidates, {"*"});
  }
  void Refuse(int count, Priority priority = Priority(1), Duration wait = kWait) {
    for (int number = 0; number < count; ++number) {
      balancer.wait_reports().Refused(now, Instance(number), priority, kTenant, wait);
    }
  }
  bool HasRoom(Priority priority = Priority(1), const TenantName& tenant = kTenant) {
    return balancer.HasRoom(now, priority, tenant);
  }
};

TEST(RoomForARequest, IsNoneWhenAllAreFullAndWaitsAreTooLong) {
  Gossip(0);
  CHECK(HasRoom());
  Refuse(2);
  CHECK(HasRoom());  // two reports say too little
  Refuse(3);
  CHECK_FALSE(HasRoom());
}

TEST(RoomForARequest, IsWhereATargetHasAFreeSlotOrWouldTakeIt) {
  Gossip(1);
  Refuse(4);
  CHECK(HasRoom());
  Gossip(0);
  CHECK_FALSE(HasRoom());
  balancer.wait_reports().Refused(now, Instance(4), Priority(1), kTenant, Duration{});
  CHECK(HasRoom());
}

TEST(RoomForARequest, IsAssumedInAnotherRegionThatIsNotKnownToBeFull) {
  Gossip(0, Locality::kOtherRegion);
  Refuse(4);
  CHECK(HasRoom());
  for (int offer = 0; offer < 100; ++offer) {
    balancer.Sent(Instance(4));
    balancer.Finished(now, Instance(4), AttemptResult::kBusy, TargetLoad{4, 4}, milliseconds(60),
                      Duration{}, true);
  }
  CHECK_FALSE(HasRoom());
}

// A more urgent request and one of another tenant have a queue of their own.
TEST(RoomForARequest, IsJudgedByReportsToEquallyUrgentRequestsOfTheTenant) {
  Gossip(0);
  Refuse(5);
  CHECK_FALSE(HasRoom());
  CHECK_FALSE(HasRoom(Priority(2)));
  CHECK_FALSE(HasRoom(Priority(2), TenantName("south")));
  CHECK(HasRoom(Priority(0)));
  CHECK(HasRoom(Priority(1), TenantName("south")));
}

// A target that takes deferrable work takes urgent work as well.
TEST(RoomForARequest, IsWhereALessUrgentRequestWasTaken) {
  Gossip(0);
  Refuse(5);
  balancer.wait_reports().Taken(now, Instance(2), Priority(2), TenantName("south"));
  CHECK(HasRoom());
}

TEST(RoomForARequest, ReturnsWithTheTimeAndWithARequestThatIsTaken) {
  Gossip(0);
  Refuse(5);
  now += milliseconds(299);
  CHECK_FALSE(HasRoom());
  now += milliseconds(1);
  CHECK(HasRoom());
  Refuse(5, Priority(1), seconds(3));
  now += milliseconds(499);
  CHECK_FALSE(HasRoom());
  now += milliseconds(1);
  CHECK(HasRoom());  // requests are sent again to see
  Refuse(3);
  CHECK_FALSE(HasRoom());
  balancer.wait_reports().Taken(now, Instance(0), Priority(1), kTenant);
  CHECK(HasRoom());
}

TEST(RoomForARequest, ShortestTimeIsThatOfTheNewestReports) {
  Gossip(0);
  Refuse(2);
  CHECK_FALSE(balancer.wait_reports().Shortest(now, Priority(1), kTenant).has_value());
  Refuse(3);
  balancer.wait_reports().Refused(now, Instance(1), Priority(1), kTenant, milliseconds(200));
  now += milliseconds(100);
  CHECK(balancer.wait_reports().Shortest(now, Priority(1), kTenant) == milliseconds(100));
}
