// Encodes a message as a CBOR array: kind, version and digest, then the fields of its kind.
#include "config_message.h"

#include <algorithm>

#include "cbor_reader.h"

namespace endivecleat {
namespace {

using Json = nlohmann::json;
using Kind = ConfigMessage::Kind;

constexpr size_t kMaxDigestBytes = 32;
constexpr uint64_t kMaxRetryAfterMs = 60'000;

}  // namespace

std::string EncodeConfigMessage(const ConfigMessage& message) {
  Json fields = Json::array(
      {static_cast<uint8_t>(message.kind), message.version.value(), CborBytes(message.digest)});
  if (message.kind == Kind::kTransfer) {
    fields.push_back(message.base.value());
    fields.push_back(static_cast<uint8_t>(message.transfer));
    fields.push_back(CborBytes(message.bytes));
  }
  if (message.kind == Kind::kBusy) {
    fields.push_back(static_cast<uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(message.retry_after).count()));
  }
  std::string bytes;
  AppendCbor(fields, &bytes);
  return bytes;
}

std::optional<ConfigMessage> DecodeConfigMessage(std::string_view bytes, ByteCount limit) {
  if (bytes.size() > limit.value()) {
    return std::nullopt;
  }
  const std::optional<Json> array = DecodeCborArray(bytes);
  if (!array) {
    return std::nullopt;
  }
  try {
    CborReader fields(*array);
    ConfigMessage message;
    message.kind = static_cast<Kind>(fields.Number(static_cast<uint64_t>(Kind::kBusy)));
    message.version = ConfigVersion(fields.Number());
    message.digest = fields.Bytes(kMaxDigestBytes);
    if (message.kind == Kind::kTransfer) {
      message.base = ConfigVersion(fields.Number());
      message.transfer = static_cast<TransferKind>(fields.Number(1));
      message.bytes = fields.Bytes(limit.value());
    }
    if (message.kind == Kind::kBusy) {
      message.retry_after = std::chrono::milliseconds(fields.Number(kMaxRetryAfterMs));
    }
    return message;
  } catch (const MalformedMessage&) {
    return std::nullopt;
  }
}

}  // namespace endivecleat
