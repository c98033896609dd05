// Tests of ConcurrencyLimit and ParseLoadField. They guard against a limit that stays down after a
// slow spell, falls to nothing or exceeds the slots, that reacts to an outlier or to a run of short
// requests, and against a target that takes more requests at a time than it handles well.
#include "concurrency_limit.h"

#include <CppUTest/TestHarness.h>

#include <cmath>
#include <functional>
#include <map>
#include <set>

#include "admission.h"
#include "seeded_random.h"

using namespace endivecleat;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const TimePoint kStart = TimePoint{} + seconds(100);
constexpr size_t kSlots = 8;
constexpr Duration kShort = milliseconds(200);
constexpr Duration kLong = milliseconds(1000);

}  // namespace

TEST_GROUP(LoadFieldParsing){};

TEST(LoadFieldParsing, ReadsThreeOrFourFigures) {
  CHECK((ParseLoadField("3,0,9") == LoadField{3, 0, 9}));
  CHECK((ParseLoadField("3, 1, 9, 250") == LoadField{3, 1, 9, 250}));
  CHECK((ParseLoadField("3,1,9,250,7") == LoadField{3, 1, 9, 250}));
  for (const char* text : {"", "3", "3,0", "3,0,0", "a,0,9", "3,0,9x", "-1,0,9", "3,,9", "3,0,9,x",
                           "99999999999999999999,0,9"}) {
    CHECK_FALSE(ParseLoadField(text).has_value());
  }
}

/// One target whose service time depends on the requests that run at the same time, in virtual
/// time. Work is shared equally, as on a processor. Requests wait at Admission as long as
/// necessary.
TEST_GROUP(ConcurrencyLimitOfATarget) {
  using Slowdown = std::function<double(size_t running)>;
  struct Work {
    double left_ms;
    TimePoint admitted;
    bool is_long;
  };
  Admission admission{ServicePolicy{.slots = SlotCount(kSlots),
                                    .queue_length = QueueLength(30),
                                    .queue_wait = seconds(60),
                                    .warm_up = Duration{}}};
  SeededRandom random{21};
  std::map<RequestNumber, Work> running;
  std::set<RequestNumber> waiting_long;
  TimePoint now = kStart;
  uint64_t number = 0;
  int finished = 0;
  size_t lowest = kSlots;
  size_t highest = 0;
  int64_t long_percent = 0;
  std::string load_field;

  void setup() override {
    admission.SetAdaptiveLimit(true);
    admission.Open(kStart);
  }

  void Decide(const std::vector<AdmissionDecision>& decisions) {
    for (const AdmissionDecision& decision : decisions) {
      const bool is_long = waiting_long.erase(decision.number) > 0;
      if (!decision.refusal_code) {
        const double mean = is_long ? 250 : 50;
        running[decision.number] = {mean / 2 + static_cast<double>(random.Below(100)) / 100 * mean,
                                    now, is_long};
      }
    }
  }

  /// Requests at `per_second`; returns the answers per second.
  double Run(Duration length, double per_second, const Slowdown& slowdown) {
    lowest = kSlots;
    highest = 0;
    finished = 0;
    for (const TimePoint end = now + length; now < end; now += milliseconds(1)) {
      const double done_ms = 1 / slowdown(running.size());
      std::vector<RequestNumber> ended;
      for (auto& [id, work] : running) {
        work.left_ms -= done_ms;
        if (work.left_ms <= 0) {
          ended.push_back(id);
        }
      }
      for (const RequestNumber id : ended) {
        admission.Answered(now, id, false);
        if (const auto load = ParseLoadField(load_field)) {
          admission.Reported(now, *load);
        }
        running.erase(id);
        ++finished;
        Decide(admission.Finish(now, id));
      }
      if (static_cast<double>(random.Below(1'000'000)) < per_second * 1000) {
        const RequestNumber id(++number);
        const bool is_long = random.Chance(static_cast<uint64_t>(long_percent));
        if (is_long) {
          waiting_long.insert(id);
        }
        Decide(admission.Submit(now, {.number = id, .objective = is_long ? kLong : kShort}));
      }
      lowest = std::min(lowest, admission.slots(now));
      highest = std::max(highest, admission.slots(now));
    }
    return finished / std::chrono::duration<double>(length).count();
  }

  /// A processor that runs `cores` requests at full speed.
  static Slowdown Cores(double cores, double pace = 1) {
    return [=](size_t count) { return pace * std::max(1.0, static_cast<double>(count) / cores); };
  }
};

TEST(ConcurrencyLimitOfATarget, StartsWithAllSlotsAndKeepsThemWhereTheyAreHandledWell) {
  LONGS_EQUAL(kSlots, admission.slots(now));
  const double served = Run(seconds(20), 300, Cores(kSlots));
  LONGS_EQUAL(kSlots, highest);
  CHECK(lowest >= kSlots - 2);
  CHECK(served > 150);  // of 160
}

