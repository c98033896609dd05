// Guards against a chart without a transition for some state and event, which would throw
// InternalError at run time and stop the process.
#include "state_chart.h"

#include <CppUTest/TestHarness.h>

#include "errors.h"

using endivecleat::InternalError;
using endivecleat::StateChart;

TEST_GROUP(StateChartIncomplete){};

TEST(StateChartIncomplete, WithMissingTransitionIsRejected) {
  const char* text = R"({"name":"x","initial":"a","states":["a","b"],"events":["go"],
                         "transitions":{"a":{"go":"b"}}})";
  CHECK_THROWS(InternalError, StateChart(text));
}

TEST(StateChartIncomplete, WithUnknownNextStateIsRejected) {
  const char* text = R"({"name":"x","initial":"a","states":["a"],"events":["go"],
                         "transitions":{"a":{"go":"c"}}})";
  CHECK_THROWS(InternalError, StateChart(text));
}

TEST_GROUP(StateChartShipped){};

TEST(StateChartShipped, DefinesATransitionForEveryEventInEveryState) {
  const StateChart target(
#include "target.chart"
  );
  const StateChart once(
#include "once.chart"
  );
  STRCMP_EQUAL("ready", target.Next("warming", "warmed_up").c_str());
  STRCMP_EQUAL("refused", once.Next("refused", "claim").c_str());
}
