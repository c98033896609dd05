// Parses the text twice: a SAX pass enforces the rules that nlohmann::json lacks, then a DOM pass
// builds the value.
#include "json_document.h"

#include <set>
#include <utility>

namespace endivecleat {
namespace {

using Json = nlohmann::json;

// Configuration documents need 6 levels. Copying and printing a value recurses once per level, so
// a document of a million brackets would overflow the stack.
constexpr size_t kMaxDepth = 16;
constexpr size_t kMaxKeyBytesInPath = 128;

[[noreturn]] void ThrowSyntax(const std::string& detail) {
  throw UserError(ResultCode::kDocumentSyntax, "the document is not valid JSON: " + detail);
}

// SAX handler that tracks the path of the current value and reports duplicate keys and excessive
// nesting.
class DocumentValidator : public nlohmann::json_sax<Json> {
 public:
  explicit DocumentValidator(std::vector<Problem>& problems) : problems_(problems) {}

  bool null() override { return CountElement(); }
  bool boolean(bool /*value*/) override { return CountElement(); }
  bool number_integer(number_integer_t /*value*/) override { return CountElement(); }
  bool number_unsigned(number_unsigned_t /*value*/) override { return CountElement(); }
  bool number_float(number_float_t /*value*/, const string_t& /*text*/) override {
    return CountElement();
  }
  bool string(string_t& /*value*/) override { return CountElement(); }
  bool binary(binary_t& /*value*/) override { return CountElement(); }
  bool start_object(size_t /*elements*/) override { return EnterLevel(false); }
  bool start_array(size_t /*elements*/) override { return EnterLevel(true); }
  bool end_object() override { return LeaveLevel(); }
  bool end_array() override { return LeaveLevel(); }

  bool key(string_t& key) override {
    Level& level = levels_.back();
    level.key = key;
    if (!level.keys.insert(key).second) {
      problems_.push_back({CurrentPath(), "duplicate key"});
    }
    return true;
  }

  bool parse_error(size_t /*position*/, const std::string& /*token*/,
                   const Json::exception& error) override {
    ThrowSyntax(error.what());
  }

 private:
  struct Level {
    bool is_array = false;
    size_t element_count = 0;
    std::string key;
    std::set<std::string> keys;
  };

  bool CountElement() {
    if (!levels_.empty() && levels_.back().is_array) {
      ++levels_.back().element_count;
    }
    return true;
  }

  bool EnterLevel(bool is_array) {
    CountElement();
    if (levels_.size() == kMaxDepth) {
      ThrowSyntax("nested deeper than 16 levels at " + CurrentPath());
    }
    levels_.push_back({.is_array = is_array});
    return true;
  }

  bool LeaveLevel() {
    levels_.pop_back();
    return true;
  }

  std::string CurrentPath() const {
    std::string path;
    for (const Level& level : levels_) {
      path = level.is_array ? JsonPathAppend(path, level.element_count - 1)
                            : JsonPathAppend(path, level.key);
    }
    return path;
  }

  std::vector<Problem>& problems_;
  std::vector<Level> levels_;
};

}  // namespace

std::string TruncateUtf8(std::string_view text, size_t limit) {
  if (text.size() <= limit) {
    return std::string(text);
  }
  const auto is_continuation = [&](size_t position) {
    return (static_cast<uint8_t>(text[position]) & 0xC0U) == 0x80U;
  };
  while (limit > 0 && is_continuation(limit)) {
    --limit;
  }
  return std::string(text.substr(0, limit)) + "...";
}

std::string JsonPathAppend(const std::string& path, std::string_view key) {
  std::string result = path + "/";
  for (const char c : TruncateUtf8(key, kMaxKeyBytesInPath)) {
    if (c == '~') {
      result += "~0";
    } else if (c == '/') {
      result += "~1";
    } else {
      result += c;
    }
  }
  return result;
}

std::string JsonPathAppend(const std::string& path, size_t index) {
  return path + "/" + std::to_string(index);
}

bool IsNestedTooDeeply(std::string_view text) {
  size_t depth = 0;
  bool in_string = false;
  for (size_t i = 0; i < text.size(); ++i) {
    const char c = text[i];
    if (in_string) {
      i += c == '\\' ? 1 : 0;
      in_string = c != '"';
    } else if (c == '"') {
      in_string = true;
    } else if (c == '[' || c == '{') {
      if (++depth > kMaxDepth) {
        return true;
      }
    } else if ((c == ']' || c == '}') && depth > 0) {
      --depth;
    }
  }
  return false;
}

bool HasMoreSeparators(std::string_view text, size_t most) {
  size_t count = 0;
  bool in_string = false;
  for (size_t i = 0; i < text.size(); ++i) {
    const char c = text[i];
    if (in_string) {
      i += c == '\\' ? 1 : 0;
      in_string = c != '"';
    } else if (c == '"') {
      in_string = true;
    } else if (c == '[' || c == '{' || c == ',' || c == ':') {
      ++count;
    }
  }
  return count > most;
}

Json ReadJsonDocument(std::string_view text, std::vector<Problem>& problems) {
  DocumentValidator validator(problems);
  Json::sax_parse(text, &validator);
  return Json::parse(text);
}

}  // namespace endivecleat
