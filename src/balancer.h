// Client-side load balancer: chooses the target of an attempt. Each calling daemon has one per
// service; it knows its own calls in flight exactly and the targets' load from delayed reports.
// It picks the candidate with the lowest cost of distance, errors and risk of missing the latency
// objective. An answer faster than its objective gains nothing, so near targets are used as long as
// they meet it. Reports of load are late, so a request is first offered to daemons that take it
// only if a slot is free at that moment; only when those have refused does it wait, where the wait
// is shortest by their refusals. Failing targets are ejected for a while (outlier ejection).
#ifndef ENDIVECLEAT_BALANCER_H_
#define ENDIVECLEAT_BALANCER_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "seeded_random.h"
#include "service_times.h"
#include "units.h"
#include "wait_reports.h"

namespace endivecleat {

/// Distance of a target, nearest first. Traffic between regions is billed at the highest rate.
enum class Locality { kOwnDataCentre, kOwnRegion, kOtherRegion };

/// A daemon that a call can be sent to.
struct Endpoint {
  InstanceId instance;
  Address address;

  bool operator==(const Endpoint&) const = default;
};

/// Requests that run or wait at a target, and its number of slots at that time.
struct TargetLoad {
  uint64_t busy = 0;
  uint64_t slots = 1;
  // How long the target takes for requests like the one that was sent; 0: unknown.
  Duration service_time{};
  // With a refusal of a full target: the time until its queue would take a request like this one.
  Duration time_until_room{};

  bool operator==(const TargetLoad&) const = default;
};

/// A ready target, from the membership or from the summary of another data centre.
struct Candidate {
  Endpoint endpoint;
  TargetId target;
  Locality locality = Locality::kOwnDataCentre;
  TargetLoad load;
  bool own_instance =
      false;  // the target beside the choosing daemon; no message leaves the instance
};

/// What is wanted of the next target of a request.
struct ChoiceTerms {
  // Time left until the answer is wanted; 0 if the route states no objective.
  Duration objective_left{};
  // The route's whole objective; 0 if it has none. Service times are averaged by it.
  Duration objective{};
  // The target's daemon takes the request only if a slot is free: targets known to be full are left
  // out, and those of another region too unless most offers in the own region find no free slot.
  bool free_slot_only = false;
  // The response is large: its bytes weigh more than the wait for a nearer target.
  bool large_response = false;
};

/// How an attempt ended, as far as it tells something about the target.
enum class AttemptResult {
  kAnswered,     // an answer with a status below 500
  kErrorStatus,  // an answer with a status of 500 or more
  kRefused,      // the target's daemon refused the request; it did not run
  kBusy,         // refused because the target's slots and queue are full
  kFailed,       // the connection broke or the attempt timed out
  kUnreachable,  // no connection to the target's daemon; nothing was sent
  kCancelled,    // cancelled by the caller; tells nothing about the target
};

/// Tracks the targets of one service and chooses among them.
class Balancer {
 public:
  explicit Balancer(uint64_t seed) : random_(seed) {}

  /// Replaces the candidates by those that match one of the patterns. Keeps the statistics of
  /// targets that remain.
  void SetCandidates(TimePoint now, const std::vector<Candidate>& candidates,
                     const std::vector<std::string>& patterns);
  /// Returns the cheapest candidate outside `tried`, or nullopt if there is none. Candidates whose
  /// daemon was recently unreachable are chosen only if no others are left.
  std::optional<Endpoint> Choose(TimePoint now, const std::vector<InstanceId>& tried,
                                 const ChoiceTerms& terms = {});
  /// Counts an attempt to the instance as in flight.
  void Sent(const InstanceId& instance);
  /// Must be called exactly once after each Sent. `load` is the load that the answer or refusal
  /// carried; `taken` is the time from sending to the answer or to the refusal of a busy target, or
  /// until the attempt was cancelled without one; `objective` is the whole objective of the
  /// request's route; `free_slot_only` is that of the choice.
  void Finished(TimePoint now, const InstanceId& instance, AttemptResult result,
                std::optional<TargetLoad> load, std::optional<Duration> taken = std::nullopt,
                Duration objective = Duration{}, bool free_slot_only = false);
  /// The shortest expected wait for a slot over all candidates, by the newest reports; 0 if there
  /// are no candidates.
  Duration ExpectedWait() const;

