// Interprets the state charts in charts/*.chart. A chart names its states, its events and, for each
// state and event, the next state; the code asks the chart for the next state instead of spelling
// transitions out. A chart is checked for completeness when it is loaded, so that no state leaves
// an event unanswered.
#ifndef ENDIVECLEAT_STATE_CHART_H_
#define ENDIVECLEAT_STATE_CHART_H_

#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace endivecleat {

/// A chart is JSON: {"name", "initial", "states": [..], "events": [..], "transitions": {state:
/// {event: next}}}. A transition to the same state says that the state ignores the event.
class StateChart {
 public:
  /// Throws InternalError when the text is not a complete chart: charts are part of the program.
  explicit StateChart(std::string_view text);

  const std::string& name() const { return name_; }
  const std::string& initial() const { return initial_; }
  const std::vector<std::string>& states() const { return states_; }
  const std::vector<std::string>& events() const { return events_; }

  /// The state that follows. Throws InternalError for a state or an event that the chart does not
  /// have.
  const std::string& Next(const std::string& state, const std::string& event) const;

 private:
  void CheckComplete() const;

  std::string name_;
  std::string initial_;
  std::vector<std::string> states_;
  std::vector<std::string> events_;
  // Holds a next state for every pair of a state and an event.
  std::map<std::pair<std::string, std::string>, std::string> transitions_;
};

}  // namespace endivecleat

#endif  // ENDIVECLEAT_STATE_CHART_H_
