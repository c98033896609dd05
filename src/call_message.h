// The messages of a call between the daemon of the caller and the daemon beside the target, and
// their encoding.
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
#include "units.h"

namespace endivecleat {

/// One attempt, from the caller's daemon.
struct AttemptMessage {
  ServiceName service;
  CallKind kind = CallKind::kOther;
  IdempotencyKey key;  // of an at-most-once call
  std::string digest;  // of an at-most-once call
  AttemptId attempt;
  std::string request_id;  // the caller's own, for logs; empty where callers name none
  Duration time_left{};    // until the deadline
  Priority priority{1};
  std::optional<Duration> useful_for;  // how long the answer keeps its full worth
  HttpRequest request;
};

/// The target's answer or the refusal of its daemon, with the load of the target.
struct AttemptReply {
  std::variant<TargetAnswer, Refusal> outcome;
  TargetLoad load;
};

std::string EncodeAttempt(const AttemptMessage& message);
std::string EncodeAttemptReply(const AttemptReply& reply);

/// Both throw UserError (kMessageMalformed).
AttemptMessage DecodeAttempt(std::string_view bytes);
AttemptReply DecodeAttemptReply(std::string_view bytes);

}  // namespace endivecleat

#endif  // ENDIVECLEAT_CALL_MESSAGE_H_
