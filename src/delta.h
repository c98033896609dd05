// Compression of configuration texts with zstd: a delta uses the base text as a prefix dictionary,
// a snapshot compresses the full text. Used by the config log and by the transfers between
// instances.
#ifndef ENDIVECLEAT_DELTA_H_
#define ENDIVECLEAT_DELTA_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "units.h"

namespace endivecleat {

/// Compresses `next` with `base` as a prefix.
std::string MakeDelta(std::string_view base, std::string_view next);

/// Returns the text that the delta encodes. Throws UserError 601 when the delta is corrupt or was
/// made against another base, and 203 when the text would exceed `size_limit` bytes. Never
/// allocates more than `size_limit` bytes for the text.
std::string ApplyDelta(std::string_view base, std::string_view delta, size_t size_limit);

/// Compresses a full text.
std::string MakeSnapshot(std::string_view text);

/// Throws as ApplyDelta does.
std::string ReadSnapshot(std::string_view snapshot, size_t size_limit);

/// Compresses the state of a replicated log for its snapshot, with a faster and weaker level than
/// MakeSnapshot. ReadSnapshot decompresses it.
std::string CompressState(std::string_view state);

enum class TransferKind : uint8_t { kDelta, kSnapshot };

/// An encoded text and the versions that it refers to.
struct TransferBody {
  TransferKind kind = TransferKind::kSnapshot;
  ConfigVersion base;  // of a delta; 0 for a snapshot
  ConfigVersion version;
  std::string bytes;
};

/// Returns the text of a version, or null when it is not stored.
using TextLookup = std::function<const std::string*(ConfigVersion)>;

/// Returns the smaller of the delta from `have` to `want` and the snapshot of `want`. Returns the
/// snapshot when `have` is not stored. Throws UserError 304 when `want` is not stored.
TransferBody ChooseTransfer(const TextLookup& history, ConfigVersion have, ConfigVersion want);

/// Decodes a transfer. `base` is the text of `transfer.base` and is ignored for a snapshot. Throws
/// as ApplyDelta does.
std::string ReadTransfer(const TransferBody& transfer, std::string_view base, size_t size_limit);

}  // namespace endivecleat

#endif  // ENDIVECLEAT_DELTA_H_
