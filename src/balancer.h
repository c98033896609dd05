// Chooses the target of an attempt. Each calling daemon has one balancer for each service; it
// knows its own calls in flight exactly and the load of the targets from reports that are late.
// The load pattern that it answers: data centres and targets that are loaded unequally, targets of
// unequal or changing speed, and links that cost time and money. An answer within its objective is
// worth most and no more for being faster, so near targets are used while the wait there meets the
// objective; it compares candidates by what the distance, the errors and the risk of a late answer
// cost.
#ifndef ENDIVECLEAT_BALANCER_H_
#define ENDIVECLEAT_BALANCER_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "seeded_random.h"
#include "units.h"

namespace endivecleat {

/// In the order of preference; the link between regions is billed.
enum class Locality { kOwnDataCentre, kOwnRegion, kOtherRegion };

/// A daemon that a call can be sent to.
struct Endpoint {
  InstanceId instance;
  Address address;

  bool operator==(const Endpoint&) const = default;
};

/// Requests that run or wait at a target, and the slots that it has now.
struct TargetLoad {
  uint64_t busy = 0;
  uint64_t slots = 1;

  bool operator==(const TargetLoad&) const = default;
};

/// A ready target, from the membership or from the summary of another data centre.
struct Candidate {
  Endpoint endpoint;
  TargetId target;
  Locality locality = Locality::kOwnDataCentre;
  TargetLoad load;
};

enum class AttemptResult {
  kAnswered,       // an answer with a status below 500
  kErrorAnswered,  // an answer with a status of 500 or more
  kRefused,        // the target's daemon ran nothing
  kBusy,           // the target's daemon ran nothing since its slots and queue are taken
  kFailed,         // the connection broke or the time ran out
  kUnreachable,    // no connection to the target's daemon; nothing was sent
  kAbandoned,      // cancelled by the caller; says nothing about the target
};

class Balancer {
 public:
  explicit Balancer(uint64_t seed) : random_(seed) {}

  /// Replaces the candidates by those of them that match a pattern. What this daemon observed of a
  /// target that stays is kept.
  void SetCandidates(TimePoint now, const std::vector<Candidate>& candidates,
                     const std::vector<std::string>& patterns);
  /// The candidate outside `tried` that costs least for an answer that is wanted within the
  /// objective; 0: the route states none. Candidates whose daemon was just found unreachable are
  /// the last resort.
  std::optional<Endpoint> Choose(TimePoint now, const std::vector<InstanceId>& tried,
                                 Duration objective = Duration{});
  void Sent(const InstanceId& instance);
  /// Must follow each Sent. The load is the one that the answer or the refusal carried.
  void Finished(TimePoint now, const InstanceId& instance, AttemptResult result,
                std::optional<TargetLoad> load,
                std::optional<Duration> service_time = std::nullopt);
  /// The shortest time that a request waits for a slot at any candidate, by the newest reports; 0
  /// without a candidate.
  Duration ExpectedWait() const;

  bool avoided(TimePoint now, const InstanceId& instance) const;
  size_t size() const { return targets_.size(); }

 private:
  struct Target {
    Candidate candidate;
    bool present = false;    // false: kept only until its attempts have finished
    uint64_t in_flight = 0;  // attempts of this daemon
    TimePoint load_at{};     // when an answer last carried the load
    TimePoint avoid_until{};
    uint32_t failures = 0;     // refusals and failures since the last answer
    bool unreachable = false;  // the last attempt found no daemon
    double error_share = 0;    // moving share of answers with a status of 500 or more
    Duration service_time{};   // moving mean at this target; 0 before the first answer
    TimePoint service_time_at{};
  };
  using Targets = std::map<InstanceId, Target>;

  std::vector<const Target*> Usable(TimePoint now, Locality locality,
                                    const std::vector<InstanceId>& tried) const;
  std::vector<const Target*> Untried(Locality locality, const std::vector<InstanceId>& tried) const;
  std::vector<const Target*> Avoided(TimePoint now, Locality locality) const;
  Endpoint Best(TimePoint now, const std::vector<const Target*>& usable, Duration objective);
  double Cost(TimePoint now, const Target& target, Duration objective) const;
  double ServiceTime(TimePoint now, const Target& target) const;
  static double WaitingTurns(const Target& target);
  static bool IsGone(TimePoint now, const Target& target);
  void Avoid(TimePoint now, Target& target);

  SeededRandom random_;
  Targets targets_;
  Duration service_time_ = std::chrono::milliseconds(100);  // moving mean over all targets
};

}  // namespace endivecleat

#endif  // ENDIVECLEAT_BALANCER_H_