  /// Whether a target may take a request: one has a free slot by the newest report of its load, or
  /// has lately taken one, or would do so now. True unless at least WaitReports::kMinReports
  /// targets, or all, have lately reported that they would not.
  bool HasRoom(TimePoint now, Priority priority, const TenantName& tenant) const;
  /// What replies told of the queues; the owner of this object reports it.
  WaitReports& wait_reports() { return wait_reports_; }

  /// Whether Choose currently passes over the instance.
  bool is_ejected(TimePoint now, const InstanceId& instance) const;
  size_t size() const { return targets_.size(); }

 private:
  /// Service time of one target for requests with one objective.
  struct ServiceEstimate {
    Duration average{};  // moving average
    int samples = 0;     // at most kMaxServiceSamples
    TimePoint updated_at{};
  };
  struct Target {
    Candidate candidate;
    bool present = false;    // false: kept only until its attempts end
    uint64_t in_flight = 0;  // attempts sent by this daemon
    TimePoint load_at{};     // when an answer last updated the load
    TimePoint ejected_until{};
    uint32_t failures = 0;     // refusals and failures since the last answer
    bool unreachable = false;  // the last attempt could not connect to the daemon
    double error_rate = 0;     // moving average of the share of answers with status >= 500
    std::map<Duration, ServiceEstimate> service_times;  // by objective
  };
  using Targets = std::map<InstanceId, Target>;
  /// Sums over the targets of one region.
  struct ReportedLoad {
    double busy = 0;  // requests that run or wait
    double slots = 0;
    double share() const { return slots > 0 ? busy / slots : 0; }
  };
  /// What offers for a free slot met in one region.
  struct RegionOffers {
    double full_share = 0;    // moving average of the share that found no free slot
    Duration refusal_time{};  // moving average of the time until the refusal of those
    TimePoint updated_at{};
  };

  std::vector<const Target*> Usable(TimePoint now, Locality locality,
                                    const std::vector<InstanceId>& tried) const;
  std::vector<const Target*> Untried(Locality locality, const std::vector<InstanceId>& tried) const;
  std::vector<const Target*> Ejected(TimePoint now, Locality locality) const;
  std::optional<Endpoint> ChooseFreeSlot(TimePoint now, const std::vector<InstanceId>& tried,
                                         const ChoiceTerms& terms);
  std::vector<const Target*> Sample(const std::vector<const Target*>& usable);
  Endpoint Cheapest(TimePoint now, const std::vector<const Target*>& usable,
                    const ChoiceTerms& terms);
  double Cost(TimePoint now, const Target& target, const ChoiceTerms& terms) const;
  bool MayLeaveRegion(TimePoint now, const ChoiceTerms& terms) const;
  double RefusalRisk(TimePoint now, bool other_region) const;
  ReportedLoad LoadOfRegion(bool other_region) const;
  bool OffersAreInVain();
  void CountOffer(TimePoint now, const Target& target, bool full, std::optional<Duration> taken);
  double ServiceTime(TimePoint now, const Target& target, Duration objective) const;
  void AddServiceTime(TimePoint now, Target& target, Duration objective, Duration service_time);
  void SetServiceTime(TimePoint now, Target& target, Duration objective, Duration service_time);
  static double Busy(const Target& target);
  static bool IsKnownFull(TimePoint now, const Target& target);
  static double WaitInServiceTimes(const Target& target);
  static bool IsUnreachable(TimePoint now, const Target& target);
  void Eject(TimePoint now, Target& target);

  // The newest answer has a weight of 1/8 in the moving averages of service times.
  static constexpr int kServiceTimeDivisor = 8;

  SeededRandom random_;
  Targets targets_;
  WaitReports wait_reports_;
  RegionOffers own_region_;
  RegionOffers other_region_;
  ServiceTimes service_times_{std::chrono::milliseconds(100), kServiceTimeDivisor};  // all targets
};

}  // namespace endivecleat

#endif  // ENDIVECLEAT_BALANCER_H_
