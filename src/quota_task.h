// The quotas of a daemon: connects QuotaClient to the event loop, the peer network and the
// membership, and serves other daemons as an owner where no control instance does.
#ifndef ENDIVECLEAT_QUOTA_TASK_H_
#define ENDIVECLEAT_QUOTA_TASK_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "daemon_context.h"
#include "quota_client.h"
#include "quota_owner_task.h"
#include "tenant_table.h"

namespace endivecleat {

/// Runs on the event loop's thread.
class QuotaTask {
 public:
  using Callback = std::function<void(const QuotaAnswer&)>;

  QuotaTask(DaemonContext& context, uint64_t seed);
  QuotaTask(const QuotaTask&) = delete;
  QuotaTask& operator=(const QuotaTask&) = delete;
  ~QuotaTask();

  /// Asks for a token. With kWait, `done` runs later, never from within this call, at the latest
  /// at `deadline` by the loop's clock.
  QuotaAnswer Take(const Tenant& tenant, RequestNumber request, TimePoint deadline, Callback done);
  /// The request does not wait any longer; its callback does not run.
  void Forget(const Tenant& tenant, RequestNumber request);
  /// No target ran the request.
  void Return(const QuotaToken& token);
  size_t waiting() const { return callbacks_.size(); }

  void ConfigurationChanged();
  /// A message of another daemon. Throws UserError (kMessageMalformed).
  void OnRequest(const std::string& payload, const PeerResponder& responder) {
    owner_.OnRequest(payload, responder);
  }
  /// Must be called every 100 ms.
  void Tick();
  /// This daemon will stop: other daemons turn to another owner.
  void StopOwner() { owner_.Stop(); }
  /// Tells the owner that this daemon stops.
  void GiveBackShare();
  void UpdateMetrics();

 private:
  std::vector<InstanceId> OwnersInOrder() const;
  void Pump();
  void SendRequests();
  void Send(const OutgoingQuotaRequest& outgoing);
  void LogEvents();
  void ArmTimer();

  DaemonContext& context_;
  QuotaOwnerTask owner_;
  QuotaClient client_;
  std::map<RequestNumber, Callback> callbacks_;
  std::optional<PeerRequestId> in_flight_;
  std::optional<TimerId> timer_;
  TimePoint next_owners_{};
  QuotaClient::Counts reported_;
};

}  // namespace endivecleat

#endif  // ENDIVECLEAT_QUOTA_TASK_H_
