// The operator API of a control instance: JSON-RPC over HTTP, authenticated with a bearer token,
// and /metrics and /healthz without authentication. A change is proposed to the replicated log; the
// response is sent once the change is committed and applied, or its outcome is unknown.
#ifndef ENDIVECLEAT_OPERATOR_SERVICE_H_
#define ENDIVECLEAT_OPERATOR_SERVICE_H_

#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "config_store.h"
#include "http_server.h"
#include "mesh_node.h"
#include "metrics.h"
#include "replica_task.h"
#include "replicated_states.h"
#include "rpc_server.h"
#include "settings.h"

namespace endivecleat {

class OperatorService {
 public:
  /// Starts listening immediately.
  OperatorService(EventLoop& loop, const ControlSettings& settings,
                  ReplicaTask<ConfigState>& replica, MeshNode& node,
                  const std::shared_ptr<IngressBudget>& ingress, Metrics& metrics);

  void StopAccepting() { server_.StopAccepting(); }
  size_t in_flight() const { return server_.in_flight(); }

 private:
  /// Outcome of a method's asynchronous step. RpcServer calls the method synchronously afterwards,
  /// and the method returns or throws accordingly.
  struct Outcome {
    std::optional<ChangeResult> change;
    bool confirmed = false;
    std::optional<ResultCode> failure;
  };

  void Handle(const HttpRequest& request, const ResponseSink& sink);
  void HandleRpc(const std::string& body, const ResponseSink& sink);
  /// Starts the asynchronous step of the requested method. Returns false if the method has none.
  bool StartAsyncStep(const std::string& body, const ResponseSink& sink);
  void ProposeChange(const Change& change, const std::string& body, const ResponseSink& sink);
  void SendResponse(const std::string& body, const Outcome& outcome, const ResponseSink& sink);
  void AddMethods();
  Change ParseSubmit(const nlohmann::json& parameters) const;
  nlohmann::json ChangeResponse() const;
  nlohmann::json Show() const;
  nlohmann::json Version(const nlohmann::json& parameters) const;
  nlohmann::json History(const nlohmann::json& parameters) const;
  void StartDrain(const nlohmann::json& parameters, const std::string& body,
                  const ResponseSink& sink);
  [[noreturn]] void ThrowNotLeader() const;

  EventLoop& loop_;
  const ControlSettings& settings_;
  ReplicaTask<ConfigState>& replica_;
  MeshNode& node_;
  Metrics& metrics_;
  RpcServer rpc_;
  Outcome outcome_;  // of the request that rpc_ is handling
  HttpServer server_;
};

/// Compares in time that does not depend on where the strings differ, so that the response time
/// reveals nothing about the token.
bool ConstantTimeEquals(const std::string& one, const std::string& other);

}  // namespace endivecleat

#endif  // ENDIVECLEAT_OPERATOR_SERVICE_H_