// 200 and 250 ms objectives with requests of 50 and 250 ms: a run of short ones among long ones.
TEST(ConcurrencyLimitOfATarget, TellsRequestsOfUnequalSizeApart) {
  long_percent = 40;
  Run(seconds(20), 100, Cores(kSlots));
  CHECK(lowest >= kSlots - 2);
  CHECK(admission.ServiceTime(kShort) < milliseconds(75));
  CHECK(admission.ServiceTime(kLong) > milliseconds(170));
  long_percent = 0;
  Run(seconds(2), 200, Cores(kSlots));
  CHECK(lowest >= kSlots - 2);
  CHECK(admission.ServiceTime(kLong) > milliseconds(170));
}

TEST(ConcurrencyLimitOfATarget, FallsWhereMoreSlotsOnlyMakeAllRequestsSlower) {
  Run(seconds(5), 15, Cores(2));
  const double served = Run(seconds(20), 100, Cores(2));
  CHECK(served > 36);  // of 40
  Run(seconds(10), 100, Cores(2));
  CHECK(lowest >= 1);
  CHECK(highest <= 6);
}

// Fewer slots would make a machine slower still that takes long at any load.
TEST(ConcurrencyLimitOfATarget, KeepsTheSlotsOfAMachineThatIsSlowAtAnyLoad) {
  Run(seconds(10), 60, Cores(kSlots, 2));
  CHECK(lowest >= kSlots - 2);
}

TEST(ConcurrencyLimitOfATarget, RecoversAfterASlowSpell) {
  Run(seconds(5), 100, Cores(kSlots));
  Run(seconds(8), 100, Cores(1));
  CHECK(lowest >= 1);
  CHECK(admission.slots(now) <= 4);
  Run(seconds(3), 100, Cores(kSlots));
  CHECK(admission.slots(now) >= kSlots - 2);
  Run(seconds(10), 100, Cores(kSlots));
  CHECK(lowest >= kSlots - 2);
}

TEST(ConcurrencyLimitOfATarget, RecoversWithoutAnyRequest) {
  Run(seconds(5), 15, Cores(1));
  Run(seconds(8), 100, Cores(1));
  CHECK(admission.slots(now) <= 4);
  now += seconds(3);
  LONGS_EQUAL(kSlots, admission.slots(now));
}

TEST(ConcurrencyLimitOfATarget, ServiceTimeFollowsAChangeWithinASecond) {
  Run(seconds(5), 60, Cores(kSlots));
  CHECK(admission.ServiceTime(kShort) < milliseconds(75));
  Run(seconds(1), 60, Cores(kSlots, 3));
  CHECK(admission.ServiceTime(kShort) > milliseconds(110));
  Run(seconds(1), 60, Cores(kSlots));
  CHECK(admission.ServiceTime(kShort) < milliseconds(80));
}

TEST(ConcurrencyLimitOfATarget, ServiceTimeFollowsTheStatedPaceAtOnce) {
  load_field = "1,0,8,100";
  Run(seconds(5), 60, Cores(kSlots));
  for (int report = 0; report < 8; ++report) {
    admission.Reported(now, {1, 0, kSlots, 300});
  }
  CHECK(admission.ServiceTime(kShort) > milliseconds(120));
}

TEST(ConcurrencyLimitOfATarget, AnOutlierMovesItLittle) {
  Run(seconds(5), 60, Cores(kSlots));
  const RequestNumber outlier(1'000'000);
  const Duration before = admission.ServiceTime(kShort);
  Decide(admission.Submit(now, {.number = outlier, .objective = kShort}));
  running.erase(outlier);
  now += seconds(2);
  admission.Answered(now, outlier, false);
  Decide(admission.Finish(now, outlier));
  CHECK(admission.slots(now) >= kSlots - 1);
  CHECK(admission.ServiceTime(kShort) < before + milliseconds(260));  // an eighth of 2 s
  Run(seconds(2), 60, Cores(kSlots));
  CHECK(lowest >= kSlots - 2);
}

TEST(ConcurrencyLimitOfATarget, StaysBetweenOneSlotAndAllWhateverIsReported) {
  for (int step = 0; step < 500; ++step) {
    now += milliseconds(100);
    admission.Reported(now, {0, 50, 1, 100000});
    CHECK(admission.slots(now) >= 1);
  }
  LONGS_EQUAL(1, admission.slots(now));
  for (int step = 0; step < 50; ++step) {
    now += milliseconds(100);
    admission.Reported(now, {0, 0, 1000, 1});
  }
  LONGS_EQUAL(kSlots, admission.slots(now));
}

TEST(ConcurrencyLimitOfATarget, FallsWhereTheTargetItselfRefuses) {
  Decide(admission.Submit(now, {.number = RequestNumber(1), .objective = kShort}));
  now += seconds(1);
  admission.Answered(now, RequestNumber(1), true);
  CHECK(admission.slots(now) < kSlots);
  CHECK(admission.ServiceTime(kShort) == Duration{});  // a refusal tells no service time
}

TEST(ConcurrencyLimitOfATarget, StartsAnewWithTheTarget) {
  Run(seconds(8), 100, Cores(1));
  admission.Close();
  admission.Open(now);
  LONGS_EQUAL(kSlots, admission.slots(now));
}

TEST(ConcurrencyLimitOfATarget, IsOffWithoutTheSetting) {
  admission.SetAdaptiveLimit(false);
  Run(seconds(8), 100, Cores(1));
  LONGS_EQUAL(kSlots, lowest);
  CHECK(admission.ServiceTime(kShort) == Duration{});
}
