// The set of voters of a replicated log. A voter is an instance together with its incarnation, so
// that an instance whose disk was lost is a different voter from the one that it was before.
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

struct Voter {
  InstanceId instance;
  Incarnation incarnation;

  auto operator<=>(const Voter&) const = default;
};

bool Contains(const std::vector<Voter>& voters, const Voter& voter);

/// The voter of an instance, whatever its incarnation; null when there is none.
const Voter* FindInstance(const std::vector<Voter>& voters, const InstanceId& instance);

/// The smallest number of voters that every other majority intersects.
size_t MajorityOf(const std::vector<Voter>& voters);

/// The highest value that a majority of the voters has reached; zero for an empty set.
template <class Value, class Function>
Value MajorityValue(const std::vector<Voter>& voters, Function value_of) {
  std::vector<Value> values;
  values.reserve(voters.size());
  for (const Voter& voter : voters) {
    values.push_back(value_of(voter));
  }
  std::sort(values.begin(), values.end(), std::greater<>());
  return values.empty() ? Value{} : values[MajorityOf(voters) - 1];
}

/// The payload of an entry of kind kVoters: CBOR of [[instance, incarnation], ...].
std::string EncodeVoters(const std::vector<Voter>& voters);

/// Throws UserError (kMessageMalformed) when the payload is not one of EncodeVoters.
std::vector<Voter> DecodeVoters(std::string_view payload);

}  // namespace endivecleat

#endif  // ENDIVECLEAT_VOTER_SET_H_
