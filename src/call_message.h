// Messages of a call between the caller's daemon (CallerTask) and the daemon beside the target
// (TargetTask), and their binary encoding. The objective, the longest wait, the tenant, the time of
// sending, the version of a rollout and the format of the reply travel in header fields of the
// request, so that daemons of the version before accept the message during an upgrade.
#ifndef ENDIVECLEAT_CALL_MESSAGE_H_
#define ENDIVECLEAT_CALL_MESSAGE_H_

#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "balancer.h"
#include "call_types.h"
#include "http_message.h"
#include "service_policy.h"
#include "tenant_table.h"
#include "units.h"

namespace endivecleat {

/// Formats of AttemptReply: 2 is that of the release before; 3 adds the service time of the
/// target and the time until it has room.
inline constexpr uint64_t kMinReplyFormat = 2;
inline constexpr uint64_t kMaxReplyFormat = 3;

/// One attempt of a call, sent by the caller's daemon.
struct AttemptMessage {
  ServiceName service;
  CallKind kind = CallKind::kOther;
  IdempotencyKey key;  // set only for an at-most-once call
  std::string digest;  // of the request; set only for an at-most-once call
  AttemptId attempt;
  std::string request_id;  // set by the caller, for logs; empty if the caller sent none
  Duration time_left{};    // until the deadline
  Priority priority{1};
  std::optional<Duration> objective_left;  // time left of the latency objective
  Duration objective{};                    // the route's whole objective; 0 if it has none
  std::optional<Duration> max_wait;        // for a slot of this target; nullopt: no limit
  std::optional<TimePoint> sent_at;        // by the boot clock of the sender
  // The version of a rollout for which the target was chosen; empty if none applies.
  TargetVersion target_version;
  // The body follows in upload frames (PeerNetwork::SendBody) and has this length, if it is known.
  // A daemon of the version before refuses such an attempt without running it.
  bool body_follows = false;
  std::optional<uint64_t> body_length;
  TenantName tenant;                        // empty without one
  uint64_t reply_format = kMaxReplyFormat;  // newest that the sender understands
  HttpRequest request;
};

/// The answer to pass on, without the header fields of the connection to the target.
TargetAnswer ToAnswer(const HttpResponse& response);

/// Takes the time that the message waited on its way off its time left and its objective.
void DeductTransit(AttemptMessage& message, Duration waited);

/// The target's answer or its daemon's refusal, and the load of the target.
struct AttemptReply {
  std::variant<TargetAnswer, Refusal> outcome;
  TargetLoad load;
};

std::string EncodeAttempt(const AttemptMessage& message);
/// `format`: the reply_format of the attempt.
std::string EncodeAttemptReply(const AttemptReply& reply, uint64_t format = kMaxReplyFormat);

/// Both throw UserError (kMessageMalformed).
AttemptMessage DecodeAttempt(std::string_view bytes);
AttemptReply DecodeAttemptReply(std::string_view bytes);

}  // namespace endivecleat

#endif  // ENDIVECLEAT_CALL_MESSAGE_H_
