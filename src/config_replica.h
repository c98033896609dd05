// A daemon's copy of the configuration. It learns of newer versions by notices and gossip, pulls
// them, and puts a version in force only as a whole: newer, matching its digest, and accepted by
// the installer.
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

/// Parses, checks and compiles a text and puts it in force; false, and no effect, when it is
/// invalid.
using Installer = std::function<bool(ConfigVersion version, const std::string& text)>;

struct ConfigReplicaSettings {
  DataCentreId data_centre;
  std::vector<InstanceId> local_controls;
  std::vector<InstanceId> remote_controls;  // nearest first
  size_t neighbours_asked = 3;              // after a start
  size_t notices = 3;                       // after an installation
  Duration start_jitter = std::chrono::seconds(2);
  Duration hello_wait = std::chrono::seconds(1);
  // Between questions to control instances that have not answered: after a restart of all processes
  // they listen a little later than the daemons.
  Duration control_hello_wait = std::chrono::milliseconds(100);
  // From the first offer of a version to the pull: the other control instances of the region answer
  // within it, and a newer version that is offered later is pulled as a small delta.
  Duration offer_wait = std::chrono::milliseconds(50);
  Duration pull_timeout = std::chrono::milliseconds(2500);  // longer than the source's queue
  Duration avoid_after_timeout = std::chrono::seconds(1);
  Duration avoid_after_bad_transfer = std::chrono::seconds(5);
  Duration candidate_lifetime = std::chrono::seconds(10);
  size_t relays = 2;
  Duration remote_poll_without_control = std::chrono::seconds(1);
  Duration remote_poll = std::chrono::seconds(5);
  /// A version that only another data centre offered for this time is pulled from there, since the
  /// local control instance may be cut off from the others without being down.
  Duration local_grace = std::chrono::seconds(3);
  ConfigSourceSettings source;
};

class ConfigReplica {
 public:
  struct Counters {
    uint64_t installed = 0;
    uint64_t pulls = 0;
    uint64_t timeouts = 0;
    uint64_t busy = 0;
    uint64_t discarded_old = 0;      // not newer than the one in force
    uint64_t discarded_base = 0;     // a delta against another version
    uint64_t discarded_damaged = 0;  // undecodable, or another digest
    uint64_t discarded_invalid = 0;  // refused by the installer
  };

  ConfigReplica(InstanceId self, ConfigReplicaSettings settings, TransferCodec codec,
                Installer installer, uint64_t seed, TimePoint now);

  std::vector<PeerMessage> Receive(TimePoint now, const InstanceId& from,
                                   const ConfigMessage& message);
  /// To be called every 100 ms with the versions of the other members of the data centre.
  std::vector<PeerMessage> Tick(TimePoint now, const std::vector<PeerVersion>& peers);

  /// Replaces the control instances that are asked like those of the own data centre. An empty list
  /// changes nothing: those known so far may still answer.
  void SetControls(std::vector<InstanceId> controls);
  /// Null before the first version. Never replaced by an older version.
  ConfigTextPtr in_force() const { return source_.newest(); }
  const Counters& counters() const { return counters_; }

 private:
  using Messages = std::vector<PeerMessage>;
  struct Candidate {
    ConfigVersion version;
    std::string digest;
    TimePoint heard_at;
    TimePoint since;  // when it first offered a version newer than the one in force
    TimePoint busy_until;
    TimePoint told_at;  // when it last said so itself; it was alive and reachable then
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
  /// The verified text, or null; counts the reason.
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
  ConfigSource source_;            // holds the version in force as its newest
  std::vector<InstanceId> peers_;  // sorted, without control instances
  std::vector<InstanceId> same_version_peers_;
  bool control_alive_ = false;
  std::map<InstanceId, Candidate> candidates_;
  std::map<InstanceId, TimePoint> avoided_until_;
  std::optional<Pull> pull_;
  std::set<InstanceId> asked_;  // that have not answered the Hello
  std::optional<std::pair<ConfigVersion, std::string>> refused_;  // by the installer
  TimePoint hello_at_;
  TimePoint neighbours_hello_at_;
  TimePoint pull_from_;  // no pull before the answers to the first Hello had time to come
  bool greeted_ = false;
  TimePoint next_remote_poll_;
  size_t remote_index_ = 0;
  bool remote_answered_ = true;
  Counters counters_;
};

}  // namespace endivecleat

#endif  // ENDIVECLEAT_CONFIG_REPLICA_H_
