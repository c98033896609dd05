// LEB128 varints have seven value bits per byte, low bits first; the high bit marks a continuation.
#include "byte_codec.h"

#include "errors.h"

namespace endivecleat {
namespace {

constexpr int kValueBitsPerByte = 7;
constexpr uint8_t kContinuationBit = 0x80;

[[noreturn]] void ThrowMalformed(const std::string& what) {
  throw UserError(ResultCode::kMessageMalformed, "encoded fields are malformed: " + what);
}

}  // namespace

void ByteWriter::WriteVarint(uint64_t value) {
  while (value >= kContinuationBit) {
    bytes_.push_back(static_cast<char>(static_cast<uint8_t>(value) | kContinuationBit));
    value >>= kValueBitsPerByte;
  }
  bytes_.push_back(static_cast<char>(value));
}

void ByteWriter::WriteString(std::string_view text) {
  WriteVarint(text.size());
  bytes_.append(text);
}

uint64_t ByteReader::ReadVarint() {
  uint64_t value = 0;
  for (int shift = 0; shift < 64; shift += kValueBitsPerByte) {
    if (rest_.empty()) {
      ThrowMalformed("a number is truncated");
    }
    const auto byte = static_cast<uint8_t>(rest_.front());
    rest_.remove_prefix(1);
    const auto bits = static_cast<uint64_t>(byte & (kContinuationBit - 1));
    if ((bits << shift) >> shift != bits) {
      ThrowMalformed("a number exceeds 64 bits");
    }
    value |= bits << shift;
    if ((byte & kContinuationBit) == 0) {
      return value;
    }
  }
  ThrowMalformed("a number exceeds 64 bits");
}

uint64_t ByteReader::ReadVarintUpTo(uint64_t limit) {
  const uint64_t value = ReadVarint();
  if (value > limit) {
    ThrowMalformed("number " + std::to_string(value) + " exceeds " + std::to_string(limit));
  }
  return value;
}

void ByteReader::ExpectVarint(uint64_t expected) {
  const uint64_t value = ReadVarint();
  if (value != expected) {
    ThrowMalformed("found " + std::to_string(value) + " instead of " + std::to_string(expected));
  }
}

std::string ByteReader::ReadString() {
  const uint64_t length = ReadVarint();
  if (length > rest_.size()) {
    ThrowMalformed("a string is truncated");
  }
  std::string text(rest_.substr(0, length));
  rest_.remove_prefix(length);
  return text;
}

size_t ByteReader::ReadCount() { return ReadVarintUpTo(rest_.size()); }

void ByteReader::ExpectEnd() const {
  if (!rest_.empty()) {
    ThrowMalformed(std::to_string(rest_.size()) + " bytes follow the last field");
  }
}

}  // namespace endivecleat
