// Translates the settings to membership settings and seeds, and forwards events between the
// network, the membership and the handlers.
#include "mesh_node.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <map>
#include <tuple>
#include <utility>

#include "byte_codec.h"
#include "errors.h"
#include "log.h"
#include "wall_clock.h"

namespace endivecleat {
namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(100);

// Metric label values in the order of PeerChannel.
constexpr std::array<const char*, kPeerChannelCount> kChannelNames = {
    "config_log", "once_log",   "distribution", "call",  "ledger",
    "summary",    "operations", "crash_totals", "quota", "rollout_evidence"};

void Add(ByteCounters& sum, const ByteCounters& more) {
  sum.sent += more.sent;
  sum.received += more.received;
}

// With discovery, all instances of the deployment form one gossip group under this id.
const DataCentreId& DiscoveredGroup() {
  static const DataCentreId mesh("*");
  return mesh;
}

MemberRecord MakeSelfRecord(const CommonSettings& settings, const Address& listen, bool control) {
  MemberRecord self;
  self.is_control = control;
  self.region = settings.location.region;
  self.data_centre = settings.location.data_centre;
  self.instance = settings.instance;
  self.address = listen;
  self.boot_time = WallNow();
  return self;
}

MembershipSettings MakeMembershipSettings(const CommonSettings& settings,
                                          std::vector<Address> neighbours) {
  MembershipSettings membership;
  membership.data_centre = settings.discovery ? DiscoveredGroup() : settings.location.data_centre;
  membership.region = settings.location.region;
  membership.mesh_token = settings.mesh_token;
  membership.neighbours = std::move(neighbours);
  for (const ControlPeer& peer : settings.control_peers) {
    if (peer.location.data_centre != settings.location.data_centre) {
      membership.remote_seeds.push_back(peer.peer_address);
    }
  }
  return membership;
}

std::vector<Address> LocalSeeds(const CommonSettings& settings) {
  std::vector<Address> seeds;
  if (settings.discovery) {
    seeds = settings.discovery->seeds;
  }
  for (const ControlPeer& peer : settings.control_peers) {
    const bool local = peer.location.data_centre == settings.location.data_centre;
    if (local && peer.instance != settings.instance) {
      seeds.push_back(peer.peer_address);
    }
  }
  return seeds;
}

}  // namespace

MeshNode::MeshNode(EventLoop& loop, const CommonSettings& settings, const Address& listen,
                   MeshRole role, MeshHandlers handlers, uint64_t seed,
                   std::vector<Address> neighbours)
    : loop_(loop),
      self_(settings.instance),
      discovered_port_(settings.discovery ? std::optional(listen.port) : std::nullopt),
      handlers_(std::move(handlers)),
      membership_(MakeSelfRecord(settings, listen, role == MeshRole::kControl),
                  MakeMembershipSettings(settings, std::move(neighbours)), LocalSeeds(settings),
                  seed, loop.now()),
      network_(loop, listen, settings.mesh_token,
               PeerHandlers{
                   .on_message =
                       [this](const Address& from, PeerChannel channel,
                              const std::string& payload) { OnMessage(from, channel, payload); },
                   .on_request =
                       [this](const Address&, PeerChannel channel, const std::string& payload,
                              PeerResponder replier) {
                         handlers_.on_request(channel, payload, std::move(replier));
                       },
                   .on_datagram =
                       [this](const Address& from, const std::string& datagram) {
                         SendDatagrams(membership_.Receive(loop_.now(), from, datagram));
                       }},
               seed) {
  for (const ControlPeer& peer : settings.control_peers) {
    addresses_[peer.instance] = peer.peer_address;
    if (peer.location.region != settings.location.region) {
      other_regions_.insert(peer.peer_address);
    }
  }
  timer_ = loop_.RunAfter(Duration(0), [this] { Tick(); });
}

MeshNode::~MeshNode() { loop_.Cancel(timer_); }

void MeshNode::Send(const InstanceId& to, PeerChannel channel, const std::string& bytes) {
  const std::optional<Address> address = FindAddress(to);
  if (!address) {
    return;
  }
  ByteWriter writer;
  writer.WriteString(self_.value());
  writer.WriteString(bytes);
  network_.Send(*address, PeerFrame{.channel = channel, .payload = writer.Take()});
}

void MeshNode::UpdateSelf(const MemberRecord& self) { membership_.UpdateSelf(loop_.now(), self); }

