// The server side of JSON-RPC: libjsonrpccpp checks the envelope and the parameters and builds the
// answer, this module hands the calls to functions over nlohmann::json. The library calls a method
// synchronously; a method that has to wait for a majority is therefore started first and its
// answer is built once the outcome is known (see OperatorService).
#ifndef ENDIVECLEAT_RPC_SERVER_H_
#define ENDIVECLEAT_RPC_SERVER_H_

#include <functional>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace endivecleat {

/// A parameter of a method. Every parameter is passed by name.
struct RpcParameter {
  enum class Type { kText, kNumber, kObject };
  std::string name;
  Type type;
};

/// Takes the parameters and returns the result. Throws UserError for an error of the caller.
using RpcMethod = std::function<nlohmann::json(const nlohmann::json& parameters)>;

class RpcServer {
 public:
  RpcServer();
  ~RpcServer();
  RpcServer(const RpcServer&) = delete;
  RpcServer& operator=(const RpcServer&) = delete;

  void AddMethod(const std::string& name, const std::vector<RpcParameter>& parameters,
                 RpcMethod method);

  /// Answers one request. Malformed requests get the errors of the JSON-RPC standard; a UserError
  /// of a method becomes an error with its result code, message and problems.
  std::string Handle(const std::string& request);

 private:
  class Dispatcher;
  std::unique_ptr<Dispatcher> dispatcher_;
};

}  // namespace endivecleat

#endif  // ENDIVECLEAT_RPC_SERVER_H_
