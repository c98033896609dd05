// A response is bad if it failed or took several times as long as the median of the old version on
// the same route. A version is bad if it has more bad responses than the rate of the old version,
// with a margin for unequal targets and for chance, explains.
#include "rollout_controller.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>

namespace endivecleat {

/// How far the bad responses must exceed the expected ones: standard deviations, and a number.
struct RolloutCertainty {
  double deviations;
  double excess;
};

namespace {

using std::chrono::milliseconds;

// Distances from the median of the old version, in latency buckets: about 2.4, 4 and 7 times as
// long. Targets of one version differ in speed by up to 1.5 times the mean.
constexpr std::array<size_t, 3> kSlowDistances = {6, 9, 12};
// With fewer responses of the old version on a route, there is no median to compare with.
constexpr uint64_t kMinOldResponses = 30;
constexpr double kFailureMargin = 1.5;  // times the rate of the old version
constexpr double kFailureAllowance = 0.012;
constexpr double kSlowMargin = 2;
constexpr double kSlowAllowance = 0.025;
// Bad responses of a single target until the version is blamed although no other has shown any.
constexpr uint64_t kBadOfOneTarget = 20;
constexpr uint64_t kEnoughOfAnotherTarget = 30;

// More bad responses than these revert a version.
constexpr RolloutCertainty kCertain = {.deviations = 3, .excess = 2};
// More than these keep the share as it is until more is known, as long as there is time.
constexpr RolloutCertainty kSuspicion = {.deviations = 1.5, .excess = 0.8};

constexpr Duration kSliceTime = milliseconds(250);
constexpr Duration kRecentTime = milliseconds(3'000);
constexpr size_t kMaxSlices = 64;
constexpr size_t kMaxReports = 2'000;

// While little is known, the new targets get about this many requests per second. A low share of a
// service with few requests would give no evidence in time.
constexpr double kProbeRate = 15;
constexpr uint32_t kMaxProbeShare = 250;
// Held as long as there is time, since some versions become bad only later. Over a whole rollout it
// stays below the tenth of all requests that a bad version may get.
constexpr uint32_t kObservedShare = 80;
constexpr uint32_t kLargeShare = 300;
constexpr uint64_t kProbeResponses = 12;
constexpr uint64_t kStepResponses = 20;
constexpr uint64_t kLastResponses = 10;
// Time for a step to reach the daemons and for their reports to return.
constexpr Duration kStepTime = milliseconds(600);
constexpr Duration kLastStepTime = milliseconds(1'000);
constexpr Duration kDistributionTime = milliseconds(2'500);
// Times before the deadline. A decision that is made 2.6 s before it is in force everywhere by
// then.
constexpr Duration kLargeShareBefore = milliseconds(7'000);
constexpr Duration kWholeShareBefore = milliseconds(5'800);
constexpr Duration kFewTargetsBefore = milliseconds(4'800);
constexpr Duration kDecideBefore = milliseconds(2'600);
// A target that has just started is about twice as slow and counts for less than half.
constexpr double kColdWeight = 0.4;
// Share of the old slots that the new ones must reach before all requests go to them, and when time
// runs short.
constexpr double kEnoughSlots = 0.85;
constexpr double kFewSlots = 0.5;

size_t MedianBucket(const RouteEvidence& route) {
  uint64_t counted = 0;
  for (const uint64_t count : route.latencies) {
    counted += count;
  }
  uint64_t below = 0;
  for (size_t bucket = 0; bucket < kLatencyBuckets; ++bucket) {
    below += route.latencies.at(bucket);
    if (2 * below >= counted) {
      return bucket;
    }
  }
  return kLatencyBuckets - 1;
}

uint64_t CountSlow(const RouteEvidence& route, size_t first_bucket) {
  uint64_t slow = 0;
  for (size_t bucket = first_bucket; bucket < kLatencyBuckets; ++bucket) {
    slow += route.latencies.at(bucket);
  }
  return slow;
}

bool Exceeds(double bad, double expected, const RolloutCertainty& certainty) {
  return bad > expected + certainty.deviations * std::sqrt(expected) + certainty.excess;
}

double RateOf(uint64_t part, uint64_t whole) {
  return whole == 0 ? 0 : static_cast<double>(part) / static_cast<double>(whole);
}

double Capacity(const RolloutFleet& fleet) {
  const double usable = static_cast<double>(fleet.warm_new_slots) +
                        kColdWeight * static_cast<double>(fleet.cold_new_slots);
  return fleet.old_slots == 0 ? 1 : usable / static_cast<double>(fleet.old_slots);
}

}  // namespace

uint64_t RolloutController::Responses(const Routes& routes) {
  uint64_t responses = 0;
  for (const auto& [name, route] : routes) {
    responses += route.responses;
  }
  return responses;
}

void RolloutController::AddTo(Routes& sum, const Routes& more) {
  for (const auto& [name, route] : more) {
    sum[name].Add(route);
  }
}

void RolloutController::Applied(TimePoint now, const Rollout& rollout) {
  if (step_at_ && rollout == rollout_) {
    return;
  }
  rollout_ = rollout;
  step_at_ = now;
  new_at_step_ = new_responses();
}

void RolloutController::Add(TimePoint now, const RolloutReport& report) {
  const auto known = reports_.find(report.run_id);
  if (report.start != rollout_.start ||
      (known == reports_.end() && reports_.size() >= kMaxReports)) {
    return;
  }
  Routes more;
  for (const auto& [name, route] : report.routes) {
    RouteEvidence before;
    if (known != reports_.end()) {
      if (const auto found = known->second.routes.find(name); found != known->second.routes.end()) {
        before = found->second;
      }
    }
    const std::optional<RouteEvidence> since = route.Since(before);
    if (!since) {
      return;  // overtaken by a later report
    }
    more[name] = *since;
  }
  reports_[report.run_id] = report;
  if (slices_.empty() || now - slices_.back().start >= kSliceTime) {
    slices_.push_back({.start = now, .old_routes = {}, .new_routes = {}});
    if (slices_.size() > kMaxSlices) {
      slices_.pop_front();
    }
  }
  const bool is_new = report.version == rollout_.version;
  AddTo(is_new ? slices_.back().new_routes : slices_.back().old_routes, more);
  AddTo(is_new ? total_new_ : total_old_, more);
}

RolloutController::Routes RolloutController::Recent(TimePoint now, Duration time,
                                                    bool new_version) const {
  Routes recent;
  for (const Slice& slice : slices_) {
    if (now - slice.start <= time) {
      AddTo(recent, new_version ? slice.new_routes : slice.old_routes);
    }
  }
  return recent;
}

std::string RolloutController::Fault(const Routes& routes,
                                     const RolloutCertainty& certainty) const {
  double failures = 0;
  double expected_failures = 0;
  std::array<double, kSlowDistances.size()> slow = {};
  std::array<double, kSlowDistances.size()> expected_slow = {};
  for (const auto& [name, route] : routes) {
    const auto found = total_old_.find(name);
    const RouteEvidence old_route = found == total_old_.end() ? RouteEvidence() : found->second;
    const auto responses = static_cast<double>(route.responses);
    const double expected =
        responses *
        (kFailureAllowance + kFailureMargin * RateOf(old_route.failures, old_route.responses));
    if (Exceeds(static_cast<double>(route.failures), expected, certainty)) {
      return "failures on route " + name;
    }
    failures += static_cast<double>(route.failures);
    expected_failures += expected;
    const uint64_t old_answers = old_route.responses - old_route.failures;
    if (old_answers < kMinOldResponses) {
      continue;
    }
    const size_t median = MedianBucket(old_route);
    const auto answers = static_cast<double>(route.responses - route.failures);
    for (size_t index = 0; index < kSlowDistances.size(); ++index) {
      const size_t first = median + kSlowDistances.at(index);
      const auto slow_here = static_cast<double>(CountSlow(route, first));
      const double expected_here =
          answers *
          (kSlowAllowance + kSlowMargin * RateOf(CountSlow(old_route, first), old_answers));
      if (Exceeds(slow_here, expected_here, certainty)) {
        return "slow on route " + name;
      }
      slow.at(index) += slow_here;
      expected_slow.at(index) += expected_here;
    }
  }
  if (Exceeds(failures, expected_failures, certainty)) {
    return "failures";
  }
  for (size_t index = 0; index < kSlowDistances.size(); ++index) {
    if (Exceeds(slow.at(index), expected_slow.at(index), certainty)) {
      return "slow";
    }
  }
  return "";
}

RolloutController::Verdict RolloutController::VerdictOn(const Routes& routes) const {
  Verdict verdict;
  for (const auto& [name, route] : routes) {
    verdict.responses += route.responses;
    verdict.bad += route.failures;
    const auto found = total_old_.find(name);
    if (found != total_old_.end() &&
        found->second.responses - found->second.failures >= kMinOldResponses) {
      verdict.bad += CountSlow(route, MedianBucket(found->second) + kSlowDistances.front());
    }
  }
  return verdict;
}

bool RolloutController::IsSpread() const {
  uint64_t bad = 0;
  uint64_t worst = 0;
  bool other_is_good = false;
  for (const auto& [run, report] : reports_) {
    if (report.version != rollout_.version) {
      continue;
    }
    const Verdict verdict = VerdictOn(report.routes);
    bad += verdict.bad;
    worst = std::max(worst, verdict.bad);
    other_is_good =
        other_is_good || (verdict.responses >= kEnoughOfAnotherTarget && verdict.bad <= 1);
  }
  if (bad - worst >= std::max<uint64_t>(2, bad / 8)) {
    return true;
  }
  return !other_is_good && bad >= kBadOfOneTarget;
}

std::optional<RolloutStep> RolloutController::Decide(TimePoint now, WallTime wall,
                                                     const RolloutFleet& fleet) {
  if (rollout_.state != RolloutState::kServing || !step_at_) {
    return std::nullopt;
  }
  for (const Routes& routes : {total_new_, Recent(now, kRecentTime, true)}) {
    if (const std::string fault = Fault(routes, kCertain); !fault.empty() && IsSpread()) {
      return RolloutStep{RolloutState::kReverted, 0, fault};
    }
  }
  if (fleet.new_targets > 0 && !targets_at_) {
    targets_at_ = now;
  }
  std::optional<Duration> left;
  if (wall < rollout_.deadline) {
    left = milliseconds(rollout_.deadline.value() - wall.value());
  }
  if (left && *left > kDecideBefore && fleet.new_targets > 0) {
    return Grow(now, *left, fleet);
  }
  return left && *left > kDecideBefore ? std::nullopt : DecideAtEnd(left, fleet);
}

std::optional<RolloutStep> RolloutController::DecideAtEnd(std::optional<Duration> left,
                                                          const RolloutFleet& fleet) {
  if (rollout_.share == kWholeShare && fleet.new_targets > 0 && new_responses() >= kStepResponses) {
    return RolloutStep{RolloutState::kComplete, kWholeShare, "deadline is near"};
  }
  if (fleet.new_targets == 0 && left) {
    return std::nullopt;
  }
  return RolloutStep{RolloutState::kReverted, 0,
                     fleet.new_targets == 0 ? "no target of the new version"
                                            : "not enough evidence before the deadline"};
}

uint32_t RolloutController::ProbeShare(TimePoint now) const {
  const uint64_t requests = Responses(Recent(now, kRecentTime, false));
  const double seconds = std::chrono::duration<double>(kRecentTime).count();
  const double rate = static_cast<double>(requests) / seconds;
  const double share = rate > 0 ? kProbeRate / rate * kWholeShare : kMaxProbeShare;
  return std::clamp(static_cast<uint32_t>(std::min(share, double{kMaxProbeShare})), kFirstShare,
                    kMaxProbeShare);
}

std::optional<RolloutStep> RolloutController::Grow(TimePoint now, Duration left,
                                                   const RolloutFleet& fleet) {
  const Duration in_step = now - *step_at_;
  const bool reached = fleet.distributed || in_step >= kDistributionTime;
  const uint64_t in_step_responses = new_responses() - new_at_step_;
  const double capacity = Capacity(fleet);
  if (rollout_.share == kWholeShare) {
    const bool carried = in_step_responses >= kLastResponses && in_step >= kLastStepTime;
    return reached && carried
               ? std::optional(RolloutStep{RolloutState::kComplete, kWholeShare, "good"})
               : std::nullopt;
  }
  const bool suspected =
      left > kFewTargetsBefore && (!Fault(total_new_, kSuspicion).empty() ||
                                   !Fault(Recent(now, kRecentTime, true), kSuspicion).empty());
  if (in_step < kStepTime || suspected) {
    return std::nullopt;
  }
  const bool enough = in_step_responses >= kStepResponses;
  if (rollout_.share >= kLargeShare) {
    const double needed = left <= kFewTargetsBefore ? kFewSlots : kEnoughSlots;
    return left <= kWholeShareBefore && enough && capacity >= needed ? MakeStep(kWholeShare, "good")
                                                                     : std::nullopt;
  }
  if (rollout_.share >= kObservedShare) {
    const bool known =
        new_responses() >= kStepResponses && capacity >= RateOf(kLargeShare, kWholeShare);
    return left <= kLargeShareBefore && known ? MakeStep(kLargeShare, "good") : std::nullopt;
  }
  if (rollout_.share > kFirstShare || new_responses() >= kProbeResponses) {
    return in_step_responses >= kProbeResponses ? MakeStep(kObservedShare, "good") : std::nullopt;
  }
  // The rate of requests is known half a second after the order, with the first reports.
  const uint32_t probe = ProbeShare(now);
  const bool seen = now - *targets_at_ >= kStepTime && Responses(total_old_) > 0;
  return seen && probe > rollout_.share ? MakeStep(probe, "probe") : std::nullopt;
}

std::optional<RolloutStep> RolloutController::MakeStep(uint32_t share, const char* reason) const {
  return RolloutStep{RolloutState::kServing, share, reason};
}

}  // namespace endivecleat
