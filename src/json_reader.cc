// Every accessor goes through Find, which records the key as known. RejectUnknownKeys compares the
// object's keys with those.
#include "json_reader.h"

#include <arpa/inet.h>

#include <array>
#include <charconv>
#include <cmath>
#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>

namespace endivecleat {
namespace {

struct TimeUnit {
  std::string_view suffix;
  int64_t microseconds;
};

constexpr std::array kTimeUnits = std::to_array<TimeUnit>({
    {"us", 1},
    {"ms", 1000},
    {"s", 1000000},
    {"min", 60000000},
    {"h", 3600000000},
});

bool IsIpAddress(const std::string& text) {
  std::array<unsigned char, sizeof(in6_addr)> buffer{};
  return inet_pton(AF_INET, text.c_str(), buffer.data()) == 1 ||
         inet_pton(AF_INET6, text.c_str(), buffer.data()) == 1;
}

template <class Number>
std::optional<Number> ParseNumber(std::string_view text) {
  Number value{};
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return value;
}

std::string FormatMilliseconds(Duration duration) {
  return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count()) +
         "ms";
}

}  // namespace

JsonReader::JsonReader(const nlohmann::json& object, std::string path,
                       std::vector<Problem>& problems)
    : object_(object), path_(std::move(path)), problems_(problems) {
  if (!object_.is_object()) {
    problems_.push_back({path_.empty() ? "/" : path_, "must be an object"});
  }
}

std::string JsonReader::ReadString(const std::string& key, Presence presence,
                                   std::string fallback) {
  const nlohmann::json* value = FindMember(key, presence);
  if (value == nullptr) {
    return fallback;
  }
  if (!value->is_string() || value->get_ref<const std::string&>().empty()) {
    ReportProblem(key, "must be a non-empty string");
    return fallback;
  }
  return value->get<std::string>();
}

uint64_t JsonReader::ReadNumber(const std::string& key, uint64_t minimum, uint64_t maximum,
                                uint64_t fallback) {
  const nlohmann::json* value = FindMember(key, Presence::kOptional);
  if (value == nullptr) {
    return fallback;
  }
  const bool valid = value->is_number_unsigned() && value->get<uint64_t>() >= minimum &&
                     value->get<uint64_t>() <= maximum;
  if (!valid) {
    ReportProblem(key, "must be a whole number from " + std::to_string(minimum) + " to " +
                           std::to_string(maximum));
    return fallback;
  }
  return value->get<uint64_t>();
}

double JsonReader::ReadDecimal(const std::string& key, double minimum, double maximum,
                               double fallback) {
  const nlohmann::json* value = FindMember(key, Presence::kOptional);
  if (value == nullptr) {
    return fallback;
  }
  const bool valid =
      value->is_number() && value->get<double>() >= minimum && value->get<double>() <= maximum;
  if (!valid) {
    ReportProblem(key, "must be a number from " + nlohmann::json(minimum).dump() + " to " +
                           nlohmann::json(maximum).dump());
    return fallback;
  }
  return value->get<double>();
}

std::string JsonReader::ReadJsonText(const std::string& key) {
  const nlohmann::json* value = FindMember(key, Presence::kOptional);
  return value == nullptr ? "" : value->dump();
}

bool JsonReader::ReadBool(const std::string& key, bool fallback) {
  const nlohmann::json* value = FindMember(key, Presence::kOptional);
  if (value == nullptr) {
    return fallback;
  }
  if (!value->is_boolean()) {
    ReportProblem(key, "must be true or false");
    return fallback;
  }
  return value->get<bool>();
}

Duration JsonReader::ReadDuration(const std::string& key, Duration minimum, Duration maximum,
                                  Duration fallback) {
  const nlohmann::json* value = FindMember(key, Presence::kOptional);
  if (value == nullptr) {
    return fallback;
  }
  const std::optional<Duration> duration =
      value->is_string() ? ParseDuration(value->get<std::string>()) : std::nullopt;
  if (!duration) {
    ReportProblem(key, "must be a duration with a unit, such as \"500ms\" or \"2s\"");
    return fallback;
  }
  if (*duration < minimum || *duration > maximum) {
    ReportProblem(
        key, "must be from " + FormatMilliseconds(minimum) + " to " + FormatMilliseconds(maximum));
    return fallback;
  }
  return *duration;
}

