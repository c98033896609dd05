// Fields are written in a fixed order after a format version; there are no field tags.
#include "call_message.h"

#include "byte_codec.h"
#include "errors.h"

namespace endivecleat {
namespace {

constexpr uint64_t kAttemptFormatVersion = 2;
constexpr uint64_t kReplyFormatVersion = 2;
constexpr uint64_t kMaxStatus = 999;
constexpr uint64_t kMaxResultCode = 999;

template <class Headers, class NameOf, class ValueOf>
void WriteHeaders(ByteWriter& writer, const Headers& headers, NameOf name_of, ValueOf value_of) {
  writer.Number(headers.size());
  for (const auto& header : headers) {
    writer.Text(name_of(header));
    writer.Text(value_of(header));
  }
}

template <class Add>
void ReadHeaders(ByteReader& reader, Add add) {
  const size_t count = reader.Count();
  for (size_t index = 0; index < count; ++index) {
    std::string name = reader.Text();
    add(std::move(name), reader.Text());
  }
}

void WriteRequest(ByteWriter& writer, const HttpRequest& request) {
  writer.Text(request.method);
  writer.Text(request.path);
  writer.Text(request.query);
  WriteHeaders(
      writer, request.headers, [](const Header& each) { return each.name; },
      [](const Header& each) { return each.value; });
  writer.Text(request.body);
}

HttpRequest ReadRequest(ByteReader& reader) {
  HttpRequest request;
  request.method = reader.Text();
  request.path = reader.Text();
  request.query = reader.Text();
  ReadHeaders(reader, [&](std::string name, std::string value) {
    request.headers.Add(std::move(name), std::move(value));
  });
  request.body = reader.Text();
  return request;
}

void WriteAnswer(ByteWriter& writer, const TargetAnswer& answer) {
  writer.Number(static_cast<uint64_t>(answer.status));
  WriteHeaders(
      writer, answer.headers, [](const auto& each) { return each.first; },
      [](const auto& each) { return each.second; });
  writer.Text(answer.body);
  writer.Number(answer.replayed ? 1 : 0);
  writer.Number(answer.too_large ? 1 : 0);
}

TargetAnswer ReadAnswer(ByteReader& reader) {
  TargetAnswer answer;
  answer.status = static_cast<int>(reader.NumberUpTo(kMaxStatus));
  ReadHeaders(reader, [&](std::string name, std::string value) {
    answer.headers.emplace_back(std::move(name), std::move(value));
  });
  answer.body = reader.Text();
  answer.replayed = reader.NumberUpTo(1) == 1;
  answer.too_large = reader.NumberUpTo(1) == 1;
  return answer;
}

// An unknown code, as a newer version of the daemon may send it, makes the message malformed.
Refusal ReadRefusal(ByteReader& reader) {
  const uint64_t number = reader.NumberUpTo(kMaxResultCode);
  const bool target_died = reader.NumberUpTo(1) == 1;
  const bool reached_target = reader.NumberUpTo(1) == 1;
  for (const ResultCodeInfo& row : ResultCodeTable()) {
    if (static_cast<uint64_t>(row.code) == number) {
      return {row.code, target_died, reached_target};
    }
  }
  throw UserError(ResultCode::kMessageMalformed, "unknown result code in a reply");
}

}  // namespace

std::string EncodeAttempt(const AttemptMessage& message) {
  ByteWriter writer;
  writer.Number(kAttemptFormatVersion);
  writer.Text(message.service.value());
  writer.Number(static_cast<uint64_t>(message.kind));
  writer.Text(message.key.value());
  writer.Text(message.digest);
  writer.Text(message.attempt.value());
  writer.Text(message.request_id);
  writer.Number(static_cast<uint64_t>(std::max<Duration::rep>(message.time_left.count(), 0)));
  writer.Number(message.priority.value());
  writer.Number(message.useful_for ? static_cast<uint64_t>(message.useful_for->count()) + 1 : 0);
  WriteRequest(writer, message.request);
  return writer.Take();
}

AttemptMessage DecodeAttempt(std::string_view bytes) {
  ByteReader reader(bytes);
  AttemptMessage message;
  reader.ExpectNumber(kAttemptFormatVersion);
  message.service = ServiceName(reader.Text());
  message.kind =
      static_cast<CallKind>(reader.NumberUpTo(static_cast<uint64_t>(CallKind::kAtMostOnce)));
  message.key = IdempotencyKey(reader.Text());
  message.digest = reader.Text();
  message.attempt = AttemptId(reader.Text());
  message.request_id = reader.Text();
  const auto max_duration = static_cast<uint64_t>(Duration(std::chrono::hours(24)).count());
  message.time_left = Duration(static_cast<Duration::rep>(reader.NumberUpTo(max_duration)));
  message.priority = Priority(reader.Number());
  if (const uint64_t encoded = reader.NumberUpTo(max_duration); encoded > 0) {
    message.useful_for = Duration(static_cast<Duration::rep>(encoded - 1));
  }
  message.request = ReadRequest(reader);
  reader.ExpectEnd();
  return message;
}

std::string EncodeAttemptReply(const AttemptReply& reply) {
  ByteWriter writer;
  writer.Number(kReplyFormatVersion);
  writer.Number(reply.load.busy);
  writer.Number(reply.load.slots);
  writer.Number(reply.outcome.index());
  if (const auto* answer = std::get_if<TargetAnswer>(&reply.outcome)) {
    WriteAnswer(writer, *answer);
  } else {
    const auto& refusal = std::get<Refusal>(reply.outcome);
    writer.Number(static_cast<uint64_t>(refusal.code));
    writer.Number(refusal.target_died ? 1 : 0);
    writer.Number(refusal.reached_target ? 1 : 0);
  }
  return writer.Take();
}

AttemptReply DecodeAttemptReply(std::string_view bytes) {
  ByteReader reader(bytes);
  AttemptReply reply;
  reader.ExpectNumber(kReplyFormatVersion);
  reply.load.busy = reader.Number();
  reply.load.slots = reader.Number();
  if (reader.NumberUpTo(1) == 0) {
    reply.outcome = ReadAnswer(reader);
  } else {
    reply.outcome = ReadRefusal(reader);
  }
  reader.ExpectEnd();
  return reply;
}

}  // namespace endivecleat
