// Fields are written in a fixed order after a format version; there are no field tags.
#include "call_message.h"

#include <algorithm>
#include <charconv>
#include <chrono>

#include "byte_codec.h"
#include "errors.h"

namespace endivecleat {
namespace {

constexpr uint64_t kAttemptFormatVersion = 2;
constexpr uint64_t kMaxStatus = 999;
constexpr uint64_t kMaxResultCode = 999;
// Internal header field: the objective and the longest wait in microseconds, separated by a space;
// the latter is left out if there is no limit.
constexpr char kOfferHeader[] = "endivecleat-offer";
// Internal header field: the sender's boot clock in microseconds.
constexpr char kSentHeader[] = "endivecleat-sent";
// Internal header field: the version of a rollout for which the target was chosen.
constexpr char kVersionHeader[] = "endivecleat-version";
// Internal header field: the length of a body that follows, or empty if it is not known.
constexpr char kBodyHeader[] = "endivecleat-body";
// Precedes the service of an attempt whose body follows. No service has such a name, so a daemon
// that does not know uploads refuses the attempt as one for another service.
constexpr std::string_view kUploadPrefix = "+upload ";
// Internal header fields: the name of the tenant, and the newest format of a reply that the sender
// understands. Without the latter, the sender is of the release before.
constexpr char kTenantHeader[] = "endivecleat-tenant";
constexpr char kReplyHeader[] = "endivecleat-reply";
constexpr Duration kMaxOfferDuration = std::chrono::hours(24);
constexpr Duration kMaxUptime = std::chrono::years(100);

template <class Headers, class NameOf, class ValueOf>
void WriteHeaders(ByteWriter& writer, const Headers& headers, NameOf name_of, ValueOf value_of) {
  writer.WriteVarint(headers.size());
  for (const auto& header : headers) {
    writer.WriteString(name_of(header));
    writer.WriteString(value_of(header));
  }
}

template <class Add>
void ReadHeaders(ByteReader& reader, Add add) {
  const size_t count = reader.ReadCount();
  for (size_t index = 0; index < count; ++index) {
    std::string name = reader.ReadString();
    add(std::move(name), reader.ReadString());
  }
}

/// The request with the internal header fields. A caller's own field of such a name is removed.
HttpRequest WithInternalHeaders(const AttemptMessage& message, const std::string& offer) {
  HttpRequest request = message.request;
  request.headers.Set(kOfferHeader, offer);
  request.headers.Remove(kVersionHeader);
  if (!message.target_version.empty()) {
    request.headers.Add(kVersionHeader, message.target_version.value());
  }
  if (message.body_follows) {
    request.headers.Set(kBodyHeader,
                        message.body_length ? std::to_string(*message.body_length) : "");
  }
  if (message.sent_at) {
    request.headers.Set(kSentHeader, std::to_string(message.sent_at->time_since_epoch().count()));
  }
  request.headers.Remove(kTenantHeader);
  if (!message.tenant.empty()) {
    request.headers.Add(kTenantHeader, message.tenant.value());
  }
  request.headers.Remove(kReplyHeader);
  if (message.reply_format > kMinReplyFormat) {
    request.headers.Add(kReplyHeader, std::to_string(message.reply_format));
  }
  return request;
}

void WriteRequest(ByteWriter& writer, const HttpRequest& request) {
  writer.WriteString(request.method);
  writer.WriteString(request.path);
  writer.WriteString(request.query);
  WriteHeaders(
      writer, request.headers, [](const Header& each) { return each.name; },
      [](const Header& each) { return each.value; });
  writer.WriteString(request.body);
}

HttpRequest ReadRequest(ByteReader& reader) {
  HttpRequest request;
  request.method = reader.ReadString();
  request.path = reader.ReadString();
  request.query = reader.ReadString();
  ReadHeaders(reader, [&](std::string name, std::string value) {
    request.headers.Add(std::move(name), std::move(value));
  });
  request.body = reader.ReadString();
  return request;
}

void WriteAnswer(ByteWriter& writer, const TargetAnswer& answer) {
  writer.WriteVarint(static_cast<uint64_t>(answer.status));
  WriteHeaders(
      writer, answer.headers, [](const auto& each) { return each.first; },
      [](const auto& each) { return each.second; });
  writer.WriteString(answer.body);
  writer.WriteVarint(answer.replayed ? 1 : 0);
  writer.WriteVarint(answer.too_large_to_replay ? 1 : 0);
}

TargetAnswer ReadAnswer(ByteReader& reader) {
  TargetAnswer answer;
  answer.status = static_cast<int>(reader.ReadVarintUpTo(kMaxStatus));
  ReadHeaders(reader, [&](std::string name, std::string value) {
    answer.headers.emplace_back(std::move(name), std::move(value));
  });
  answer.body = reader.ReadString();
  answer.replayed = reader.ReadVarintUpTo(1) == 1;
  answer.too_large_to_replay = reader.ReadVarintUpTo(1) == 1;
  return answer;
}

// An unknown code, as a newer version of the daemon may send it, makes the message malformed.
Refusal ReadRefusal(ByteReader& reader) {
  const uint64_t number = reader.ReadVarintUpTo(kMaxResultCode);
  const bool target_died = reader.ReadVarintUpTo(1) == 1;
  const bool reached_target = reader.ReadVarintUpTo(1) == 1;
  for (const ResultCodeInfo& row : ResultCodeTable()) {
    if (static_cast<uint64_t>(row.code) == number) {
      return {row.code, target_died, reached_target};
    }
  }
  throw UserError(ResultCode::kMessageMalformed, "unknown result code in a reply");
}

std::string FormatOffer(const AttemptMessage& message) {
  std::string text = std::to_string(message.objective.count());
  if (message.max_wait) {
    text.append(" ").append(std::to_string(message.max_wait->count()));
  }
  return text;
}

Duration ParseMicroseconds(std::string_view text, Duration longest) {
  Duration::rep count = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), count);
  if (error != std::errc() || end != text.data() + text.size() || count < 0 ||
      Duration(count) > longest) {
    throw UserError(ResultCode::kMessageMalformed, "invalid time in an attempt");
  }
  return Duration(count);
}

