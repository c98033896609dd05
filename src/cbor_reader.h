// Reads messages between processes: CBOR arrays with bounded depth whose fields are read in order
// and checked for type and range, so that no malformed message reaches a decision object.
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

/// A message that does not have the expected form. Decoders turn it into an empty result.
class MalformedMessage : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// The CBOR array in the bytes, or nothing when they are malformed or nested deeper than messages
/// are. The depth is limited because the parser of the library recurses once per level.
std::optional<nlohmann::json> DecodeCborArray(std::string_view bytes);

/// Appends the CBOR encoding of a value.
void AppendCbor(const nlohmann::json& value, std::string* out);

/// A byte string as a JSON value.
nlohmann::json CborBytes(std::string_view bytes);

/// Reads the fields of an array one after the other. Each read throws MalformedMessage when the
/// field is missing, has another type or is out of range. Surplus fields are ignored.
class CborReader {
 public:
  explicit CborReader(const nlohmann::json& array);

  bool at_end() const { return next_ == array_->size(); }
  uint64_t Number(uint64_t maximum = std::numeric_limits<uint64_t>::max());
  std::string Text(size_t longest);
  std::string Bytes(size_t longest);
  const nlohmann::json& Array();

 private:
  const nlohmann::json& Take();

  const nlohmann::json* array_;
  size_t next_ = 0;
};

}  // namespace endivecleat

#endif  // ENDIVECLEAT_CBOR_READER_H_
