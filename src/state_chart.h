// Interprets the state machines in charts/*.chart. A chart lists states, events and the transition
// table; the code looks the next state up instead of hard-coding transitions. Loading a chart
// checks that the table has an entry for every pair of a state and an event.
#ifndef ENDIVECLEAT_STATE_CHART_H_
#define ENDIVECLEAT_STATE_CHART_H_

#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace endivecleat {

/// The transition table of one chart. A chart is JSON: {"name", "initial", "states": [..],
/// "events": [..], "transitions": {state: {event: next}}}. A transition to the same state means
/// that the state ignores the event.
class StateChart {
 public:
  /// Throws InternalError if the text is not a complete chart. It is no UserError, because charts
  /// are compiled into the program.
  explicit StateChart(std::string_view text);

  const std::string& name() const { return name_; }
  const std::string& initial() const { return initial_; }
  const std::vector<std::string>& states() const { return states_; }
  const std::vector<std::string>& events() const { return events_; }

  /// Returns the next state. Throws InternalError if the chart does not have the state or the
  /// event.
  const std::string& Next(const std::string& state, const std::string& event) const;

 private:
  void CheckComplete() const;

  std::string name_;
  std::string initial_;
  std::vector<std::string> states_;
  std::vector<std::string> events_;
  // The next state for every pair of a state and an event.
  std::map<std::pair<std::string, std::string>, std::string> transitions_;
};

}  // namespace endivecleat

#endif  // ENDIVECLEAT_STATE_CHART_H_
