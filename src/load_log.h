// Logs every few seconds what a daemon's network link and its target's slots were used for. Without
// it, a full link looks like an idle target, and slots held by requests that fail like load.
#ifndef ENDIVECLEAT_LOAD_LOG_H_
#define ENDIVECLEAT_LOAD_LOG_H_

#include "mesh_node.h"
#include "target_task.h"
#include "units.h"

namespace endivecleat {

/// Writes the event daemon_load, and own_packets_late when that changes.
class LoadLog {
 public:
  static constexpr Duration kInterval = std::chrono::seconds(5);

  explicit LoadLog(TimePoint now) : logged_at_(now) {}

  /// Must be called about every 100 ms.
  void Tick(TimePoint now, const MeshNode& node, const TargetTask& target);

 private:
  void LogInterval(Duration elapsed, const MeshNode& node, const TargetTask& target);

  TimePoint logged_at_;
  // Totals at logged_at_.
  MeshNode::TrafficTotals traffic_;
  SlotUse slot_use_;
  bool target_limited_ = false;
  TimePoint target_limited_at_{};
  bool own_packets_late_ = false;
};

}  // namespace endivecleat

#endif  // ENDIVECLEAT_LOAD_LOG_H_