Address JsonReader::ReadAddress(const std::string& key, Presence presence) {
  const nlohmann::json* value = FindMember(key, presence);
  if (value == nullptr) {
    return {};
  }
  const std::optional<Address> address =
      value->is_string() ? ParseAddress(value->get<std::string>()) : std::nullopt;
  if (!address) {
    ReportProblem(key, "must be an IP address and a port, such as \"127.0.0.1:7001\"");
    return {};
  }
  return *address;
}

std::vector<std::string> JsonReader::ReadStrings(const std::string& key, Presence presence) {
  std::vector<std::string> texts;
  const nlohmann::json* value = FindMember(key, presence);
  if (value == nullptr) {
    return texts;
  }
  if (!value->is_array()) {
    ReportProblem(key, "must be an array of strings");
    return texts;
  }
  for (size_t index = 0; index < value->size(); ++index) {
    if (!(*value)[index].is_string()) {
      ReportProblem(key + "/" + std::to_string(index), "must be a string");
      continue;
    }
    texts.push_back((*value)[index].get<std::string>());
  }
  return texts;
}

void JsonReader::ReadObject(const std::string& key, Presence presence,
                            const std::function<void(JsonReader&)>& read) {
  const nlohmann::json* value = FindMember(key, presence);
  if (value == nullptr) {
    return;
  }
  JsonReader reader(*value, path_ + "/" + key, problems_);
  read(reader);
  reader.RejectUnknownKeys();
}

void JsonReader::ReadObjects(const std::string& key, Presence presence,
                             const std::function<void(JsonReader&)>& read) {
  const nlohmann::json* value = FindMember(key, presence);
  if (value == nullptr) {
    return;
  }
  if (!value->is_array()) {
    ReportProblem(key, "must be an array of objects");
    return;
  }
  for (size_t index = 0; index < value->size(); ++index) {
    JsonReader reader((*value)[index], path_ + "/" + key + "/" + std::to_string(index), problems_);
    read(reader);
    reader.RejectUnknownKeys();
  }
}

void JsonReader::RejectUnknownKeys() {
  if (!object_.is_object()) {
    return;
  }
  for (const auto& [key, value] : object_.items()) {
    if (!known_keys_.contains(key)) {
      ReportProblem(key, "unknown key");
    }
  }
}

void JsonReader::ReportProblem(const std::string& key, const std::string& message) {
  problems_.push_back({path_ + "/" + key, message});
}

const nlohmann::json* JsonReader::FindMember(const std::string& key, Presence presence) {
  known_keys_.insert(key);
  if (!object_.is_object()) {
    return nullptr;
  }
  const auto found = object_.find(key);
  if (found != object_.end()) {
    return &*found;
  }
  if (presence == Presence::kRequired) {
    ReportProblem(key, "is missing");
  }
  return nullptr;
}

std::optional<Address> ParseAddress(const std::string& text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string::npos) {
    return std::nullopt;
  }
  std::string ip = text.substr(0, colon);
  if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']') {
    ip = ip.substr(1, ip.size() - 2);
  }
  const auto port = ParseNumber<uint16_t>(std::string_view(text).substr(colon + 1));
  if (!port || !IsIpAddress(ip)) {
    return std::nullopt;
  }
  return Address{ip, *port};
}

std::optional<Duration> ParseDuration(const std::string& text) {
  const size_t number_size = text.find_first_not_of("0123456789.");
  if (number_size == 0 || number_size == std::string::npos || text.front() == '.') {
    return std::nullopt;
  }
  const auto count = ParseNumber<double>(std::string_view(text).substr(0, number_size));
  constexpr double kMaxCount = 1000000;  // 1,000,000 h still fits in microseconds
  for (const TimeUnit& unit : kTimeUnits) {
    if (count && *count <= kMaxCount && unit.suffix == std::string_view(text).substr(number_size)) {
      return Duration(std::llround(*count * static_cast<double>(unit.microseconds)));
    }
  }
  return std::nullopt;
}

}  // namespace endivecleat
