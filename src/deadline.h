// Deadlines and traces of calls: the headers that carry them, and the registry from which a call
// that a target makes inherits the deadline and the cancellation of the call that it serves.
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

/// Request header with the milliseconds left until the caller gives up.
inline constexpr std::string_view kTimeoutHeader = "endivecleat-timeout-ms";
inline constexpr std::string_view kTraceparentHeader = "traceparent";
/// A longer timeout is shortened to this one; the ledger's records outlive it by far.
inline constexpr Duration kLongestTimeout = std::chrono::hours(1);

/// The value of the timeout header. Throws UserError (kBadRequest) unless it is a decimal number.
Duration ParseTimeout(std::string_view value);
/// The time left, in whole milliseconds rounded down, 0 when the deadline has passed.
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

/// Nothing for a malformed value: the standard has the receiver start a new trace then.
std::optional<TraceContext> ParseTraceparent(std::string_view value);
std::string FormatTraceparent(const TraceContext& context);

/// The calls that targets beside this daemon serve, by trace, and the calls that they make.
class IncomingCalls {
 public:
  void Begin(RequestNumber incoming, const TraceId& trace, TimePoint deadline);
  /// The incoming call was answered. The calls made for it go on.
  void End(RequestNumber incoming);
  /// The incoming call was cancelled. Returns the outgoing calls to cancel: those of its trace,
  /// unless another incoming call of the trace goes on, since a trace does not tell them apart.
  std::vector<RequestNumber> Cancel(RequestNumber incoming);

  /// A target makes a call. Returns its deadline: the own one or, if earlier, the latest of the
  /// incoming calls of its trace.
  TimePoint Join(RequestNumber outgoing, const TraceId& trace, TimePoint own_deadline);
  /// The outgoing call has finished.
  void Leave(RequestNumber outgoing);

 private:
  struct Trace {
    std::map<RequestNumber, TimePoint> incoming;
    std::set<RequestNumber> outgoing;
  };

  void Forget(const TraceId& trace);

  std::map<TraceId, Trace> traces_;
  std::map<RequestNumber, TraceId> incoming_;
  std::map<RequestNumber, TraceId> outgoing_;
};

}  // namespace endivecleat

#endif  // ENDIVECLEAT_DEADLINE_H_
