// Rollouts: the traffic of a service moves to targets of another version. Their state is a member
// of the stored configuration text, so that it is replicated, distributed and kept with it. Pure.
#ifndef ENDIVECLEAT_ROLLOUT_H_
#define ENDIVECLEAT_ROLLOUT_H_

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "errors.h"
#include "units.h"

namespace endivecleat {

enum class RolloutState : uint8_t { kServing, kComplete, kReverted };

const char* RolloutStateName(RolloutState state);

/// All traffic of a service, in the unit of Rollout::share.
constexpr uint32_t kWholeShare = 1000;
constexpr size_t kMaxTargetVersionBytes = 64;
constexpr size_t kMaxBarredVersions = 8;  // the newest are kept

/// The newest rollout of one service. Targets of `version` are its new ones, all others, also those
/// whose version is unknown, its old ones.
struct Rollout {
  TargetVersion version;
  RolloutState state = RolloutState::kServing;
  uint32_t share = 0;  // of the requests that go to the new targets while serving, in thousandths
  WallTime start;
  WallTime deadline;
  // Versions that were reverted before. Their targets may still be there when the next order comes.
  std::vector<TargetVersion> barred;

  bool Bars(const TargetVersion& target) const;
  bool operator==(const Rollout&) const = default;
};

using Rollouts = std::map<ServiceName, Rollout>;

/// Reads the member "rollouts" of a document and reports its problems under `path`.
Rollouts ReadRollouts(const std::string& path, const nlohmann::json& member,
                      std::vector<Problem>& problems);
/// The member "rollouts" as canonical JSON; empty without rollouts.
std::string RolloutsText(const Rollouts& rollouts);

/// The value of the member "rollouts" of a stored text, or "" if it has none.
std::string FindRolloutsText(const std::string& stored_text);
/// The stored text with its member "rollouts" replaced. The text must be in the stored form.
std::string ReplaceRollouts(const std::string& stored_text, const Rollouts& rollouts);

/// Whether a target may run a request of its service. `rollout` is null for a service without one.
/// `chosen_for` is the version for which the caller's daemon chose the target; empty when that
/// daemon knows of no rollout. While a rollout is serving, the new targets take only requests of
/// daemons that apply its share.
bool MayRun(const Rollout* rollout, const TargetVersion& target, const TargetVersion& chosen_for);

/// The versions that an order for `version` bars, after the rollout before it; null without one.
std::vector<TargetVersion> BarredAfter(const Rollout* before, const TargetVersion& version);

/// The share that a daemon applies while its newest configuration says `serving`. A daemon that
/// gets no updates must not use the new targets beyond the deadline, since they may have been
/// reverted; with a whole share it goes on, since the old ones may have been stopped.
uint32_t ShareAt(const Rollout& rollout, WallTime now);

}  // namespace endivecleat

#endif  // ENDIVECLEAT_ROLLOUT_H_
