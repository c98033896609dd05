// Simulates daemons and control instances that share the quotas of tenants, over a FakeNetwork:
// requests of callers, clock offsets, freezes, restarts, partitions and differing views of the
// membership. Records when requests ran, for the bound on their sum.
#ifndef ENDIVECLEAT_TEST_QUOTA_MESH_H_
#define ENDIVECLEAT_TEST_QUOTA_MESH_H_

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "fake_network.h"
#include "quota_client.h"
#include "quota_owner.h"
#include "seeded_random.h"

namespace endivecleat::test {

struct QuotaMeshSettings {
  size_t daemons = 6;
  size_t controls = 2;
  std::vector<TenantQuota> quotas;
  NetworkFaults network;
  Duration step = std::chrono::milliseconds(10);
  uint64_t not_run_percent = 0;  // requests that no target runs; their tokens return
};

struct QuotaCounts {
  uint64_t sent = 0;
  uint64_t ran = 0;
  uint64_t refused = 0;
  uint64_t waited = 0;
  Duration waiting_time{};  // of the requests that got a token
  Duration longest_wait{};
};

class QuotaMesh {
 public:
  QuotaMesh(QuotaMeshSettings settings, uint64_t seed);

  /// Requests per second of a tenant over all daemons.
  void SetLoad(size_t tenant, double rate) { loads_.at(tenant) = rate; }
  /// The part of a tenant's requests that arrive at its first daemon; the rest is spread evenly.
  void SetSkew(double part) { skew_ = part; }
  /// Changes the quota of a tenant in a new configuration, which each daemon learns within a time.
  void SetQuota(size_t tenant, TenantQuota quota, Duration learn_within);

  void Run(Duration length);
  /// Starts the process of a machine again, `after` a time without one.
  void Restart(size_t machine, Duration after = Duration{});
  /// The same after a planned stop.
  void StopAndRestart(size_t machine, Duration after);
  void Freeze(size_t machine, Duration length);
  void Cut(const std::set<size_t>& side);  // from all others
  void HealAll() { network_.HealAll(); }
  /// Sets the machines that a machine considers members.
  void SetView(size_t machine, std::set<size_t> members);
  void SetAllViews();
  void SetFaults(NetworkFaults faults) { network_.SetFaults(faults); }

  size_t machine_count() const { return machines_.size(); }
  size_t first_daemon() const { return settings_.controls; }
  bool IsUp(size_t machine) const { return machines_[machine].owner != nullptr; }
  std::optional<size_t> OwnerOf(size_t daemon) const;
  const QuotaCounts& counts(size_t tenant) const { return counts_.at(tenant); }
  QuotaCounts total() const;
  TimePoint now() const { return now_; }
  QuotaClient::Counts client_counts() const;
  /// Bytes of messages, with `overhead` added to each, that a machine sent and received.
  uint64_t bytes(size_t machine, uint64_t overhead) const {
    return machines_[machine].bytes + overhead * machines_[machine].messages;
  }

  /// The most requests of a tenant in a window of 5 s that starts at or after a time.
  size_t MostInWindow(size_t tenant, TimePoint from = TimePoint{}) const;
  /// (5 R + B) x 1.1 + 20.
  static double Bound(const TenantQuota& quota);

 private:
  struct Message {
    bool reply = false;
    uint64_t sequence = 0;
    std::string bytes;
  };
  struct Pending {
    size_t tenant;
    TimePoint sent_at;
  };
  struct Machine {
    InstanceId id;
    Duration clock_offset{};
    std::unique_ptr<QuotaOwner> owner;    // null: the process does not run
    std::unique_ptr<QuotaClient> client;  // null at control instances
    TimePoint frozen_until{};
    std::optional<TimePoint> starts_at;
    std::set<size_t> view;
    std::deque<std::pair<size_t, Message>> inbox;
    uint64_t in_flight = 0;  // sequence; 0: none
    TimePoint sent_at{};
    std::map<RequestNumber, Pending> waiting;
    bool configured = false;
    std::optional<TimePoint> learns_at;  // of the newest quotas
    uint64_t bytes = 0;
    uint64_t messages = 0;
  };

  void Step();
  void Start(size_t machine);
  void Stop(size_t machine);
  void Deliver(Machine& machine, size_t from, const Message& message);
  void RunClient(size_t index);
  void SendRequests();
  void Decide(Machine& machine, const QuotaDecision& decision);
  void Granted(Machine& machine, size_t tenant, TimePoint sent_at, const QuotaToken& token);
  void PassMembers(size_t machine);
  void ConfigureClient(Machine& machine);
  /// Whether it reaches any machine that it considers a member.
  bool IsConnected(size_t machine) const;
  std::set<size_t> KnownMembers(size_t machine) const;
  std::vector<InstanceId> OwnersSeenBy(size_t machine) const;
  TimePoint Clock(const Machine& machine) const { return now_ + machine.clock_offset; }
  bool IsFrozen(const Machine& machine) const { return machine.frozen_until > now_; }
  void Transmit(size_t from, size_t to, const Message& message);

  QuotaMeshSettings settings_;
  SeededRandom random_;
  FakeNetwork<Message> network_;
  TimePoint now_ = TimePoint{} + std::chrono::hours(1);
  std::vector<Machine> machines_;  // the control instances first
  std::map<InstanceId, size_t> index_;
  TenantTable tenants_;
  ConfigVersion version_{1};
  std::vector<TenantId> tenant_ids_;
  std::vector<double> loads_;
  std::vector<QuotaCounts> counts_;
  std::vector<std::vector<TimePoint>> ran_at_;  // by tenant, ascending
  double skew_ = 0;
  uint64_t last_run_ = 0;
  uint64_t last_request_ = 0;
  TimePoint next_members_{};
};

}  // namespace endivecleat::test

#endif  // ENDIVECLEAT_TEST_QUOTA_MESH_H_
