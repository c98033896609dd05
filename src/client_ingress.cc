// Reads the descriptor limit once, at the start of the process.
#include "client_ingress.h"

#include <sys/resource.h>

#include <limits>
#include <string>

namespace endivecleat {

std::shared_ptr<IngressBudget> MakeIngressBudget(const IngressLimits& limits) {
  rlimit descriptors{};
  const bool known = getrlimit(RLIMIT_NOFILE, &descriptors) == 0;
  return std::make_shared<IngressBudget>(known ? FitToDescriptors(limits, descriptors.rlim_cur)
                                               : limits);
}

HttpServerLimits ServerLimits(const std::shared_ptr<IngressBudget>& ingress, ByteCount body) {
  HttpServerLimits limits;
  limits.message.body = body;
  // The budget admits new connections, in place of others if there are too many.
  limits.connections = std::numeric_limits<size_t>::max();
  limits.ingress = ingress;
  return limits;
}

void ReportIngress(const IngressBudget& ingress, Metrics& metrics) {
  metrics.Gauge("endivecleat_ingress_bytes", "Bytes of clients that are held, in all client ports")
      .Set(static_cast<double>(ingress.bytes()));
  metrics.Gauge("endivecleat_ingress_peak_bytes", "Largest endivecleat_ingress_bytes so far")
      .Set(static_cast<double>(ingress.peak_bytes()));
  metrics.Gauge("endivecleat_ingress_connections", "Open connections of clients")
      .Set(static_cast<double>(ingress.connections()));
  metrics.Gauge("endivecleat_ingress_partial_requests", "Requests of clients that are partly read")
      .Set(static_cast<double>(ingress.partial_requests()));
  for (size_t index = 0; index < kIngressLimitCount; ++index) {
    const auto limit = static_cast<IngressLimit>(index);
    metrics
        .Gauge("endivecleat_ingress_refused", "Connections and requests refused since the start",
               {{"limit", std::string(IngressLimitName(limit))}})
        .Set(static_cast<double>(ingress.refused(limit)));
  }
}

}  // namespace endivecleat
