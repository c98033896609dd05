// Propagation of deadlines, cancellation and traces: the HTTP headers that carry deadline and
// trace, and a registry from which the calls made by a target inherit the deadline and the
// cancellation of the call that it serves.
#ifndef ENDIVECLEAT_DEADLINE_H_
#define ENDIVECLEAT_DEADLINE_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "call_types.h"
#include "units.h"

namespace endivecleat {

/// Request header with the time in milliseconds until the caller gives up.
inline constexpr std::string_view kTimeoutHeader = "endivecleat-timeout-ms";
inline constexpr std::string_view kTraceparentHeader = "traceparent";
/// Longer timeouts are reduced to this one. The ledger keeps its records much longer.
inline constexpr Duration kMaxTimeout = std::chrono::hours(1);

/// Parses the timeout header, in milliseconds. Throws UserError (kBadRequest) unless it is a
/// decimal number.
Duration ParseTimeout(std::string_view value);
/// Formats the time left in milliseconds, rounded down; 0 when the deadline has passed.
std::string FormatTimeout(TimePoint now, TimePoint deadline);

using TraceId = StrongString<struct TraceIdTag>;  // 32 lower-case hexadecimal digits
using SpanId = StrongString<struct SpanIdTag>;    // 16 lower-case hexadecimal digits

/// The value of a traceparent header (W3C Trace Context, version 00).
struct TraceContext {
  TraceId trace;
  SpanId parent;
  bool sampled = false;

  bool operator==(const TraceContext&) const = default;
};

/// Returns nullopt for a malformed value; the standard then requires the receiver to start a new
/// trace.
std::optional<TraceContext> ParseTraceparent(std::string_view value);
std::string FormatTraceparent(const TraceContext& context);

/// The calls that the local target serves (incoming) and those that it makes (outgoing), by trace.
class CallRegistry {
 public:
  void AddIncoming(RequestNumber incoming, const TraceId& trace, TimePoint deadline);
  /// The incoming call was answered. The outgoing calls made for it continue.
  void RemoveIncoming(RequestNumber incoming);
  /// The incoming call was cancelled. Returns the outgoing calls to cancel: all of its trace, or
  /// none while another incoming call has the same trace, since the trace does not tell which of
  /// the two an outgoing call belongs to.
  std::vector<RequestNumber> CancelIncoming(RequestNumber incoming);

  /// The target makes an outgoing call. Returns its effective deadline: the earlier of its own and
  /// the latest deadline of the incoming calls with the same trace.
  TimePoint AddOutgoing(RequestNumber outgoing, const TraceId& trace, TimePoint own_deadline);
  /// The outgoing call has finished.
  void RemoveOutgoing(RequestNumber outgoing);

 private:
  struct TraceCalls {
    std::map<RequestNumber, TimePoint> incoming;
    std::set<RequestNumber> outgoing;
  };

  void EraseIfEmpty(const TraceId& trace);

  std::map<TraceId, TraceCalls> traces_;
  std::map<RequestNumber, TraceId> incoming_;
  std::map<RequestNumber, TraceId> outgoing_;
};

}  // namespace endivecleat

#endif  // ENDIVECLEAT_DEADLINE_H_
