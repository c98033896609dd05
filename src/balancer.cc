// Costs are fractions of the value of an answer within its objective; the cheapest candidate wins,
// with a small random jitter.
#include "balancer.h"

#include <algorithm>
#include <array>

#include "errors.h"
#include "target_pattern.h"

namespace endivecleat {
namespace {

constexpr Duration kShortestAvoidance = std::chrono::milliseconds(200);
constexpr Duration kLongestAvoidance = std::chrono::seconds(5);
// A load received with an answer is preferred to the gossiped one for about one gossip round.
constexpr Duration kAnswerLoadValid = std::chrono::seconds(1);
// Weight of the newest answer in the error rate: six errors in a row bring it above one half.
constexpr double kErrorWeight = 0.125;
// Above this error rate a target is ejected: one that fails fast has free slots and would attract
// most calls.
constexpr double kMostErrorShare = 0.5;

// The newest answer has a weight of 1/8 in the moving averages of service times.
constexpr int kServiceTimeWeight = 8;
// A target's measured service time is used for this long; then the average over all targets applies
// again, so that a slow target is retried.
constexpr Duration kServiceTimeValid = std::chrono::seconds(5);
// Traffic between data centres is billed: a small read costs 0.04 of its value, a confirmation with
// its answer 0.09.
constexpr double kOwnRegionCost = 0.06;
// The link between regions is billed at three times that rate.
constexpr double kOtherRegionCost = 0.22;
constexpr Duration kOtherRegionRoundTrip = std::chrono::milliseconds(60);
// Loss of value of an answer that misses its objective.
constexpr double kLateCost = 0.7;
// Shape of the probability of a late answer: service times vary, so an answer expected at half of
// the objective is late in one of six cases, and one expected exactly at it in almost half.
constexpr double kLateSpread = 1.2;
// A route without an objective gets this multiple of the average service time.
constexpr int kDefaultObjectivePart = 4;
// Targets slow down as their slots fill up.
constexpr double kUtilisationCost = 0.3;  // fraction of the service time, when all slots are taken
// Cost at an error rate of 1: the answer is lost, or it is late and takes a second run. The cost
// grows with the square of the rate, since a single error is weak evidence.
constexpr double kErrorCost = 0.9;
// Random jitter, so that daemons with the same reports don't all choose the same target. Smaller
// than the cost of leaving the data centre, and larger than the cost of a single error.
constexpr double kSpread = 0.03;
constexpr uint64_t kSpreadSteps = 1000;

double DistanceCost(Locality locality) {
  switch (locality) {
    case Locality::kOwnDataCentre:
      return 0;
    case Locality::kOwnRegion:
      return kOwnRegionCost;
    case Locality::kOtherRegion:
      break;
  }
  return kOtherRegionCost;
}

// Probability that an answer expected after `expected` misses its objective.
double LateShare(double expected, double objective) {
  const double ratio = expected / objective;
  return ratio * ratio / (ratio * ratio + kLateSpread);
}

Duration MovingMean(Duration mean, Duration newest) {
  return mean + (newest - mean) / kServiceTimeWeight;
}

}  // namespace

void Balancer::SetCandidates(TimePoint now, const std::vector<Candidate>& candidates,
                             const std::vector<std::string>& patterns) {
  for (auto& [instance, target] : targets_) {
    target.present = false;
  }
  for (const Candidate& candidate : candidates) {
    if (!MatchesAnyPattern(patterns, candidate.target)) {
      continue;
    }
    Target& target = targets_[candidate.endpoint.instance];
    const TargetLoad observed = target.candidate.load;
    const bool keep = target.load_at != TimePoint{} && now - target.load_at < kAnswerLoadValid;
    target.candidate = candidate;
    target.candidate.load = keep ? observed : candidate.load;
    target.present = true;
  }
  std::erase_if(targets_, [](const auto& entry) {
    return !entry.second.present && entry.second.in_flight == 0;
  });
}

std::optional<Endpoint> Balancer::Choose(TimePoint now, const std::vector<InstanceId>& tried,
                                         Duration objective) {
  constexpr std::array kLocalities = {Locality::kOwnDataCentre, Locality::kOwnRegion,
                                      Locality::kOtherRegion};
  std::vector<const Target*> usable;
  for (const Locality locality : kLocalities) {
    const std::vector<const Target*> here = Usable(now, locality, tried);
    usable.insert(usable.end(), here.begin(), here.end());
  }
  for (size_t next = 0; usable.empty() && next < kLocalities.size(); ++next) {
    usable = Untried(kLocalities[next], tried);
  }
  return usable.empty() ? std::nullopt : std::optional(Best(now, usable, objective));
}

Endpoint Balancer::Best(TimePoint now, const std::vector<const Target*>& usable,
                        Duration objective) {
  const Target* best = nullptr;
  double best_cost = 0;
  for (const Target* target : usable) {
    const double spread =
        kSpread * static_cast<double>(random_.Below(kSpreadSteps)) / double{kSpreadSteps};
    const double cost = Cost(now, *target, objective) + spread;
    if (best == nullptr || cost < best_cost) {
      best = target;
      best_cost = cost;
    }
  }
  return best->candidate.endpoint;
}

double Balancer::Cost(TimePoint now, const Target& target, Duration objective) const {
  const double service = ServiceTime(now, target);
  const Duration within =
      objective > Duration{} ? objective : service_time_ * kDefaultObjectivePart;
  const auto slots = static_cast<double>(std::max<uint64_t>(target.candidate.load.slots, 1));
  const double busy = std::max(static_cast<double>(target.candidate.load.busy),
                               static_cast<double>(target.in_flight));
  const double utilisation = std::min(busy / slots, 1.0);
  const double expected = service * (1 + WaitingTurns(target) + kUtilisationCost * utilisation);
  return DistanceCost(target.candidate.locality) +
         kErrorCost * target.error_share * target.error_share +
         kLateCost * LateShare(expected, static_cast<double>(within.count()));
}

double Balancer::ServiceTime(TimePoint now, const Target& target) const {
  const bool known =
      target.service_time > Duration{} && now - target.service_time_at < kServiceTimeValid;
  const bool far = target.candidate.locality == Locality::kOtherRegion;
  const Duration unknown = service_time_ + (far ? kOtherRegionRoundTrip : Duration{});
  return static_cast<double>((known ? target.service_time : unknown).count());
}

// Expected wait for a free slot, in service times.
double Balancer::WaitingTurns(const Target& target) {
  const auto slots = static_cast<double>(std::max<uint64_t>(target.candidate.load.slots, 1));
  const double busy = std::max(static_cast<double>(target.candidate.load.busy),
                               static_cast<double>(target.in_flight));
  return std::max(busy + 1 - slots, 0.0) / slots;
}

Duration Balancer::ExpectedWait() const {
  std::optional<double> shortest;
  for (const auto& [instance, target] : targets_) {
    if (target.present) {
      const double turns = WaitingTurns(target);
      shortest = shortest ? std::min(*shortest, turns) : turns;
    }
  }
  const double wait = shortest.value_or(0) * static_cast<double>(service_time_.count());
  return Duration(static_cast<Duration::rep>(wait));
}

void Balancer::Sent(const InstanceId& instance) { ++targets_[instance].in_flight; }

void Balancer::Finished(TimePoint now, const InstanceId& instance, AttemptResult result,
                        std::optional<TargetLoad> load, std::optional<Duration> service_time) {
  const auto found = targets_.find(instance);
  ENDIVECLEAT_CHECK(found != targets_.end() && found->second.in_flight > 0,
                    "an attempt to " + instance.value() + " finished that was not sent");
  Target& target = found->second;
  --target.in_flight;
  if (load.has_value()) {
    target.candidate.load = *load;
    target.load_at = now;
  }
  if (result != AttemptResult::kAbandoned) {
    target.unreachable = result == AttemptResult::kUnreachable;
  }
  if (service_time) {
    service_time_ = MovingMean(service_time_, *service_time);
    const bool first = target.service_time == Duration{};
    target.service_time = first ? *service_time : MovingMean(target.service_time, *service_time);
    target.service_time_at = now;
  }
  const bool error = result == AttemptResult::kErrorAnswered;
  if (error || result == AttemptResult::kAnswered) {
    target.error_share += kErrorWeight * ((error ? 1.0 : 0.0) - target.error_share);
  }
  if (error ? target.error_share >= kMostErrorShare
            : result == AttemptResult::kRefused || result == AttemptResult::kFailed ||
                  result == AttemptResult::kUnreachable) {
    Avoid(now, target);
  } else if (result == AttemptResult::kAnswered) {
    target.failures = 0;
    target.avoid_until = now;
  }
  if (!target.present && target.in_flight == 0) {
    targets_.erase(found);
  }
}

bool Balancer::avoided(TimePoint now, const InstanceId& instance) const {
  const auto found = targets_.find(instance);
  if (found == targets_.end()) {
    return false;
  }
  if (IsGone(now, found->second)) {
    return true;
  }
  const auto avoided = Avoided(now, found->second.candidate.locality);
  return std::find(avoided.begin(), avoided.end(), &found->second) != avoided.end();
}

// Leaves out unreachable targets. Ejected targets are left out too, unless no others remain in the
// locality.
std::vector<const Balancer::Target*> Balancer::Usable(TimePoint now, Locality locality,
                                                      const std::vector<InstanceId>& tried) const {
  const std::vector<const Target*> avoided = Avoided(now, locality);
  std::vector<const Target*> reachable = Untried(locality, tried);
  std::erase_if(reachable, [&](const Target* target) { return IsGone(now, *target); });
  std::vector<const Target*> usable = reachable;
  std::erase_if(usable, [&](const Target* target) {
    return std::find(avoided.begin(), avoided.end(), target) != avoided.end();
  });
  return usable.empty() ? reachable : usable;
}

std::vector<const Balancer::Target*> Balancer::Untried(Locality locality,
                                                       const std::vector<InstanceId>& tried) const {
  std::vector<const Target*> untried;
  for (const auto& [instance, target] : targets_) {
    const bool was_tried = std::find(tried.begin(), tried.end(), instance) != tried.end();
    if (target.present && target.candidate.locality == locality && !was_tried) {
      untried.push_back(&target);
    }
  }
  return untried;
}

// An unreachable daemon is excluded from the limit on ejections: calls to it can only fail, and
// each of them would cost a retry token.
bool Balancer::IsGone(TimePoint now, const Target& target) {
  return target.unreachable && target.avoid_until > now;
}

// Ejects at most half of a locality's reachable targets, so that a fault common to all of them does
// not leave the service without any. When more fail, those whose ejection ends first stay in use.
std::vector<const Balancer::Target*> Balancer::Avoided(TimePoint now, Locality locality) const {
  std::vector<const Target*> failing;
  size_t present = 0;
  for (const auto& [instance, target] : targets_) {
    if (!target.present || target.candidate.locality != locality || IsGone(now, target)) {
      continue;
    }
    ++present;
    if (target.avoid_until > now) {
      failing.push_back(&target);
    }
  }
  std::stable_sort(failing.begin(), failing.end(), [](const Target* one, const Target* other) {
    return one->avoid_until > other->avoid_until;
  });
  failing.resize(std::min(failing.size(), present / 2));
  return failing;
}

void Balancer::Avoid(TimePoint now, Target& target) {
  // Concurrent attempts that fail together count as one failure.
  if (target.avoid_until > now) {
    return;
  }
  Duration avoidance = kShortestAvoidance;
  for (uint32_t doubling = 0; doubling < target.failures; ++doubling) {
    avoidance = std::min(avoidance * 2, kLongestAvoidance);
  }
  target.failures = std::min<uint32_t>(target.failures + 1, 8);
  target.avoid_until = now + avoidance;
}

}  // namespace endivecleat
