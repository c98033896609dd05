// Simulates the configuration distribution of one data centre: daemons with a ConfigReplica, a
// local and a remote ConfigSource, a FakeNetwork, and a simplified gossip of versions. Used by the
// tests and the benchmark of the distribution.
#ifndef ENDIVECLEAT_TEST_CONFIG_MESH_H_
#define ENDIVECLEAT_TEST_CONFIG_MESH_H_

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "config_replica.h"
#include "config_source.h"
#include "fake_network.h"

namespace endivecleat::test {

/// A 64-bit FNV-1a hash, in decimal.
inline std::string Fnv1aDigest(std::string_view text) {
  uint64_t hash = 0xCBF29CE484222325;
  for (const char byte : text) {
    hash = (hash ^ static_cast<unsigned char>(byte)) * 0x100000001B3;
  }
  return std::to_string(hash);
}

/// A codec without compression: a delta is the length of the common prefix and the remaining text.
inline TransferCodec PrefixCodec() {
  TransferCodec codec;
  codec.digest = Fnv1aDigest;
  codec.encode = [](const ConfigText* base, const ConfigText& next) {
    if (base == nullptr) {
      return EncodedTransfer{TransferKind::kSnapshot, next.text};
    }
    size_t common = 0;
    while (common < base->text.size() && common < next.text.size() &&
           base->text[common] == next.text[common]) {
      ++common;
    }
    return EncodedTransfer{TransferKind::kDelta,
                           std::to_string(common) + ':' + next.text.substr(common)};
  };
  codec.decode = [](TransferKind kind, const ConfigText* base,
                    std::string_view bytes) -> std::optional<std::string> {
    if (kind == TransferKind::kSnapshot) {
      return std::string(bytes);
    }
    const size_t colon = bytes.find(':');
    size_t common = 0;
    for (size_t i = 0; i < colon; ++i) {
      if (colon == std::string_view::npos || bytes[i] < '0' || bytes[i] > '9' || i > 8) {
        return std::nullopt;
      }
      common = common * 10 + static_cast<size_t>(bytes[i] - '0');
    }
    if (common > base->text.size()) {
      return std::nullopt;
    }
    return base->text.substr(0, common) + std::string(bytes.substr(colon + 1));
  };
  return codec;
}

/// Returns a text that differs between versions only at its end, with `shared_bytes` more in all of
/// them. The installer of ConfigMesh rejects a text that contains INVALID.
inline ConfigTextPtr MakeText(uint64_t version, const std::string& marker = "",
                              size_t shared_bytes = 0) {
  std::string text = "presets and routes that all versions share;";
  text.append(shared_bytes, '.');
  text += marker + " version " + std::to_string(version);
  return std::make_shared<const ConfigText>(
      ConfigText{ConfigVersion(version), Fnv1aDigest(text), text});
}

/// What the processes of a mesh have in common.
struct MeshOptions {
  ConfigSourceSettings control;
  ConfigReplicaSettings daemon;
  Duration install_time{};  // for which an installation blocks a daemon
  size_t text_bytes = 0;    // of each version, beside what MakeText always writes
  // Bytes per second of a daemon's link, for transfers in either direction; 0: unlimited.
  size_t link_rate = 0;
  // The control instance knows every daemon. Otherwise it knows those of which the simplified
  // gossip has told it in the last 5 s.
  bool all_daemons_known = false;
  // The control instance knows no daemon and notifies only those that pulled not long ago.
  bool no_daemon_known = false;
  Duration gossip_interval = std::chrono::milliseconds(250);
};

/// The state of one simulated process.
struct MeshNode {
  std::unique_ptr<ConfigSource> source;     // set in a control instance
  std::unique_ptr<ConfigReplica> replica;   // set in a daemon
  bool paused = false;                      // neither receives messages nor ticks
  std::map<InstanceId, PeerVersion> known;  // learned by gossip
  std::map<InstanceId, TimePoint> known_at;
  std::vector<uint64_t> installed;  // versions in order of installation since the last start
  TimePoint next_tick;
  TimePoint link_free_at;  // a transfer occupies the link until then
  TimePoint busy_until;  // neither handles nor sends anything before, because it installs a version
  std::vector<std::pair<InstanceId, ConfigMessage>> inbox;  // received while it was busy
};

/// Runs the nodes in virtual time and records violations of version order and integrity.
class ConfigMesh {
 public:
  static constexpr size_t kLocal = 0;   // control instance of the data centre
  static constexpr size_t kRemote = 1;  // control instance of another data centre

  ConfigMesh(size_t daemons, uint64_t seed, NetworkFaults faults, MeshOptions options = {})
      : options_(std::move(options)),
        random_(seed),
        network_(random_.Next(), faults),
        nodes_(daemons + 2) {
    for (size_t i = 0; i < nodes_.size(); ++i) {
      Start(i);
    }
  }

