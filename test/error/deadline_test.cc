// Guards against a malformed header that is accepted as a deadline or a trace.
#include "deadline.h"

#include <CppUTest/TestHarness.h>

#include "errors.h"

using endivecleat::ParseTimeout;
using endivecleat::ParseTraceparent;
using endivecleat::UserError;

TEST_GROUP(TimeoutHeaderMalformed){};

TEST(TimeoutHeaderMalformed, IsRejected) {
  for (const char* text : {"", "-1", "1.5", "10ms", " 10", "x"}) {
    CHECK_THROWS(UserError, ParseTimeout(text));
  }
}

TEST_GROUP(TraceparentMalformed){};

TEST(TraceparentMalformed, IsIgnored) {
  for (const char* text : {
           "",
           "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7",
           "00-4BF92F3577B34DA6A3CE929D0E0E4736-00f067aa0ba902b7-01",
           "00-00000000000000000000000000000000-00f067aa0ba902b7-01",
           "00-4bf92f3577b34da6a3ce929d0e0e4736-0000000000000000-01",
           "ff-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01",
           "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01-x",
           "00_4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01",
           "01-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01x",
       }) {
    CHECK_TEXT(!ParseTraceparent(text).has_value(), text);
  }
  CHECK(ParseTraceparent("01-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01-x").has_value());
}