void MeshNode::Leave() {
  loop_.Cancel(timer_);
  SendDatagrams(membership_.Leave(loop_.now()));
}

std::optional<Address> MeshNode::FindAddress(const InstanceId& instance) const {
  const auto known = addresses_.find(instance);
  if (known != addresses_.end()) {
    return known->second;
  }
  if (discovered_port_) {
    return Address{instance.value(), *discovered_port_};
  }
  const auto& members = membership_.members();
  const auto member =
      std::find_if(members.begin(), members.end(),
                   [&](const MemberRecord& candidate) { return candidate.instance == instance; });
  return member == members.end() ? std::nullopt : std::optional(member->address);
}

std::vector<InstanceId> MeshNode::control_instances() const {
  std::vector<InstanceId> instances;
  for (const MemberRecord& member : membership_.members()) {
    if (member.is_control) {
      instances.push_back(member.instance);
    }
  }
  return instances;
}

std::vector<InstanceId> MeshNode::nearest_control_instances() const {
  const MemberRecord& self = membership_.self();
  using Rank = std::tuple<bool, bool, uint64_t>;
  std::vector<std::pair<Rank, InstanceId>> ranked;
  for (const MemberRecord& member : membership_.members()) {
    if (member.is_control) {
      const std::string pair = self_.value() + '/' + member.instance.value();
      ranked.emplace_back(Rank{member.region != self.region, member.data_centre != self.data_centre,
                               XXH3_64bits(pair.data(), pair.size())},
                          member.instance);
    }
  }
  std::sort(ranked.begin(), ranked.end());
  std::vector<InstanceId> instances;
  instances.reserve(ranked.size());
  for (auto& [rank, instance] : ranked) {
    instances.push_back(std::move(instance));
  }
  return instances;
}

void MeshNode::ReportTraffic(Metrics& metrics) const {
  std::map<std::pair<std::string, bool>, ByteCounters> sums;
  for (const auto& [address, traffic] : network_.traffic()) {
    const bool crosses_regions = other_regions_.contains(address);
    for (size_t channel = 0; channel < kPeerChannelCount; ++channel) {
      Add(sums[{kChannelNames[channel], crosses_regions}], traffic.channels[channel]);
    }
    Add(sums[{"gossip", crosses_regions}], traffic.datagrams);
  }
  for (const auto& [key, bytes] : sums) {
    const auto set = [&, &channel = key.first, crosses_regions = key.second](const char* direction,
                                                                             uint64_t value) {
      metrics
          .Gauge("endivecleat_peer_bytes", "Bytes exchanged with peers since the start",
                 {{"channel", channel},
                  {"crosses_regions", crosses_regions ? "true" : "false"},
                  {"direction", direction}})
          .Set(static_cast<double>(value));
    };
    set("sent", bytes.sent);
    set("received", bytes.received);
  }
}

MeshNode::TrafficTotals MeshNode::traffic_totals() const {
  TrafficTotals totals;
  for (const auto& [address, traffic] : network_.traffic()) {
    for (size_t channel = 0; channel < kPeerChannelCount; ++channel) {
      const bool is_call = channel == static_cast<size_t>(PeerChannel::kCall);
      Add(is_call ? totals.calls : totals.other, traffic.channels[channel]);
    }
    Add(totals.gossip, traffic.datagrams);
  }
  return totals;
}

void MeshNode::Tick() {
  SendDatagrams(membership_.Tick(loop_.now()));
  timer_ = loop_.RunAfter(kTickInterval, [this] { Tick(); });
}

void MeshNode::SendDatagrams(const std::vector<Datagram>& datagrams) {
  for (const Datagram& datagram : datagrams) {
    network_.SendDatagram(datagram.to, datagram.bytes);
  }
}

void MeshNode::OnMessage(const Address& from, PeerChannel channel, const std::string& payload) {
  try {
    ByteReader reader(payload);
    const InstanceId sender(reader.ReadString());
    const std::string bytes = reader.ReadString();
    reader.ExpectEnd();
    addresses_.insert_or_assign(sender, from);
    handlers_.on_message(sender, channel, bytes);
  } catch (const UserError& error) {
    Log(LogLevel::kWarning, "peer_message_dropped",
        {{"from", from.text()}, {"reason", std::string(error.what())}});
  }
}

}  // namespace endivecleat
