// Guards against a process that starts with invalid settings: every error must be reported with its
// JSON path before the process starts.
#include "settings.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <string>

#include "errors.h"
#include "json_reader.h"

using endivecleat::ControlSettings;
using endivecleat::ParseControlSettings;
using endivecleat::ParseDuration;
using endivecleat::Problem;
using endivecleat::ResultCode;
using endivecleat::UserError;

namespace {

nlohmann::json ValidControlSettings() {
  return nlohmann::json::parse(R"({
    "instance": "control-1", "region": "ebro", "data_centre": "ebro-a",
    "data_folder": "data",
    "listen": {"operators": "127.0.0.1:7001", "peers": "127.0.0.1:7002"},
    "control": [{"instance": "control-1", "region": "ebro", "data_centre": "ebro-a",
                 "peers": "127.0.0.1:7002", "operators": "127.0.0.1:7001"}],
    "mesh_token_file": "mesh.token", "operator_token_file": "operator.token"})");
}

}  // namespace

TEST_GROUP(ControlSettings) {
  std::filesystem::path folder;

  void setup() override {
    folder = std::filesystem::temp_directory_path() / "endivecleat-settings-test";
    std::filesystem::create_directories(folder);
    std::ofstream(folder / "mesh.token") << "0123456789abcdef\n";
    std::ofstream(folder / "operator.token") << "fedcba9876543210\n";
  }
  void teardown() override { std::filesystem::remove_all(folder); }

  bool ReportsProblemAt(const nlohmann::json& document, const std::string& path) {
    try {
      ParseControlSettings(document.dump(), folder.string());
    } catch (const UserError& error) {
      const auto& problems = error.problems();
      return error.code() == ResultCode::kSettingsInvalid &&
             std::any_of(problems.begin(), problems.end(),
                         [&](const Problem& problem) { return problem.json_path == path; });
    }
    return false;
  }
};

TEST(ControlSettings, ValidSettingsAreRead) {
  const ControlSettings settings =
      ParseControlSettings(ValidControlSettings().dump(), folder.string());
  STRCMP_EQUAL("control-1", settings.common.instance.value().c_str());
  STRCMP_EQUAL("0123456789abcdef", settings.common.mesh_token.c_str());
  LONGS_EQUAL(7002, settings.peer_address.port);
}

TEST(ControlSettings, UnknownKeyIsRejected) {
  nlohmann::json document = ValidControlSettings();
  document["listen"]["operator"] = "127.0.0.1:1";
  CHECK(ReportsProblemAt(document, "/listen/operator"));
}

TEST(ControlSettings, WrongTypeIsRejected) {
  nlohmann::json document = ValidControlSettings();
  document["instance"] = 7;
  CHECK(ReportsProblemAt(document, "/instance"));
}

TEST(ControlSettings, UnknownDurationUnitIsRejected) {
  nlohmann::json document = ValidControlSettings();
  document["heartbeat"] = "500 lightyears";
  CHECK(ReportsProblemAt(document, "/heartbeat"));
}

TEST(ControlSettings, ElectionTimeoutTooCloseToHeartbeatIsRejected) {
  nlohmann::json document = ValidControlSettings();
  document["heartbeat"] = "2s";
  document["election_timeout"] = "1s";
  CHECK(ReportsProblemAt(document, "/election_timeout"));
}

TEST(ControlSettings, HostNameInsteadOfIpAddressIsRejected) {
  nlohmann::json document = ValidControlSettings();
  document["listen"]["peers"] = "localhost:7002";
  CHECK(ReportsProblemAt(document, "/listen/peers"));
}

TEST(ControlSettings, ShortTokenIsRejected) {
  std::ofstream(folder / "mesh.token") << "short\n";
  CHECK(ReportsProblemAt(ValidControlSettings(), "/mesh_token_file"));
}

TEST(ControlSettings, SeveralProblemsAreAllReported) {
  nlohmann::json document = ValidControlSettings();
  document.erase("region");
  document["data_folder"] = "";
  CHECK(ReportsProblemAt(document, "/region"));
  CHECK(ReportsProblemAt(document, "/data_folder"));
}

TEST_GROUP(DurationText){};

TEST(DurationText, WithoutUnitOrOutOfRangeIsRejected) {
  CHECK_FALSE(ParseDuration("500").has_value());
  CHECK_FALSE(ParseDuration("ms").has_value());
  CHECK_FALSE(ParseDuration("99999999999999h").has_value());
  CHECK_FALSE(ParseDuration(".5s").has_value());
  CHECK_FALSE(ParseDuration("1.2.3s").has_value());
  CHECK(ParseDuration("2s") == std::chrono::seconds(2));
  CHECK(ParseDuration("2.5ms") == std::chrono::microseconds(2500));
}

