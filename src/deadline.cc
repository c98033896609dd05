// Parsing follows W3C Trace Context: later versions may append fields. Calls are indexed by number
// and by trace; a trace is erased with its last call.
#include "deadline.h"

#include <algorithm>
#include <charconv>

#include "errors.h"

namespace endivecleat {
namespace {

constexpr size_t kTraceIdDigits = 32;
constexpr size_t kSpanIdDigits = 16;
// "00-" trace "-" span "-" flags
constexpr size_t kTraceparentLength = 3 + kTraceIdDigits + 1 + kSpanIdDigits + 1 + 2;

bool IsLowerHex(std::string_view text) {
  return text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

bool IsZero(std::string_view text) { return text.find_first_not_of('0') == std::string_view::npos; }

}  // namespace

Duration ParseTimeout(std::string_view value) {
  uint64_t milliseconds = 0;
  const char* end = value.data() + value.size();
  const auto [parsed_to, error] = std::from_chars(value.data(), end, milliseconds);
  if (error == std::errc::result_out_of_range) {
    return kMaxTimeout;
  }
  if (error != std::errc() || parsed_to != end) {
    throw UserError(ResultCode::kBadRequest, "header " + std::string(kTimeoutHeader) + " is \"" +
                                                 std::string(value) +
                                                 "\" but must be a number of milliseconds");
  }
  const auto max_timeout = std::chrono::duration_cast<std::chrono::milliseconds>(kMaxTimeout);
  const uint64_t bounded = std::min(milliseconds, static_cast<uint64_t>(max_timeout.count()));
  return std::chrono::milliseconds(bounded);
}

std::string FormatTimeout(TimePoint now, TimePoint deadline) {
  const Duration left = std::clamp(deadline - now, Duration::zero(), kMaxTimeout);
  return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(left).count());
}

std::optional<TraceContext> ParseTraceparent(std::string_view value) {
  if (value.size() < kTraceparentLength) {
    return std::nullopt;
  }
  const std::string_view version = value.substr(0, 2);
  const std::string_view trace = value.substr(3, kTraceIdDigits);
  const std::string_view span = value.substr(4 + kTraceIdDigits, kSpanIdDigits);
  const std::string_view flags = value.substr(kTraceparentLength - 2, 2);
  const bool separated =
      value[2] == '-' && value[3 + kTraceIdDigits] == '-' && value[kTraceparentLength - 3] == '-';
  // Later versions may append fields, each preceded by a dash.
  const bool ends =
      value.size() == kTraceparentLength || (version != "00" && value[kTraceparentLength] == '-');
  const bool digits =
      IsLowerHex(version) && IsLowerHex(trace) && IsLowerHex(span) && IsLowerHex(flags);
  if (!separated || !ends || !digits || version == "ff" || IsZero(trace) || IsZero(span)) {
    return std::nullopt;
  }
  const bool sampled = std::string_view("13579bdf").find(flags[1]) != std::string_view::npos;
  return TraceContext{TraceId(std::string(trace)), SpanId(std::string(span)), sampled};
}

std::string FormatTraceparent(const TraceContext& context) {
  return "00-" + context.trace.value() + "-" + context.parent.value() +
         (context.sampled ? "-01" : "-00");
}

void CallRegistry::AddIncoming(RequestNumber incoming, const TraceId& trace, TimePoint deadline) {
  ENDIVECLEAT_CHECK(incoming_.emplace(incoming, trace).second, "incoming call was added twice");
  traces_[trace].incoming[incoming] = deadline;
}

void CallRegistry::RemoveIncoming(RequestNumber incoming) {
  const auto found = incoming_.find(incoming);
  if (found == incoming_.end()) {
    return;
  }
  const TraceId trace = found->second;
  traces_[trace].incoming.erase(incoming);
  incoming_.erase(found);
  EraseIfEmpty(trace);
}

std::vector<RequestNumber> CallRegistry::CancelIncoming(RequestNumber incoming) {
  const auto found = incoming_.find(incoming);
  if (found == incoming_.end()) {
    return {};
  }
  const TraceId id = found->second;
  TraceCalls& trace = traces_[id];
  std::vector<RequestNumber> cancelled;
  if (trace.incoming.size() == 1) {
    cancelled.assign(trace.outgoing.begin(), trace.outgoing.end());
  }
  RemoveIncoming(incoming);
  return cancelled;
}

TimePoint CallRegistry::AddOutgoing(RequestNumber outgoing, const TraceId& trace,
                                    TimePoint own_deadline) {
  const auto found = traces_.find(trace);
  if (found == traces_.end() || found->second.incoming.empty()) {
    return own_deadline;
  }
  found->second.outgoing.insert(outgoing);
  outgoing_[outgoing] = trace;
  TimePoint latest = TimePoint::min();
  for (const auto& [incoming, deadline] : found->second.incoming) {
    latest = std::max(latest, deadline);
  }
  return std::min(own_deadline, latest);
}

void CallRegistry::RemoveOutgoing(RequestNumber outgoing) {
  const auto found = outgoing_.find(outgoing);
  if (found == outgoing_.end()) {
    return;
  }
  const TraceId trace = found->second;
  traces_[trace].outgoing.erase(outgoing);
  outgoing_.erase(found);
  EraseIfEmpty(trace);
}

void CallRegistry::EraseIfEmpty(const TraceId& trace) {
  const auto found = traces_.find(trace);
  if (found->second.incoming.empty() && found->second.outgoing.empty()) {
    traces_.erase(found);
  }
}

}  // namespace endivecleat
