// A message is encoded as a CBOR array, with its fields in a fixed order and trailing fields only
// for the kinds that use them. nlohmann::json does the encoding.
#include "replicated_log_message.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "errors.h"

namespace endivecleat {
namespace {

using Json = nlohmann::json;

Json ToBinary(const std::string& text) {
  return Json::binary(std::vector<uint8_t>(text.begin(), text.end()));
}

std::string FromBinary(const Json& value) {
  const auto& bytes = value.get_binary();
  return std::string(bytes.begin(), bytes.end());
}

template <class Number>
Number ToNumber(const Json& value) {
  if (!value.is_number_unsigned()) {
    throw UserError(ResultCode::kMessageMalformed,
                    "a log message has another value where an unsigned number is expected");
  }
  return Number(value.get<uint64_t>());
}

// Rejects values outside the enum, so that switch statements need not handle them.
template <class Kind>
Kind ToKind(const Json& value, Kind last) {
  const auto number = ToNumber<uint64_t>(value);
  if (number > static_cast<uint64_t>(last)) {
    throw UserError(ResultCode::kMessageMalformed,
                    "unknown kind " + std::to_string(number) + " in a log message");
  }
  return static_cast<Kind>(number);
}

Json EntriesToJson(const std::vector<LogEntry>& entries) {
  Json list = Json::array();
  for (const LogEntry& entry : entries) {
    list.push_back({entry.index.value(), entry.term.value(), static_cast<uint64_t>(entry.kind),
                    ToBinary(entry.payload)});
  }
  return list;
}

std::vector<LogEntry> EntriesFromJson(const Json& list) {
  std::vector<LogEntry> entries;
  for (const Json& item : list) {
    entries.push_back(LogEntry{ToNumber<LogIndex>(item.at(0)), ToNumber<Term>(item.at(1)),
                               ToKind(item.at(2), EntryKind::kVoters), FromBinary(item.at(3))});
  }
  return entries;
}

Json ToJson(const LogMessage& message) {
  Json json = {static_cast<uint64_t>(message.kind), message.from.value(),
               message.to ? Json(message.to->value()) : Json(nullptr), message.term.value()};
  if (message.kind == LogMessageKind::kJoinRequest) {
    return json;
  }
  json.insert(json.end(), {message.index.value(), message.log_term.value(), message.accepted,
                           message.hint.value(), message.commit.value(), message.round});
  if (message.kind == LogMessageKind::kAppend && !message.entries.empty()) {
    json.push_back(EntriesToJson(message.entries));
  }
  if (message.kind == LogMessageKind::kSnapshot || message.kind == LogMessageKind::kSnapshotReply) {
    json.insert(json.end(), {Json(message.offset), Json(message.total), ToBinary(message.data),
                             ToBinary(EncodeVoters(message.voters))});
  }
  return json;
}

void ReadOptionalFields(const Json& json, LogMessage& message) {
  message.index = ToNumber<LogIndex>(json.at(4));
  message.log_term = ToNumber<Term>(json.at(5));
  message.accepted = json.at(6).get<bool>();
  message.hint = ToNumber<LogIndex>(json.at(7));
  message.commit = ToNumber<LogIndex>(json.at(8));
  message.round = ToNumber<uint64_t>(json.at(9));
  if (message.kind == LogMessageKind::kAppend && json.size() > 10) {
    message.entries = EntriesFromJson(json.at(10));
  }
  if (message.kind == LogMessageKind::kSnapshot || message.kind == LogMessageKind::kSnapshotReply) {
    message.offset = ToNumber<uint64_t>(json.at(10));
    message.total = ToNumber<uint64_t>(json.at(11));
    message.data = FromBinary(json.at(12));
    message.voters = DecodeVoters(FromBinary(json.at(13)));
  }
}

LogMessage FromJson(const Json& json) {
  LogMessage message;
  message.kind = ToKind(json.at(0), LogMessageKind::kTimeoutNow);
  message.from = ToNumber<Incarnation>(json.at(1));
  if (!json.at(2).is_null()) {
    message.to = ToNumber<Incarnation>(json.at(2));
  }
  message.term = ToNumber<Term>(json.at(3));
  if (message.kind != LogMessageKind::kJoinRequest) {
    ReadOptionalFields(json, message);
  }
  return message;
}

std::string ToCbor(const Json& json) {
  std::string bytes;
  Json::to_cbor(json, bytes);
  return bytes;
}

template <class Function>
auto Decode(std::string_view bytes, Function from_json) {
  try {
    return from_json(Json::from_cbor(bytes));
  } catch (const Json::exception& error) {
    throw UserError(ResultCode::kMessageMalformed,
                    std::string("a log message cannot be decoded: ") + error.what());
  }
}

}  // namespace

std::string EncodeLogMessage(const LogMessage& message) { return ToCbor(ToJson(message)); }

LogMessage DecodeLogMessage(std::string_view bytes) { return Decode(bytes, FromJson); }

std::string EncodeEntries(const std::vector<LogEntry>& entries) {
  return ToCbor(EntriesToJson(entries));
}

std::vector<LogEntry> DecodeEntries(std::string_view bytes) {
  return Decode(bytes, EntriesFromJson);
}

}  // namespace endivecleat
