// Values that both ends of a call share: what a target answered, what a daemon refused, and what
// the ledger of at-most-once requests replied.
#ifndef ENDIVECLEAT_CALL_TYPES_H_
#define ENDIVECLEAT_CALL_TYPES_H_

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "result_code.h"
#include "units.h"

namespace endivecleat {

/// Number of a call at one daemon. It is never used twice.
using RequestNumber = StrongNumber<struct RequestNumberTag>;

/// Unique among all daemons and their restarts.
using AttemptId = StrongString<struct AttemptIdTag>;

/// A hash of method, path and body: two requests with the same fingerprint are the same request.
using Fingerprint = StrongString<struct FingerprintTag>;

/// The marks of a route. A route is never both idempotent and at-most-once.
enum class CallKind { kOther, kIdempotent, kAtMostOnce };

/// The complete answer of a target.
struct TargetAnswer {
  int status = 0;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  bool replayed = false;   // comes from the ledger, not from this run
  bool too_large = false;  // the ledger kept the fact but not the body; answered with code 506

  bool operator==(const TargetAnswer&) const = default;
};

/// Why the daemon beside a target gave no answer of the target.
struct Refusal {
  ResultCode code = ResultCode::kInternal;
  bool target_died = false;     // the target died while it ran this request
  bool reached_target = false;  // the request was sent to the target, whatever became of it

  bool operator==(const Refusal&) const = default;
};

enum class LedgerOutcome {
  kGranted,
  kRan,
  kRefused,
  kInProgress,
  kDigestMismatch,
  kDone,
  kUnreachable,  // the majority cannot be reached; the command may still be carried out
};

/// The ledger's reply to a command of one attempt.
struct LedgerReply {
  AttemptId attempt;
  LedgerOutcome outcome = LedgerOutcome::kUnreachable;
  TargetAnswer answer;  // of kRan
};

/// Whether a refusal with this code states that the target did not receive the request.
constexpr bool StatesNothingRan(ResultCode code) {
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
