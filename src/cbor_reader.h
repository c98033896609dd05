// Decodes the CBOR messages between processes: arrays of bounded depth whose fields are read in
// order and checked for type and range, so that malformed messages are rejected before the protocol
// logic sees them.
#ifndef ENDIVECLEAT_CBOR_READER_H_
#define ENDIVECLEAT_CBOR_READER_H_

#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace endivecleat {

/// Thrown when a message does not match the expected format. Decoders return nullopt in that case.
class MalformedMessage : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// Decodes a CBOR array. Returns nullopt when the bytes are malformed or nested more than 6 levels
/// deep. The depth is limited because the parser of the library recurses once per level.
std::optional<nlohmann::json> DecodeCborArray(std::string_view bytes);

/// Appends the CBOR encoding of a value.
void AppendCbor(const nlohmann::json& value, std::string* out);

/// Wraps a byte string in a JSON value that is encoded as a CBOR byte string.
nlohmann::json CborBytes(std::string_view bytes);

/// Reads the fields of an array in order. Each read throws MalformedMessage when the field is
/// missing, has another type or is out of range. Trailing fields are ignored.
class CborReader {
 public:
  explicit CborReader(const nlohmann::json& array);

  bool at_end() const { return next_ == array_->size(); }
  uint64_t Number(uint64_t maximum = std::numeric_limits<uint64_t>::max());
  std::string Text(size_t max_bytes);
  std::string Bytes(size_t max_bytes);
  const nlohmann::json& Array();

 private:
  const nlohmann::json& NextField();

  const nlohmann::json* array_;
  size_t next_ = 0;
};

}  // namespace endivecleat

#endif  // ENDIVECLEAT_CBOR_READER_H_
