// Reads a JSON object against a schema that is given by the calls of the reader's methods. Collects
// every problem with its JSON path, so that a user sees all of them at once. Keys that were never
// read are problems as well.
#ifndef ENDIVECLEAT_JSON_READER_H_
#define ENDIVECLEAT_JSON_READER_H_

#include <cstdint>
#include <functional>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "errors.h"
#include "units.h"

namespace endivecleat {

enum class Presence { kRequired, kOptional };

/// Reads the members of one object. The document and the list of problems must outlive the reader.
class JsonReader {
 public:
  /// Reports a problem if the value is not an object, and then treats every member as absent.
  /// `path` is the JSON pointer of the object.
  JsonReader(const nlohmann::json& object, std::string path, std::vector<Problem>& problems);

  /// Each of these returns the member's value, or the fallback (empty if there is none) if the
  /// member is absent or invalid. They report a problem for a missing required member, a wrong type
  /// or a value out of range. Ranges are inclusive.
  std::string ReadString(const std::string& key, Presence presence, std::string fallback = "");
  uint64_t ReadNumber(const std::string& key, uint64_t minimum, uint64_t maximum,
                      uint64_t fallback);
  /// Any number, with or without a fraction.
  double ReadDecimal(const std::string& key, double minimum, double maximum, double fallback);
  bool ReadBool(const std::string& key, bool fallback);
  /// A duration in the syntax of ParseDuration, such as "500ms", "2s" or "5min".
  Duration ReadDuration(const std::string& key, Duration minimum, Duration maximum,
                        Duration fallback);
  /// An IP address and a port, such as "127.0.0.1:7001" or "[::1]:7001".
  Address ReadAddress(const std::string& key, Presence presence);
  std::vector<std::string> ReadStrings(const std::string& key, Presence presence);

  /// Returns a member as unchecked JSON text, for another reader; empty if it is absent.
  std::string ReadJsonText(const std::string& key);

  /// Calls `read` with a reader for an object member, then rejects its unknown keys.
  void ReadObject(const std::string& key, Presence presence,
                  const std::function<void(JsonReader&)>& read);
  /// Does the same for each element of an array of objects.
  void ReadObjects(const std::string& key, Presence presence,
                   const std::function<void(JsonReader&)>& read);

  /// Reports a problem for each member that was not read. Call it after all reads.
  void RejectUnknownKeys();

  /// Appends a problem with the member `key` to the list.
  void ReportProblem(const std::string& key, const std::string& message);

 private:
  const nlohmann::json* FindMember(const std::string& key, Presence presence);

  const nlohmann::json& object_;
  std::string path_;
  std::vector<Problem>& problems_;
  std::set<std::string> known_keys_;
};

/// Parses an IP address and a port, such as "127.0.0.1:7001"; nullopt if either is invalid.
std::optional<Address> ParseAddress(const std::string& text);

/// Parses a number followed by a unit (us, ms, s, min or h), rounded to microseconds; nullopt if
/// the text has another form or the number is above 1,000,000.
std::optional<Duration> ParseDuration(const std::string& text);

}  // namespace endivecleat

#endif  // ENDIVECLEAT_JSON_READER_H_
