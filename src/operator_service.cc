// Each request is parsed twice: first to start its asynchronous step (a proposal, a confirmed read
// or a request to a daemon), then by RpcServer, which builds the response from the outcome.
#include "operator_service.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "byte_codec.h"
#include "client_ingress.h"
#include "configuration.h"
#include "delta.h"
#include "errors.h"
#include "json_document.h"
#include "log.h"
#include "wall_clock.h"

namespace endivecleat {
namespace {

constexpr Duration kDrainTimeout = std::chrono::seconds(2);
constexpr char kDrainRequest[] = "drain";

HttpResponse PlainResponse(int status, const std::string& type, std::string body) {
  HttpResponse response;
  response.status = status;
  response.headers.Add("content-type", type);
  response.body = std::move(body);
  return response;
}

const char* RoleName(ReplicaRole role) {
  switch (role) {
    case ReplicaRole::kFollower:
      return "follower";
    case ReplicaRole::kPreCandidate:
      return "pre-candidate";
    case ReplicaRole::kCandidate:
      return "candidate";
    case ReplicaRole::kLeader:
      break;
  }
  return "leader";
}

std::string Truncated(const std::string& text, size_t bytes) { return text.substr(0, bytes); }

SwitchPreset ParseSwitchPreset(const nlohmann::json& parameters) {
  return {PresetName(parameters.at("preset").get<std::string>())};
}

nlohmann::json DescribeMember(const MemberRecord& member) {
  return {{"instance", member.instance.value()},
          {"service", member.service.value()},
          {"target", member.target.value()},
          {"state", member.service.empty() ? "control" : TargetStateName(member.state)},
          {"slots", member.slots},
          {"free_slots", member.free_slots},
          {"version", member.config_version.value()}};
}

nlohmann::json DescribeSummary(const DataCentreSummary& summary) {
  nlohmann::json services = nlohmann::json::array();
  for (const ServiceSummary& service : summary.services) {
    services.push_back({{"service", service.service.value()},
                        {"ready_targets", service.ready_targets},
                        {"free_slots", service.free_slots}});
  }
  return {{"data_centre", summary.data_centre.value()},
          {"region", summary.region.value()},
          {"services", services}};
}

}  // namespace

OperatorService::OperatorService(EventLoop& loop, const ControlSettings& settings,
                                 ReplicaTask<ConfigState>& replica, MeshNode& node,
                                 const std::shared_ptr<IngressBudget>& ingress, Metrics& metrics)
    : loop_(loop),
      settings_(settings),
      replica_(replica),
      node_(node),
      metrics_(metrics),
      server_(
          loop, settings.operator_address, ServerLimits(ingress),
          [this](const HttpRequest& request, const ResponseSink& sink) { Handle(request, sink); }) {
  AddMethods();
}

void OperatorService::Handle(const HttpRequest& request, const ResponseSink& sink) {
  if (request.method == "GET" && request.path == "/healthz") {
    sink.Send(PlainResponse(200, "text/plain", "ok\n"));
    return;
  }
  if (request.method == "GET" && request.path == "/metrics") {
    sink.Send(PlainResponse(200, "text/plain; version=0.0.4", metrics_.Serialize()));
    return;
  }
  if (request.path != "/rpc" || request.method != "POST") {
    sink.Send(PlainResponse(404, "text/plain", "not found\n"));
    return;
  }
  const std::string expected = "Bearer " + settings_.operator_token;
  if (!ConstantTimeEquals(request.headers.ValueOr("authorization", ""), expected)) {
    Log(LogLevel::kWarning, "operator_refused", {{"from", request.peer_ip}});
    const ResultCodeInfo& info = Describe(ResultCode::kUnauthorized);
    const nlohmann::json body = {
        {"code", static_cast<int>(info.code)}, {"name", info.name}, {"message", info.meaning}};
    sink.Send(PlainResponse(info.http_status, "application/json", body.dump()));
    return;
  }
  HandleRpc(request.body, sink);
}

void OperatorService::HandleRpc(const std::string& body, const ResponseSink& sink) {
  try {
    if (StartAsyncStep(body, sink)) {
      return;
    }
  } catch (const nlohmann::json::exception&) {
    // RpcServer answers malformed requests with the errors of the JSON-RPC standard.
  } catch (const UserError&) {
    // The method throws the error again, and RpcServer turns it into the response.
  }
  SendResponse(body, {}, sink);
}

bool OperatorService::StartAsyncStep(const std::string& body, const ResponseSink& sink) {
  if (IsNestedTooDeeply(body)) {
    return false;  // RpcServer refuses it
  }
  const nlohmann::json request = nlohmann::json::parse(body);
  const std::string method = request.at("method").get<std::string>();
  const nlohmann::json parameters = request.value("params", nlohmann::json::object());
  if (method == "submit") {
    ProposeChange(ParseSubmit(parameters), body, sink);
    return true;
  }
  if (method == "switch_preset") {
    const Change change{.operation = OperationId(parameters.at("operation").get<std::string>()),
                        .base = ConfigVersion(parameters.at("base").get<uint64_t>()),
                        .payload = ParseSwitchPreset(parameters),
                        .author = parameters.at("author").get<std::string>(),
                        .at = WallNow()};
    ProposeChange(change, body, sink);
    return true;
  }
  if (method == "show") {
    replica_.ConfirmRead(loop_.now(), [this, body, sink](bool confirmed) {
      SendResponse(body, {.confirmed = confirmed}, sink);
    });
    return true;
  }
  if (method == "drain") {
    StartDrain(parameters, body, sink);
    return true;
  }
  return false;
}

void OperatorService::ProposeChange(const Change& change, const std::string& body,
                                    const ResponseSink& sink) {
  const bool proposed = replica_.Propose(
      loop_.now(), EncodeChange(change),
      [this, body, sink](const std::optional<ChangeResult>& result) {
        Outcome outcome;
        outcome.change = result;
        outcome.failure = result ? std::nullopt : std::optional(ResultCode::kNoMajority);
        SendResponse(body, outcome, sink);
      });
  if (!proposed) {
    SendResponse(body, {.failure = ResultCode::kNotLeader}, sink);
  }
}

void OperatorService::SendResponse(const std::string& body, const Outcome& outcome,
                                   const ResponseSink& sink) {
  outcome_ = outcome;
  sink.Send(PlainResponse(200, "application/json", rpc_.Handle(body)));
}

void OperatorService::AddMethods() {
  using Type = RpcParameter::Type;
  const std::vector<RpcParameter> common = {
      {"operation", Type::kText}, {"base", Type::kNumber}, {"author", Type::kText}};
  std::vector<RpcParameter> submit = common;
  submit.push_back({"document", Type::kText});
  std::vector<RpcParameter> switch_preset = common;
  switch_preset.push_back({"preset", Type::kText});
  rpc_.AddMethod("submit", submit, [this](const nlohmann::json& parameters) {
    if (!outcome_.change && !outcome_.failure) {
      ParseSubmit(parameters);  // throws the error that prevented the proposal
    }
    return ChangeResponse();
  });
  rpc_.AddMethod("switch_preset", switch_preset,
                 [this](const nlohmann::json&) { return ChangeResponse(); });
  rpc_.AddMethod("show", {}, [this](const nlohmann::json&) { return Show(); });
  rpc_.AddMethod("version", {{"version", Type::kNumber}},
                 [this](const nlohmann::json& parameters) { return Version(parameters); });
  rpc_.AddMethod("history", {{"after", Type::kNumber}},
                 [this](const nlohmann::json& parameters) { return History(parameters); });
  rpc_.AddMethod("drain", {{"target", Type::kText}}, [this](const nlohmann::json& parameters) {
    if (outcome_.failure) {
      throw UserError(*outcome_.failure, std::string(Describe(*outcome_.failure).meaning));
    }
    return nlohmann::json{{"draining", parameters.at("target")}};
  });
}

// Computes the delta against the newest text. It applies only if the base version is the newest;
// otherwise the store rejects the change before it reads the delta.
Change OperatorService::ParseSubmit(const nlohmann::json& parameters) const {
  Change change{.operation = OperationId(parameters.at("operation").get<std::string>()),
                .base = ConfigVersion(parameters.at("base").get<uint64_t>()),
                .payload = {},
                .author = parameters.at("author").get<std::string>(),
                .at = WallNow()};
  const std::string document = parameters.at("document").get<std::string>();
  ParseAndCheck({document});
  change.payload = SubmitDocument{MakeDelta(replica_.state().store.text(), document)};
  return change;
}

nlohmann::json OperatorService::ChangeResponse() const {
  if (outcome_.failure == ResultCode::kNotLeader) {
    ThrowNotLeader();
  }
  if (!outcome_.change) {
    throw UserError(ResultCode::kNoMajority,
                    std::string(Describe(ResultCode::kNoMajority).meaning));
  }
  const ChangeResult& change = *outcome_.change;
  if (change.code == ResultCode::kVersionConflict) {
    throw UserError(
        change.code, change.message,
        {{"/version", std::to_string(change.version.value())}, {"/winner", change.winner.value()}});
  }
  if (change.code != ResultCode::kOk) {
    throw UserError(change.code, change.message);
  }
  return {{"version", change.version.value()}};
}

void OperatorService::ThrowNotLeader() const {
  std::vector<Problem> hint;
  const std::optional<InstanceId> leader = replica_.log().leader();
  for (const ControlPeer& peer : settings_.common.control_peers) {
    if (leader == peer.instance) {
      hint.push_back({"/leader", peer.operator_address.text()});
    }
  }
  throw UserError(ResultCode::kNotLeader, "this control instance is not the leader", hint);
}

nlohmann::json OperatorService::Show() const {
  const ConfigStore& store = replica_.state().store;
  nlohmann::json services = nlohmann::json::array();
  if (store.version().value() > 0) {
    const auto compiled = CompileStored(store.text(), store.version());
    for (const CompiledService& service : compiled->services()) {
      services.push_back(service.name.value());
    }
  }
  nlohmann::json members = nlohmann::json::array();
  for (const MemberRecord& member : node_.membership().members()) {
    members.push_back(DescribeMember(member));
  }
  nlohmann::json summaries = nlohmann::json::array();
  for (const DataCentreSummary& summary : node_.membership().summaries()) {
    summaries.push_back(DescribeSummary(summary));
  }
  const std::optional<InstanceId> leader = replica_.log().leader();
  return {{"instance", settings_.common.instance.value()},
          {"data_centre", settings_.common.location.data_centre.value()},
          {"role", RoleName(replica_.log().role())},
          {"voter", replica_.log().is_voter()},
          {"leader", leader ? leader->value() : ""},
          {"term", replica_.log().term().value()},
          {"confirmed", outcome_.confirmed},
          {"version", store.version().value()},
          {"preset", store.preset().value()},
          {"services", services},
          {"members", members},
          {"other_data_centres", summaries}};
}

nlohmann::json OperatorService::Version(const nlohmann::json& parameters) const {
  const ConfigStore& store = replica_.state().store;
  const uint64_t wanted = parameters.at("version").get<uint64_t>();
  const ConfigVersion version = wanted == 0 ? store.version() : ConfigVersion(wanted);
  const std::string* text = store.TextAt(version);
  if (text == nullptr) {
    throw UserError(ResultCode::kUnknownVersion,
                    "version " + std::to_string(version.value()) + " is not stored");
  }
  return {{"version", version.value()}, {"text", *text}};
}

nlohmann::json OperatorService::History(const nlohmann::json& parameters) const {
  const ConfigVersion after(parameters.at("after").get<uint64_t>());
  nlohmann::json entries = nlohmann::json::array();
  for (const HistoryEntry& entry : replica_.state().store.history()) {
    if (entry.version > after) {
      entries.push_back({{"version", entry.version.value()},
                         {"operation", entry.operation.value()},
                         {"author", Truncated(entry.author, 200)},
                         {"at_ms", entry.at.value()},
                         {"preset", entry.preset.value()},
                         {"kind", entry.is_switch ? "preset" : "submit"}});
    }
  }
  return {{"history", entries}};
}

void OperatorService::StartDrain(const nlohmann::json& parameters, const std::string& body,
                                 const ResponseSink& sink) {
  const TargetId target(parameters.at("target").get<std::string>());
  const auto& members = node_.membership().members();
  const auto member = std::find_if(members.begin(), members.end(), [&](const MemberRecord& each) {
    return !each.service.empty() && each.target == target;
  });
  if (member == members.end()) {
    SendResponse(body, {.failure = ResultCode::kUnknownTarget}, sink);
    return;
  }
  node_.network().Request(member->address, PeerChannel::kOperatorRequests, kDrainRequest,
                          kDrainTimeout, [this, body, sink](const PeerOutcome& outcome) {
                            Outcome drain_outcome;
                            if (outcome.kind != PeerOutcome::kAnswered) {
                              drain_outcome.failure = ResultCode::kTargetUnreachable;
                            }
                            SendResponse(body, drain_outcome, sink);
                          });
}

bool ConstantTimeEquals(const std::string& one, const std::string& other) {
  unsigned difference = one.size() == other.size() ? 0 : 1;
  for (size_t index = 0; index < one.size(); ++index) {
    const char against = other.empty() ? '\0' : other[index % other.size()];
    difference |= static_cast<unsigned char>(one[index]) ^ static_cast<unsigned char>(against);
  }
  return difference == 0;
}

}  // namespace endivecleat
