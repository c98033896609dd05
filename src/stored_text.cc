// A scanner that skips JSON values by their quotes and brackets.
#include "stored_text.h"

#include <functional>
#include <set>
#include <utility>

namespace endivecleat {
namespace {

// Skips values of a JSON text. It fails at the end of the text, at whitespace between values and at
// unbalanced brackets.
class Scanner {
 public:
  explicit Scanner(std::string_view text) : text_(text) {}

  size_t position() const { return position_; }

  bool Skip(char expected) {
    if (position_ >= text_.size() || text_[position_] != expected) {
      return false;
    }
    ++position_;
    return true;
  }

  /// Returns the string as written, without its quotes.
  std::optional<std::string_view> SkipString() {
    if (!Skip('"')) {
      return std::nullopt;
    }
    const size_t start = position_;
    for (; position_ < text_.size(); ++position_) {
      if (text_[position_] == '\\') {
        ++position_;
      } else if (text_[position_] == '"') {
        return text_.substr(start, position_++ - start);
      }
    }
    return std::nullopt;
  }

  std::optional<std::string_view> SkipValue() {
    const size_t start = position_;
    size_t depth = 0;
    while (position_ < text_.size()) {
      const char character = text_[position_];
      if (character == '"') {
        if (!SkipString()) {
          return std::nullopt;
        }
        continue;
      }
      const bool closes = character == ']' || character == '}';
      if (depth == 0 && (closes || character == ',')) {
        break;
      }
      depth += character == '[' || character == '{' ? 1 : 0;
      depth -= closes ? 1 : 0;
      ++position_;
    }
    const bool complete = depth == 0 && position_ > start;
    return complete ? std::optional(text_.substr(start, position_ - start)) : std::nullopt;
  }

  /// Calls `read` at the value of each member of an object, which it has to skip. Stops and returns
  /// false when `read` does, or when the text is no object.
  bool ReadObject(const std::function<bool(std::string_view key)>& read) {
    if (!Skip('{')) {
      return false;
    }
    if (Skip('}')) {
      return true;
    }
    do {
      const std::optional<std::string_view> key = SkipString();
      if (!key || !Skip(':') || !read(*key)) {
        return false;
      }
    } while (Skip(','));
    return Skip('}');
  }

 private:
  std::string_view text_;
  size_t position_ = 0;
};

bool SplitRoutes(std::string_view preset, StoredTextParts& parts) {
  Scanner scanner(preset);
  bool found = false;
  const bool complete = scanner.ReadObject([&](std::string_view key) {
    if (key != "routes" || found) {
      return scanner.SkipValue().has_value();
    }
    found = true;
    if (!scanner.Skip('[')) {
      return false;
    }
    parts.before_routes = preset.substr(0, scanner.position());
    while (preset[scanner.position()] != ']') {
      const std::optional<std::string_view> route = scanner.SkipValue();
      if (!route || scanner.position() >= preset.size()) {
        return false;
      }
      parts.routes.push_back(*route);
      if (!scanner.Skip(',') && preset[scanner.position()] != ']') {
        return false;
      }
    }
    parts.after_routes = preset.substr(scanner.position());
    return scanner.Skip(']');
  });
  return complete && found && scanner.position() == preset.size();
}

}  // namespace

std::optional<StoredTextParts> SplitStoredText(std::string_view text) {
  StoredTextParts parts;
  std::vector<StoredTextParts::Preset> presets;
  bool found = false;
  Scanner scanner(text);
  size_t after_presets = 0;
  const auto read_preset = [&](std::string_view name) {
    const std::optional<std::string_view> preset = scanner.SkipValue();
    if (preset) {
      presets.push_back({name, *preset});
    }
    return preset.has_value();
  };
  const bool complete = scanner.ReadObject([&](std::string_view key) {
    if (key == "preset_in_force") {
      const std::optional<std::string_view> name = scanner.SkipString();
      parts.in_force = name.value_or("");
      return name.has_value();
    }
    if (key == "tenants" && found) {
      const std::string_view name = "\"tenants\":";
      const size_t start = scanner.position() - name.size() - 1;
      const bool skipped = scanner.SkipValue().has_value();
      const bool last = scanner.position() + 1 == text.size();
      if (skipped && last) {
        parts.tenants = text.substr(start, scanner.position() - start);
      }
      return skipped && last;
    }
    if (key != "presets" || found) {
      return scanner.SkipValue().has_value();
    }
    found = true;
    parts.before_presets = text.substr(0, scanner.position() + 1);
    if (!scanner.ReadObject(read_preset)) {
      return false;
    }
    after_presets = scanner.position() - 1;
    return true;
  });
  if (!complete || !found || scanner.position() != text.size()) {
    return std::nullopt;
  }
  parts.after_presets =
      text.substr(after_presets, text.size() - 1 - parts.tenants.size() - after_presets);
  std::set<std::string_view> names;
  bool split = false;
  for (const StoredTextParts::Preset& preset : presets) {
    if (!names.insert(preset.name).second) {
      return std::nullopt;
    }
    if (preset.name != parts.in_force) {
      parts.other_presets.push_back(preset);
    } else {
      split = SplitRoutes(preset.text, parts);
    }
  }
  return split ? std::optional(std::move(parts)) : std::nullopt;
}

std::string JoinStoredText(const StoredTextParts& parts,
                           const std::vector<std::string_view>& routes,
                           const std::vector<StoredTextParts::Preset>& other_presets,
                           bool with_tenants) {
  std::string text(parts.before_presets);
  text.append("\"").append(parts.in_force).append("\":").append(parts.before_routes);
  for (size_t position = 0; position < routes.size(); ++position) {
    text.append(position == 0 ? "" : ",").append(routes[position]);
  }
  text.append(parts.after_routes);
  for (const StoredTextParts::Preset& preset : other_presets) {
    text.append(",\"").append(preset.name).append("\":").append(preset.text);
  }
  text.append(parts.after_presets).append(with_tenants ? parts.tenants : "");
  return text.append("}");
}

StoredMember FindStoredMember(std::string_view text, std::string_view name) {
  StoredMember member;
  member.start = member.end = text.empty() ? 0 : text.size() - 1;
  bool placed = false;
  Scanner scanner(text);
  scanner.ReadObject([&](std::string_view key) {
    const size_t comma = scanner.position() - key.size() - 4;  // ,"key":
    const std::optional<std::string_view> value = scanner.SkipValue();
    if (!value) {
      return false;
    }
    if (!placed && key >= name) {
      placed = true;
      member.start = comma;
      member.end = key == name ? scanner.position() : comma;
      member.value = key == name ? *value : std::string_view();
    }
    return true;
  });
  return member;
}

}  // namespace endivecleat