Duration ParseOfferDuration(std::string_view text) {
  return ParseMicroseconds(text, kMaxOfferDuration);
}

void TakeSentAt(AttemptMessage& message) {
  if (const std::string text = message.request.headers.ValueOr(kSentHeader, ""); !text.empty()) {
    message.sent_at = TimePoint{} + ParseMicroseconds(text, kMaxUptime);
    message.request.headers.Remove(kSentHeader);
  }
}

void TakeBodyLength(AttemptMessage& message) {
  const std::string text = message.request.headers.ValueOr(kBodyHeader, "");
  message.request.headers.Remove(kBodyHeader);
  if (!message.body_follows || text.empty()) {
    return;
  }
  uint64_t length = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), length);
  if (error != std::errc() || end != text.data() + text.size()) {
    throw UserError(ResultCode::kMessageMalformed, "invalid length of a body in an attempt");
  }
  message.body_length = length;
}

/// A newer sender understands the formats of this release too.
void TakeTenantAndReplyFormat(AttemptMessage& message) {
  HeaderList& headers = message.request.headers;
  message.tenant = TenantName(headers.ValueOr(kTenantHeader, ""));
  headers.Remove(kTenantHeader);
  const std::string format = headers.ValueOr(kReplyHeader, "");
  message.reply_format = format.empty() || format == std::to_string(kMinReplyFormat)
                             ? kMinReplyFormat
                             : kMaxReplyFormat;
  headers.Remove(kReplyHeader);
}

Duration ReadDuration(ByteReader& reader) {
  const auto longest = static_cast<uint64_t>(kMaxOfferDuration.count());
  return Duration(static_cast<Duration::rep>(reader.ReadVarintUpTo(longest)));
}

void WriteDuration(ByteWriter& writer, Duration duration) {
  writer.WriteVarint(
      static_cast<uint64_t>(std::clamp(duration, Duration{}, kMaxOfferDuration).count()));
}

/// Moves the internal header field into the message.
void TakeOffer(AttemptMessage& message) {
  const std::string text = message.request.headers.ValueOr(kOfferHeader, "");
  if (text.empty()) {
    return;
  }
  const size_t space = std::min(text.find(' '), text.size());
  message.objective = ParseOfferDuration(std::string_view(text).substr(0, space));
  if (space < text.size()) {
    message.max_wait = ParseOfferDuration(std::string_view(text).substr(space + 1));
  }
  message.request.headers.Remove(kOfferHeader);
}

}  // namespace

