#include "settings.h"

#include <algorithm>
#include <filesystem>
#include <nlohmann/json.hpp>

#include "errors.h"
#include "json_reader.h"
#include "text_file.h"

namespace endivecleat {
namespace {

constexpr size_t kShortestToken = 16;  // characters; shorter ones are guessed too easily
constexpr size_t kMostControlInstances = 7;

std::string Resolve(const std::string& folder, const std::string& path) {
  return (std::filesystem::path(folder) / path).string();
}

std::string FolderOf(const std::string& path) {
  return std::filesystem::absolute(path).parent_path().string();
}

nlohmann::json ParseJson(const std::string& text) {
  try {
    return nlohmann::json::parse(text);
  } catch (const nlohmann::json::exception& error) {
    throw UserError(ResultCode::kSettingsInvalid,
                    std::string("the settings are not valid JSON: ") + error.what());
  }
}

std::string ReadToken(JsonReader& reader, const std::string& key, const std::string& folder) {
  const std::string path = reader.Text(key, Presence::kRequired);
  if (path.empty()) {
    return "";
  }
  try {
    return ReadTokenFile(Resolve(folder, path));
  } catch (const UserError& error) {
    reader.Report(key, error.what());
    return "";
  }
}

Place ReadPlace(JsonReader& reader) {
  Place place;
  place.region = RegionId(reader.Text("region", Presence::kRequired));
  place.data_centre = DataCentreId(reader.Text("data_centre", Presence::kRequired));
  return place;
}

std::vector<ControlPeer> ReadControlPeers(JsonReader& reader) {
  std::vector<ControlPeer> peers;
  reader.Objects("control", Presence::kRequired, [&](JsonReader& entry) {
    ControlPeer peer;
    peer.instance = InstanceId(entry.Text("instance", Presence::kRequired));
    peer.place = ReadPlace(entry);
    peer.peers = entry.Endpoint("peers", Presence::kRequired);
    peer.operators = entry.Endpoint("operators", Presence::kRequired);
    const bool known = std::any_of(peers.begin(), peers.end(), [&](const ControlPeer& other) {
      return other.instance == peer.instance;
    });
    if (known) {
      entry.Report("instance", "stands twice in the list");
    }
    peers.push_back(peer);
  });
  if (peers.empty() || peers.size() > kMostControlInstances) {
    reader.Report("control",
                  "must list 1 to " + std::to_string(kMostControlInstances) + " instances");
  }
  return peers;
}

LogSettings ReadLog(JsonReader& reader, const std::string& folder) {
  LogSettings log;
  reader.Object("log", Presence::kOptional, [&](JsonReader& entry) {
    log.level = entry.Text("level", Presence::kOptional, log.level);
    log.target = entry.Text("target", Presence::kOptional, log.target);
    constexpr std::array kLevels = {"debug", "info", "warning", "error"};
    if (std::find(kLevels.begin(), kLevels.end(), log.level) == kLevels.end()) {
      entry.Report("level", "must be debug, info, warning or error");
    }
  });
  if (log.target != "stderr") {
    log.target = Resolve(folder, log.target);
  }
  return log;
}

CommonSettings ReadCommon(JsonReader& reader, const std::string& folder) {
  CommonSettings common;
  common.instance = InstanceId(reader.Text("instance", Presence::kRequired));
  common.place = ReadPlace(reader);
  common.control = ReadControlPeers(reader);
  common.mesh_token = ReadToken(reader, "mesh_token_file", folder);
  common.log = ReadLog(reader, folder);
  common.trace_file = reader.Text("trace_file", Presence::kOptional);
  if (!common.trace_file.empty()) {
    common.trace_file = Resolve(folder, common.trace_file);
  }
  common.drain_timeout = reader.Time("drain_timeout", std::chrono::milliseconds(100),
                                     std::chrono::hours(1), common.drain_timeout);
  return common;
}

void ThrowIfAny(const std::vector<Problem>& problems) {
  if (!problems.empty()) {
    throw UserError(ResultCode::kSettingsInvalid, "the settings are not valid", problems);
  }
}

void CheckListedInControl(JsonReader& reader, const CommonSettings& common) {
  const bool listed =
      std::any_of(common.control.begin(), common.control.end(),
                  [&](const ControlPeer& peer) { return peer.instance == common.instance; });
  if (!listed) {
    reader.Report("instance", "must stand in the list \"control\"");
  }
}

}  // namespace

ControlSettings ParseControlSettings(const std::string& text, const std::string& folder) {
  const nlohmann::json document = ParseJson(text);
  std::vector<Problem> problems;
  JsonReader reader(document, "", problems);
  ControlSettings settings;
  settings.common = ReadCommon(reader, folder);
  CheckListedInControl(reader, settings.common);
  settings.data_folder = Resolve(folder, reader.Text("data_folder", Presence::kRequired));
  settings.operator_token = ReadToken(reader, "operator_token_file", folder);
  settings.heartbeat = reader.Time("heartbeat", std::chrono::milliseconds(10),
                                   std::chrono::seconds(5), settings.heartbeat);
  settings.election_timeout = reader.Time("election_timeout", std::chrono::milliseconds(50),
                                          std::chrono::seconds(60), settings.election_timeout);
  if (settings.election_timeout < 3 * settings.heartbeat) {
    reader.Report("election_timeout", "must be at least three times the heartbeat");
  }
  reader.Object("listen", Presence::kRequired, [&](JsonReader& listen) {
    settings.operators = listen.Endpoint("operators", Presence::kRequired);
    settings.peers = listen.Endpoint("peers", Presence::kRequired);
  });
  reader.RejectUnknownKeys();
  ThrowIfAny(problems);
  return settings;
}

DaemonSettings ParseDaemonSettings(const std::string& text, const std::string& folder) {
  const nlohmann::json document = ParseJson(text);
  std::vector<Problem> problems;
  JsonReader reader(document, "", problems);
  DaemonSettings settings;
  settings.common = ReadCommon(reader, folder);
  settings.announce_token = ReadToken(reader, "announce_token_file", folder);
  reader.Object("listen", Presence::kRequired, [&](JsonReader& listen) {
    settings.callers = listen.Endpoint("callers", Presence::kRequired);
    settings.peers = listen.Endpoint("peers", Presence::kRequired);
    settings.local = listen.Endpoint("local", Presence::kRequired);
  });
  for (const std::string& text_of_address : reader.Texts("neighbours", Presence::kOptional)) {
    const std::optional<Address> address = ParseAddress(text_of_address);
    if (address) {
      settings.neighbours.push_back(*address);
    } else {
      reader.Report("neighbours",
                    "has an entry that is not an IP number and a port: " + text_of_address);
    }
  }
  reader.RejectUnknownKeys();
  ThrowIfAny(problems);
  return settings;
}

ControlSettings LoadControlSettings(const std::string& path) {
  return ParseControlSettings(ReadTextFile(path), FolderOf(path));
}

DaemonSettings LoadDaemonSettings(const std::string& path) {
  return ParseDaemonSettings(ReadTextFile(path), FolderOf(path));
}

std::string ReadTokenFile(const std::string& path) {
  std::string token = ReadTextFile(path);
  while (!token.empty() && (token.back() == '\n' || token.back() == '\r')) {
    token.pop_back();
  }
  const bool printable =
      std::all_of(token.begin(), token.end(), [](unsigned char c) { return c > ' ' && c < 0x7F; });
  if (token.size() < kShortestToken || !printable) {
    throw UserError(ResultCode::kSettingsInvalid,
                    "the token in " + path + " must be one line of at least " +
                        std::to_string(kShortestToken) + " printable characters");
  }
  return token;
}

}  // namespace endivecleat
