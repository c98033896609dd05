// A simulated data centre for tests and benchmarks: Membership objects connected by a FakeNetwork
// in virtual time, with crashes, freezes, partitions and restarts.
#ifndef ENDIVECLEAT_TEST_MEMBERSHIP_CLUSTER_H_
#define ENDIVECLEAT_TEST_MEMBERSHIP_CLUSTER_H_

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "fake_network.h"
#include "membership.h"

namespace endivecleat::test {

inline constexpr Duration kTickInterval = std::chrono::milliseconds(100);

struct Traffic {
  uint64_t sent = 0;
  uint64_t received = 0;
};

struct ClusterNode {
  std::unique_ptr<Membership> membership;  // null while crashed
  bool frozen = false;
  std::vector<std::pair<Address, std::string>> backlog;  // received while frozen
  TimePoint next_tick;
  Traffic traffic;
};

class MembershipCluster {
 public:
  /// The first `controls` nodes are control instances: they are the seeds and have no target.
  MembershipCluster(size_t size, size_t controls, uint64_t seed, NetworkFaults faults)
      : random_(seed), network_(random_.Next(), faults), nodes_(size), controls_(controls) {
    for (size_t i = 0; i < size; ++i) {
      Start(i);
    }
  }

  static InstanceId Id(size_t index) {
    std::string digits = std::to_string(index);
    return InstanceId("instance-" + std::string(3 - std::min<size_t>(3, digits.size()), '0') +
                      digits);
  }
  static size_t IndexOf(const InstanceId& id) { return std::stoul(id.value().substr(9)); }
  static Address AddressOf(size_t index) {
    return {"10.20." + std::to_string(index / 250) + "." + std::to_string(index % 250), 7000};
  }
  static size_t IndexOf(const Address& address) {
    const size_t dot = address.ip.rfind('.');
    return std::stoul(address.ip.substr(6, dot - 6)) * 250 + std::stoul(address.ip.substr(dot + 1));
  }

  MemberRecord MakeRecord(size_t index) const {
    MemberRecord record;
    record.instance = Id(index);
    record.address = AddressOf(index);
    record.boot_time = WallTime(1'700'000'000'000 + Milliseconds());
    if (index >= controls_) {
      record.service = ServiceName("portal-ayto");
      record.target = TargetId("portal-ayto-" + std::to_string(index));
      record.state = TargetState::kReady;
      record.slots = 9;
      record.free_slots = 9;
    }
    return record;
  }

  /// Starts or restarts a node without any state; datagrams in transit to it are dropped.
  void Start(size_t index) {
    MembershipSettings settings;
    settings.data_centre = DataCentreId("cant-a");
    settings.region = RegionId("cantabrico");
    settings.mesh_token = "mesh-token";
    std::vector<Address> seeds;
    for (size_t i = 0; i < controls_; ++i) {
      seeds.push_back(AddressOf(i));
    }
    ClusterNode& node = nodes_[index];
    network_.DropMessagesTo(Id(index));
    node.membership =
        std::make_unique<Membership>(MakeRecord(index), settings, seeds, random_.Next(), now_);
    node.frozen = false;
    node.backlog.clear();
    node.next_tick = now_ + Duration(random_.Below(100'000));
  }
  void Crash(size_t index) { nodes_[index].membership.reset(); }
  void Freeze(size_t index) { nodes_[index].frozen = true; }
  void Continue(size_t index) {
    nodes_[index].frozen = false;
    for (const auto& [from, bytes] : std::exchange(nodes_[index].backlog, {})) {
      Send(index, nodes_[index].membership->Receive(now_, from, bytes));
    }
  }
  void Leave(size_t index) {
    Send(index, nodes_[index].membership->Leave(now_));
    Crash(index);
  }
  void Isolate(size_t index) {
    for (size_t other = 0; other < nodes_.size(); ++other) {
      network_.CutBothWays(Id(index), Id(other));
    }
  }

  bool live(size_t index) const { return nodes_[index].membership && !nodes_[index].frozen; }
  Membership& at(size_t index) { return *nodes_[index].membership; }
  ClusterNode& node(size_t index) { return nodes_[index]; }
  size_t size() const { return nodes_.size(); }
  TimePoint now() const { return now_; }
  FakeNetwork<std::string>& network() { return network_; }
  SeededRandom& random() { return random_; }

  bool Lists(size_t observer, size_t subject) {
    const InstanceId id = Id(subject);
    const auto& members = at(observer).members();
    return std::any_of(members.begin(), members.end(),
                       [&](const MemberRecord& member) { return member.instance == id; });
  }
  bool AllListsComplete() {
    for (size_t i = 0; i < size(); ++i) {
      for (size_t j = 0; j < size() && live(i); ++j) {
        if (Lists(i, j) != live(j)) {
          return false;
        }
      }
    }
    return true;
  }

  void Step(Duration step) {
    now_ += step;
    for (const auto& delivery : network_.TakeDue(now_)) {
      const size_t to = IndexOf(delivery.to);
      ClusterNode& node = nodes_[to];
      if (!node.membership) {
        continue;
      }
      node.traffic.received += delivery.message.size() + kUdpOverhead;
      const Address from = AddressOf(IndexOf(delivery.from));
      if (node.frozen) {
        node.backlog.emplace_back(from, delivery.message);
        continue;
      }
      Send(to, node.membership->Receive(now_, from, delivery.message));
    }
    for (size_t i = 0; i < nodes_.size(); ++i) {
      ClusterNode& node = nodes_[i];
      if (live(i) && node.next_tick <= now_) {
        node.next_tick = now_ + kTickInterval;
        Send(i, node.membership->Tick(now_));
      }
    }
  }
  template <class Check>
  void Run(Duration time, Duration step, Check check) {
    for (const TimePoint end = now_ + time; now_ < end;) {
      Step(step);
      check();
    }
  }
  void Run(Duration time) {
    Run(time, std::chrono::milliseconds(5), [] {});
  }
  void Send(size_t from, const std::vector<Datagram>& datagrams) {
    for (const Datagram& datagram : datagrams) {
      if (recording != nullptr) {
        recording->emplace_back(from, datagram);
      }
      nodes_[from].traffic.sent += datagram.bytes.size() + kUdpOverhead;
      const size_t to = IndexOf(datagram.to);
      if (to < nodes_.size()) {
        network_.Send(now_, Id(from), Id(to), datagram.bytes);
      }
    }
  }

  /// If set, receives a copy of every sent datagram with the index of its sender.
  std::vector<std::pair<size_t, Datagram>>* recording = nullptr;

 private:
  static constexpr uint64_t kUdpOverhead = 28;  // IPv4 and UDP headers

  uint64_t Milliseconds() const {
    return static_cast<uint64_t>(now_.time_since_epoch().count()) / 1000;
  }

  SeededRandom random_;
  FakeNetwork<std::string> network_;
  std::vector<ClusterNode> nodes_;
  size_t controls_;
  TimePoint now_ = TimePoint{} + std::chrono::seconds(1);
};

}  // namespace endivecleat::test

#endif  // ENDIVECLEAT_TEST_MEMBERSHIP_CLUSTER_H_
