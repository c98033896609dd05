// Types that both sides of a call share: the target's answer, a daemon's refusal and the reply of
// the ledger of at-most-once requests.
#ifndef ENDIVECLEAT_CALL_TYPES_H_
#define ENDIVECLEAT_CALL_TYPES_H_

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "result_code.h"
#include "units.h"

namespace endivecleat {

/// Number of a call within one daemon process; never reused.
using RequestNumber = StrongNumber<struct RequestNumberTag>;

/// Identifies an attempt; unique over all daemons and their restarts.
using AttemptId = StrongString<struct AttemptIdTag>;

/// Hash of the whole identity of a request; see FingerprintOf in crash_guard.h. Requests with the
/// same fingerprint are treated as the same request.
using Fingerprint = StrongString<struct FingerprintTag>;

/// How often a request of a route may run. A route is never both idempotent and at-most-once.
enum class CallKind { kOther, kIdempotent, kAtMostOnce };

/// The complete HTTP response of a target.
struct TargetAnswer {
  int status = 0;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  bool replayed = false;  // stored in the ledger by an earlier run
  bool too_large_to_replay =
      false;  // the ledger stored that it ran but not the body; result code 506

  bool operator==(const TargetAnswer&) const = default;
};

/// Why the daemon next to a target returned no answer from it.
struct Refusal {
  ResultCode code = ResultCode::kInternal;
  bool target_died = false;     // the target died while running this request
  bool reached_target = false;  // the request was sent to the target, whatever its outcome

  bool operator==(const Refusal&) const = default;
};

/// Result of a ledger command.
enum class LedgerOutcome {
  kGranted,
  kRan,
  kRefused,
  kInProgress,
  kDigestMismatch,
  kDone,
  kUnreachable,  // no majority was reached; the command may still be committed
};

/// The ledger's reply to a command for one attempt.
struct LedgerReply {
  AttemptId attempt;
  LedgerOutcome outcome = LedgerOutcome::kUnreachable;
  TargetAnswer answer;  // set with kRan
};

/// Whether a refusal with this code guarantees that the target did not receive the request.
constexpr bool GuaranteesNotRun(ResultCode code) {
  switch (code) {
    case ResultCode::kNoReadyTarget:
    case ResultCode::kOverloaded:
    case ResultCode::kTargetUnreachable:
    case ResultCode::kDraining:
    case ResultCode::kNoConfiguration:
    case ResultCode::kNotStarted:
      return true;
    default:
      return false;
  }
}

}  // namespace endivecleat

#endif  // ENDIVECLEAT_CALL_TYPES_H_
