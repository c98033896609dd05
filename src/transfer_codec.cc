// Maps the errors of the decompression to an empty result.
#include "transfer_codec.h"

#include "configuration.h"
#include "delta.h"
#include "errors.h"

namespace endivecleat {
namespace {

// A stored text is a document plus the field that names the preset in force.
constexpr size_t kMaxStoredTextBytes = kMaxDocumentBytes + 1024;

EncodedTransfer Encode(const ConfigText* base, const ConfigText& next) {
  const auto lookup = [&](ConfigVersion version) -> const std::string* {
    if (version == next.version) {
      return &next.text;
    }
    return base != nullptr && version == base->version ? &base->text : nullptr;
  };
  const ConfigVersion have = base == nullptr ? ConfigVersion() : base->version;
  TransferBody body = ChooseTransfer(lookup, have, next.version);
  return {body.kind, std::move(body.bytes)};
}

std::optional<std::string> Decode(TransferKind kind, const ConfigText* base,
                                  std::string_view bytes) {
  try {
    if (kind == TransferKind::kSnapshot) {
      return ReadSnapshot(bytes, kMaxStoredTextBytes);
    }
    return base == nullptr ? std::nullopt
                           : std::optional(ApplyDelta(base->text, bytes, kMaxStoredTextBytes));
  } catch (const UserError&) {
    return std::nullopt;
  }
}

}  // namespace

TransferCodec MakeTransferCodec() {
  return {.digest = [](std::string_view text) { return TextDigest(text); },
          .encode = Encode,
          .decode = Decode};
}

}  // namespace endivecleat
