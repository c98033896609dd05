// Reads a JSON object against a schema spelled out in code. Every fault is collected with its JSON
// path, so that a user sees all of them at once; keys that no one asked for are faults as well.
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
  /// Records a problem when the value is not an object; every member then counts as absent.
  JsonReader(const nlohmann::json& object, std::string path, std::vector<Problem>& problems);

  /// Each returns the member or the fallback; a wrong type or a missing required member is a
  /// problem.
  std::string Text(const std::string& key, Presence presence, std::string fallback = "");
  uint64_t Number(const std::string& key, uint64_t least, uint64_t most, uint64_t fallback);
  bool Flag(const std::string& key, bool fallback);
  /// A length of time with its unit, such as "500ms", "2s" or "5min".
  Duration Time(const std::string& key, Duration least, Duration most, Duration fallback);
  /// An IP number and a port, such as "127.0.0.1:7001" or "[::1]:7001".
  Address Endpoint(const std::string& key, Presence presence);
  std::vector<std::string> Texts(const std::string& key, Presence presence);

  /// The JSON text of a member that another reader checks; empty when it is absent.
  std::string Raw(const std::string& key);

  /// Calls read for an object member, with a reader of its own.
  void Object(const std::string& key, Presence presence,
              const std::function<void(JsonReader&)>& read);
  /// Calls read for each object of an array member.
  void Objects(const std::string& key, Presence presence,
               const std::function<void(JsonReader&)>& read);

  /// Records a problem for each member that was never asked for. Call it last.
  void RejectUnknownKeys();

  void Report(const std::string& key, const std::string& message);

 private:
  const nlohmann::json* Find(const std::string& key, Presence presence);

  const nlohmann::json& object_;
  std::string path_;
  std::vector<Problem>& problems_;
  std::set<std::string> known_keys_;
};

/// Parses an address; nullopt when the IP number or the port is not valid.
std::optional<Address> ParseAddress(const std::string& text);

/// Parses a length of time with its unit (us, ms, s, min, h); nullopt when there is no such unit.
std::optional<Duration> ParseDuration(const std::string& text);

}  // namespace endivecleat

#endif  // ENDIVECLEAT_JSON_READER_H_
