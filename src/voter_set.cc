// Voter sets have few elements, so that lookups scan a vector. Encoded sets are CBOR.
#include "voter_set.h"

#include <nlohmann/json.hpp>

#include "errors.h"

namespace endivecleat {

bool Contains(const std::vector<Voter>& voters, const Voter& voter) {
  return std::find(voters.begin(), voters.end(), voter) != voters.end();
}

const Voter* FindInstance(const std::vector<Voter>& voters, const InstanceId& instance) {
  const auto found = std::find_if(voters.begin(), voters.end(),
                                  [&](const Voter& voter) { return voter.instance == instance; });
  return found == voters.end() ? nullptr : &*found;
}

size_t MajoritySize(const std::vector<Voter>& voters) { return voters.size() / 2 + 1; }

std::string EncodeVoters(const std::vector<Voter>& voters) {
  nlohmann::json list = nlohmann::json::array();
  for (const Voter& voter : voters) {
    list.push_back({voter.instance.value(), voter.incarnation.value()});
  }
  std::string bytes;
  nlohmann::json::to_cbor(list, bytes);
  return bytes;
}

std::vector<Voter> DecodeVoters(std::string_view payload) {
  try {
    std::vector<Voter> voters;
    for (const auto& item : nlohmann::json::from_cbor(payload)) {
      voters.push_back(Voter{InstanceId(item.at(0).get<std::string>()),
                             Incarnation(item.at(1).get<uint64_t>())});
    }
    return voters;
  } catch (const nlohmann::json::exception& error) {
    throw UserError(ResultCode::kMessageMalformed,
                    std::string("a voter set cannot be decoded: ") + error.what());
  }
}

}  // namespace endivecleat
