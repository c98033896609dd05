// A malformed field counts as none: the target is then judged by its response times alone.
#include "load_field.h"

#include <array>
#include <charconv>

namespace endivecleat {
namespace {

constexpr size_t kRequiredFigures = 3;
constexpr size_t kKnownFigures = 4;
constexpr uint64_t kMaxFigure = 1'000'000;

std::string_view Trim(std::string_view text) {
  const size_t first = text.find_first_not_of(" \t");
  const size_t last = text.find_last_not_of(" \t");
  return first == std::string_view::npos ? "" : text.substr(first, last - first + 1);
}

}  // namespace

std::optional<LoadField> ParseLoadField(std::string_view text) {
  std::array<uint64_t, kKnownFigures> figures{};
  size_t count = 0;
  while (count < kKnownFigures && !text.empty()) {
    const size_t comma = std::min(text.find(','), text.size());
    const std::string_view figure = Trim(text.substr(0, comma));
    const auto [end, error] =
        std::from_chars(figure.data(), figure.data() + figure.size(), figures.at(count));
    if (error != std::errc() || end != figure.data() + figure.size() ||
        figures.at(count) > kMaxFigure) {
      return std::nullopt;
    }
    ++count;
    text.remove_prefix(std::min(comma + 1, text.size()));
  }
  if (count < kRequiredFigures || figures[2] == 0) {
    return std::nullopt;
  }
  LoadField field{figures[0], figures[1], figures[2]};
  if (count == kKnownFigures && figures[3] > 0) {
    field.pace = figures[3];
  }
  return field;
}

}  // namespace endivecleat