TEST_GROUP(DaemonSettingsWithAFraction){};

// Guards against daemons that end at their start since a bound of the platform is a fraction.
TEST(DaemonSettingsWithAFraction, AreAccepted) {
  nlohmann::json document = nlohmann::json::parse(R"({
    "instance": "10.0.0.1", "region": "ebro", "data_centre": "ebro-a", "closed_network": true,
    "discovery": {"seeds": ["10.0.0.2:9000"], "bootstrap": true},
    "in_force_within": "2500.5ms", "shared_retry_burst": 12.75,
    "listen": {"callers": "127.0.0.1:7001", "peers": "127.0.0.1:7002", "local": "127.0.0.1:7003"}})");
  const auto settings = endivecleat::ParseDaemonSettings(document.dump(), ".");
  DOUBLES_EQUAL(12.75, settings.shared_retry_burst, 0);
  CHECK(settings.common.in_force_within == std::chrono::microseconds(2'500'500));
  document["shared_retry_burst"] = -1;
  CHECK_THROWS(UserError, endivecleat::ParseDaemonSettings(document.dump(), "."));
}

namespace {

nlohmann::json DiscoverySettings() {
  nlohmann::json settings = ValidControlSettings();
  settings.erase("control");
  settings.erase("mesh_token_file");
  settings.erase("operator_token_file");
  settings["closed_network"] = true;
  settings["discovery"] = {{"seeds", {"10.0.0.1:9000", "10.0.0.2:9000"}}, {"bootstrap", true}};
  return settings;
}

}  // namespace

TEST(ControlSettings, DiscoveryReplacesControlListAndUsesOwnPeerPort) {
  const ControlSettings settings =
      ParseControlSettings(DiscoverySettings().dump(), folder.string());
  CHECK(settings.common.control_peers.empty());
  LONGS_EQUAL(2, settings.common.discovery->seeds.size());
  LONGS_EQUAL(7002, settings.common.discovery->seeds[0].port);
  CHECK(settings.common.discovery->bootstrap);
}

TEST(ControlSettings, IngressLimitsAreReadAndUnknownOnesRejected) {
  nlohmann::json settings = DiscoverySettings();
  settings["ingress"] = {{"bytes", 2097152},
                         {"connections", 100},
                         {"connections_per_address", 50},
                         {"partial_requests", 40},
                         {"partial_requests_per_address", 30},
                         {"reserved_descriptors", 20},
                         {"header_timeout", "3s"},
                         {"body_bytes_per_second", 10}};
  const endivecleat::IngressLimits limits =
      ParseControlSettings(settings.dump(), folder.string()).common.ingress;
  LONGS_EQUAL(2097152, limits.bytes.value());
  LONGS_EQUAL(100, limits.connections);
  LONGS_EQUAL(50, limits.connections_per_address);
  LONGS_EQUAL(40, limits.partial_requests);
  LONGS_EQUAL(30, limits.partial_requests_per_address);
  LONGS_EQUAL(20, limits.reserved_descriptors);
  CHECK(limits.header_timeout == std::chrono::seconds(3));
  LONGS_EQUAL(10, limits.body_bytes_per_second);
  settings["ingress"]["connections"] = 0;
  CHECK(ReportsProblemAt(settings, "/ingress/connections"));
  settings["ingress"] = {{"byte", 1}};
  CHECK(ReportsProblemAt(settings, "/ingress/byte"));
}

TEST(ControlSettings, InvalidDiscoveryIsRejected) {
  nlohmann::json settings = DiscoverySettings();
  settings["discovery"]["seeds"] = nlohmann::json::array();
  CHECK(ReportsProblemAt(settings, "/discovery/seeds"));
  settings["discovery"]["seeds"] = {"nowhere"};
  CHECK(ReportsProblemAt(settings, "/discovery/seeds"));
  settings["discovery"] = {{"seeds", {"10.0.0.1:9000"}}, {"tolerated_losses", 9}};
  CHECK(ReportsProblemAt(settings, "/discovery/tolerated_losses"));
}

// Guards against an unauthenticated network because of a token omitted by mistake.
TEST(ControlSettings, MissingTokenIsRejectedUnlessNetworkIsClosed) {
  nlohmann::json settings = DiscoverySettings();
  settings["closed_network"] = false;
  CHECK(ReportsProblemAt(settings, "/mesh_token_file"));
}
