// JSON-RPC server: libjsonrpccpp validates the envelope and the parameters and builds the response;
// this module dispatches calls to functions that use nlohmann::json. The library calls methods
// synchronously, so a method that waits for a majority is started before RpcServer handles the
// request, and the response is built once its outcome is known (see OperatorService).
#ifndef ENDIVECLEAT_RPC_SERVER_H_
#define ENDIVECLEAT_RPC_SERVER_H_

#include <functional>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace endivecleat {

/// A method parameter. All parameters are passed by name.
struct RpcParameter {
  enum class Type { kText, kNumber, kObject };
  std::string name;
  Type type;
};

/// Takes the parameters and returns the result. Throws UserError if the call fails.
using RpcMethod = std::function<nlohmann::json(const nlohmann::json& parameters)>;

class RpcServer {
 public:
  RpcServer();
  ~RpcServer();
  RpcServer(const RpcServer&) = delete;
  RpcServer& operator=(const RpcServer&) = delete;

  void AddMethod(const std::string& name, const std::vector<RpcParameter>& parameters,
                 RpcMethod method);

  /// Handles one request and returns the response. A malformed request yields an error of the
  /// JSON-RPC standard; a UserError thrown by a method yields an error with its result code,
  /// message and problems.
  std::string Handle(const std::string& request);

 private:
  class Dispatcher;
  std::unique_ptr<Dispatcher> dispatcher_;
};

}  // namespace endivecleat

#endif  // ENDIVECLEAT_RPC_SERVER_H_