std::string EncodeAttempt(const AttemptMessage& message) {
  ByteWriter writer;
  writer.WriteVarint(kAttemptFormatVersion);
  writer.WriteString((message.body_follows ? std::string(kUploadPrefix) : std::string()) +
                     message.service.value());
  writer.WriteVarint(static_cast<uint64_t>(message.kind));
  writer.WriteString(message.key.value());
  writer.WriteString(message.digest);
  writer.WriteString(message.attempt.value());
  writer.WriteString(message.request_id);
  writer.WriteVarint(static_cast<uint64_t>(std::max<Duration::rep>(message.time_left.count(), 0)));
  writer.WriteVarint(message.priority.value());
  writer.WriteVarint(
      message.objective_left ? static_cast<uint64_t>(message.objective_left->count()) + 1 : 0);
  WriteRequest(writer, WithInternalHeaders(message, FormatOffer(message)));
  return writer.Take();
}

AttemptMessage DecodeAttempt(std::string_view bytes) {
  ByteReader reader(bytes);
  AttemptMessage message;
  reader.ExpectVarint(kAttemptFormatVersion);
  std::string service = reader.ReadString();
  message.body_follows = service.starts_with(kUploadPrefix);
  message.service =
      ServiceName(message.body_follows ? service.substr(kUploadPrefix.size()) : std::move(service));
  message.kind =
      static_cast<CallKind>(reader.ReadVarintUpTo(static_cast<uint64_t>(CallKind::kAtMostOnce)));
  message.key = IdempotencyKey(reader.ReadString());
  message.digest = reader.ReadString();
  message.attempt = AttemptId(reader.ReadString());
  message.request_id = reader.ReadString();
  const auto max_duration = static_cast<uint64_t>(Duration(std::chrono::hours(24)).count());
  message.time_left = Duration(static_cast<Duration::rep>(reader.ReadVarintUpTo(max_duration)));
  message.priority = Priority(reader.ReadVarint());
  if (const uint64_t encoded = reader.ReadVarintUpTo(max_duration); encoded > 0) {
    message.objective_left = Duration(static_cast<Duration::rep>(encoded - 1));
  }
  message.request = ReadRequest(reader);
  reader.ExpectEnd();
  TakeOffer(message);
  TakeSentAt(message);
  message.target_version = TargetVersion(message.request.headers.ValueOr(kVersionHeader, ""));
  message.request.headers.Remove(kVersionHeader);
  TakeBodyLength(message);
  TakeTenantAndReplyFormat(message);
  return message;
}

TargetAnswer ToAnswer(const HttpResponse& response) {
  TargetAnswer answer;
  answer.status = response.status;
  HeaderList headers = response.headers;
  RemoveHopByHopHeaders(headers);
  headers.Remove("content-length");
  for (const Header& header : headers) {
    answer.headers.emplace_back(header.name, header.value);
  }
  answer.body = response.body;
  return answer;
}

void DeductTransit(AttemptMessage& message, Duration waited) {
  message.time_left = std::max(message.time_left - waited, Duration{});
  if (message.objective_left) {
    message.objective_left = std::max(*message.objective_left - waited, Duration{});
  }
}

std::string EncodeAttemptReply(const AttemptReply& reply, uint64_t format) {
  ByteWriter writer;
  writer.WriteVarint(format);
  writer.WriteVarint(reply.load.busy);
  writer.WriteVarint(reply.load.slots);
  if (format > kMinReplyFormat) {
    WriteDuration(writer, reply.load.service_time);
    WriteDuration(writer, reply.load.time_until_room);
  }
  writer.WriteVarint(reply.outcome.index());
  if (const auto* answer = std::get_if<TargetAnswer>(&reply.outcome)) {
    WriteAnswer(writer, *answer);
  } else {
    const auto& refusal = std::get<Refusal>(reply.outcome);
    writer.WriteVarint(static_cast<uint64_t>(refusal.code));
    writer.WriteVarint(refusal.target_died ? 1 : 0);
    writer.WriteVarint(refusal.reached_target ? 1 : 0);
  }
  return writer.Take();
}

AttemptReply DecodeAttemptReply(std::string_view bytes) {
  ByteReader reader(bytes);
  AttemptReply reply;
  const uint64_t format = reader.ReadVarintUpTo(kMaxReplyFormat);
  if (format < kMinReplyFormat) {
    throw UserError(ResultCode::kMessageMalformed, "unknown format of a reply");
  }
  reply.load.busy = reader.ReadVarint();
  reply.load.slots = reader.ReadVarint();
  if (format > kMinReplyFormat) {
    reply.load.service_time = ReadDuration(reader);
    reply.load.time_until_room = ReadDuration(reader);
  }
  if (reader.ReadVarintUpTo(1) == 0) {
    reply.outcome = ReadAnswer(reader);
  } else {
    reply.outcome = ReadRefusal(reader);
  }
  reader.ExpectEnd();
  return reply;
}

}  // namespace endivecleat
