// All figures of a line are those of the time since the line before.
#include "load_log.h"

#include "log.h"

namespace endivecleat {
namespace {

// The limit of a target at its knee changes several times a second.
constexpr Duration kLimitInterval = std::chrono::seconds(5);

int64_t Milliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

}  // namespace

void LoadLog::Tick(TimePoint now, const MeshNode& node, const TargetTask& target) {
  const bool late = node.membership().own_packets_late();
  if (late != own_packets_late_) {
    own_packets_late_ = late;
    Log(LogLevel::kWarning, "own_packets_late", {{"late", late}});
  }
  const bool limited = target.slots() < target.unlimited_slots();
  if (limited != target_limited_ && now - target_limited_at_ >= kLimitInterval) {
    target_limited_ = limited;
    target_limited_at_ = now;
    Log(LogLevel::kInfo, "target_limited",
        {{"limited", limited},
         {"limit", static_cast<uint64_t>(target.slots())},
         {"slots", static_cast<uint64_t>(target.unlimited_slots())}});
  }
  if (now - logged_at_ >= kInterval) {
    LogInterval(now - logged_at_, node, target);
    logged_at_ = now;
  }
}

void LoadLog::LogInterval(Duration elapsed, const MeshNode& node, const TargetTask& target) {
  const MeshNode::TrafficTotals traffic = node.traffic_totals();
  const SlotUse& use = target.slot_use();
  Log(LogLevel::kInfo, "daemon_load",
      {{"interval_ms", Milliseconds(elapsed)},
       {"call_bytes_sent", traffic.calls.sent - traffic_.calls.sent},
       {"call_bytes_received", traffic.calls.received - traffic_.calls.received},
       {"gossip_bytes_sent", traffic.gossip.sent - traffic_.gossip.sent},
       {"gossip_bytes_received", traffic.gossip.received - traffic_.gossip.received},
       {"other_bytes_sent", traffic.other.sent - traffic_.other.sent},
       {"other_bytes_received", traffic.other.received - traffic_.other.received},
       {"slots", static_cast<uint64_t>(target.slots())},
       {"slot_ms_in_objective", Milliseconds(use.in_objective - slot_use_.in_objective)},
       {"slot_ms_late", Milliseconds(use.late - slot_use_.late)},
       {"slot_ms_failed", Milliseconds(use.failed - slot_use_.failed)}});
  traffic_ = traffic;
  slot_use_ = use;
}

}  // namespace endivecleat
