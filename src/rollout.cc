// Encodes the rollouts as one JSON object by service name, with sorted keys and no whitespace as
// the stored text has them.
#include "rollout.h"

#include <algorithm>
#include <array>
#include <string_view>

#include "json_document.h"
#include "stored_text.h"

namespace endivecleat {
namespace {

using Json = nlohmann::json;

constexpr std::array<const char*, 3> kStateNames = {"serving", "complete", "reverted"};
constexpr uint64_t kMaxTimeMs = uint64_t{1} << 53U;

class RolloutReader {
 public:
  RolloutReader(std::string path, const Json& object, std::vector<Problem>& problems)
      : path_(std::move(path)), object_(object), problems_(problems) {}

  Rollout Read() {
    Rollout rollout;
    rollout.version = TargetVersion(ReadString("version"));
    if (rollout.version.empty() || rollout.version.value().size() > kMaxTargetVersionBytes) {
      Report("version", "must have 1 to 64 bytes");
    }
    rollout.state = ReadState();
    rollout.share = static_cast<uint32_t>(ReadNumber("share", kWholeShare));
    rollout.start = WallTime(ReadNumber("start", kMaxTimeMs));
    rollout.deadline = WallTime(ReadNumber("deadline", kMaxTimeMs));
    rollout.barred = ReadBarred();
    return rollout;
  }

 private:
  void Report(const char* key, std::string message) {
    problems_.push_back({JsonPathAppend(path_, key), std::move(message)});
  }

  std::string ReadString(const char* key) {
    const auto found = object_.find(key);
    if (found == object_.end() || !found->is_string()) {
      Report(key, "must be a string");
      return "";
    }
    return found->get<std::string>();
  }

  uint64_t ReadNumber(const char* key, uint64_t maximum) {
    const auto found = object_.find(key);
    if (found == object_.end() || !found->is_number_unsigned() ||
        found->get<uint64_t>() > maximum) {
      Report(key, "must be a whole number up to " + std::to_string(maximum));
      return 0;
    }
    return found->get<uint64_t>();
  }

  std::vector<TargetVersion> ReadBarred() {
    std::vector<TargetVersion> barred;
    const auto found = object_.find("barred");
    if (found == object_.end()) {
      return barred;
    }
    bool valid = found->is_array() && found->size() <= kMaxBarredVersions;
    for (size_t index = 0; valid && index < found->size(); ++index) {
      valid = found->at(index).is_string();
      barred.emplace_back(valid ? found->at(index).get<std::string>() : "");
    }
    if (!valid) {
      Report("barred", "must be an array of at most 8 strings");
    }
    return barred;
  }

  RolloutState ReadState() {
    const std::string name = ReadString("state");
    for (size_t state = 0; state < kStateNames.size(); ++state) {
      if (name == kStateNames.at(state)) {
        return static_cast<RolloutState>(state);
      }
    }
    Report("state", "must be serving, complete or reverted");
    return RolloutState::kReverted;
  }

  std::string path_;
  const Json& object_;
  std::vector<Problem>& problems_;
};

}  // namespace

const char* RolloutStateName(RolloutState state) {
  return kStateNames.at(static_cast<size_t>(state));
}

Rollouts ReadRollouts(const std::string& path, const Json& member, std::vector<Problem>& problems) {
  Rollouts rollouts;
  if (!member.is_object()) {
    problems.push_back({path, "must be an object"});
    return rollouts;
  }
  for (const auto& [name, object] : member.items()) {
    const std::string entry = JsonPathAppend(path, name);
    if (!object.is_object()) {
      problems.push_back({entry, "must be an object"});
      continue;
    }
    rollouts[ServiceName(name)] = RolloutReader(entry, object, problems).Read();
  }
  return rollouts;
}

std::string RolloutsText(const Rollouts& rollouts) {
  if (rollouts.empty()) {
    return "";
  }
  Json member = Json::object();
  for (const auto& [service, rollout] : rollouts) {
    member[service.value()] = {{"deadline", rollout.deadline.value()},
                               {"share", rollout.share},
                               {"start", rollout.start.value()},
                               {"state", RolloutStateName(rollout.state)},
                               {"version", rollout.version.value()}};
    for (const TargetVersion& version : rollout.barred) {
      member[service.value()]["barred"].push_back(version.value());
    }
  }
  return member.dump();
}

std::string FindRolloutsText(const std::string& stored_text) {
  return std::string(FindStoredMember(stored_text, "rollouts").value);
}

std::string ReplaceRollouts(const std::string& stored_text, const Rollouts& rollouts) {
  const StoredMember member = FindStoredMember(stored_text, "rollouts");
  std::string text = stored_text.substr(0, member.start);
  if (const std::string value = RolloutsText(rollouts); !value.empty()) {
    text += ",\"rollouts\":" + value;
  }
  return text + stored_text.substr(member.end);
}

bool MayRun(const Rollout* rollout, const TargetVersion& target, const TargetVersion& chosen_for) {
  if (rollout == nullptr) {
    return true;
  }
  if (rollout->Bars(target)) {
    return false;
  }
  const bool is_new = target == rollout->version;
  switch (rollout->state) {
    case RolloutState::kServing:
      return !is_new || chosen_for == rollout->version;
    case RolloutState::kComplete:
      return is_new;
    case RolloutState::kReverted:
      break;
  }
  return !is_new;
}

bool Rollout::Bars(const TargetVersion& target) const {
  return std::find(barred.begin(), barred.end(), target) != barred.end();
}

std::vector<TargetVersion> BarredAfter(const Rollout* before, const TargetVersion& version) {
  std::vector<TargetVersion> barred;
  if (before == nullptr) {
    return barred;
  }
  barred = before->barred;
  if (before->state == RolloutState::kReverted) {
    barred.push_back(before->version);
  }
  barred.erase(std::remove(barred.begin(), barred.end(), version), barred.end());
  if (barred.size() > kMaxBarredVersions) {
    barred.erase(barred.begin());
  }
  return barred;
}

uint32_t ShareAt(const Rollout& rollout, WallTime now) {
  return rollout.share < kWholeShare && now > rollout.deadline ? 0 : rollout.share;
}

}  // namespace endivecleat
