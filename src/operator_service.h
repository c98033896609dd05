// The operators' interface of a control instance: JSON-RPC over HTTP with a token, and /metrics and
// /healthz without one. Changes are proposed to the replicated log and answered when it has
// accepted them.
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
  /// Listens at once.
  OperatorService(EventLoop& loop, const ControlSettings& settings,
                  ReplicaTask<ConfigState>& replica, MeshNode& node, Metrics& metrics);

  void StopAccepting() { server_.StopAccepting(); }
  size_t in_flight() const { return server_.in_flight(); }

 private:
  /// What a method that had to wait came to, for the method to return or throw.
  struct Outcome {
    std::optional<ChangeResult> change;
    bool confirmed = false;
    std::optional<ResultCode> failure;
  };

  void Handle(const HttpRequest& request, const ResponseSink& sink);
  void HandleRpc(const std::string& body, const ResponseSink& sink);
  /// Starts what the method waits for; false when it waits for nothing.
  bool StartWaiting(const std::string& body, const ResponseSink& sink);
  void StartChange(const Change& change, const std::string& body, const ResponseSink& sink);
  void Answer(const std::string& body, const Outcome& outcome, const ResponseSink& sink);
  void AddMethods();
  Change ReadSubmit(const nlohmann::json& parameters) const;
  nlohmann::json ChangeAnswer() const;
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
  Outcome outcome_;  // of the request that rpc_ is answering
  HttpServer server_;
};

/// Compares without stopping at the first difference, so that the time tells nothing about a token.
bool EqualTokens(const std::string& one, const std::string& other);

}  // namespace endivecleat

#endif  // ENDIVECLEAT_OPERATOR_SERVICE_H_
