// Runs the controller of a rollout against simulated targets, reports and delays of distribution.
// Guards against a good version that is reverted or not complete in time, also when its targets
// start cold, late and one after the other, and against a bad version that gets more requests than
// its bounds allow.
#include "rollout_controller.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "rollout_split.h"
#include "seeded_random.h"
#include "test_seed.h"

using namespace endivecleat;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;

namespace {

struct Response {
  double slowdown = 1;
  bool failed = false;
};

/// How a version answers: `age_s` is the time since the order, `load` the requests per second of
/// its target relative to an old target.
using Behaviour =
    std::function<Response(SeededRandom&, const std::string& route, double age_s, double load)>;

Response Good(SeededRandom& random, const std::string&, double, double) {
  return {1, random.Below(1000) < 3};
}

struct Service {
  size_t old_targets = 12;
  size_t new_targets = 12;
  double rate = 172;
  double work_ms = 71;
  int duration_s = 12;
  double first_target_s = 1.5;
  double between_targets_s = 0.15;
};

struct Result {
  std::optional<RolloutState> state;  // decided before the deadline
  double decided_s = 0;
  uint64_t requests = 0;
  uint64_t of_new = 0;
  uint64_t late = 0;  // to the new version later than 5 s after its 50th bad response
  size_t steps = 0;
  std::string reason;          // of the last step
  bool emptied_early = false;  // complete while the new targets had too few slots

