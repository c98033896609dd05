// The ingress budget of a process, shared by its client ports, and its metrics.
#ifndef ENDIVECLEAT_CLIENT_INGRESS_H_
#define ENDIVECLEAT_CLIENT_INGRESS_H_

#include <memory>

#include "http_server.h"
#include "ingress_budget.h"
#include "metrics.h"

namespace endivecleat {

/// Creates the budget, with the connections fitted to the descriptor limit of this process.
std::shared_ptr<IngressBudget> MakeIngressBudget(const IngressLimits& limits);

/// Limits of a server that shares the budget, with this limit on the size of a body.
HttpServerLimits ServerLimits(const std::shared_ptr<IngressBudget>& ingress,
                              ByteCount body = MessageLimits().body);

/// Sets the gauges endivecleat_ingress_*.
void ReportIngress(const IngressBudget& ingress, Metrics& metrics);

}  // namespace endivecleat

#endif  // ENDIVECLEAT_CLIENT_INGRESS_H_
