// Guards against requests that run after their caller has given up: what an attempt spends on a
// full network link counts against its time.
#include "call_message.h"

#include <CppUTest/TestHarness.h>

#include "errors.h"

using namespace endivecleat;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(AttemptSent) {
  AttemptMessage message;
  void setup() override {
    message.attempt = AttemptId("run-7/1");
    message.time_left = milliseconds(800);
    message.objective_left = milliseconds(250);
    message.objective = milliseconds(250);
    message.max_wait = Duration{};
    message.sent_at = TimePoint{} + seconds(5000);
    message.request.headers.Add("host", "example");
  }
};

TEST(AttemptSent, CarriesItsTimeOfSendingButNotToTheTarget) {
  const AttemptMessage received = DecodeAttempt(EncodeAttempt(message));
  CHECK(received.sent_at == message.sent_at);
  CHECK(received.max_wait == message.max_wait);
  LONGS_EQUAL(1, received.request.headers.size());
}

TEST(AttemptSent, IsAcceptedWithoutATimeOfSending) {
  message.sent_at.reset();
  CHECK_FALSE(DecodeAttempt(EncodeAttempt(message)).sent_at.has_value());
}

TEST(AttemptSent, IsRejectedWithAnInvalidTimeOfSending) {
  message.sent_at.reset();
  for (const char* text : {"-1", "soon", "12x", "99999999999999999999"}) {
    message.request.headers.Set("endivecleat-sent", text);
    CHECK_THROWS(UserError, DecodeAttempt(EncodeAttempt(message)));
  }
}

TEST(AttemptSent, HasLessTimeLeftAfterAWaitOnTheWay) {
  DeductTransit(message, milliseconds(100));
  CHECK(message.time_left == milliseconds(700));
  CHECK(message.objective_left == milliseconds(150));
  DeductTransit(message, seconds(1));
  CHECK(message.time_left == Duration{});
  CHECK(message.objective_left == Duration{});
}
