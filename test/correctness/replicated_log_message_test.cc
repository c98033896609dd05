// Guards against message fields that encoding and decoding lose or change, and against malformed
// bytes that crash the process instead of being rejected.
#include "replicated_log_message.h"

#include <CppUTest/TestHarness.h>

#include "errors.h"
#include "seeded_random.h"

using namespace endivecleat;  // NOLINT(google-build-using-namespace)

namespace {

LogMessage FullMessage(LogMessageKind kind) {
  LogMessage message{
      .kind = kind, .from = Incarnation(UINT64_MAX), .to = Incarnation(3), .term = Term(4)};
  if (kind != LogMessageKind::kJoinRequest) {
    message.index = LogIndex(5);
    message.log_term = Term(6);
    message.accepted = true;
    message.hint = LogIndex(7);
    message.commit = LogIndex(8);
    message.round = 9;
  }
  if (kind == LogMessageKind::kAppend) {
    message.entries = {{LogIndex(10), Term(11), EntryKind::kCommand, std::string("\0\xff", 2)}};
  }
  if (kind == LogMessageKind::kSnapshot) {
    message.voters = {{InstanceId("a"), Incarnation(12)}};
    message.offset = 13;
    message.total = 14;
    message.data = std::string("\0\xfe", 2);
  }
  return message;
}

}  // namespace

TEST_GROUP(LogMessageEncoded){};

TEST(LogMessageEncoded, DecodesToItself) {
  for (int kind = 0; kind <= static_cast<int>(LogMessageKind::kJoinRequest); ++kind) {
    const LogMessage message = FullMessage(static_cast<LogMessageKind>(kind));
    CHECK(DecodeLogMessage(EncodeLogMessage(message)) == message);
  }
}

TEST(LogMessageEncoded, IsRejectedWhenTruncated) {
  const std::string bytes = EncodeLogMessage(FullMessage(LogMessageKind::kSnapshot));
  for (size_t length = 0; length < bytes.size(); ++length) {
    CHECK_THROWS(UserError, DecodeLogMessage(bytes.substr(0, length)));
  }
}

TEST(LogMessageEncoded, IsRejectedOrDecodedWhenCorrupted) {
  SeededRandom random(1);
  const std::string bytes = EncodeLogMessage(FullMessage(LogMessageKind::kAppend));
  for (int i = 0; i < 2000; ++i) {
    std::string damaged = bytes;
    damaged[random.Below(bytes.size())] = static_cast<char>(random.Next());
    try {
      DecodeLogMessage(damaged);
    } catch (const UserError& error) {
      CHECK(error.code() == ResultCode::kMessageMalformed);
    }
  }
}