  static InstanceId Id(size_t index) { return InstanceId("node-" + std::to_string(100 + index)); }
  static size_t IndexOf(const InstanceId& id) { return std::stoul(id.value().substr(5)) - 100; }

  void Start(size_t index) {
    MeshNode& node = nodes_[index];
    node = MeshNode();
    network_.DropMessagesTo(Id(index));
    node.next_tick = now_ + Duration(random_.Below(100'000));
    if (index <= kRemote) {
      node.source = std::make_unique<ConfigSource>(options_.control, PrefixCodec(), random_.Next());
      return;
    }
    ConfigReplicaSettings settings = options_.daemon;
    settings.data_centre = DataCentreId("cant-a");
    settings.local_controls = {Id(kLocal)};
    settings.remote_controls = {Id(kRemote)};
    const auto install = [this, index](ConfigVersion version, const std::string& text) {
      if (text.find("INVALID") != std::string::npos) {
        return false;
      }
      RecordInstallation(index, version, text);
      nodes_[index].busy_until = now_ + options_.install_time;
      return true;
    };
    node.replica = std::make_unique<ConfigReplica>(Id(index), settings, PrefixCodec(), install,
                                                   random_.Next(), now_);
  }
  void Stop(size_t index) {
    nodes_[index].source.reset();
    nodes_[index].replica.reset();
  }
  bool running(size_t index) const { return nodes_[index].source || nodes_[index].replica; }
  bool live(size_t index) const { return running(index) && !nodes_[index].paused; }
  MeshNode& node(size_t index) { return nodes_[index]; }
  size_t size() const { return nodes_.size(); }
  TimePoint now() const { return now_; }
  FakeNetwork<ConfigMessage>& network() { return network_; }
  SeededRandom& random() { return random_; }
  uint64_t newest() const { return newest_; }
  const std::string& violation() const { return violation_; }
  void SetCorruptPercent(uint64_t percent) { corrupt_percent_ = percent; }
  void SetReplayPercent(uint64_t percent) { replay_percent_ = percent; }
  void DropAllNotices() { drop_notices_ = true; }

  /// Creates the next version and publishes it at the given control instances.
  void Publish(const std::vector<size_t>& controls) {
    ++newest_;
    accepted_[newest_] = MakeText(newest_, "", options_.text_bytes);
    for (const size_t control : controls) {
      CatchUp(control);
    }
  }
  void CatchUp(size_t control) { CatchUpTo(control, newest_); }
  void CatchUpTo(size_t control, uint64_t version) {
    MeshNode& node = nodes_[control];
    if (node.source && version > 0) {
      Send(control, node.source->Publish(now_, accepted_[version],
                                         control == kLocal ? KnownPeers(control) : NoPeers()));
    }
  }

  uint64_t VersionOf(size_t index) const {
    const MeshNode& node = nodes_[index];
    const ConfigTextPtr text = node.replica ? node.replica->in_force() : node.source->newest();
    return text ? text->version.value() : 0;
  }
  bool AllNewest() const {
    for (size_t i = kRemote + 1; i < nodes_.size(); ++i) {
      if (live(i) && VersionOf(i) != newest_) {
        return false;
      }
    }
    return true;
  }

  void Run(Duration time) {
    for (const TimePoint end = now_ + time; now_ < end;) {
      Step(std::chrono::milliseconds(5));
    }
  }
  void Step(Duration step) {
    now_ += step;
    Gossip();
    for (const auto& delivery : network_.TakeDue(now_)) {
      const size_t to = IndexOf(delivery.to);
      if (live(to)) {
        nodes_[to].inbox.emplace_back(delivery.from, delivery.message);
      }
    }
    for (size_t i = 0; i < nodes_.size(); ++i) {
      DeliverInbox(i);
      if (live(i) && nodes_[i].busy_until <= now_ && nodes_[i].next_tick <= now_) {
        nodes_[i].next_tick = now_ + std::chrono::milliseconds(100);
        Tick(i);
      }
    }
  }
  void Deliver(size_t to, const InstanceId& from, const ConfigMessage& message) {
    MeshNode& node = nodes_[to];
    Send(to, node.replica ? node.replica->Receive(now_, from, message)
                          : node.source->Receive(now_, from, message));
  }

 private:
  static std::vector<InstanceId> NoPeers() { return {}; }
  /// Delivers what has arrived, up to the message that makes the node busy.
  void DeliverInbox(size_t index) {
    MeshNode& node = nodes_[index];
    size_t handled = 0;
    while (handled < node.inbox.size() && live(index) && node.busy_until <= now_) {
      const auto [from, message] = node.inbox[handled++];
      Deliver(index, from, message);
    }
    node.inbox.erase(node.inbox.begin(), node.inbox.begin() + static_cast<ptrdiff_t>(handled));
  }
  std::vector<InstanceId> KnownPeers(size_t index) {
    std::vector<InstanceId> peers;
    if (options_.no_daemon_known) {
      return peers;
    }
    if (options_.all_daemons_known) {
      for (size_t daemon = kRemote + 1; daemon < size(); ++daemon) {
        peers.push_back(Id(daemon));
      }
      return peers;
    }
    for (const auto& [peer, version] : nodes_[index].known) {
      peers.push_back(peer);
    }
    return peers;
  }
  void Tick(size_t index) {
    MeshNode& node = nodes_[index];
    if (node.source) {
      Send(index, node.source->Tick(now_));
      return;
    }
    std::vector<PeerVersion> peers;
    for (const auto& [peer, version] : node.known) {
      peers.push_back(version);
    }
    Send(index, node.replica->Tick(now_, peers));
  }
  /// Once in each gossip interval each node of the data centre learns the versions of two random
  /// nodes that can reach it. Entries expire after 5 s without an update.
  void Gossip() {
    if (now_ < next_gossip_) {
      return;
    }
    next_gossip_ = now_ + options_.gossip_interval;
    for (size_t i = 0; i < nodes_.size(); ++i) {
      if (i == kRemote || !live(i)) {
        continue;
      }
      for (int count = 0; count < 2; ++count) {
        const size_t other = random_.Below(nodes_.size());
        if (other != i && other != kRemote && live(other) && network_.Connected(Id(other), Id(i))) {
          nodes_[i].known[Id(other)] = VersionRecord(other);
          nodes_[i].known_at[Id(other)] = now_;
        }
      }
      std::erase_if(nodes_[i].known, [&](const auto& item) {
        return now_ - nodes_[i].known_at[item.first] > std::chrono::seconds(5);
      });
    }
  }
  PeerVersion VersionRecord(size_t index) {
    const MeshNode& node = nodes_[index];
    const ConfigTextPtr text = node.replica ? node.replica->in_force() : node.source->newest();
    return text ? PeerVersion{Id(index), text->version, text->digest} : PeerVersion{Id(index)};
  }
  void Send(size_t from, const std::vector<PeerMessage>& messages) {
    for (const PeerMessage& sent : messages) {
      if (drop_notices_ && sent.message.kind == ConfigMessage::Kind::kNotice) {
        continue;
      }
      PeerMessage outgoing = sent;
      if (outgoing.message.kind == ConfigMessage::Kind::kTransfer) {
        old_transfers_.push_back(outgoing.message);
        if (random_.Chance(replay_percent_)) {
          outgoing.message = old_transfers_[random_.Below(old_transfers_.size())];
        }
        if (random_.Chance(corrupt_percent_) && !outgoing.message.bytes.empty()) {
          outgoing.message.bytes[random_.Below(outgoing.message.bytes.size())] ^= 1;
        }
      }
      const TimePoint sent_at = std::max(now_, nodes_[from].busy_until);
      network_.Send(OccupyLinks(sent_at, from, IndexOf(outgoing.to), outgoing.message.bytes.size()),
                    Id(from), outgoing.to, outgoing.message);
    }
  }
  /// Returns when the last byte has left, given that a daemon's link carries one transfer at a
  /// time.
  TimePoint OccupyLinks(TimePoint sent_at, size_t from, size_t to, size_t bytes) {
    if (options_.link_rate == 0 || bytes == 0) {
      return sent_at;
    }
    TimePoint end = sent_at;
    for (const size_t index : {from, to}) {
      if (index > kRemote) {
        end = std::max(end, nodes_[index].link_free_at);
      }
    }
    end += std::chrono::microseconds(bytes * 1'000'000 / options_.link_rate);
    nodes_[from].link_free_at = end;
    nodes_[to].link_free_at = end;
    return end;
  }
  void RecordInstallation(size_t index, ConfigVersion version, const std::string& text) {
    std::vector<uint64_t>& installed = nodes_[index].installed;
    if (!installed.empty() && version.value() <= installed.back()) {
      violation_ = Id(index).value() + " changed from version " + std::to_string(installed.back()) +
                   " to " + std::to_string(version.value());
    }
    if (!accepted_.contains(version.value()) || accepted_[version.value()]->text != text) {
      violation_ = Id(index).value() + " installed a text that is not version " +
                   std::to_string(version.value()) + ": " + text;
    }
    installed.push_back(version.value());
  }

  MeshOptions options_;
  SeededRandom random_;
  FakeNetwork<ConfigMessage> network_;
  std::vector<MeshNode> nodes_;
  std::map<uint64_t, ConfigTextPtr> accepted_;
  std::vector<ConfigMessage> old_transfers_;
  uint64_t newest_ = 0;
  uint64_t corrupt_percent_ = 0;
  uint64_t replay_percent_ = 0;
  bool drop_notices_ = false;
  std::string violation_;
  TimePoint now_ = TimePoint{} + std::chrono::seconds(1);
  TimePoint next_gossip_;
};

}  // namespace endivecleat::test

#endif  // ENDIVECLEAT_TEST_CONFIG_MESH_H_
