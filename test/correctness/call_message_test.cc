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

TEST(AttemptSent, AnnouncesABodyThatFollows) {
  message.service = ServiceName("desk");
  message.body_follows = true;
  AttemptMessage received = DecodeAttempt(EncodeAttempt(message));
  CHECK(received.body_follows);
  CHECK_FALSE(received.body_length.has_value());
  CHECK(received.service == ServiceName("desk"));
  message.body_length = uint64_t{67108864};
  received = DecodeAttempt(EncodeAttempt(message));
  CHECK(received.body_length == uint64_t{67108864});
  LONGS_EQUAL(1, received.request.headers.size());
}

// A daemon of the version before takes the whole text for the name of the service. It must not be
// one that a configuration may contain: the daemon would run the request without its body.
TEST(AttemptSent, WithABodyThatFollowsNamesNoServiceOfADaemonOfTheVersionBefore) {
  message.service = ServiceName("desk");
  message.body_follows = true;
  const std::string bytes = EncodeAttempt(message);
  CHECK(bytes.find("+upload desk") != std::string::npos);
  message.body_follows = false;
  CHECK(EncodeAttempt(message).find("upload") == std::string::npos);
}

TEST(AttemptSent, IsRejectedWithAnInvalidLengthOfItsBody) {
  const auto with_length = [this](const std::string& text) {
    message.request.headers.Set("endivecleat-body", text);
    std::string bytes = EncodeAttempt(message);
    bytes.replace(1, 1, "\x08+upload ");  // in place of the length of the empty name of the service
    return bytes;
  };
  LONGS_EQUAL(12, *DecodeAttempt(with_length("12")).body_length);
  for (const char* text : {"-1", "x", "12x"}) {
    CHECK_THROWS(UserError, DecodeAttempt(with_length(text)));
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

// Guards against tenants that share nothing fairly because the daemon beside the target does not
// know them, against a caller that names a tenant itself, and against daemons of the release before
// that cannot read a reply.
TEST_GROUP(AttemptTenant) {
  AttemptMessage message;
  AttemptReply reply;
  void setup() override {
    message.attempt = AttemptId("run-7/1");
    message.tenant = TenantName("north grid");
    reply.outcome = Refusal{ResultCode::kOverloaded};
    reply.load = {12, 9, milliseconds(89), milliseconds(140)};
  }
};

TEST(AttemptTenant, TravelsInAHeaderFieldThatTheTargetDoesNotGet) {
  const AttemptMessage received = DecodeAttempt(EncodeAttempt(message));
  STRCMP_EQUAL("north grid", received.tenant.value().c_str());
  LONGS_EQUAL(kMaxReplyFormat, received.reply_format);
  LONGS_EQUAL(0, received.request.headers.size());
}

TEST(AttemptTenant, IsNotTakenFromTheCaller) {
  message.tenant = TenantName();
  message.request.headers.Add("Endivecleat-Tenant", "south grid");
  message.request.headers.Add("Endivecleat-Reply", "9");
  const AttemptMessage received = DecodeAttempt(EncodeAttempt(message));
  CHECK(received.tenant.empty());
  LONGS_EQUAL(0, received.request.headers.size());
}

TEST(AttemptTenant, GetsTheFormerReplyWithoutTheFieldOfTheReplyFormat) {
  message.reply_format = kMinReplyFormat;
  LONGS_EQUAL(kMinReplyFormat, DecodeAttempt(EncodeAttempt(message)).reply_format);
  const std::string former = EncodeAttemptReply(reply, kMinReplyFormat);
  // Format, busy, slots, kind of outcome, code 403 in two bytes, target died, reached the target.
  LONGS_EQUAL(8, former.size());
  LONGS_EQUAL(2, former[0]);
  const AttemptReply received = DecodeAttemptReply(former);
  CHECK((received.load == TargetLoad{12, 9}));
  CHECK(received.outcome == reply.outcome);
}

TEST(AttemptTenant, ReplyCarriesTheServiceTimeAndTheWait) {
  const AttemptReply received = DecodeAttemptReply(EncodeAttemptReply(reply));
  CHECK(received.load == reply.load);
  CHECK(received.outcome == reply.outcome);
  std::string newer = EncodeAttemptReply(reply);
  newer[0] = 4;
  CHECK_THROWS(UserError, DecodeAttemptReply(newer));
}