  bool WithinBounds() const {
    return static_cast<double>(of_new) <= 0.1 * static_cast<double>(requests) + 50 && late == 0;
  }
};

class Simulation {
 public:
  Simulation(const Service& service, Behaviour behaviour, uint64_t seed)
      : service_(service), behaviour_(std::move(behaviour)), random_(seed) {
    rollout_.version = TargetVersion("v2");
    rollout_.share = RolloutController::kFirstShare;
    rollout_.start = WallTime(1'000'000);
    rollout_.deadline = WallTime(1'000'000 + 1000 * static_cast<uint64_t>(service.duration_s));
    controller_ = std::make_unique<RolloutController>(rollout_);
    controller_->Applied(At(0), rollout_);
    for (size_t index = 0; index < service.old_targets + service.new_targets; ++index) {
      Target target;
      target.is_new = index >= service.old_targets;
      target.instance = InstanceId("i" + std::to_string(1000 + index));
      const size_t number = index - service.old_targets;
      target.appears_ms = target.is_new
                              ? static_cast<int64_t>(
                                    1000 * (service.first_target_s + static_cast<double>(number) *
                                                                         service.between_targets_s))
                              : -100'000;
      target.speed = 0.5 + static_cast<double>(random_.Below(1001)) / 1000;
      target.evidence = std::make_unique<RolloutEvidence>(target.instance.value());
      if (!target.is_new) {
        // Daemons update it all the time, so that it knows since when the target runs.
        target.evidence->Update(At(-50'000), ServiceName("s"), nullptr, TargetId("t"),
                                TargetVersion("v1"));
      }
      target.report_phase = static_cast<int64_t>(random_.Below(500));
      targets_.push_back(std::move(target));
    }
    in_force_ = rollout_;
    in_force_ms_ = static_cast<int64_t>(random_.Below(1500));
  }

  /// The leader is replaced at this time, for which no step is taken.
  void ReplaceLeader(int64_t at_ms, int64_t without_ms) {
    leaderless_from_ = at_ms;
    leaderless_until_ = at_ms + without_ms;
  }

  Result Run() {
    const int64_t end = int64_t{1000} * service_.duration_s;
    for (now_ = 0; now_ < end; ++now_) {
      SendRequests();
      if (now_ % 10 == 0) {
        Report();
      }
      if (now_ % 100 == 0 && !(now_ >= leaderless_from_ && now_ < leaderless_until_)) {
        Decide();
      }
      if (now_ == leaderless_until_) {
        controller_ = std::make_unique<RolloutController>(rollout_);
        controller_->Applied(At(now_), rollout_);
      }
    }
    return result_;
  }

 private:
  struct Target {
    bool is_new = false;
    InstanceId instance;
    int64_t appears_ms = 0;
    double speed = 1;
    std::unique_ptr<RolloutEvidence> evidence;
    int64_t report_phase = 0;
    double recent = 0;  // requests of about the last second
  };

  static TimePoint At(int64_t ms) { return TimePoint{} + milliseconds(100'000 + ms); }
  WallTime Wall() const { return WallTime(1'000'000 + static_cast<uint64_t>(now_)); }
  bool IsLive(const Target& target) const { return target.appears_ms <= now_; }

  // A step reaches the daemons at one time; before that, all apply the share before it.
  const Rollout& Applied() {
    if (now_ >= in_force_ms_ && !(in_force_ == rollout_)) {
      in_force_ = rollout_;
    }
    return in_force_;
  }

  void SendRequests() {
    const double each_ms = service_.rate / 1000;
    for (pending_ += each_ms; pending_ >= 1; pending_ -= 1) {
      SendRequest();
    }
    for (Target& target : targets_) {
      target.recent *= 0.999;
    }
  }

  void SendRequest() {
    const Rollout& applied = Applied();
    std::vector<VersionedTarget> live;
    for (const Target& target : targets_) {
      if (IsLive(target)) {
        live.push_back({target.instance, TargetVersion(target.is_new ? "v2" : "v1"),
                        WallTime(static_cast<uint64_t>(200'000 + target.appears_ms))});
      }
    }
    RolloutSplit split;
    split.Update(&applied, Wall(), live);
    const bool to_new = split.ChooseNew(random_.Next());
    const std::vector<InstanceId>& excluded = split.Excluded(to_new);
    std::vector<Target*> usable;
    for (Target& target : targets_) {
      if (IsLive(target) &&
          std::find(excluded.begin(), excluded.end(), target.instance) == excluded.end()) {
        usable.push_back(&target);
      }
    }
    if (usable.empty()) {
      return;
    }
    Target& target = *usable.at(random_.Below(usable.size()));
    ++result_.requests;
    target.recent += 1;
    const std::string route = random_.Below(10) == 0 ? "rare" : "usual";
    const double normal = 0.7 + 0.6 * static_cast<double>(random_.Below(1000)) / 1000;
    double taken_ms = service_.work_ms * target.speed * normal;
    Response response = Good(random_, route, 0, 0);
    if (target.is_new) {
      ++result_.of_new;
      const double usual = service_.rate / static_cast<double>(service_.old_targets);
      response =
          behaviour_(random_, route, static_cast<double>(now_) / 1000, target.recent / usual);
      taken_ms *= now_ - target.appears_ms < 3000 ? 2 : 1;
      bad_ += response.failed || response.slowdown > 2 ? 1 : 0;
      if (bad_ == 50 && !fiftieth_) {
        fiftieth_ = now_;
      }
      result_.late += fiftieth_ && now_ > *fiftieth_ + 5000 ? 1 : 0;
    }
    UpdateEvidence(target);
    target.evidence->AddResponse(
        At(now_), route,
        std::chrono::microseconds(static_cast<int64_t>(1000 * taken_ms * response.slowdown)),
        response.failed);
  }

  void UpdateEvidence(Target& target) {
    target.evidence->Update(At(now_), ServiceName("s"), &in_force_, TargetId("t"),
                            TargetVersion(target.is_new ? "v2" : "v1"));
  }

  void Report() {
    for (Target& target : targets_) {
      if (!IsLive(target) || now_ % 500 != target.report_phase / 10 * 10) {
        continue;
      }
      UpdateEvidence(target);
      if (const auto report = target.evidence->TakeReport(At(now_));
          report && random_.Below(20) > 0) {
        const auto decoded = DecodeRolloutReport(EncodeRolloutReport(*report));
        CHECK(decoded.has_value());
        controller_->Add(At(now_), *decoded);
      }
    }
  }

  void Decide() {
    RolloutFleet fleet;
    fleet.distributed = now_ >= in_force_ms_;
    for (const Target& target : targets_) {
      if (!IsLive(target)) {
        continue;
      }
      if (!target.is_new) {
        fleet.old_slots += 4;
      } else {
        ++fleet.new_targets;
        (now_ - target.appears_ms >= 3000 ? fleet.warm_new_slots : fleet.cold_new_slots) += 4;
      }
    }
    const auto step = controller_->Decide(At(now_), Wall(), fleet);
    if (!step) {
      return;
    }
    ++result_.steps;
    result_.reason = step->reason;
    rollout_.share = step->share;
    rollout_.state = step->state;
    controller_->Applied(At(now_), rollout_);
    in_force_ms_ =
        now_ + 200 + static_cast<int64_t>(random_.Below(random_.Below(4) == 0 ? 2300 : 500));
    if (step->state != RolloutState::kServing) {
      result_.state = step->state;
      result_.decided_s = static_cast<double>(now_) / 1000;
      result_.emptied_early = step->state == RolloutState::kComplete &&
                              2 * (fleet.warm_new_slots + fleet.cold_new_slots) < fleet.old_slots;
    }
  }

  Service service_;
  Behaviour behaviour_;
  SeededRandom random_;
  Rollout rollout_;
  Rollout in_force_;
  int64_t in_force_ms_ = 0;
  std::unique_ptr<RolloutController> controller_;
  std::vector<Target> targets_;
  int64_t now_ = 0;
  double pending_ = 0;
  uint64_t bad_ = 0;
  std::optional<int64_t> fiftieth_;
  int64_t leaderless_from_ = -1;
  int64_t leaderless_until_ = -1;
  Result result_;
};

std::vector<Service> Services() {
  return {{.old_targets = 12, .new_targets = 12, .rate = 172, .work_ms = 71, .duration_s = 12},
          {.old_targets = 35,
           .new_targets = 35,
           .rate = 565,
           .work_ms = 120,
           .duration_s = 16,
           .first_target_s = 3,
           .between_targets_s = 0.1},
          {.old_targets = 42,
           .new_targets = 42,
           .rate = 1263,
           .work_ms = 89,
           .duration_s = 14,
           .first_target_s = 2.5,
           .between_targets_s = 0.08}};
}

constexpr uint64_t kRunsOfEachService = 6;

/// Runs every service with several seeds and calls `check` for each result.
void RunAll(const Behaviour& behaviour, const std::function<void(const Result&)>& check,
            bool replace_leader = false) {
  const uint64_t first = test::TestSeed(1);
  for (const Service& service : Services()) {
    for (uint64_t run = 0; run < kRunsOfEachService; ++run) {
      Simulation simulation(service, behaviour, first + 7919 * run);
      if (replace_leader) {
        simulation.ReplaceLeader(static_cast<int64_t>(2000 + 1000 * run), 1500);
      }
      const Result result = simulation.Run();
      const std::string text =
          "service of " + std::to_string(service.old_targets) + " run " + std::to_string(run) +
          ": state " + (result.state ? RolloutStateName(*result.state) : "none") + " at " +
          std::to_string(result.decided_s) + " s (" + result.reason + "), " +
          std::to_string(result.of_new) + " of " + std::to_string(result.requests) + " requests, " +
          std::to_string(result.late) + " late, " + std::to_string(result.steps) + " steps";
      UT_PRINT(text.c_str());
      check(result);
    }
  }
}

void CheckGood(const Result& result) {
  CHECK(result.state == RolloutState::kComplete);
  CHECK_FALSE(result.emptied_early);
  CHECK(result.steps <= 6);
}

void CheckBad(const Result& result) {
  CHECK(result.state == RolloutState::kReverted);
  CHECK(result.WithinBounds());
}

}  // namespace

TEST_GROUP(RolloutController){};

TEST(RolloutController, CompletesGoodVersion) { RunAll(Good, CheckGood); }

TEST(RolloutController, CompletesGoodVersionAfterLeaderChange) { RunAll(Good, CheckGood, true); }

TEST(RolloutController, RevertsFailingVersion) {
  const auto failing = [](SeededRandom& random, const std::string&, double, double) {
    return Response{1, random.Chance(25)};
  };
  RunAll(failing, CheckBad);
  RunAll(failing, CheckBad, true);
}

TEST(RolloutController, RevertsSlowVersion) {
  RunAll(
      [](SeededRandom& random, const std::string&, double, double) {
        return Response{random.Chance(40) ? 4.0 : 1.0, false};
      },
      CheckBad);
}

TEST(RolloutController, RevertsVersionThatIsBadOnOneRoute) {
  RunAll(
      [](SeededRandom& random, const std::string& route, double, double) {
        return Response{1, route == "rare" && random.Chance(60)};
      },
      CheckBad);
}

TEST(RolloutController, RevertsVersionThatIsBadUnderLoad) {
  RunAll(
      [](SeededRandom& random, const std::string&, double, double load) {
        return Response{1, load > 0.6 && random.Chance(40)};
      },
      CheckBad);
}

TEST(RolloutController, RevertsVersionThatBecomesBad) {
  RunAll(
      [](SeededRandom& random, const std::string&, double age_s, double) {
        return Response{1, age_s > 5 && random.Chance(40)};
      },
      CheckBad);
}

// With targets of the old version alone there is nothing to compare, and nothing to send to.
TEST(RolloutController, StaysServingWithoutTargets) {
  Service service;
  service.first_target_s = 100;
  const Result result = Simulation(service, Good, 1).Run();
  CHECK_FALSE(result.state.has_value());
  LONGS_EQUAL(0, result.steps);
}

// A single target that fails tells of the target and not of its version.
TEST(RolloutController, KeepsVersionWithOneFailingTarget) {
  Rollout rollout;
  rollout.version = TargetVersion("v2");
  rollout.share = 80;
  rollout.start = WallTime(1);
  rollout.deadline = WallTime(30'000);
  RolloutController controller(rollout);
  TimePoint now = TimePoint{} + milliseconds(1'000);
  controller.Applied(now, rollout);
  const auto report = [&](const std::string& run, const char* version, uint64_t failures) {
    RolloutReport each{.run_id = run,
                       .service = ServiceName("s"),
                       .start = WallTime(1),
                       .version = TargetVersion(version),
                       .routes = {}};
    each.routes["r"].responses = 60;
    each.routes["r"].failures = failures;
    each.routes["r"].latencies.at(20) = 60 - failures;
    controller.Add(now, each);
  };
  report("o", "v1", 0);
  report("a", "v2", 40);
  report("b", "v2", 0);
  const RolloutFleet fleet{.old_slots = 8,
                           .warm_new_slots = 8,
                           .cold_new_slots = 0,
                           .new_targets = 2,
                           .distributed = true};
  CHECK_FALSE(controller.Decide(now, WallTime(2'000), fleet).has_value());
  report("c", "v2", 20);
  const auto step = controller.Decide(now, WallTime(2'000), fleet);
  CHECK(step.has_value());
  CHECK(step->state == RolloutState::kReverted);
}
