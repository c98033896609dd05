// Compact binary encoding of the commands and snapshots in replicated logs and of some messages:
// numbers are LEB128 varints, strings are length-prefixed. The CBOR reader of nlohmann::json is not
// used because it recurses for each nested array, and a damaged entry must not exhaust the stack.
#ifndef ENDIVECLEAT_BYTE_CODEC_H_
#define ENDIVECLEAT_BYTE_CODEC_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace endivecleat {

/// Appends encoded fields to a buffer.
class ByteWriter {
 public:
  void WriteVarint(uint64_t value);
  void WriteString(std::string_view text);

  /// Returns the encoded bytes and leaves the writer empty.
  std::string Take() { return std::move(bytes_); }

 private:
  std::string bytes_;
};

/// Reads fields written by ByteWriter, in the same order. Every function throws UserError
/// (kMessageMalformed, 601) when the bytes are truncated or invalid. The bytes must outlive the
/// reader.
class ByteReader {
 public:
  explicit ByteReader(std::string_view bytes) : rest_(bytes) {}

  uint64_t ReadVarint();
  /// Reads a number; throws when it exceeds `limit`.
  uint64_t ReadVarintUpTo(uint64_t limit);
  /// Reads a number, such as a format version; throws when it differs from `expected`.
  void ExpectVarint(uint64_t expected);
  std::string ReadString();
  /// Reads the number of elements that follow; throws when it exceeds the number of bytes left,
  /// since each element takes at least one byte.
  size_t ReadCount();
  /// Throws when unread bytes remain.
  void ExpectEnd() const;

 private:
  std::string_view rest_;
};

}  // namespace endivecleat

#endif  // ENDIVECLEAT_BYTE_CODEC_H_
