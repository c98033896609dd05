// The target's side of a daemon: the only way to the target beside it. It takes announcements and
// probes the target, admits attempts, drives a TargetCall for each and reports crashes.
#ifndef ENDIVECLEAT_TARGET_TASK_H_
#define ENDIVECLEAT_TARGET_TASK_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "admission.h"
#include "call_message.h"
#include "connect_probe.h"
#include "daemon_context.h"
#include "http_client.h"
#include "target_call.h"
#include "target_state.h"

namespace endivecleat {

class TargetTask {
 public:
  using Reply = std::function<void(const AttemptReply&)>;
  /// Outgoing calls that were made for a cancelled incoming one.
  using CancelOutgoing = std::function<void(const std::vector<RequestNumber>&)>;

  explicit TargetTask(DaemonContext& context);
  TargetTask(const TargetTask&) = delete;
  TargetTask& operator=(const TargetTask&) = delete;
  ~TargetTask();

  void SetCancelOutgoing(CancelOutgoing cancel) { cancel_outgoing_ = std::move(cancel); }

  /// An attempt from a peer; throws UserError (kMessageMalformed).
  void HandlePeer(const std::string& payload, const PeerReplier& replier);
  /// An attempt of this daemon's own caller.
  void HandleLocal(const AttemptMessage& message, Reply reply);
  void CancelLocal(const AttemptId& attempt);

  void Announce(const Announcement& announcement);
  /// The target has left; nothing is sent to it until it announces itself again.
  void Leave();
  /// No new work from now on; requests that run or wait are finished.
  void Drain();
  /// The same, and renewed announcements do not end it: an operator's drain or the daemon's stop.
  void DrainAndHold();
  /// Takes up a new configuration: slots, queue and warm-up of the service.
  void ConfigurationChanged();

  /// Called whenever the target's state changes.
  void SetStateListener(std::function<void()> listener) { state_changed_ = std::move(listener); }

  const AnnouncedTarget& target() const { return target_; }
  size_t running() const { return admission_.running(); }
  /// Attempts whose outcome is not settled, such as one whose answer is being recorded.
  size_t in_flight() const { return exchanges_.size(); }
  /// The fields of this member that the target determines.
  void FillRecord(MemberRecord& record) const;

 private:
  struct Exchange;
  using ExchangePtr = std::shared_ptr<Exchange>;

  void Begin(const AttemptMessage& message, Reply reply, ExchangePtr* started);
  HttpRequest HealthRequest() const;
  bool Serves(const ServiceName& service) const;
  ServicePolicy EffectivePolicy() const;
  void Cancelled(const ExchangePtr& exchange);
  void Decide(const std::vector<AdmissionDecision>& decisions);
  void Carry(const ExchangePtr& exchange, const TargetCallEffects& effects);
  void CarryOne(const ExchangePtr& exchange, const TargetCallEffect& effect);
  void SendCommand(const ExchangePtr& exchange, LedgerCommand::Kind kind, const std::string& digest,
                   const StoredAnswer& answer);
  void CallTheTarget(const ExchangePtr& exchange, const CallTarget& effect);
  void OnOutcome(const ExchangePtr& exchange, const HttpOutcome& outcome);
  void Answer(const ExchangePtr& exchange, std::variant<TargetAnswer, Refusal> outcome);
  void ArmTimer(const ExchangePtr& exchange);
  void Settle(const ExchangePtr& exchange);
  void OnAnswer(const ExchangePtr& exchange, const HttpResponse& response);
  void LogAttempt(const Exchange& exchange, const std::string& event, int status) const;
  void FindOutWhetherItDied(const ExchangePtr& exchange);
  void OnDeathProbe(ConnectResult result);
  void Tick();
  void Probe();
  void FollowState();
  TargetLoad Load() const;

  DaemonContext& context_;
  AnnouncedTarget target_;
  Admission admission_;
  TargetState followed_ = TargetState::kAbsent;  // the state that admission_ has taken up
  std::unique_ptr<HttpClient> client_;           // null before the first announcement
  std::unique_ptr<HttpClient> probe_client_;
  std::map<RequestNumber, ExchangePtr> exchanges_;
  std::map<AttemptId, ExchangePtr> local_;
  std::unique_ptr<ConnectProbe> death_probe_;  // null when none is under way
  std::vector<ExchangePtr> broken_;  // wait for the probe that tells whether the target died
  uint64_t deaths_ = 0;
  CancelOutgoing cancel_outgoing_;
  std::function<void()> state_changed_;
  TimerId timer_;
};

}  // namespace endivecleat

#endif  // ENDIVECLEAT_TARGET_TASK_H_
