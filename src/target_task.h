// The target side of a daemon, through which all requests to the local target pass. It handles the
// target's announcements, sends health probes, admits attempts, runs one TargetCall per attempt and
// reports target crashes to the crash guard.
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
#include "rollout_evidence.h"
#include "target_call.h"
#include "target_state.h"
#include "transit_delay.h"

namespace endivecleat {

/// Time for which requests held slots of the target since the start, by how they ended.
struct SlotUse {
  Duration in_objective{};
  Duration late{};
  Duration failed{};  // a status of 500 or more, no answer, or cancelled
};

class TargetTask {
 public:
  /// `slot` holds the target's slot until it is released; null if the request holds none.
  using Reply = std::function<void(const AttemptReply&, std::shared_ptr<void> slot)>;
  /// Cancels the outgoing calls that the target made for a cancelled incoming call.
  using CancelOutgoing = std::function<void(const std::vector<RequestNumber>&)>;

  explicit TargetTask(DaemonContext& context);
  TargetTask(const TargetTask&) = delete;
  TargetTask& operator=(const TargetTask&) = delete;
  ~TargetTask();

  void SetCancelOutgoing(CancelOutgoing cancel) { cancel_outgoing_ = std::move(cancel); }

  /// Handles an attempt sent by a peer daemon. Throws UserError (kMessageMalformed).
  void HandlePeer(const std::string& payload, const PeerResponder& replier);
  /// Handles an attempt of a caller of this daemon.
  void HandleLocal(const AttemptMessage& message, Reply reply);
  void CancelLocal(const AttemptId& attempt);

  void Announce(const Announcement& announcement);
  /// The target has left: no requests are sent to it until it announces itself again.
  void Leave();
  /// Stops accepting new requests; running and queued requests are completed.
  void Drain();
  /// As Drain, but renewed announcements do not end it. Used for an operator's drain and for the
  /// daemon's shutdown.
  void DrainAndHold();
  /// Applies the service's slots, queue and warm-up from a new configuration.
  void ConfigurationChanged();

  /// Called whenever the target's state changes.
  void SetStateListener(std::function<void()> listener) { state_changed_ = std::move(listener); }

  const AnnouncedTarget& target() const { return target_; }
  size_t running() const { return admission_.running(); }
  size_t slots() const { return admission_.slots(context_.loop.now()); }
  /// The slots without the concurrency limit.
  size_t unlimited_slots() const { return admission_.policy_slots(context_.loop.now()); }
  const SlotUse& slot_use() const { return slot_use_; }
  /// Attempts that are not finished, including those whose answer is still being recorded.
  size_t in_flight() const { return exchanges_.size(); }
  /// Sets the fields of this member's gossip record that depend on the target.
  void FillRecord(MemberRecord& record) const;
  /// The encoded report on the responses of the target that is due while a rollout of its service
  /// is in progress, or nullopt.
  std::optional<std::string> TakeRolloutReport();

 private:
  struct Exchange;
  using ExchangePtr = std::shared_ptr<Exchange>;

  void StartAttempt(const AttemptMessage& message, Reply reply, ExchangePtr* started);
  static AdmissionRequest ToAdmissionRequest(const Exchange& exchange);
  void ReportLoad(const HttpResponse& response);
  HttpRequest HealthRequest() const;
  bool Serves(const ServiceName& service) const;
  const Rollout* FindRollout() const;
  /// Whether the target's version may run the request, by the service's rollout.
  bool VersionMayRun(const AttemptMessage& message) const;
  /// Sets hold_until_ when a target of another version than all others appears without an order.
  void HoldUnexpectedVersion(const TargetVersion& before);
  void UpdateEvidence();
  void CountEvidence(const HttpRequest& request, std::optional<TimePoint> called,
                     const HttpOutcome* outcome);
  ServicePolicy EffectivePolicy() const;
  void OnCancelled(const ExchangePtr& exchange);
  void ApplyDecisions(const std::vector<AdmissionDecision>& decisions);
  void ExecuteEffects(const ExchangePtr& exchange, const TargetCallEffects& effects);
  void ExecuteEffect(const ExchangePtr& exchange, const TargetCallEffect& effect);
  void SendCommand(const ExchangePtr& exchange, LedgerCommand::Kind kind, const std::string& digest,
                   const StoredAnswer& answer);
  void SendToTarget(const ExchangePtr& exchange, const CallTarget& effect);
  void OnOutcome(const ExchangePtr& exchange, const HttpOutcome& outcome);
  void SendReply(const ExchangePtr& exchange, std::variant<TargetAnswer, Refusal> outcome);
  std::shared_ptr<void> HoldSlot(const Exchange& exchange);
  void ArmTimer(const ExchangePtr& exchange);
  void RemoveFinished(const ExchangePtr& exchange);
  void OnAnswer(const ExchangePtr& exchange, const HttpResponse& response);
  void LogAttempt(const Exchange& exchange, const std::string& event, int status) const;
  void CountSlotUse(Exchange& exchange, bool succeeded);
  void AwaitDeathProbe(const ExchangePtr& exchange);
  void StartDeathProbe(bool last);
  void FinishBroken(bool died);
  void Tick();
  void Probe();
  void ApplyState();
  TargetLoad Load() const;

  DaemonContext& context_;
  AnnouncedTarget target_;
  Admission admission_;
  TransitDelay transit_delay_;                        // of attempts from other instances
  TargetState applied_state_ = TargetState::kAbsent;  // state last applied to admission_
  std::unique_ptr<HttpClient> client_;                // null before the first announcement
  std::unique_ptr<HttpClient> probe_client_;
  std::map<RequestNumber, ExchangePtr> exchanges_;
  std::map<AttemptId, ExchangePtr> local_exchanges_;
  std::unique_ptr<ConnectProbe> death_probe_;        // null when no probe is in progress
  std::vector<ExchangePtr> awaiting_death_probe_;    // broken calls, until death_probe_ has ended
  std::optional<TimerId> second_death_probe_timer_;  // set while the second probe is due
  uint64_t deaths_ = 0;                              // of the target, as seen by this daemon
  CancelOutgoing cancel_outgoing_;
  std::function<void()> state_changed_;
  SlotUse slot_use_;
  RolloutEvidence evidence_;
  TimePoint hold_until_ = TimePoint::min();  // without a rollout, no requests are run before then
  TimerId timer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // expires with the task
};

}  // namespace endivecleat

#endif  // ENDIVECLEAT_TARGET_TASK_H_
