// Built as C++14: the client headers of libjsonrpccpp 0.7 use dynamic exception specifications,
// which C++17 removed.
#include "rpc_client.h"

#include <json/json.h>
#include <jsonrpccpp/client/client.h>

#include <memory>

namespace endivecleat {
namespace {

class TransportConnector : public jsonrpc::IClientConnector {
 public:
  explicit TransportConnector(const RpcTransport& transport) : transport_(transport) {}

  void SendRPCMessage(const std::string& message,
                      std::string& result) throw(jsonrpc::JsonRpcException) override {
    result = transport_(message);
  }

 private:
  const RpcTransport& transport_;
};

Json::Value ParseJson(const std::string& text) {
  Json::Value value;
  const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
  std::string errors;
  reader->parse(text.data(), text.data() + text.size(), &value, &errors);
  return value;
}

std::string Print(const Json::Value& value) {
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
    return {true, 0, "", Print(client.CallMethod(method, ParseJson(parameters)))};
  } catch (const jsonrpc::JsonRpcException& error) {
    return {false, error.GetCode(), error.GetMessage(), Print(error.GetData())};
  }
}

}  // namespace endivecleat
