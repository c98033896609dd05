// Each text is a single zstd frame with content size and checksum. The frame header is validated
// before anything is allocated or decompressed.
#include "delta.h"

#include <zstd.h>

#include <algorithm>
#include <bit>
#include <memory>

#include "errors.h"

namespace endivecleat {
namespace {

constexpr int kTransferCompressionLevel = 9;
constexpr int kStateCompressionLevel = 3;
// Bounds of the zstd window (log2 of bytes). The window must cover the whole base; zstd decoders
// accept at most 27 by default.
constexpr int kMinWindowLog = 10;
constexpr int kMaxWindowLog = 27;
// Limits the match tables to 2^16 entries. By default zstd sizes them for the window: a delta
// between texts of 116 KB takes 3.5 MB of memory, against 0.8 MB with this limit and the same delta
// size.
constexpr int kMaxMatchTableLog = 16;
// A delta of at most 1/32 of the text is sent without making a snapshot to compare: a compressed
// snapshot has about a tenth of the size of its text.
constexpr size_t kSmallDeltaDivisor = 32;

struct FreeContext {
  void operator()(ZSTD_CCtx* context) const { ZSTD_freeCCtx(context); }
  void operator()(ZSTD_DCtx* context) const { ZSTD_freeDCtx(context); }
};
using CompressContext = std::unique_ptr<ZSTD_CCtx, FreeContext>;
using DecompressContext = std::unique_ptr<ZSTD_DCtx, FreeContext>;

size_t CheckZstdResult(size_t result) {
  ENDIVECLEAT_CHECK(ZSTD_isError(result) == 0U,
                    std::string("zstd failed: ") + ZSTD_getErrorName(result));
  return result;
}

[[noreturn]] void ThrowMalformed(const std::string& what) {
  throw UserError(ResultCode::kMessageMalformed,
                  "the compressed configuration is damaged: " + what);
}

int WindowLog(size_t bytes) {
  return std::clamp(static_cast<int>(std::bit_width(bytes)), kMinWindowLog, kMaxWindowLog);
}

std::string Compress(std::string_view prefix, std::string_view text, int level) {
  const CompressContext context(ZSTD_createCCtx());
  ENDIVECLEAT_CHECK(context != nullptr, "zstd could not allocate a context");
  CheckZstdResult(ZSTD_CCtx_setParameter(context.get(), ZSTD_c_compressionLevel, level));
  CheckZstdResult(ZSTD_CCtx_setParameter(context.get(), ZSTD_c_windowLog,
                                         WindowLog(prefix.size() + text.size())));
  CheckZstdResult(ZSTD_CCtx_setParameter(context.get(), ZSTD_c_hashLog, kMaxMatchTableLog));
  CheckZstdResult(ZSTD_CCtx_setParameter(context.get(), ZSTD_c_chainLog, kMaxMatchTableLog));
  // A delta applied to a wrong base can decode to another text without an error. The checksum
  // detects that.
  CheckZstdResult(ZSTD_CCtx_setParameter(context.get(), ZSTD_c_checksumFlag, 1));
  CheckZstdResult(ZSTD_CCtx_refPrefix(context.get(), prefix.data(), prefix.size()));
  std::string bytes(ZSTD_compressBound(text.size()), '\0');
  const size_t size = CheckZstdResult(
      ZSTD_compress2(context.get(), bytes.data(), bytes.size(), text.data(), text.size()));
  bytes.resize(size);
  return bytes;
}

// Magic number of a zstd data frame. A skippable frame has another one, and zstd would decode it as
// an empty text.
constexpr std::string_view kFrameMagic = "\x28\xb5\x2f\xfd";

// Returns the content size in the frame header. Rejects frames without a size, skippable frames and
// concatenated frames, which MakeDelta never writes.
size_t ContentSize(std::string_view frame, size_t size_limit) {
  const uint64_t size = ZSTD_getFrameContentSize(frame.data(), frame.size());
  if (!frame.starts_with(kFrameMagic) || size == ZSTD_CONTENTSIZE_ERROR ||
      size == ZSTD_CONTENTSIZE_UNKNOWN) {
    ThrowMalformed("it has no valid header");
  }
  const size_t frame_size = ZSTD_findFrameCompressedSize(frame.data(), frame.size());
  if (ZSTD_isError(frame_size) != 0U || frame_size != frame.size()) {
    ThrowMalformed("its length does not fit its header");
  }
  if (size > size_limit) {
    throw UserError(ResultCode::kDocumentTooLarge,
                    "the compressed configuration states " + std::to_string(size) +
                        " bytes; the limit is " + std::to_string(size_limit));
  }
  return size;
}

}  // namespace

std::string MakeDelta(std::string_view base, std::string_view next) {
  return Compress(base, next, kTransferCompressionLevel);
}

std::string ApplyDelta(std::string_view base, std::string_view delta, size_t size_limit) {
  std::string text(ContentSize(delta, size_limit), '\0');
  const DecompressContext context(ZSTD_createDCtx());
  ENDIVECLEAT_CHECK(context != nullptr, "zstd could not allocate a context");
  CheckZstdResult(ZSTD_DCtx_refPrefix(context.get(), base.data(), base.size()));
  const size_t size =
      ZSTD_decompressDCtx(context.get(), text.data(), text.size(), delta.data(), delta.size());
  if (ZSTD_isError(size) != 0U) {
    ThrowMalformed(ZSTD_getErrorName(size));
  }
  if (size != text.size()) {
    ThrowMalformed("its contents do not fit its header");
  }
  return text;
}

std::string MakeSnapshot(std::string_view text) {
  return Compress({}, text, kTransferCompressionLevel);
}

std::string ReadSnapshot(std::string_view snapshot, size_t size_limit) {
  return ApplyDelta({}, snapshot, size_limit);
}

std::string CompressState(std::string_view state) {
  return Compress({}, state, kStateCompressionLevel);
}

TransferBody ChooseTransfer(const TextLookup& history, ConfigVersion have, ConfigVersion want) {
  const std::string* next = history(want);
  if (next == nullptr) {
    throw UserError(ResultCode::kUnknownVersion,
                    "version " + std::to_string(want.value()) + " is not kept");
  }
  const std::string* base = history(have);
  TransferBody delta{TransferKind::kDelta, have, want, ""};
  if (base != nullptr) {
    delta.bytes = MakeDelta(*base, *next);
    if (delta.bytes.size() <= next->size() / kSmallDeltaDivisor) {
      return delta;
    }
  }
  TransferBody snapshot{TransferKind::kSnapshot, ConfigVersion(), want, MakeSnapshot(*next)};
  const bool smaller = base != nullptr && delta.bytes.size() < snapshot.bytes.size();
  return smaller ? delta : snapshot;
}

std::string ReadTransfer(const TransferBody& transfer, std::string_view base, size_t size_limit) {
  return transfer.kind == TransferKind::kDelta ? ApplyDelta(base, transfer.bytes, size_limit)
                                               : ReadSnapshot(transfer.bytes, size_limit);
}

}  // namespace endivecleat
