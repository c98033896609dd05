// Adapts RpcTransport to the connector interface of libjsonrpccpp. This file is compiled as C++14:
// the client headers of libjsonrpccpp 0.7 use dynamic exception specifications, which C++17
// removed.
#include "rpc_client.h"

#include <json/json.h>
#include <jsonrpccpp/client/client.h>

#include <exception>
#include <memory>

namespace endivecleat {
namespace {

class TransportConnector : public jsonrpc::IClientConnector {
 public:
  explicit TransportConnector(const RpcTransport& transport) : transport_(transport) {}

  // Any exception other than JsonRpcException would violate the exception specification and
  // terminate the process, so the transport's exception is stored and rethrown by CallRpc.
  void SendRPCMessage(const std::string& message,
                      std::string& result) throw(jsonrpc::JsonRpcException) override {
    try {
      result = transport_(message);
    } catch (...) {
      failure_ = std::current_exception();
      throw jsonrpc::JsonRpcException("the transport failed");
    }
  }

  void RethrowFailure() const {
    if (failure_) {
      std::rethrow_exception(failure_);
    }
  }

 private:
  const RpcTransport& transport_;
  std::exception_ptr failure_;
};

Json::Value ParseJson(const std::string& text) {
  Json::Value value;
  const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
  std::string errors;
  reader->parse(text.data(), text.data() + text.size(), &value, &errors);
  return value;
}

std::string WriteJson(const Json::Value& value) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, value);
}

}  // namespace

RpcOutcome CallRpc(const RpcTransport& transport, const std::string& method,
                   const std::string& parameters) {
  TransportConnector connector(transport);
  jsonrpc::Client client(connector);
  try {
    return {true, 0, "", WriteJson(client.CallMethod(method, ParseJson(parameters)))};
  } catch (const jsonrpc::JsonRpcException& error) {
    connector.RethrowFailure();
    return {false, error.GetCode(), error.GetMessage(), WriteJson(error.GetData())};
  }
}

}  // namespace endivecleat
