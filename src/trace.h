// Traces: a span for each hop of a call, recorded through OpenTracing and written as one JSON
// object a line. Trace and span ids are those of W3C Trace Context, which OpenTracing's own 64-bit
// ids cannot hold, so they are recorded as tags.
#ifndef ENDIVECLEAT_TRACE_H_
#define ENDIVECLEAT_TRACE_H_

#include <memory>
#include <optional>
#include <string>

#include "deadline.h"
#include "seeded_random.h"
#include "units.h"

namespace opentracing {
inline namespace v3 {
class Span;
class Tracer;
}  // namespace v3
}  // namespace opentracing

namespace endivecleat {

/// One hop in progress; it is recorded when it is destroyed.
class TraceSpan {
 public:
  TraceSpan(TraceContext context, std::unique_ptr<opentracing::Span> span);
  TraceSpan(TraceSpan&&) noexcept;
  TraceSpan& operator=(TraceSpan&&) noexcept;
  ~TraceSpan();

  /// What the next hop receives: this span is its parent.
  const TraceContext& context() const { return context_; }
  void SetTag(const std::string& name, const std::string& value);

 private:
  TraceContext context_;
  std::unique_ptr<opentracing::Span> span_;  // null when traces are not written
};

class Tracer {
 public:
  /// An empty path writes no traces. Throws UserError when the file cannot be opened.
  Tracer(const InstanceId& instance, const std::string& path, uint64_t seed);
  ~Tracer();

  /// Starts a span below the parent, or a new trace without one.
  TraceSpan Start(const std::string& operation, const std::optional<TraceContext>& parent);

 private:
  std::string instance_;
  SeededRandom random_;
  std::shared_ptr<opentracing::Tracer> tracer_;  // null when traces are not written
};

}  // namespace endivecleat

#endif  // ENDIVECLEAT_TRACE_H_
