// Distributed tracing: one span for each hop of a call, recorded through OpenTracing and written as
// one JSON object per line. Trace and span ids are those of W3C Trace Context; OpenTracing's own
// 64-bit ids cannot hold a trace id, so both are recorded as tags.
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

/// The span of one hop in progress. The destructor finishes and records it.
class TraceSpan {
 public:
  TraceSpan(TraceContext context, std::unique_ptr<opentracing::Span> span);
  TraceSpan(TraceSpan&&) noexcept;
  TraceSpan& operator=(TraceSpan&&) noexcept;
  ~TraceSpan();

  /// The context to propagate to the next hop, with this span as the parent.
  const TraceContext& context() const { return context_; }
  void SetTag(const std::string& name, const std::string& value);

 private:
  TraceContext context_;
  std::unique_ptr<opentracing::Span> span_;  // null if no trace file is written
};

/// Creates spans, and writes them if a trace file is configured.
class Tracer {
 public:
  /// An empty path disables the trace file. The seed determines the ids. Throws UserError if the
  /// file cannot be opened.
  Tracer(const InstanceId& instance, const std::string& path, uint64_t seed);
  ~Tracer();

  /// Starts a span as a child of `parent`, or as the root of a new trace if there is none.
  TraceSpan StartSpan(const std::string& operation, const std::optional<TraceContext>& parent);

 private:
  std::string instance_;
  SeededRandom random_;
  std::shared_ptr<opentracing::Tracer> tracer_;  // null if no trace file is written
};

}  // namespace endivecleat

#endif  // ENDIVECLEAT_TRACE_H_
