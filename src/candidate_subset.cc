// Keeps the candidates with the highest hashes of the daemon's id and their own.
#include "candidate_subset.h"

#include <xxhash.h>

#include <algorithm>
#include <map>
#include <string>
#include <utility>

namespace endivecleat {
namespace {

size_t MaxTargets(Locality locality) {
  switch (locality) {
    case Locality::kOwnDataCentre:
      return kMaxOwnDataCentreTargets;
    case Locality::kOwnRegion:
      return kMaxOwnRegionTargets;
    case Locality::kOtherRegion:
      break;
  }
  return kMaxOtherRegionTargets;
}

uint64_t Rank(const InstanceId& self, const InstanceId& target) {
  const uint64_t seed = XXH3_64bits(self.value().data(), self.value().size());
  return XXH3_64bits_withSeed(target.value().data(), target.value().size(), seed);
}

}  // namespace

std::vector<Candidate> LimitCandidates(const InstanceId& self,
                                       const std::vector<LocatedCandidate>& all) {
  using Ranked = std::pair<uint64_t, const Candidate*>;
  std::map<DataCentreId, std::vector<Ranked>> by_data_centre;
  for (const LocatedCandidate& located : all) {
    by_data_centre[located.data_centre].emplace_back(
        Rank(self, located.candidate.endpoint.instance), &located.candidate);
  }
  std::vector<Candidate> limited;
  for (auto& [data_centre, ranked] : by_data_centre) {
    const size_t limit = MaxTargets(ranked.front().second->locality);
    if (ranked.size() > limit) {
      std::nth_element(
          ranked.begin(), ranked.begin() + static_cast<ptrdiff_t>(limit), ranked.end(),
          [](const Ranked& one, const Ranked& other) { return one.first > other.first; });
      ranked.resize(limit);
    }
    for (const auto& [rank, candidate] : ranked) {
      limited.push_back(*candidate);
    }
  }
  return limited;
}

}  // namespace endivecleat
