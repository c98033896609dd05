// Messages of the configuration distribution protocol between ConfigSource and ConfigReplica, and
// their CBOR encoding. Compression of the texts is injected as a TransferCodec.
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

/// One version of the configuration: the full text and its verified digest.
struct ConfigText {
  ConfigVersion version;
  std::string digest;
  std::string text;
};
using ConfigTextPtr = std::shared_ptr<const ConfigText>;

/// A text encoded for transfer, as a delta or a snapshot.
struct EncodedTransfer {
  TransferKind kind = TransferKind::kSnapshot;
  std::string bytes;
};

/// Digest and compression of configuration texts. MakeTransferCodec (transfer_codec.h) returns the
/// implementation that the processes use; tests inject another.
struct TransferCodec {
  std::function<std::string(std::string_view text)> digest;  // at most 32 bytes
  /// Returns the smaller of a delta against the base and the compressed text. The base may be null.
  std::function<EncodedTransfer(const ConfigText* base, const ConfigText& next)> encode;
  /// Returns the text, or nullopt when the bytes are corrupt. The base is null for a snapshot.
  std::function<std::optional<std::string>(TransferKind kind, const ConfigText* base,
                                           std::string_view bytes)>
      decode;
};

/// One message. `version` and `digest` describe the version that the sender holds; in a transfer
/// they describe the text that it carries.
struct ConfigMessage {
  enum class Kind : uint8_t {
    kHello,     // asks the receiver for a notice
    kNotice,    // announces the sender's version; also acknowledges a transfer
    kPull,      // requests the receiver's newest text
    kTransfer,  // carries a text; sets base, transfer and bytes
    kBusy,      // rejects a pull; sets retry_after
  };
  Kind kind = Kind::kHello;
  ConfigVersion version;
  std::string digest;
  ConfigVersion base;  // that a delta applies to
  TransferKind transfer = TransferKind::kSnapshot;
  std::string bytes;
  Duration retry_after{};  // milliseconds on the wire
};

/// An outgoing message and its receiver.
struct PeerMessage {
  InstanceId to;
  ConfigMessage message;
};

std::string EncodeConfigMessage(const ConfigMessage& message);
/// Returns nullopt when the bytes are malformed or exceed the limit.
std::optional<ConfigMessage> DecodeConfigMessage(std::string_view bytes, ByteCount limit);

}  // namespace endivecleat

#endif  // ENDIVECLEAT_CONFIG_MESSAGE_H_
