// Parses with the SAX interface of the JSON library, so that the nesting depth is checked while the
// value is built.
#include "cbor_reader.h"

#include <utility>

namespace endivecleat {
namespace {

using Json = nlohmann::json;

constexpr size_t kMaxDepth = 6;

/// SAX handler that builds nested arrays of scalars. Rejects objects, nulls, floating-point numbers
/// and deep nesting.
class BoundedArrayBuilder : public nlohmann::json_sax<Json> {
 public:
  bool null() override { return false; }
  bool boolean(bool value) override { return Append(value); }
  bool number_integer(number_integer_t value) override { return Append(value); }
  bool number_unsigned(number_unsigned_t value) override { return Append(value); }
  bool number_float(number_float_t /*value*/, const string_t& /*text*/) override { return false; }
  bool string(string_t& value) override { return Append(std::move(value)); }
  bool binary(binary_t& value) override { return Append(Json::binary(std::move(value))); }
  bool start_object(size_t /*elements*/) override { return false; }
  bool key(string_t& /*value*/) override { return false; }
  bool end_object() override { return false; }
  bool start_array(size_t /*elements*/) override {
    if (open_arrays_.size() >= kMaxDepth) {
      return false;
    }
    open_arrays_.push_back(Json::array());
    return true;
  }
  bool end_array() override {
    Json closed = std::move(open_arrays_.back());
    open_arrays_.pop_back();
    if (open_arrays_.empty()) {
      result_ = std::move(closed);
      return true;
    }
    return Append(std::move(closed));
  }
  bool parse_error(size_t /*position*/, const std::string& /*token*/,
                   const nlohmann::detail::exception& /*error*/) override {
    return false;
  }

  Json& result() { return result_; }

 private:
  template <class Value>
  bool Append(Value&& value) {
    if (open_arrays_.empty()) {
      return false;
    }
    open_arrays_.back().emplace_back(std::forward<Value>(value));
    return true;
  }

  std::vector<Json> open_arrays_;
  Json result_;
};

}  // namespace

std::optional<Json> DecodeCborArray(std::string_view bytes) {
  BoundedArrayBuilder builder;
  try {
    if (!Json::sax_parse(bytes, &builder, Json::input_format_t::cbor)) {
      return std::nullopt;
    }
  } catch (const Json::exception&) {
    return std::nullopt;
  }
  if (!builder.result().is_array()) {
    return std::nullopt;
  }
  return std::move(builder.result());
}

void AppendCbor(const Json& value, std::string* out) { Json::to_cbor(value, *out); }

Json CborBytes(std::string_view bytes) {
  return Json::binary(std::vector<uint8_t>(bytes.begin(), bytes.end()));
}

CborReader::CborReader(const Json& array) : array_(&array) {
  if (!array.is_array()) {
    throw MalformedMessage("the message is not an array");
  }
}

const Json& CborReader::NextField() {
  if (at_end()) {
    throw MalformedMessage("a field is missing");
  }
  return (*array_)[next_++];
}

uint64_t CborReader::Number(uint64_t maximum) {
  const Json& field = NextField();
  if (!field.is_number_unsigned() || field.get<uint64_t>() > maximum) {
    throw MalformedMessage("a number field is not an unsigned integer or out of range");
  }
  return field.get<uint64_t>();
}

std::string CborReader::Text(size_t max_bytes) {
  const Json& field = NextField();
  if (!field.is_string() || field.get_ref<const std::string&>().size() > max_bytes) {
    throw MalformedMessage("a text field is not a string or too long");
  }
  return field.get<std::string>();
}

std::string CborReader::Bytes(size_t max_bytes) {
  const Json& field = NextField();
  if (!field.is_binary() || field.get_binary().size() > max_bytes) {
    throw MalformedMessage("a byte string field is not a byte string or too long");
  }
  return {field.get_binary().begin(), field.get_binary().end()};
}

const Json& CborReader::Array() {
  const Json& field = NextField();
  if (!field.is_array()) {
    throw MalformedMessage("an array field is not an array");
  }
  return field;
}

}  // namespace endivecleat
