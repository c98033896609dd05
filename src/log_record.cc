// Checksums are XXH3. A file is replayed record by record up to the first invalid one; a scan for
// valid records after that one distinguishes corruption from a torn write.
#include "log_record.h"

#include <xxhash.h>

#include <cstring>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "errors.h"
#include "replicated_log_message.h"

namespace endivecleat {
namespace {

using Json = nlohmann::json;

struct RecordHeader {
  uint32_t length;           // of the payload in bytes
  uint32_t length_checksum;  // distinguishes a damaged length from a torn payload
  uint64_t payload_checksum;
};
static_assert(sizeof(RecordHeader) == 16);

uint32_t LengthChecksum(uint32_t length) {
  return static_cast<uint32_t>(XXH3_64bits(&length, sizeof(length)));
}

std::string EncodeRecord(const Json& json) {
  std::string payload;
  Json::to_cbor(json, payload);
  const auto length = static_cast<uint32_t>(payload.size());
  ENDIVECLEAT_CHECK(length == payload.size(), "a log record exceeds 4 GiB");
  const RecordHeader header{length, LengthChecksum(length),
                            XXH3_64bits(payload.data(), payload.size())};
  std::string record(sizeof(header), '\0');
  std::memcpy(record.data(), &header, sizeof(header));
  return record + payload;
}

// The payload of the valid record at the start of `bytes`; nullopt when there is none.
std::optional<std::string_view> ValidPayloadAt(std::string_view bytes) {
  RecordHeader header;
  if (bytes.size() < sizeof(header)) {
    return std::nullopt;
  }
  std::memcpy(&header, bytes.data(), sizeof(header));
  const std::string_view rest = bytes.substr(sizeof(header));
  if (header.length_checksum != LengthChecksum(header.length) || header.length > rest.size()) {
    return std::nullopt;
  }
  const std::string_view payload = rest.substr(0, header.length);
  const bool good = XXH3_64bits(payload.data(), payload.size()) == header.payload_checksum;
  return good ? std::optional(payload) : std::nullopt;
}

bool ContainsValidRecord(std::string_view bytes) {
  for (size_t start = 0; start < bytes.size(); ++start) {
    if (ValidPayloadAt(bytes.substr(start))) {
      return true;
    }
  }
  return false;
}

Json ToBinary(const std::string& text) {
  return Json::binary(std::vector<uint8_t>(text.begin(), text.end()));
}

std::string FromBinary(const Json& json) {
  const auto& bytes = json.get_binary();
  return std::string(bytes.begin(), bytes.end());
}

Json HardStateToJson(const HardState& state) {
  return {state.term.value(), state.voted_for ? Json(state.voted_for->value()) : Json(nullptr)};
}

HardState HardStateFromJson(const Json& json) {
  HardState state{Term(json.at(0).get<uint64_t>()), std::nullopt};
  if (!json.at(1).is_null()) {
    state.voted_for = InstanceId(json.at(1).get<std::string>());
  }
  return state;
}

void AppendEntries(std::vector<LogEntry> entries, StoredLog& stored) {
  if (entries.empty()) {
    return;
  }
  const LogIndex first = entries.front().index;
  while (!stored.entries.empty() && stored.entries.back().index >= first) {
    stored.entries.pop_back();
  }
  const LogIndex last =
      stored.entries.empty() ? stored.snapshot.index : stored.entries.back().index;
  if (first != last.next()) {
    throw UserError(ResultCode::kDataCorrupt, "the log has a gap before the entry with index " +
                                                  std::to_string(first.value()));
  }
  std::move(entries.begin(), entries.end(), std::back_inserter(stored.entries));
}

// Keys of a record: i incarnation, s snapshot, h hard state, e entries, c commit index.
void ApplyRecord(const Json& json, StoredLog& stored) {
  if (json.contains("s")) {
    stored = StoredLog{};
    stored.incarnation = Incarnation(json.at("i").get<uint64_t>());
    const Json& snapshot = json.at("s");
    stored.snapshot = {LogIndex(snapshot.at(0).get<uint64_t>()),
                       Term(snapshot.at(1).get<uint64_t>()),
                       DecodeVoters(FromBinary(snapshot.at(2))), FromBinary(snapshot.at(3))};
  }
  if (json.contains("h")) {
    stored.hard_state = HardStateFromJson(json.at("h"));
  }
  if (json.contains("e")) {
    AppendEntries(DecodeEntries(FromBinary(json.at("e"))), stored);
  }
  if (json.contains("c")) {
    stored.commit = LogIndex(json.at("c").get<uint64_t>());
  }
}

}  // namespace

std::string EncodeCheckpointRecord(const StoredLog& stored) {
  const LogSnapshot& snapshot = stored.snapshot;
  return EncodeRecord({{"i", stored.incarnation.value()},
                       {"h", HardStateToJson(stored.hard_state)},
                       {"s",
                        {snapshot.index.value(), snapshot.term.value(),
                         ToBinary(EncodeVoters(snapshot.voters)), ToBinary(snapshot.state)}},
                       {"e", ToBinary(EncodeEntries(stored.entries))},
                       {"c", stored.commit.value()}});
}

std::string EncodeBatchRecord(const Ready& ready) {
  Json json = Json::object();
  if (ready.hard_state) {
    json["h"] = HardStateToJson(*ready.hard_state);
  }
  if (!ready.entries.empty()) {
    json["e"] = ToBinary(EncodeEntries(ready.entries));
  }
  if (ready.commit) {
    json["c"] = ready.commit->value();
  }
  return EncodeRecord(json);
}

DecodedLogFile DecodeLogFile(std::string_view bytes) {
  DecodedLogFile file;
  try {
    while (const auto payload = ValidPayloadAt(bytes.substr(file.valid_bytes))) {
      ApplyRecord(Json::from_cbor(*payload), file.stored);
      file.valid_bytes += sizeof(RecordHeader) + payload->size();
    }
  } catch (const Json::exception& error) {
    throw UserError(ResultCode::kDataCorrupt,
                    std::string("a log record cannot be decoded: ") + error.what());
  }
  const std::string_view rest = bytes.substr(file.valid_bytes);
  if (file.valid_bytes == 0 || (!rest.empty() && ContainsValidRecord(rest.substr(1)))) {
    throw UserError(ResultCode::kDataCorrupt,
                    "the log is damaged at byte " + std::to_string(file.valid_bytes));
  }
  return file;
}

}  // namespace endivecleat
