// Registers the methods with libjsonrpccpp's protocol handler and converts values between its JSON
// library (jsoncpp) and nlohmann::json by way of JSON text.
#include "rpc_server.h"

#include <json/json.h>
#include <jsonrpccpp/common/exception.h>
#include <jsonrpccpp/common/procedure.h>
#include <jsonrpccpp/server/iclientconnectionhandler.h>
#include <jsonrpccpp/server/iprocedureinvokationhandler.h>
#include <jsonrpccpp/server/requesthandlerfactory.h>

#include <map>
#include <nlohmann/json.hpp>
#include <utility>

#include "errors.h"
#include "json_document.h"

namespace endivecleat {
namespace {

nlohmann::json FromJsonCpp(const Json::Value& value) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return nlohmann::json::parse(Json::writeString(builder, value));
}

Json::Value ToJsonCpp(const nlohmann::json& value) {
  const std::string text = value.dump();
  Json::Value result;
  const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
  reader->parse(text.data(), text.data() + text.size(), &result, nullptr);
  return result;
}

jsonrpc::jsontype_t JsonTypeOf(RpcParameter::Type type) {
  switch (type) {
    case RpcParameter::Type::kText:
      return jsonrpc::JSON_STRING;
    case RpcParameter::Type::kNumber:
      return jsonrpc::JSON_INTEGER;
    case RpcParameter::Type::kObject:
      break;
  }
  return jsonrpc::JSON_OBJECT;
}

nlohmann::json DescribeProblems(const UserError& error) {
  nlohmann::json problems = nlohmann::json::array();
  for (const Problem& problem : error.problems()) {
    problems.push_back({{"path", problem.json_path}, {"message", problem.message}});
  }
  return problems;
}

}  // namespace

class RpcServer::Dispatcher : public jsonrpc::IProcedureInvokationHandler {
 public:
  Dispatcher()
      : protocol_(jsonrpc::RequestHandlerFactory::createProtocolHandler(jsonrpc::JSONRPC_SERVER_V2,
                                                                        *this)) {}

  void Add(const std::string& name, const std::vector<RpcParameter>& parameters, RpcMethod method) {
    jsonrpc::Procedure procedure(name, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, NULL);
    for (const RpcParameter& parameter : parameters) {
      procedure.AddParameter(parameter.name, JsonTypeOf(parameter.type));
    }
    protocol_->AddProcedure(procedure);
    methods_[name] = std::move(method);
  }

  std::string Handle(const std::string& request) {
    constexpr char kParseError[] =
        R"({"jsonrpc":"2.0","id":null,"error":{"code":-32700,"message":"Parse error"}})";
    if (IsNestedTooDeeply(request)) {
      return kParseError;
    }
    std::string response;
    try {
      protocol_->HandleRequest(request, response);
    } catch (const std::exception&) {  // of jsoncpp or nlohmann::json, for text they cannot read
      return kParseError;
    }
    return response;
  }

  void HandleMethodCall(jsonrpc::Procedure& procedure, const Json::Value& input,
                        Json::Value& output) override {
    try {
      output = ToJsonCpp(methods_.at(procedure.GetProcedureName())(FromJsonCpp(input)));
    } catch (const UserError& error) {
      const nlohmann::json data = {{"name", Describe(error.code()).name},
                                   {"problems", DescribeProblems(error)}};
      throw jsonrpc::JsonRpcException(static_cast<int>(error.code()), error.what(),
                                      ToJsonCpp(data));
    }
  }

  void HandleNotificationCall(jsonrpc::Procedure& /*procedure*/,
                              const Json::Value& /*input*/) override {}

 private:
  std::unique_ptr<jsonrpc::IProtocolHandler> protocol_;
  std::map<std::string, RpcMethod> methods_;
};

RpcServer::RpcServer() : dispatcher_(std::make_unique<Dispatcher>()) {}

RpcServer::~RpcServer() = default;

void RpcServer::AddMethod(const std::string& name, const std::vector<RpcParameter>& parameters,
                          RpcMethod method) {
  dispatcher_->Add(name, parameters, std::move(method));
}

std::string RpcServer::Handle(const std::string& request) { return dispatcher_->Handle(request); }

}  // namespace endivecleat
