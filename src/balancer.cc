// Costs are fractions of the value of an answer within its objective; the cheapest candidate wins,
// with a small random jitter.
#include "balancer.h"

#include <algorithm>
#include <array>
#include <cmath>

#include "errors.h"
#include "target_pattern.h"

namespace endivecleat {
namespace {

constexpr Duration kMinEjectionTime = std::chrono::milliseconds(200);
constexpr Duration kMaxEjectionTime = std::chrono::seconds(5);
// A load received with an answer is preferred to the gossiped one for about one gossip round.
constexpr Duration kAnswerLoadLifetime = std::chrono::seconds(1);
// Weight of the newest answer in the error rate: six errors in a row bring it above one half.
constexpr double kErrorWeight = 0.125;
// Above this error rate a target is ejected: one that fails fast has free slots and would attract
// most calls.
constexpr double kMaxErrorRate = 0.5;

// The average over all targets counts as this many answers of a target: service times vary so much
// that a single answer says little about its target.
constexpr int kPriorServiceSamples = 2;
constexpr int kMaxServiceSamples = 8;
// After this time a target that was full may have a free slot again.
constexpr Duration kFullLifetime = std::chrono::milliseconds(100);
// A target's measured service time is used for this long; then the average over all targets applies
// again, so that a slow target is retried.
constexpr Duration kServiceTimeLifetime = std::chrono::seconds(5);
// Traffic between data centres is billed: a small read costs 0.04 of its value, a confirmation with
// its answer 0.09.
constexpr double kOwnRegionCost = 0.06;
// The link between regions is billed at three times that rate.
constexpr double kOtherRegionCost = 0.22;
constexpr Duration kOtherRegionRoundTrip = std::chrono::milliseconds(60);
// The same for responses of about 100 kB. Another region is worse than a late answer and is used
// only if the own region has no target.
constexpr double kOwnRegionCostOfLargeResponses = 0.4;
constexpr double kOtherRegionCostOfLargeResponses = 1.5;
// Saved by the target on the own instance: the bytes of request and answer on two network links,
// which are narrow where there are many instances. As large as the jitter, so that it is mostly
// chosen first.
constexpr double kOwnInstanceGain = 0.03;
constexpr double kOwnInstanceGainOfLargeResponses = 0.2;
// Loss of value of an answer that misses its objective.
constexpr double kLateCost = 0.7;
// Shape of the probability of a late answer: service times vary, so an answer expected at half of
// the objective is late in one of six cases, and one expected exactly at it in almost half.
constexpr double kLateHalfPointSquared = 1.2;
// A route without an objective gets this multiple of the average service time.
constexpr int kDefaultObjectiveFactor = 4;
// Targets slow down as their slots fill up.
constexpr double kUtilisationCost = 0.3;  // fraction of the service time, when all slots are taken
// Cost at an error rate of 1: the answer is lost, or it is late and takes a second run. The cost
// grows with the square of the rate, since a single error is weak evidence.
constexpr double kErrorCost = 0.9;
// Random jitter, so that daemons with the same reports don't all choose the same target. Smaller
// than the cost of leaving the data centre, and larger than the cost of a single error.
constexpr double kJitterCost = 0.03;
constexpr uint64_t kJitterSteps = 1000;
// Cost of a request that finds no free slot at all: it is refused, or answered late after its
// caller has come back. With several offers, the risk is a power of the share of offers that find
// none.
constexpr double kRefusedCost = 1;
constexpr int kRefusalPower = 3;
// The newest offer has a weight of 1/32 in a region's share of offers that find no free slot.
constexpr double kOfferWeight = 1.0 / 32;
// The newest refusal has a weight of 1/8 in the moving average of their times.
constexpr double kRefusalTimeWeight = 1.0 / 8;
// Times until the refusal of an offer: inside a region on idle links, and on links that are short.
constexpr Duration kQuickRefusal = std::chrono::milliseconds(5);
constexpr Duration kSlowRefusal = std::chrono::milliseconds(25);
// Standard deviations that count as the error of a ratio of reported loads.
constexpr double kLoadErrorDeviations = 2;
// Above this share of offers without a free slot, the targets of the other region count as full.
constexpr double kFullRegionShare = 0.9;
constexpr Duration kOffersLifetime = std::chrono::seconds(5);
// Candidates of a locality that are compared for one choice. All daemons hold the same reports,
// which are seconds old: if each took the best of all, they would all choose the same target until
// the next report.
constexpr size_t kSampleSize = 2;
constexpr std::array kLocalities = {Locality::kOwnDataCentre, Locality::kOwnRegion,
                                    Locality::kOtherRegion};

double DistanceCost(Locality locality, bool large_response) {
  switch (locality) {
    case Locality::kOwnDataCentre:
      return 0;
    case Locality::kOwnRegion:
      return large_response ? kOwnRegionCostOfLargeResponses : kOwnRegionCost;
    case Locality::kOtherRegion:
      break;
  }
  return large_response ? kOtherRegionCostOfLargeResponses : kOtherRegionCost;
}

bool IsInOtherRegion(const Candidate& candidate) {
  return candidate.locality == Locality::kOtherRegion;
}

// Probability that an answer expected after `expected` misses its objective.
double LateShare(double expected, double objective) {
  const double ratio = expected / objective;
  return ratio * ratio / (ratio * ratio + kLateHalfPointSquared);
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
    const bool keep_observed =
        target.load_at != TimePoint{} && now - target.load_at < kAnswerLoadLifetime;
    target.candidate = candidate;
    target.candidate.load = keep_observed ? observed : candidate.load;
    target.present = true;
  }
  std::erase_if(targets_, [](const auto& entry) {
    return !entry.second.present && entry.second.in_flight == 0;
  });
}

std::optional<Endpoint> Balancer::Choose(TimePoint now, const std::vector<InstanceId>& tried,
                                         const ChoiceTerms& terms) {
  if (terms.free_slot_only) {
    return ChooseFreeSlot(now, tried, terms);
  }
  std::vector<const Target*> usable;
  for (const Locality locality : kLocalities) {
    const std::vector<const Target*> in_locality = Usable(now, locality, tried);
    usable.insert(usable.end(), in_locality.begin(), in_locality.end());
  }
  for (size_t next = 0; usable.empty() && next < kLocalities.size(); ++next) {
    usable = Untried(kLocalities[next], tried);
  }
  return usable.empty() ? std::nullopt : std::optional(Cheapest(now, usable, terms));
}

std::optional<Endpoint> Balancer::ChooseFreeSlot(TimePoint now,
                                                 const std::vector<InstanceId>& tried,
                                                 const ChoiceTerms& terms) {
  const bool may_leave_region = MayLeaveRegion(now, terms);
  if (!may_leave_region && OffersAreInVain()) {
    return std::nullopt;
  }
  std::vector<const Target*> usable;
  bool region_has_targets = false;
  for (const Locality locality : kLocalities) {
    if (locality == Locality::kOtherRegion && region_has_targets && !may_leave_region) {
      break;
    }
    region_has_targets = region_has_targets || !Usable(now, locality, {}).empty();
    for (const Target* target : Usable(now, locality, tried)) {
      if (!IsKnownFull(now, *target)) {
        usable.push_back(target);
      }
    }
  }
  return usable.empty() ? std::nullopt : std::optional(Cheapest(now, usable, terms));
}

// A few random ones of each locality, and the own instance's target.
std::vector<const Balancer::Target*> Balancer::Sample(const std::vector<const Target*>& usable) {
  std::vector<const Target*> sample;
  for (const Locality locality : kLocalities) {
    std::vector<const Target*> others;
    for (const Target* target : usable) {
      if (target->candidate.locality == locality) {
        (target->candidate.own_instance ? sample : others).push_back(target);
      }
    }
    for (size_t drawn = 0; drawn < kSampleSize && !others.empty(); ++drawn) {
      const auto choice = others.begin() + static_cast<ptrdiff_t>(random_.Below(others.size()));
      sample.push_back(*choice);
      others.erase(choice);
    }
  }
  return sample;
}

Endpoint Balancer::Cheapest(TimePoint now, const std::vector<const Target*>& usable,
                            const ChoiceTerms& terms) {
  const Target* best = nullptr;
  double best_cost = 0;
  for (const Target* target : Sample(usable)) {
    const double jitter =
        kJitterCost * static_cast<double>(random_.Below(kJitterSteps)) / double{kJitterSteps};
    const double cost = Cost(now, *target, terms) + jitter;
    if (best == nullptr || cost < best_cost) {
      best = target;
      best_cost = cost;
    }
  }
  return best->candidate.endpoint;
}

double Balancer::Cost(TimePoint now, const Target& target, const ChoiceTerms& terms) const {
  const double service = ServiceTime(now, target, terms.objective);
  const Duration effective_objective = terms.objective_left > Duration{}
                                           ? terms.objective_left
                                           : service_times_.mean() * kDefaultObjectiveFactor;
  const auto slots = static_cast<double>(std::max<uint64_t>(target.candidate.load.slots, 1));
  const double utilisation = std::min(Busy(target) / slots, 1.0);
  const double expected =
      service * (1 + WaitInServiceTimes(target) + kUtilisationCost * utilisation);
  const double own_instance_gain =
      terms.large_response ? kOwnInstanceGainOfLargeResponses : kOwnInstanceGain;
  return DistanceCost(target.candidate.locality, terms.large_response) -
         (target.candidate.own_instance ? own_instance_gain : 0) +
         kErrorCost * target.error_rate * target.error_rate +
         kLateCost * LateShare(expected, static_cast<double>(effective_objective.count())) +
         (terms.free_slot_only ? RefusalRisk(now, IsInOtherRegion(target.candidate)) : 0);
}

// Another region is worth its bill only for a lower risk of a refusal, not for a wait that reports
// of load show: they are too old for that.
bool Balancer::MayLeaveRegion(TimePoint now, const ChoiceTerms& terms) const {
  const double bill = DistanceCost(Locality::kOtherRegion, terms.large_response) -
                      DistanceCost(Locality::kOwnRegion, terms.large_response);
  return RefusalRisk(now, false) - RefusalRisk(now, true) > bill;
}

// Few offers go to another region, so its share is also inferred from the loads that both regions
// report: they are seconds old, but equally so. The ratio is raised by its error: the loads are
// counts of a few requests where there are few targets.
double Balancer::RefusalRisk(TimePoint now, bool other_region) const {
  double share = own_region_.full_share;
  if (other_region) {
    const ReportedLoad own = LoadOfRegion(false);
    const ReportedLoad other = LoadOfRegion(true);
    const bool reported = own.share() > 0 && other.slots > 0;
    const double error =
        reported ? kLoadErrorDeviations * std::sqrt(1 / own.slots + 1 / other.slots) : 0;
    const double ratio = reported ? std::min(other.share() / own.share() + error, 1.0) : 1.0;
    const bool known = now - other_region_.updated_at < kOffersLifetime;
    share = std::max(share * ratio * ratio, known ? other_region_.full_share : 0);
  }
  return kRefusedCost * std::pow(share, kRefusalPower);
}

Balancer::ReportedLoad Balancer::LoadOfRegion(bool other_region) const {
  ReportedLoad load;
  for (const auto& [instance, target] : targets_) {
    if (target.present && IsInOtherRegion(target.candidate) == other_region) {
      load.slots += static_cast<double>(target.candidate.load.slots);
      load.busy += static_cast<double>(target.candidate.load.busy);
    }
  }
  return load;
}

// An offer that finds no free slot costs the bytes of the request on the network links of both
// instances. Where refusals take long, links are what is short, and offers are made only as often
// as they succeed.
bool Balancer::OffersAreInVain() {
  const double slow =
      std::clamp(static_cast<double>((own_region_.refusal_time - kQuickRefusal).count()) /
                     static_cast<double>((kSlowRefusal - kQuickRefusal).count()),
                 0.0, 1.0);
  return slow > 0 && random_.Chance(static_cast<uint64_t>(own_region_.full_share * slow * 100));
}

void Balancer::CountOffer(TimePoint now, const Target& target, bool full,
                          std::optional<Duration> taken) {
  RegionOffers& offers = IsInOtherRegion(target.candidate) ? other_region_ : own_region_;
  if (now - offers.updated_at >= kOffersLifetime) {
    offers.full_share = 0;
    offers.refusal_time = Duration{};
  }
  offers.full_share += kOfferWeight * ((full ? 1.0 : 0.0) - offers.full_share);
  if (full && taken) {
    offers.refusal_time +=
        std::chrono::duration_cast<Duration>((*taken - offers.refusal_time) * kRefusalTimeWeight);
  }
  offers.updated_at = now;
}

// In microseconds. Answers of the target count by their number against the average of all targets.
double Balancer::ServiceTime(TimePoint now, const Target& target, Duration objective) const {
  const bool crosses_regions = target.candidate.locality == Locality::kOtherRegion;
  const auto average = static_cast<double>(
      (service_times_.Of(objective) + (crosses_regions ? kOtherRegionRoundTrip : Duration{}))
          .count());
  const auto found = target.service_times.find(objective);
  if (found == target.service_times.end() ||
      now - found->second.updated_at >= kServiceTimeLifetime) {
    return average;
  }
  const ServiceEstimate& estimate = found->second;
  return (estimate.samples * static_cast<double>(estimate.average.count()) +
          kPriorServiceSamples * average) /
         (estimate.samples + kPriorServiceSamples);
}

void Balancer::AddServiceTime(TimePoint now, Target& target, Duration objective,
                              Duration service_time) {
  service_times_.Add(objective, service_time);
  ServiceEstimate& estimate = target.service_times[objective];
  if (estimate.samples == 0 || now - estimate.updated_at >= kServiceTimeLifetime) {
    estimate = {.average = service_time};
  }
  estimate.average += (service_time - estimate.average) / kServiceTimeDivisor;
  estimate.samples = std::min(estimate.samples + 1, kMaxServiceSamples);
  estimate.updated_at = now;
}

// The target's daemon sees all of its answers, this one only a few of them.
void Balancer::SetServiceTime(TimePoint now, Target& target, Duration objective,
                              Duration service_time) {
  service_times_.Add(objective, service_time);
  const bool crosses_regions = target.candidate.locality == Locality::kOtherRegion;
  target.service_times[objective] = {
      .average = service_time + (crosses_regions ? kOtherRegionRoundTrip : Duration{}),
      .samples = kMaxServiceSamples,
      .updated_at = now};
}

double Balancer::Busy(const Target& target) {
  return static_cast<double>(std::max(target.candidate.load.busy, target.in_flight));
}

bool Balancer::IsKnownFull(TimePoint now, const Target& target) {
  const uint64_t slots = std::max<uint64_t>(target.candidate.load.slots, 1);
  const bool reported = target.load_at != TimePoint{} && now - target.load_at < kFullLifetime;
  return target.in_flight >= slots || (reported && target.candidate.load.busy >= slots);
}

// Expected wait for a free slot, in service times.
double Balancer::WaitInServiceTimes(const Target& target) {
  const auto slots = static_cast<double>(std::max<uint64_t>(target.candidate.load.slots, 1));
  return std::max(Busy(target) + 1 - slots, 0.0) / slots;
}

Duration Balancer::ExpectedWait() const {
  std::optional<double> shortest;
  for (const auto& [instance, target] : targets_) {
    if (target.present) {
      const double service_times = WaitInServiceTimes(target);
      shortest = shortest ? std::min(*shortest, service_times) : service_times;
    }
  }
  const double wait = shortest.value_or(0) * static_cast<double>(service_times_.mean().count());
  return Duration(static_cast<Duration::rep>(wait));
}

bool Balancer::HasRoom(TimePoint now, Priority priority, const TenantName& tenant) const {
  size_t reports = 0;
  size_t others = 0;
  const bool other_region_is_full = now - other_region_.updated_at < kOffersLifetime &&
                                    other_region_.full_share >= kFullRegionShare;
  for (const auto& [instance, target] : targets_) {
    if (!target.present || IsUnreachable(now, target)) {
      continue;
    }
    const auto wait = wait_reports_.TimeUntilRoom(now, instance, priority, tenant);
    if (wait == Duration{}) {
      return true;
    }
    // Only the own data centre's targets report their load by gossip; those of the other region are
    // judged by the offers made there.
    const bool seems_full = IsInOtherRegion(target.candidate)
                                ? other_region_is_full
                                : Busy(target) >= static_cast<double>(target.candidate.load.slots);
    if (!wait && !seems_full) {
      return true;
    }
    ++(wait ? reports : others);
  }
  return reports < WaitReports::kMinReports && (others > 0 || reports == 0);
}

void Balancer::Sent(const InstanceId& instance) { ++targets_[instance].in_flight; }

void Balancer::Finished(TimePoint now, const InstanceId& instance, AttemptResult result,
                        std::optional<TargetLoad> load, std::optional<Duration> taken,
                        Duration objective, bool free_slot_only) {
  const auto found = targets_.find(instance);
  ENDIVECLEAT_CHECK(found != targets_.end() && found->second.in_flight > 0,
                    "no attempt to " + instance.value() + " is in flight");
  Target& target = found->second;
  --target.in_flight;
  if (load.has_value()) {
    target.candidate.load = *load;
    target.load_at = now;
  }
  if (result != AttemptResult::kCancelled) {
    target.unreachable = result == AttemptResult::kUnreachable;
  }
  // A cancelled attempt would have taken longer still.
  const bool cancelled = result == AttemptResult::kCancelled;
  const bool answered = result == AttemptResult::kAnswered;
  if (load && load->service_time > Duration{}) {
    SetServiceTime(now, target, objective, load->service_time);
  } else if (taken && (answered || (cancelled && static_cast<double>(taken->count()) >
                                                     ServiceTime(now, target, objective)))) {
    AddServiceTime(now, target, objective, *taken);
  }
  const bool error = result == AttemptResult::kErrorStatus;
  const bool full = result == AttemptResult::kBusy;
  if (free_slot_only && (full || error || answered)) {
    CountOffer(now, target, full, taken);
  }
  if (error || result == AttemptResult::kAnswered) {
    target.error_rate += kErrorWeight * ((error ? 1.0 : 0.0) - target.error_rate);
  }
  if (error ? target.error_rate >= kMaxErrorRate
            : result == AttemptResult::kRefused || result == AttemptResult::kFailed ||
                  result == AttemptResult::kUnreachable) {
    Eject(now, target);
  } else if (result == AttemptResult::kAnswered) {
    target.failures = 0;
    target.ejected_until = now;
  }
  if (!target.present && target.in_flight == 0) {
    targets_.erase(found);
  }
}

bool Balancer::is_ejected(TimePoint now, const InstanceId& instance) const {
  const auto found = targets_.find(instance);
  if (found == targets_.end()) {
    return false;
  }
  if (IsUnreachable(now, found->second)) {
    return true;
  }
  const auto ejected = Ejected(now, found->second.candidate.locality);
  return std::find(ejected.begin(), ejected.end(), &found->second) != ejected.end();
}

// Leaves out unreachable targets. Ejected targets are left out too, unless no others remain in the
// locality.
std::vector<const Balancer::Target*> Balancer::Usable(TimePoint now, Locality locality,
                                                      const std::vector<InstanceId>& tried) const {
  const std::vector<const Target*> ejected = Ejected(now, locality);
  std::vector<const Target*> reachable = Untried(locality, tried);
  std::erase_if(reachable, [&](const Target* target) { return IsUnreachable(now, *target); });
  std::vector<const Target*> usable = reachable;
  std::erase_if(usable, [&](const Target* target) {
    return std::find(ejected.begin(), ejected.end(), target) != ejected.end();
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
bool Balancer::IsUnreachable(TimePoint now, const Target& target) {
  return target.unreachable && target.ejected_until > now;
}

// Ejects at most half of a locality's reachable targets, so that a fault common to all of them does
// not leave the service without any. When more fail, those whose ejection ends first stay in use.
std::vector<const Balancer::Target*> Balancer::Ejected(TimePoint now, Locality locality) const {
  std::vector<const Target*> failing;
  size_t present = 0;
  for (const auto& [instance, target] : targets_) {
    if (!target.present || target.candidate.locality != locality || IsUnreachable(now, target)) {
      continue;
    }
    ++present;
    if (target.ejected_until > now) {
      failing.push_back(&target);
    }
  }
  std::stable_sort(failing.begin(), failing.end(), [](const Target* one, const Target* other) {
    return one->ejected_until > other->ejected_until;
  });
  failing.resize(std::min(failing.size(), present / 2));
  return failing;
}

void Balancer::Eject(TimePoint now, Target& target) {
  // Concurrent attempts that fail together count as one failure.
  if (target.ejected_until > now) {
    return;
  }
  Duration ejection_time = kMinEjectionTime;
  for (uint32_t doubling = 0; doubling < target.failures; ++doubling) {
    ejection_time = std::min(ejection_time * 2, kMaxEjectionTime);
  }
  target.failures = std::min<uint32_t>(target.failures + 1, 8);
  target.ejected_until = now + ejection_time;
}

}  // namespace endivecleat
