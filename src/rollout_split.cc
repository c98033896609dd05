// Keeps for each version the list of instances that its requests must not be sent to.
#include "rollout_split.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace endivecleat {
namespace {

// Targets that start together, as after a restart of all, do not wait for each other.
constexpr uint64_t kSettledMs = 10'000;
// With one target alone, a fault of that target could not be told from one of the version.
constexpr size_t kMinNewTargets = 2;

size_t TargetsFor(uint32_t share, size_t old_targets, size_t new_targets) {
  if (share == kWholeShare) {
    return new_targets;
  }
  const double part = static_cast<double>(share) / kWholeShare;
  const auto needed = static_cast<size_t>(std::ceil(part * static_cast<double>(old_targets)));
  return std::min(std::max(needed, kMinNewTargets), new_targets);
}

}  // namespace

bool MayPrecedeOrder(const TargetVersion& version, WallTime own_boot_time,
                     const std::vector<VersionedTarget>& others) {
  bool settled = false;
  for (const VersionedTarget& other : others) {
    if (other.version == version) {
      return false;
    }
    settled = settled || (!other.version.empty() &&
                          other.boot_time.value() + kSettledMs < own_boot_time.value());
  }
  return settled && !version.empty();
}

void RolloutSplit::Update(const Rollout* rollout, WallTime now,
                          const std::vector<VersionedTarget>& targets) {
  active_ = rollout != nullptr;
  rollout_ = active_ ? std::optional(*rollout) : std::nullopt;
  not_old_.clear();
  not_new_.clear();
  new_instances_.clear();
  share_ = 0;
  if (!active_) {
    return;
  }
  std::vector<VersionedTarget> new_targets;
  std::vector<InstanceId> old_targets;
  std::vector<InstanceId> barred;
  for (const VersionedTarget& target : targets) {
    if (target.version == rollout->version) {
      new_targets.push_back(target);
    } else if (rollout->Bars(target.version)) {
      barred.push_back(target.instance);
    } else {
      old_targets.push_back(target.instance);
    }
  }
  std::sort(new_targets.begin(), new_targets.end(),
            [](const VersionedTarget& one, const VersionedTarget& other) {
              return std::tie(one.boot_time, one.instance) <
                     std::tie(other.boot_time, other.instance);
            });
  for (const VersionedTarget& target : new_targets) {
    new_instances_.push_back(target.instance);
  }
  not_old_ = barred;
  if (rollout->state == RolloutState::kComplete) {
    share_ = kWholeShare;
    not_old_.insert(not_old_.end(), old_targets.begin(), old_targets.end());
    not_new_ = not_old_;
    return;
  }
  if (rollout->state == RolloutState::kReverted) {
    not_old_.insert(not_old_.end(), new_instances_.begin(), new_instances_.end());
    not_new_ = not_old_;
    return;
  }
  not_new_ = barred;
  share_ = ShareAt(*rollout, now);
  if (new_instances_.empty()) {
    share_ = 0;
    return;
  }
  if (old_targets.empty()) {
    share_ = kWholeShare;  // the platform stops the old targets only after the rollout is complete
    return;
  }
  not_old_.insert(not_old_.end(), new_instances_.begin(), new_instances_.end());
  not_new_.insert(not_new_.end(), old_targets.begin(), old_targets.end());
  const size_t used = TargetsFor(share_, old_targets.size(), new_instances_.size());
  not_new_.insert(not_new_.end(), new_instances_.begin() + static_cast<ptrdiff_t>(used),
                  new_instances_.end());
}

const std::vector<InstanceId>& RolloutSplit::Excluded(bool new_version) const {
  return new_version ? not_new_ : not_old_;
}

TargetVersion RolloutSplit::VersionOf(const InstanceId& instance) const {
  const bool is_new =
      std::find(new_instances_.begin(), new_instances_.end(), instance) != new_instances_.end();
  return rollout_ && is_new ? rollout_->version : TargetVersion();
}

}  // namespace endivecleat
