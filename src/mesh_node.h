// What every process of the mesh has: its membership in the data centre, its links to peers and a
// directory of their addresses. Messages between processes carry the id of their sender.
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
  std::function<void(const InstanceId& from, PeerChannel, const std::string& bytes)> message;
  std::function<void(PeerChannel, const std::string& payload, PeerReplier)> request;
};

enum class MeshRole { kControl, kDaemon };

class MeshNode {
 public:
  /// Listens at once on the address for peers. Neighbours are members of the data centre that are
  /// asked for the others while no control instance of it is a member.
  MeshNode(EventLoop& loop, const CommonSettings& settings, const Address& listen, MeshRole role,
           MeshHandlers handlers, uint64_t seed, std::vector<Address> neighbours = {});
  MeshNode(const MeshNode&) = delete;
  MeshNode& operator=(const MeshNode&) = delete;
  ~MeshNode();

  /// Loses the message when the address of the instance is not known or its link is down.
  void Send(const InstanceId& to, PeerChannel channel, const std::string& bytes);

  /// Takes the fields of this member that change; see Membership::UpdateSelf.
  void UpdateSelf(const MemberRecord& self);
  /// Tells the data centre that this instance leaves, and stops gossip.
  void Leave();

  /// Sets the byte counters of the links, by channel and by whether they cross regions. Only links
  /// between control instances are known to cross; calls across regions count as not crossing.
  void ReportTraffic(Metrics& metrics) const;

  /// The control instances among the members, in no order; this one included.
  std::vector<InstanceId> control_instances() const;
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
  // Set when instances are named by their IP numbers and all listen for peers on this port.
  std::optional<uint16_t> discovered_port_;
  MeshHandlers handlers_;
  // Addresses of control instances by the settings, and of others as their messages come in.
  std::unordered_map<InstanceId, Address> addresses_;
  std::set<Address> other_regions_;  // control instances of other regions
  Membership membership_;
  PeerNetwork network_;
  TimerId timer_;
};

}  // namespace endivecleat

#endif  // ENDIVECLEAT_MESH_NODE_H_
