// The mesh connection of a control instance or daemon: drives Membership with the event loop, owns
// the PeerNetwork links, and maps instance ids to addresses. Each message carries its sender's id.
#ifndef ENDIVECLEAT_MESH_NODE_H_
#define ENDIVECLEAT_MESH_NODE_H_

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "event_loop.h"
#include "membership.h"
#include "metrics.h"
#include "peer_network.h"
#include "settings.h"
#include "units.h"

namespace endivecleat {

struct MeshHandlers {
  std::function<void(const InstanceId& from, PeerChannel, const std::string& bytes)> on_message;
  std::function<void(PeerChannel, const std::string& payload, PeerResponder)> on_request;
};

enum class MeshRole { kControl, kDaemon };

class MeshNode {
 public:
  /// Listens for peers on the address immediately. `neighbours` are members of the data centre that
  /// receive sync requests while none of its control instances is a member.
  MeshNode(EventLoop& loop, const CommonSettings& settings, const Address& listen, MeshRole role,
           MeshHandlers handlers, uint64_t seed, std::vector<Address> neighbours = {});
  MeshNode(const MeshNode&) = delete;
  MeshNode& operator=(const MeshNode&) = delete;
  ~MeshNode();

  /// Sends a message without delivery guarantee: drops it if the address of the instance is unknown
  /// or its link is down.
  void Send(const InstanceId& to, PeerChannel channel, const std::string& bytes);

  /// Publishes the changed fields of this member; see Membership::UpdateSelf.
  void UpdateSelf(const MemberRecord& self);
  /// Announces to the data centre that this instance leaves, and stops gossip.
  void Leave();

  /// Sets the byte gauges of the links by channel and by whether they cross regions. Only the
  /// region of control instances is known, so that calls across regions count as not crossing.
  void ReportTraffic(Metrics& metrics) const;
  /// Bytes exchanged with all peers since the start.
  struct TrafficTotals {
    ByteCounters calls;
    ByteCounters gossip;
    ByteCounters other;
  };
  TrafficTotals traffic_totals() const;

  /// The control instances among the members, including this one, in no particular order.
  std::vector<InstanceId> control_instances() const;
  /// The same, those of the own data centre first, then of the own region. Among equals the order
  /// differs from member to member, so that the first ones are not the same for all.
  std::vector<InstanceId> nearest_control_instances() const;
  /// The address on which the instance listens for peers, or nullopt if unknown.
  std::optional<Address> FindAddress(const InstanceId& instance) const;
  Membership& membership() { return membership_; }
  const Membership& membership() const { return membership_; }
  PeerNetwork& network() { return network_; }
  const PeerNetwork& network() const { return network_; }

 private:
  void Tick();
  void SendDatagrams(const std::vector<Datagram>& datagrams);
  void OnMessage(const Address& from, PeerChannel channel, const std::string& payload);

  EventLoop& loop_;
  InstanceId self_;
  // Set with discovery: instance ids are IP addresses, and all instances listen on this port.
  std::optional<uint16_t> discovered_port_;
  MeshHandlers handlers_;
  // Control instances from the settings, and the senders of received messages.
  std::unordered_map<InstanceId, Address> addresses_;
  std::set<Address> other_regions_;  // control instances of other regions
  Membership membership_;
  PeerNetwork network_;
  TimerId timer_;
};

}  // namespace endivecleat

#endif  // ENDIVECLEAT_MESH_NODE_H_
