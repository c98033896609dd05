// Makes one JSON-RPC call: libjsonrpccpp builds the request and parses the response, and a function
// supplied by the caller transports both as text (OperatorClient does so over HTTP).
#ifndef ENDIVECLEAT_RPC_CLIENT_H_
#define ENDIVECLEAT_RPC_CLIENT_H_

#include <functional>
#include <string>

namespace endivecleat {

/// Sends the text of a request and returns the text of the response. May throw any exception.
using RpcTransport = std::function<std::string(const std::string& request)>;

/// Result or error of a call.
struct RpcOutcome {
  bool succeeded;
  int error_code;       // JSON-RPC error code; 0 if the call succeeded
  std::string message;  // of the error
  std::string json;     // the result, or the data of the error
};

/// Calls a method with the given parameters, the text of a JSON object. Exceptions of the transport
/// propagate to the caller.
RpcOutcome CallRpc(const RpcTransport& transport, const std::string& method,
                   const std::string& parameters);

}  // namespace endivecleat

#endif  // ENDIVECLEAT_RPC_CLIENT_H_
