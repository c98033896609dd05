// Loads the JSON settings file of a control or daemon process. A process validates its whole
// settings file before it starts anything. docs/OPERATIONS.md documents each key.
#ifndef ENDIVECLEAT_SETTINGS_H_
#define ENDIVECLEAT_SETTINGS_H_

#include <optional>
#include <string>
#include <vector>

#include "call_headers.h"
#include "ingress_budget.h"
#include "units.h"

namespace endivecleat {

/// The region and data centre of an instance.
struct Location {
  RegionId region;
  DataCentreId data_centre;

  auto operator<=>(const Location&) const = default;
};

/// An entry of the settings' list of control instances.
struct ControlPeer {
  InstanceId instance;
  Location location;
  Address peer_address;      // listens for other processes of the deployment
  Address operator_address;  // serves the operator API
};

/// Discovers control instances by gossip, in place of a list in the settings. All processes form
/// one gossip group, which they join through any of the seeds. Instances are then named by their IP
/// address, so that the seed addresses also identify the initial voters.
struct Discovery {
  std::vector<Address> seeds;  // peer addresses of some control instances
  /// Set on the first start of a deployment: the seeds become the initial voters.
  bool bootstrap = false;
  size_t tolerated_losses = 1;  // simultaneous failures of control instances to survive
};

struct LogSettings {
  std::string level = "info";     // debug, info, warning or error
  std::string target = "stderr";  // "stderr", "stdout" or the path of a file
};

/// Settings common to control and daemon processes.
struct CommonSettings {
  InstanceId instance;
  Location location;
  /// Every control instance of the deployment; empty when `discovery` finds them.
  std::vector<ControlPeer> control_peers;
  std::optional<Discovery> discovery;
  std::string mesh_token;  // shared secret that authenticates the processes to each other
  LogSettings log;
  std::string trace_file;    // empty: tracing is off
  std::string adapter_json;  // JSON settings of a platform adapter; empty: no adapter
  Duration drain_timeout = std::chrono::seconds(30);
  // How long a draining process still accepts connections, while callers and peers learn that it
  // stops.
  Duration drain_notice = std::chrono::seconds(2);
  // Deadline for an accepted configuration to be in force on every daemon; limits the times of the
  // distribution (config_timing.h). The same in all processes of a deployment.
  Duration in_force_within = std::chrono::seconds(16);
  IngressLimits ingress;  // limits on the clients of the process
};

struct ControlSettings {
  CommonSettings common;
  std::string data_folder;
  Address operator_address;
  Address peer_address;
  std::string operator_token;
  bool ledger_enabled = true;  // runs the ledger that at-most-once routes need
  Duration heartbeat_interval = std::chrono::milliseconds(500);
  Duration min_election_timeout = std::chrono::seconds(2);  // minimum; randomized up to twice this
};

struct DaemonSettings {
  CommonSettings common;
  Address caller_address;  // listens for requests of callers
  Address peer_address;    // listens for other processes of the deployment
  Address local_address;   // listens for the targets of this instance
  std::string announce_token;
  // Burst of the retry budget for all daemons together, divided evenly among them. 0: each daemon
  // has a separate burst.
  double shared_retry_burst = 0;
  // Whether the speed of the local target and the concurrency that it handles well are learned from
  // its answers, and used to limit its slots and to choose among targets.
  bool adaptive_limit = true;
  CallHeaders headers;
  // Pipelined requests of one caller's connection that may run at the same time, and their bytes.
  uint64_t pipelined_requests = 16;
  ByteCount pipelined_bytes{256U << 10U};
  // Limit on a body that is passed on while it arrives, and the time after which it ends if its
  // sender makes no progress.
  ByteCount upload_body{64U << 20U};
  Duration upload_timeout = std::chrono::seconds(10);
  ServiceName service;  // service of the local target, sent as the origin of this instance's calls
  std::vector<Address> neighbours;  // peers to join the gossip group through if no seed is a member
};

/// Load and validate a settings file. Paths in the file are relative to its folder. Both throw
/// UserError with kSettingsUnreadable if the file cannot be read, or with kSettingsInvalid, which
/// lists every problem with its JSON path.
ControlSettings LoadControlSettings(const std::string& path);
DaemonSettings LoadDaemonSettings(const std::string& path);

/// The same for settings given as text. `folder` is the base of relative paths.
ControlSettings ParseControlSettings(const std::string& text, const std::string& folder);
DaemonSettings ParseDaemonSettings(const std::string& text, const std::string& folder);

/// Reads a token file: one line of at least 16 printable characters. Throws UserError with
/// kSettingsUnreadable or kSettingsInvalid.
std::string ReadTokenFile(const std::string& path);

}  // namespace endivecleat

#endif  // ENDIVECLEAT_SETTINGS_H_
