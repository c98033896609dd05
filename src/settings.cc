// Reads the settings with JsonReader. Problems with token files and with combinations of values are
// reported like the reader's own.
#include "settings.h"

#include <algorithm>
#include <filesystem>
#include <nlohmann/json.hpp>

#include "errors.h"
#include "json_reader.h"
#include "text_file.h"

namespace endivecleat {
namespace {

constexpr uint64_t kMaxPipelinedRequests = 256;
constexpr uint64_t kMaxUploadBytes = 16ULL << 30U;
constexpr uint64_t kMaxPipelinedBytes = 16U << 20U;
constexpr uint64_t kMaxIngressCount = 1'000'000;
constexpr uint64_t kMaxIngressBytes = uint64_t{1} << 40U;
constexpr double kMaxRetryBurst = 1e6;
constexpr size_t kMinTokenLength = 16;  // characters; shorter tokens are too easy to guess
constexpr size_t kMaxControlInstances = 7;

std::string ResolvePath(const std::string& folder, const std::string& path) {
  return (std::filesystem::path(folder) / path).string();
}

std::string ParentFolder(const std::string& path) {
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

// Replaces all tokens if the operator sets "closed_network": true, which declares that only the
// machines of the deployment can reach the network. It is public and protects nothing.
constexpr char kClosedNetworkToken[] = "closed-network-without-secrets";

std::string ReadToken(JsonReader& reader, const std::string& key, const std::string& folder) {
  if (reader.ReadBool("closed_network", false)) {
    return kClosedNetworkToken;
  }
  const std::string path = reader.ReadString(key, Presence::kRequired);
  if (path.empty()) {
    return "";
  }
  try {
    return ReadTokenFile(ResolvePath(folder, path));
  } catch (const UserError& error) {
    reader.ReportProblem(key, error.what());
    return "";
  }
}

Location ReadPlace(JsonReader& reader) {
  Location place;
  place.region = RegionId(reader.ReadString("region", Presence::kRequired));
  place.data_centre = DataCentreId(reader.ReadString("data_centre", Presence::kRequired));
  return place;
}

std::vector<ControlPeer> ReadControlPeers(JsonReader& reader) {
  std::vector<ControlPeer> peers;
  reader.ReadObjects("control", Presence::kRequired, [&](JsonReader& entry) {
    ControlPeer peer;
    peer.instance = InstanceId(entry.ReadString("instance", Presence::kRequired));
    peer.location = ReadPlace(entry);
    peer.peer_address = entry.ReadAddress("peers", Presence::kRequired);
    peer.operator_address = entry.ReadAddress("operators", Presence::kRequired);
    const bool duplicate = std::any_of(peers.begin(), peers.end(), [&](const ControlPeer& other) {
      return other.instance == peer.instance;
    });
    if (duplicate) {
      entry.ReportProblem("instance", "is listed twice");
    }
    peers.push_back(peer);
  });
  if (peers.empty() || peers.size() > kMaxControlInstances) {
    reader.ReportProblem("control",
                         "must list 1 to " + std::to_string(kMaxControlInstances) + " instances");
  }
  return peers;
}

LogSettings ReadLogSettings(JsonReader& reader, const std::string& folder) {
  LogSettings log;
  reader.ReadObject("log", Presence::kOptional, [&](JsonReader& entry) {
    log.level = entry.ReadString("level", Presence::kOptional, log.level);
    log.target = entry.ReadString("target", Presence::kOptional, log.target);
    constexpr std::array kLevels = {"debug", "info", "warning", "error"};
    if (std::find(kLevels.begin(), kLevels.end(), log.level) == kLevels.end()) {
      entry.ReportProblem("level", "must be debug, info, warning or error");
    }
  });
  if (log.target != "stderr" && log.target != "stdout") {
    log.target = ResolvePath(folder, log.target);
  }
  return log;
}

std::optional<Discovery> ReadDiscovery(JsonReader& reader) {
  std::optional<Discovery> discovery;
  reader.ReadObject("discovery", Presence::kOptional, [&](JsonReader& entry) {
    Discovery found;
    for (const std::string& text : entry.ReadStrings("seeds", Presence::kRequired)) {
      const std::optional<Address> address = ParseAddress(text);
      if (address) {
        found.seeds.push_back(*address);
      } else {
        entry.ReportProblem("seeds", "has an entry that is not an IP address and a port: " + text);
      }
    }
    if (found.seeds.empty()) {
      entry.ReportProblem("seeds", "must list at least one control instance");
    }
    found.bootstrap = entry.ReadBool("bootstrap", false);
    found.tolerated_losses = entry.ReadNumber("tolerated_losses", 0, kMaxControlInstances / 2, 1);
    discovery = found;
  });
  return discovery;
}

IngressLimits ReadIngress(JsonReader& reader) {
  IngressLimits limits;
  reader.ReadObject("ingress", Presence::kOptional, [&](JsonReader& entry) {
    const auto read_count = [&](const char* key, size_t& value) {
      value = entry.ReadNumber(key, 1, kMaxIngressCount, value);
    };
    limits.bytes =
        ByteCount(entry.ReadNumber("bytes", 1U << 20U, kMaxIngressBytes, limits.bytes.value()));
    read_count("connections", limits.connections);
    read_count("connections_per_address", limits.connections_per_address);
    read_count("partial_requests", limits.partial_requests);
    read_count("partial_requests_per_address", limits.partial_requests_per_address);
    read_count("reserved_descriptors", limits.reserved_descriptors);
    limits.header_timeout = entry.ReadDuration("header_timeout", std::chrono::milliseconds(100),
                                               std::chrono::minutes(10), limits.header_timeout);
    limits.body_bytes_per_second = entry.ReadNumber("body_bytes_per_second", 1, kMaxIngressBytes,
                                                    limits.body_bytes_per_second);
  });
  return limits;
}

CommonSettings ReadCommon(JsonReader& reader, const std::string& folder) {
  CommonSettings common;
  common.instance = InstanceId(reader.ReadString("instance", Presence::kRequired));
  common.location = ReadPlace(reader);
  common.discovery = ReadDiscovery(reader);
  if (!common.discovery) {
    common.control_peers = ReadControlPeers(reader);
  }
  common.mesh_token = ReadToken(reader, "mesh_token_file", folder);
  common.log = ReadLogSettings(reader, folder);
  common.adapter_json = reader.ReadJsonText("adapter");
  common.trace_file = reader.ReadString("trace_file", Presence::kOptional);
  if (!common.trace_file.empty()) {
    common.trace_file = ResolvePath(folder, common.trace_file);
  }
  common.drain_timeout = reader.ReadDuration("drain_timeout", std::chrono::milliseconds(100),
                                             std::chrono::hours(1), common.drain_timeout);
  common.drain_notice = reader.ReadDuration("drain_notice", Duration(0), std::chrono::minutes(10),
                                            common.drain_notice);
  common.in_force_within = reader.ReadDuration("in_force_within", std::chrono::milliseconds(100),
                                               std::chrono::hours(1), common.in_force_within);
  common.ingress = ReadIngress(reader);
  return common;
}

void ThrowIfAny(const std::vector<Problem>& problems) {
  if (!problems.empty()) {
    throw UserError(ResultCode::kSettingsInvalid, "the settings are not valid", problems);
  }
}

CallHeaders ReadHeaders(JsonReader& reader) {
  CallHeaders headers;
  reader.ReadObject("headers", Presence::kOptional, [&](JsonReader& entry) {
    const auto read = [&](const char* key, std::string& name) {
      name = entry.ReadString(key, Presence::kOptional, name);
    };
    read("timeout", headers.timeout);
    read("request_id", headers.request_id);
    read("target", headers.target);
    read("origin_service", headers.origin_service);
    read("not_run", headers.not_run);
    read("answer_mark", headers.answer_mark);
    read("tenant", headers.tenant);
    read("load", headers.load);
    headers.diagnostics = entry.ReadBool("diagnostics", headers.diagnostics);
    if (headers.timeout.empty()) {
      entry.ReportProblem("timeout", "must name a header field");
    }
  });
  return headers;
}

// All instances of a deployment with discovery listen for peers on the same port, so the ports in
// the seed list are replaced by the instance's own.
void SetSeedPorts(CommonSettings& common, uint16_t port) {
  if (common.discovery) {
    for (Address& seed : common.discovery->seeds) {
      seed.port = port;
    }
  }
}

void CheckListedAsControl(JsonReader& reader, const CommonSettings& common) {
  if (common.discovery) {
    return;
  }
  const bool listed =
      std::any_of(common.control_peers.begin(), common.control_peers.end(),
                  [&](const ControlPeer& peer) { return peer.instance == common.instance; });
  if (!listed) {
    reader.ReportProblem("instance", "must be listed in \"control\"");
  }
}

}  // namespace

ControlSettings ParseControlSettings(const std::string& text, const std::string& folder) {
  const nlohmann::json document = ParseJson(text);
  std::vector<Problem> problems;
  JsonReader reader(document, "", problems);
  ControlSettings settings;
  settings.common = ReadCommon(reader, folder);
  CheckListedAsControl(reader, settings.common);
  settings.data_folder = ResolvePath(folder, reader.ReadString("data_folder", Presence::kRequired));
  settings.operator_token = ReadToken(reader, "operator_token_file", folder);
  settings.ledger_enabled = reader.ReadBool("ledger", settings.ledger_enabled);
  settings.heartbeat_interval =
      reader.ReadDuration("heartbeat", std::chrono::milliseconds(10), std::chrono::seconds(5),
                          settings.heartbeat_interval);
  settings.min_election_timeout =
      reader.ReadDuration("election_timeout", std::chrono::milliseconds(50),
                          std::chrono::seconds(60), settings.min_election_timeout);
  if (settings.min_election_timeout < 3 * settings.heartbeat_interval) {
    reader.ReportProblem("election_timeout", "must be at least three times the heartbeat");
  }
  reader.ReadObject("listen", Presence::kRequired, [&](JsonReader& listen) {
    settings.operator_address = listen.ReadAddress("operators", Presence::kRequired);
    settings.peer_address = listen.ReadAddress("peers", Presence::kRequired);
  });
  SetSeedPorts(settings.common, settings.peer_address.port);
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
  reader.ReadObject("listen", Presence::kRequired, [&](JsonReader& listen) {
    settings.caller_address = listen.ReadAddress("callers", Presence::kRequired);
    settings.peer_address = listen.ReadAddress("peers", Presence::kRequired);
    settings.local_address = listen.ReadAddress("local", Presence::kRequired);
  });
  SetSeedPorts(settings.common, settings.peer_address.port);
  settings.service = ServiceName(reader.ReadString("service", Presence::kOptional));
  settings.headers = ReadHeaders(reader);
  reader.ReadObject("pipelining", Presence::kOptional, [&](JsonReader& entry) {
    settings.pipelined_requests =
        entry.ReadNumber("requests", 1, kMaxPipelinedRequests, settings.pipelined_requests);
    settings.pipelined_bytes = ByteCount(
        entry.ReadNumber("bytes", 1, kMaxPipelinedBytes, settings.pipelined_bytes.value()));
  });
  reader.ReadObject("uploads", Presence::kOptional, [&](JsonReader& entry) {
    settings.upload_body =
        ByteCount(entry.ReadNumber("body", 1, kMaxUploadBytes, settings.upload_body.value()));
    settings.upload_timeout =
        entry.ReadDuration("no_progress_timeout", std::chrono::milliseconds(100),
                           std::chrono::minutes(10), settings.upload_timeout);
  });
  settings.adaptive_limit = reader.ReadBool("adaptive_limit", settings.adaptive_limit);
  settings.shared_retry_burst = reader.ReadDecimal("shared_retry_burst", 0, kMaxRetryBurst, 0);
  for (const std::string& address_text : reader.ReadStrings("neighbours", Presence::kOptional)) {
    const std::optional<Address> address = ParseAddress(address_text);
    if (address) {
      settings.neighbours.push_back(*address);
    } else {
      reader.ReportProblem("neighbours",
                           "has an entry that is not an IP address and a port: " + address_text);
    }
  }
  reader.RejectUnknownKeys();
  ThrowIfAny(problems);
  return settings;
}

ControlSettings LoadControlSettings(const std::string& path) {
  return ParseControlSettings(ReadTextFile(path), ParentFolder(path));
}

DaemonSettings LoadDaemonSettings(const std::string& path) {
  return ParseDaemonSettings(ReadTextFile(path), ParentFolder(path));
}

std::string ReadTokenFile(const std::string& path) {
  std::string token = ReadTextFile(path);
  while (!token.empty() && (token.back() == '\n' || token.back() == '\r')) {
    token.pop_back();
  }
  const bool printable =
      std::all_of(token.begin(), token.end(), [](unsigned char c) { return c > ' ' && c < 0x7F; });
  if (token.size() < kMinTokenLength || !printable) {
    throw UserError(ResultCode::kSettingsInvalid,
                    "the token in " + path + " must be one line of at least " +
                        std::to_string(kMinTokenLength) + " printable characters");
  }
  return token;
}

}  // namespace endivecleat
