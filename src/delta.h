// Compressed transfers of configuration texts: zstd with the base text as prefix (a delta) and zstd
// of the full text (a snapshot).
#ifndef ENDIVECLEAT_DELTA_H_
#define ENDIVECLEAT_DELTA_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "units.h"

namespace endivecleat {

std::string MakeDelta(std::string_view base, std::string_view next);

/// The text that the delta was made for. Throws UserError 601 when the delta is damaged or belongs
/// to another base, and 203 when the text would exceed `size_limit` bytes. Never allocates more
/// than `size_limit` for the text.
std::string ApplyDelta(std::string_view base, std::string_view delta, size_t size_limit);

std::string MakeSnapshot(std::string_view text);

/// Throws as ApplyDelta does.
std::string ReadSnapshot(std::string_view snapshot, size_t size_limit);

/// Compresses the state of a log for its snapshot, faster and less tightly than MakeSnapshot.
/// ReadSnapshot reads it.
std::string CompressState(std::string_view state);

enum class TransferKind : uint8_t { kDelta, kSnapshot };

struct TransferBody {
  TransferKind kind = TransferKind::kSnapshot;
  ConfigVersion base;  // of a delta; 0 for a snapshot
  ConfigVersion version;
  std::string bytes;
};

/// The text of a version, or null when it is not kept.
using TextLookup = std::function<const std::string*(ConfigVersion)>;

/// The smaller of the delta from `have` to `want` and the snapshot of `want`; the snapshot when
/// `have` is not kept. Throws UserError 304 when `want` is not kept.
TransferBody ChooseTransfer(const TextLookup& history, ConfigVersion have, ConfigVersion want);

/// The text that a transfer carries; `base` is the text of `transfer.base` and unused for a
/// snapshot. Throws as ApplyDelta does.
std::string ReadTransfer(const TransferBody& transfer, std::string_view base, size_t size_limit);

}  // namespace endivecleat

#endif  // ENDIVECLEAT_DELTA_H_
