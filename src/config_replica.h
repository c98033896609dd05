// A daemon's replica of the configuration. It learns of newer versions from notices and gossip and
// pulls them from a ConfigSource in a control instance or another daemon. A version is put in force
// atomically, and only if it is newer, matches its digest and is accepted by the installer.
#ifndef ENDIVECLEAT_CONFIG_REPLICA_H_
#define ENDIVECLEAT_CONFIG_REPLICA_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "config_message.h"
#include "config_source.h"
#include "membership.h"
#include "seeded_random.h"
#include "units.h"

namespace endivecleat {

/// Parses, checks and compiles a text and puts it in force. Returns false, without any effect, when
/// the text is invalid.
using Installer = std::function<bool(ConfigVersion version, const std::string& text)>;

/// Timeouts and fan-outs of the pull protocol.
struct ConfigReplicaSettings {
  DataCentreId data_centre;
  std::vector<InstanceId> local_controls;
  std::vector<InstanceId> remote_controls;  // nearest first
  size_t neighbours_asked = 3;              // random daemons that get each Hello after a start
  size_t notices = 3;                       // daemons notified after an installation
  Duration start_jitter = std::chrono::seconds(2);
  Duration hello_wait = std::chrono::seconds(1);
  // Interval of Hello messages to control instances. It is short because after a restart of all
  // processes the control instances start to listen later than the daemons.
  Duration control_hello_wait = std::chrono::milliseconds(100);
  // Delay between the first offer of a version and the pull. The other control instances of the
  // region answer within this time; a newer version that is offered later is pulled as a delta.
  Duration offer_wait = std::chrono::milliseconds(50);
  // Longer than ConfigSourceSettings::queue_wait, so that a queued pull gets its Busy answer first.
  Duration pull_timeout = std::chrono::milliseconds(2500);
  Duration avoid_after_timeout = std::chrono::seconds(1);
  Duration avoid_after_bad_transfer = std::chrono::seconds(5);
  Duration candidate_lifetime = std::chrono::seconds(10);
  size_t relays = 2;  // daemons per data centre and version that poll and pull from remote sources
  Duration remote_poll_without_control = std::chrono::seconds(1);
  Duration remote_poll = std::chrono::seconds(5);
  /// A version that is offered only by another data centre for this long is pulled from there even
  /// while the local control instance is alive: it may be partitioned from the other control
  /// instances.
  Duration local_grace = std::chrono::seconds(3);
  ConfigSourceSettings source;
};

/// Pulls and installs configurations, and serves the version in force to other daemons.
class ConfigReplica {
 public:
  struct Counters {
    uint64_t installed = 0;
    uint64_t pulls = 0;
    uint64_t timeouts = 0;
    uint64_t busy = 0;
    uint64_t discarded_old = 0;      // not newer than the version in force
    uint64_t discarded_base = 0;     // delta against a version that is not in force
    uint64_t discarded_damaged = 0;  // undecodable, or digest mismatch
    uint64_t discarded_invalid = 0;  // rejected by the installer
  };

  ConfigReplica(InstanceId self, ConfigReplicaSettings settings, TransferCodec codec,
                Installer installer, uint64_t seed, TimePoint now);

  /// Handles a message and returns the messages to send.
  std::vector<PeerMessage> Receive(TimePoint now, const InstanceId& from,
                                   const ConfigMessage& message);
  /// Must be called every 100 ms with the versions of the other members of the data centre, as
  /// learned by gossip. Returns the messages to send.
  std::vector<PeerMessage> Tick(TimePoint now, const std::vector<PeerVersion>& peers);

  /// Replaces the control instances that are treated as local. An empty list is ignored, since the
  /// instances known so far may still be reachable.
  void SetControls(std::vector<InstanceId> controls);
  /// Null before the first version. Never replaced by an older version.
  ConfigTextPtr in_force() const { return source_.newest(); }
  const Counters& counters() const { return counters_; }

 private:
  using Messages = std::vector<PeerMessage>;
  // An instance that offers a version newer than the one in force.
  struct Candidate {
    ConfigVersion version;
    std::string digest;
    TimePoint heard_at;
    TimePoint since;  // first offer of a version newer than the one in force
    TimePoint busy_until;
    TimePoint told_at;  // last notice from the instance itself, which shows that it is reachable
  };
  struct Pull {
    InstanceId from;
    TimePoint sent_at;
  };

  ConfigVersion own_version() const { return in_force() ? in_force()->version : ConfigVersion(); }
  ConfigMessage Own(ConfigMessage::Kind kind) const;
  void Learn(TimePoint now, const InstanceId& from, ConfigVersion version,
             const std::string& digest);
  void HandleTransfer(TimePoint now, const InstanceId& from, const ConfigMessage& transfer,
                      Messages* out);
  /// Verifies and installs a transfer. Returns null, and counts the reason, when it is discarded.
  ConfigTextPtr Accept(TimePoint now, const InstanceId& from, const ConfigMessage& transfer);
  void Avoid(TimePoint now, const InstanceId& from, Duration time);
  void SayHello(TimePoint now, Messages* out);
  void PollRemote(TimePoint now, Messages* out);
  void MaybePull(TimePoint now, Messages* out);
  bool IsRemote(const InstanceId& instance) const;
  bool Usable(TimePoint now, const InstanceId& instance, const Candidate& candidate) const;
  bool IsRelay() const;
  void SetPeers(TimePoint now, const std::vector<PeerVersion>& peers);
  void Prune(TimePoint now);

  InstanceId self_;
  ConfigReplicaSettings settings_;
  TransferCodec codec_;
  Installer installer_;
  SeededRandom random_;
  ConfigSource source_;            // its newest version is the one in force
  std::vector<InstanceId> peers_;  // sorted, without control instances
  std::vector<InstanceId> same_version_peers_;
  bool control_alive_ = false;
  std::map<InstanceId, Candidate> candidates_;
  std::map<InstanceId, TimePoint> avoided_until_;
  std::optional<Pull> pull_;
  std::set<InstanceId> asked_;                                    // have not answered a Hello yet
  std::optional<std::pair<ConfigVersion, std::string>> refused_;  // rejected by the installer
  TimePoint hello_at_;
  TimePoint neighbours_hello_at_;
  TimePoint pull_from_;  // earliest first pull, after the wait for answers to the first Hello
  bool greeted_ = false;
  TimePoint next_remote_poll_;
  size_t remote_index_ = 0;
  bool remote_answered_ = true;
  Counters counters_;
};

}  // namespace endivecleat

#endif  // ENDIVECLEAT_CONFIG_REPLICA_H_
