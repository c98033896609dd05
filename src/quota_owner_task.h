// Serves the requests of daemons for quotas in a daemon or a control instance: runs a QuotaOwner
// with the boot clock and the membership.
#ifndef ENDIVECLEAT_QUOTA_OWNER_TASK_H_
#define ENDIVECLEAT_QUOTA_OWNER_TASK_H_

#include <string>

#include "mesh_node.h"
#include "metrics.h"
#include "peer_network.h"
#include "quota_owner.h"
#include "units.h"

namespace endivecleat {

class QuotaOwnerTask {
 public:
  QuotaOwnerTask(const MeshNode& node, uint64_t seed);

  /// Answers a request of another process. Throws UserError (kMessageMalformed).
  void OnRequest(const std::string& payload, const PeerResponder& responder);
  /// Answers a request of this process.
  QuotaReply Receive(const QuotaRequest& request);
  /// Must be called every 100 ms.
  void Tick();
  /// This process stops: daemons turn to another owner.
  void Stop() { owner_.Stop(); }
  /// Daemons that this process has known within kQuotaMemberMemory.
  size_t known_members() const { return owner_.known_members(); }
  void UpdateMetrics(Metrics& metrics);

 private:
  const MeshNode& node_;
  TimePoint started_;
  QuotaOwner owner_;
  TimePoint next_members_{};
  QuotaOwner::Counts reported_;
};

/// Adds to the counter `name` what has been counted since the last call.
void ReportCount(Metrics& metrics, const std::string& name, const std::string& help, uint64_t count,
                 uint64_t& reported);

}  // namespace endivecleat

#endif  // ENDIVECLEAT_QUOTA_OWNER_TASK_H_
