// The members are passed on once a second, since they are remembered for minutes; at the start in
// each tick.
#include "quota_owner_task.h"

#include <vector>

#include "wall_clock.h"

namespace endivecleat {
namespace {

constexpr Duration kMembersInterval = std::chrono::seconds(1);
constexpr Duration kTickInterval = std::chrono::milliseconds(100);
constexpr Duration kStartTime = std::chrono::seconds(5);

uint64_t RunOf(uint64_t seed) { return seed == 0 ? 1 : seed; }

}  // namespace

QuotaOwnerTask::QuotaOwnerTask(const MeshNode& node, uint64_t seed)
    : node_(node), started_(BootClockNow()), owner_(RunOf(seed), started_) {}

void QuotaOwnerTask::OnRequest(const std::string& payload, const PeerResponder& responder) {
  responder.Respond(EncodeQuotaReply(Receive(DecodeQuotaRequest(payload))));
}

QuotaReply QuotaOwnerTask::Receive(const QuotaRequest& request) {
  return owner_.Receive(BootClockNow(), request);
}

void QuotaOwnerTask::Tick() {
  const TimePoint now = BootClockNow();
  owner_.Tick(now);
  if (now < next_members_) {
    return;
  }
  // A process that has just started knows itself alone.
  if (node_.membership().members().size() < 2) {
    return;
  }
  next_members_ = now + (now < started_ + kStartTime ? kTickInterval : kMembersInterval);
  std::vector<InstanceId> daemons;
  for (const MemberRecord& member : node_.membership().members()) {
    if (!member.is_control) {
      daemons.push_back(member.instance);
    }
  }
  owner_.SetMembers(now, daemons);
}

void QuotaOwnerTask::UpdateMetrics(Metrics& metrics) {
  const QuotaOwner::Counts& counts = owner_.counts();
  ReportCount(metrics, "endivecleat_quota_owner_granted_tokens_total",
              "Tokens leased to daemons by this owner", counts.granted, reported_.granted);
  ReportCount(metrics, "endivecleat_quota_owner_refused_tokens_total",
              "Tokens that requests waited for and this owner did not have", counts.refused,
              reported_.refused);
  ReportCount(metrics, "endivecleat_quota_owner_returned_tokens_total",
              "Unused tokens that daemons gave back to this owner", counts.returned,
              reported_.returned);
  ReportCount(metrics, "endivecleat_quota_owner_expired_tokens_total",
              "Leases of this owner that ended without a report", counts.expired,
              reported_.expired);
  ReportCount(metrics, "endivecleat_quota_owner_requests_total",
              "Messages that this owner received", counts.requests, reported_.requests);
  metrics.Gauge("endivecleat_quota_owner_daemons", "Daemons whose share this owner holds")
      .Set(static_cast<double>(owner_.daemons()));
}

void ReportCount(Metrics& metrics, const std::string& name, const std::string& help, uint64_t count,
                 uint64_t& reported) {
  metrics.Counter(name, help).Increment(static_cast<double>(count - reported));
  reported = count;
}

}  // namespace endivecleat
