// A daemon's replica of the configuration. It learns of newer versions from notices and gossip,
// asks a control instance regularly, since neither of these has a bound in time, and pulls them
// from a ConfigSource in a control instance or another daemon. A version is put in force
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
  size_t hello_peers = 3;                   // random daemons that get each Hello after a start
  size_t notice_fanout = 3;                 // daemons notified after an installation
  Duration start_jitter = std::chrono::seconds(2);
  Duration hello_wait = std::chrono::seconds(1);
  // Between two questions to a control instance for its version, and how long one may stay
  // unanswered before the next control instance is asked.
  Duration confirm_interval = std::chrono::seconds(1);
  Duration confirm_timeout = std::chrono::seconds(1);
  // Interval of Hello messages to control instances. It is short because after a restart of all
  // processes the control instances start to listen later than the daemons.
  Duration control_hello_interval = std::chrono::milliseconds(100);
  // Delay between the first offer of a version and the pull. The other control instances of the
  // region answer within this time; a newer version that is offered later is pulled as a delta.
  Duration offer_delay = std::chrono::milliseconds(50);
  // Longer than ConfigSourceSettings::queue_wait, so that a queued pull gets its Busy answer first.
  Duration pull_timeout = std::chrono::milliseconds(2500);
  Duration avoid_after_timeout = std::chrono::seconds(1);
  Duration avoid_after_bad_transfer = std::chrono::seconds(5);
  Duration candidate_lifetime = std::chrono::seconds(10);
  // Daemons per data centre and version that poll and pull from remote control instances.
  size_t max_relays = 2;
  Duration remote_poll_interval_without_control = std::chrono::seconds(1);
  Duration remote_poll_interval = std::chrono::seconds(5);
  /// A version that is offered only by another data centre for this long is pulled from there even
  /// while the local control instance is alive: it may be partitioned from the other control
  /// instances.
  Duration remote_pull_delay = std::chrono::seconds(3);
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

  /// Tells that a Hello or Pull to this instance was not delivered. Returns the messages to send.
  std::vector<PeerMessage> NotDelivered(TimePoint now, const InstanceId& to);
  /// Replaces the control instances that are treated as local, nearest first. An empty list is
  /// ignored, since the instances known so far may still be reachable.
  void SetLocalControls(std::vector<InstanceId> controls);
  /// Null before the first version. Never replaced by an older version.
  ConfigTextPtr in_force() const { return source_.newest(); }
  const Counters& counters() const { return counters_; }
  /// Returns and clears the events since the last call, including those of the source.
  ConfigEvents TakeEvents();

 private:
  using Messages = std::vector<PeerMessage>;
  // An instance that offers a version newer than the one in force.
  struct Candidate {
    ConfigVersion version;
    std::string digest;
    TimePoint last_offer_at;
    TimePoint first_offer_at;  // first offer of a version newer than the one in force
    TimePoint busy_until;
    TimePoint last_notice_at;  // last notice from the instance itself, a sign that it is reachable
  };
  struct Pull {
    InstanceId from;
    ConfigVersion version;  // that was offered
    TimePoint sent_at;
  };

  ConfigVersion own_version() const { return in_force() ? in_force()->version : ConfigVersion(); }
  ConfigMessage MakeOwnMessage(ConfigMessage::Kind kind) const;
  void RecordOffer(TimePoint now, const InstanceId& from, ConfigVersion version,
                   const std::string& digest, ConfigEvent::Kind learned);
  void HandleTransfer(TimePoint now, const InstanceId& from, const ConfigMessage& transfer,
                      Messages* out);
  /// Verifies and installs a transfer. Returns null, and counts the reason, when it is discarded.
  ConfigTextPtr VerifyAndInstall(TimePoint now, const InstanceId& from,
                                 const ConfigMessage& transfer);
  void EndPull(TimePoint now, ConfigEvent::Kind how);
  void AvoidPeer(TimePoint now, const InstanceId& from, Duration time);
  void SendHellos(TimePoint now, Messages* out);
  void PollRemote(TimePoint now, Messages* out);
  void ConfirmVersion(TimePoint now, Messages* out);
  void UseNextContact(TimePoint now);
  bool WaitsForContact(TimePoint now, TimePoint first_offer) const;
  void PullIfNeeded(TimePoint now, Messages* out);
  bool IsRemote(const InstanceId& instance) const;
  bool IsUsable(TimePoint now, const InstanceId& instance, const Candidate& candidate) const;
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
  bool local_control_alive_ = false;
  std::map<InstanceId, Candidate> candidates_;
  std::map<InstanceId, TimePoint> avoided_until_;
  std::optional<Pull> pull_;
  std::set<InstanceId> unanswered_hellos_;                         // have not answered a Hello yet
  std::optional<std::pair<ConfigVersion, std::string>> rejected_;  // rejected by the installer
  TimePoint next_control_hello_;
  TimePoint next_peer_hello_;
  TimePoint earliest_pull_at_;  // of the first version, after the wait for Hello answers
  bool hello_sent_ = false;
  TimePoint next_remote_poll_;
  size_t remote_index_ = 0;
  bool remote_poll_answered_ = true;
  Counters counters_;
  InstanceId contact_;  // the local control instance that is asked for its version
  TimePoint contact_since_;
  std::optional<TimePoint> contact_asked_at_;  // set while its answer is awaited
  size_t contacts_failed_ = 0;                 // in a row, without an answer
  TimePoint next_confirm_;
  ConfigVersion newest_offered_;    // of which a kVersion... event was recorded
  TimePoint last_control_contact_;  // last message of a control instance, or the start
  ConfigEvents events_;
};

}  // namespace endivecleat

#endif  // ENDIVECLEAT_CONFIG_REPLICA_H_
