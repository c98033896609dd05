// The messages that distribute a configuration, and the texts they carry. How a text is made
// smaller for the transfer, and how it is compiled, are the concern of others (TransferCodec,
// Installer).
#ifndef ENDIVECLEAT_CONFIG_MESSAGE_H_
#define ENDIVECLEAT_CONFIG_MESSAGE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "delta.h"
#include "units.h"

namespace endivecleat {

/// One version of the configuration, complete and checked against its digest.
struct ConfigText {
  ConfigVersion version;
  std::string digest;
  std::string text;
};
using ConfigTextPtr = std::shared_ptr<const ConfigText>;

struct EncodedTransfer {
  TransferKind kind = TransferKind::kSnapshot;
  std::string bytes;
};

/// Filled in by the process from delta.h and the digest of a configuration.
struct TransferCodec {
  std::function<std::string(std::string_view text)> digest;  // at most 32 bytes
  /// The smaller of a delta against the base and the compressed text; the base may be null.
  std::function<EncodedTransfer(const ConfigText* base, const ConfigText& next)> encode;
  /// The text, or nothing when the bytes are damaged. The base is null for a snapshot.
  std::function<std::optional<std::string>(TransferKind kind, const ConfigText* base,
                                           std::string_view bytes)>
      decode;
};

struct ConfigMessage {
  enum class Kind : uint8_t {
    kHello,     // tell me your version; version and digest: what the sender has
    kNotice,    // version and digest: what the sender has
    kPull,      // send me your newest; version and digest: what the sender has
    kTransfer,  // version, digest, base, transfer and bytes
    kBusy,      // retry_after
  };
  Kind kind = Kind::kHello;
  ConfigVersion version;
  std::string digest;
  ConfigVersion base;  // of a delta
  TransferKind transfer = TransferKind::kSnapshot;
  std::string bytes;
  Duration retry_after{};  // milliseconds on the wire
};

struct PeerMessage {
  InstanceId to;
  ConfigMessage message;
};

std::string EncodeConfigMessage(const ConfigMessage& message);
/// Nothing when the bytes are malformed or exceed the limit.
std::optional<ConfigMessage> DecodeConfigMessage(std::string_view bytes, ByteCount limit);

}  // namespace endivecleat

#endif  // ENDIVECLEAT_CONFIG_MESSAGE_H_
