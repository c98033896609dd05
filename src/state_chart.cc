// Parses a chart and verifies that its transition table is complete and names only known states and
// events.
#include "state_chart.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "errors.h"

namespace endivecleat {
namespace {

bool Contains(const std::vector<std::string>& names, const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

}  // namespace

StateChart::StateChart(std::string_view text) {
  try {
    const nlohmann::json chart = nlohmann::json::parse(text);
    name_ = chart.at("name").get<std::string>();
    initial_ = chart.at("initial").get<std::string>();
    states_ = chart.at("states").get<std::vector<std::string>>();
    events_ = chart.at("events").get<std::vector<std::string>>();
    for (const auto& [state, row] : chart.at("transitions").items()) {
      for (const auto& [event, next] : row.items()) {
        transitions_[{state, event}] = next.get<std::string>();
      }
    }
  } catch (const nlohmann::json::exception& error) {
    throw InternalError(std::string("state chart is malformed: ") + error.what());
  }
  CheckComplete();
}

const std::string& StateChart::Next(const std::string& state, const std::string& event) const {
  const auto found = transitions_.find({state, event});
  ENDIVECLEAT_CHECK(found != transitions_.end(),
                    "chart " + name_ + " has no transition for " + event + " in " + state);
  return found->second;
}

void StateChart::CheckComplete() const {
  ENDIVECLEAT_CHECK(Contains(states_, initial_), "chart " + name_ + ": unknown initial state");
  ENDIVECLEAT_CHECK(transitions_.size() == states_.size() * events_.size(),
                    "chart " + name_ + ": not every state has a transition for every event");
  for (const auto& [from, next] : transitions_) {
    const bool known =
        Contains(states_, from.first) && Contains(events_, from.second) && Contains(states_, next);
    ENDIVECLEAT_CHECK(known, "chart " + name_ + ": transition " + from.first + "/" + from.second +
                                 " names an unknown state or event");
  }
}

}  // namespace endivecleat
