// Rollouts at a control instance: accepts orders, collects the reports of the daemons, and, while
// it leads, proposes the steps that the controllers decide. A step changes the stored text, so that
// it conflicts with any other change of the same version; it is proposed only while no other change
// is pending, and other changes wait until it is applied.
#ifndef ENDIVECLEAT_ROLLOUT_TASK_H_
#define ENDIVECLEAT_ROLLOUT_TASK_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "event_loop.h"
#include "mesh_node.h"
#include "metrics.h"
#include "replica_task.h"
#include "replicated_states.h"
#include "rollout_controller.h"
#include "stored_compiler.h"
#include "units.h"

namespace endivecleat {

enum class RolloutOrderResult {
  kAccepted,    // durable, now or by an earlier order that says the same
  kInProgress,  // another rollout of the service is serving
  kUnknownService,
  kNotLeader,
  kUndecided,  // nothing is known; the order may be sent again
};

class RolloutTask {
 public:
  using OrderCallback = std::function<void(RolloutOrderResult)>;
  using FindCallback = std::function<void(bool confirmed, const std::optional<Rollout>&)>;

  RolloutTask(EventLoop& loop, ReplicaTask<ConfigState>& config, MeshNode& node, Metrics& metrics);
  RolloutTask(const RolloutTask&) = delete;
  RolloutTask& operator=(const RolloutTask&) = delete;

  /// Orders a rollout that has to be decided within `time`. An order that repeats the newest one of
  /// its service is accepted without effect; of a decided one until kRepeatTime after its deadline.
  void Order(const ServiceName& service, const TargetVersion& version, Duration time,
             const OrderCallback& callback);
  /// Reads the newest rollout of a service once a majority has confirmed this leader.
  void Find(const ServiceName& service, const FindCallback& callback);
  /// Runs `change` as soon as no step is being decided, which may be at once.
  void RunBetweenSteps(std::function<void()> change);
  void OnReport(std::string_view bytes);
  /// Must be called every 20 ms or so.
  void Tick();
  void UpdateMetrics();

 private:
  struct PendingOrder {
    ServiceName service;
    TargetVersion version;
    Duration time{};
    TimePoint give_up_at;
    OrderCallback callback;
  };

  bool Leads() const;
  void StartOrder(PendingOrder order);
  void StartSteps();
  void Apply(const ServiceName& service, const Rollout& rollout,
             const std::function<void(const std::optional<ChangeResult>&)>& done);
  bool ServiceExists(const ServiceName& service);
  RolloutFleet FleetOf(const ServiceName& service, const Rollout& rollout);
  void SyncControllers();

  EventLoop& loop_;
  ReplicaTask<ConfigState>& config_;
  MeshNode& node_;
  Metrics& metrics_;
  std::map<ServiceName, RolloutController> controllers_;  // of rollouts in progress
  std::map<InstanceId, TimePoint> ready_since_;           // of targets of new versions
  std::vector<PendingOrder> orders_;                      // confirmed, waiting to be proposed
  std::vector<std::function<void()>> waiting_changes_;
  bool in_flight_ = false;  // a step or an order has been proposed and is not applied yet
  uint64_t proposals_ = 0;
  ConfigVersion synced_version_;
  TimePoint next_decision_{};
  StoredCompiler compiler_;
  std::shared_ptr<const CompiledConfiguration> compiled_;  // the newest version when last needed
};

}  // namespace endivecleat

#endif  // ENDIVECLEAT_ROLLOUT_TASK_H_
