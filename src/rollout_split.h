// Divides the targets of a service between the old and the new version of a rollout at a caller's
// daemon, and chooses the version for each request by the share. Pure.
#ifndef ENDIVECLEAT_ROLLOUT_SPLIT_H_
#define ENDIVECLEAT_ROLLOUT_SPLIT_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "rollout.h"
#include "units.h"

namespace endivecleat {

/// A target of the service that could serve requests if its version may.
struct VersionedTarget {
  InstanceId instance;
  TargetVersion version;
  WallTime boot_time;  // of its daemon
};

/// Whether a target that appears with this version, without a rollout of its service in the
/// configuration in force, may be one of an order that has not arrived yet: all targets that have
/// been there for some time are of other versions. Such a target waits for as long as the
/// distribution of a configuration may take. `own_boot_time` is that of its daemon.
bool MayPrecedeOrder(const TargetVersion& version, WallTime own_boot_time,
                     const std::vector<VersionedTarget>& others);

class RolloutSplit {
 public:
  /// Replaces the targets. A small share goes to a few of the new targets, the longest running
  /// ones, so that these carry as much load as the old ones and a version that is bad only under
  /// load shows while it gets few requests.
  void Update(const Rollout* rollout, WallTime now, const std::vector<VersionedTarget>& targets);

  /// Whether the choice of a target is restricted at all.
  bool active() const { return active_; }
  /// Whether a request is to go to the new version; `random` is evenly distributed.
  bool ChooseNew(uint64_t random) const { return random % kWholeShare < share_; }
  /// The instances that a request for the version must not be sent to. If a version has no targets
  /// of its own, the other one takes its requests, as far as it may.
  const std::vector<InstanceId>& Excluded(bool new_version) const;
  /// Whether no other version is left to try when the targets of the new one refuse.
  bool only_new() const { return share_ == kWholeShare; }
  /// The version for which a target is chosen; empty if it is an old one.
  TargetVersion VersionOf(const InstanceId& instance) const;

 private:
  bool active_ = false;
  uint32_t share_ = 0;
  std::optional<Rollout> rollout_;
  std::vector<InstanceId> not_old_;  // excluded for the old version
  std::vector<InstanceId> not_new_;  // excluded for the new version
  std::vector<InstanceId> new_instances_;
};

}  // namespace endivecleat

#endif  // ENDIVECLEAT_ROLLOUT_SPLIT_H_
