// One JSON-RPC call as an operators' command makes it: libjsonrpccpp builds the request and takes
// the answer apart, the caller's function carries the text over HTTP.
#ifndef ENDIVECLEAT_RPC_CLIENT_H_
#define ENDIVECLEAT_RPC_CLIENT_H_

#include <functional>
#include <string>

namespace endivecleat {

/// Sends the text of a request and returns the text of the answer. May throw what it likes.
using RpcTransport = std::function<std::string(const std::string& request)>;

/// The outcome of a call.
struct RpcOutcome {
  bool succeeded;
  int error_code;       // of JSON-RPC; 0 when the call succeeded
  std::string message;  // of an error
  std::string json;     // the result, or the data of an error
};

/// Calls a method with its parameters, an object as JSON text. Throws what the transport throws.
RpcOutcome CallRpc(const RpcTransport& transport, const std::string& method,
                   const std::string& parameters);

}  // namespace endivecleat

#endif  // ENDIVECLEAT_RPC_CLIENT_H_
