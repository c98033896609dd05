// A compact encoding of fields for log entries and snapshots: numbers as LEB128, strings with their
// length. CBOR by nlohmann::json is not used here, since its reader recurses once per nested array
// and a damaged entry must not exhaust the stack.
#ifndef ENDIVECLEAT_BYTE_CODEC_H_
#define ENDIVECLEAT_BYTE_CODEC_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace endivecleat {

class ByteWriter {
 public:
  void Number(uint64_t value);
  void Text(std::string_view text);

  std::string Take() { return std::move(bytes_); }

 private:
  std::string bytes_;
};

/// Reads what ByteWriter wrote. Every function throws UserError (601) when the bytes end early or
/// break the encoding. The bytes must outlive the reader.
class ByteReader {
 public:
  explicit ByteReader(std::string_view bytes) : rest_(bytes) {}

  uint64_t Number();
  /// A number that is at most `limit`.
  uint64_t NumberUpTo(uint64_t limit);
  /// Throws when the next number is another one, such as the number of an unknown format.
  void ExpectNumber(uint64_t expected);
  std::string Text();
  /// The number of elements that follow, each of at least one byte.
  size_t Count();
  /// Throws when bytes are left over.
  void ExpectEnd() const;

 private:
  std::string_view rest_;
};

}  // namespace endivecleat

#endif  // ENDIVECLEAT_BYTE_CODEC_H_
