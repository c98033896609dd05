// The voter set of a replicated log and its majorities. A voter is identified by its instance and
// incarnation: an instance that lost its disk, and with it its votes, comes back with a new
// incarnation and must not count as the voter that it was.
#ifndef ENDIVECLEAT_VOTER_SET_H_
#define ENDIVECLEAT_VOTER_SET_H_

#include <algorithm>
#include <compare>
#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "units.h"

namespace endivecleat {

/// One incarnation of an instance that has a vote.
struct Voter {
  InstanceId instance;
  Incarnation incarnation;

  auto operator<=>(const Voter&) const = default;
};

bool Contains(const std::vector<Voter>& voters, const Voter& voter);

/// The voter with this instance and any incarnation; null when there is none.
const Voter* FindInstance(const std::vector<Voter>& voters, const InstanceId& instance);

/// The size of a quorum: more than half of the voters.
size_t MajoritySize(const std::vector<Voter>& voters);

/// The highest value that a majority of the voters has reached, such as the index that a majority
/// has replicated; zero for an empty set.
template <class Value, class Function>
Value MajorityValue(const std::vector<Voter>& voters, Function value_of) {
  std::vector<Value> values;
  values.reserve(voters.size());
  for (const Voter& voter : voters) {
    values.push_back(value_of(voter));
  }
  std::sort(values.begin(), values.end(), std::greater<>());
  return values.empty() ? Value{} : values[MajoritySize(voters) - 1];
}

/// The payload of an entry of kind kVoters: CBOR of [[instance, incarnation], ...].
std::string EncodeVoters(const std::vector<Voter>& voters);

/// Throws UserError (kMessageMalformed) when the payload is not a valid encoding.
std::vector<Voter> DecodeVoters(std::string_view payload);

}  // namespace endivecleat

#endif  // ENDIVECLEAT_VOTER_SET_H_
