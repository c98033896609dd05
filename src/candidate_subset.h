// Limits the targets of a service that one daemon uses. A daemon keeps a link and statistics for
// each target that it sends to, and each of hundreds of daemons would keep them for each of
// hundreds of targets. It needs all targets of its own data centre, and of each other one enough to
// spread its requests over while its own are full.
#ifndef ENDIVECLEAT_CANDIDATE_SUBSET_H_
#define ENDIVECLEAT_CANDIDATE_SUBSET_H_

#include <vector>

#include "balancer.h"
#include "units.h"

namespace endivecleat {

/// A target and the data centre that it is in.
struct LocatedCandidate {
  DataCentreId data_centre;
  Candidate candidate;
};

/// Targets used of one data centre, by its distance from the daemon.
constexpr size_t kMaxOwnDataCentreTargets = 64;
constexpr size_t kMaxOwnRegionTargets = 8;
constexpr size_t kMaxOtherRegionTargets = 4;

/// Returns at most that many candidates of each data centre. The choice depends on the daemon and
/// on each target alone (rendezvous hashing): all targets are used by about equally many daemons,
/// and a target that joins or leaves changes at most one place.
std::vector<Candidate> LimitCandidates(const InstanceId& self,
                                       const std::vector<LocatedCandidate>& all);

}  // namespace endivecleat

#endif  // ENDIVECLEAT_CANDIDATE_SUBSET_H_
