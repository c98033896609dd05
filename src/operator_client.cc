// Each request runs on an event loop of its own and blocks until its outcome is known. Call retries
// in rounds over all control instances, with a fixed delay between rounds.
#include "operator_client.h"

#include <chrono>
#include <deque>
#include <optional>
#include <random>
#include <thread>
#include <utility>

#include "errors.h"
#include "event_loop.h"
#include "http_client.h"
#include "json_reader.h"
#include "rpc_client.h"

namespace endivecleat {
namespace {

constexpr Duration kRequestTimeout = std::chrono::seconds(5);
constexpr Duration kRetryDelay =
    std::chrono::milliseconds(300);  // between rounds over all control instances

// Sends one request on a temporary event loop and blocks until its outcome is known.
HttpOutcome SendAndWait(const Address& address, HttpRequest request) {
  EventLoop loop;
  HttpOutcome result;
  HttpClient client(loop, address, 1);
  client.Send(std::move(request), kRequestTimeout, [&](HttpOutcome outcome) {
    result = std::move(outcome);
    loop.Stop();
  });
  loop.Run();
  return result;
}

ResultCode ResultCodeFromNumber(int number) {
  for (const ResultCodeInfo& row : ResultCodeTable()) {
    if (static_cast<int>(row.code) == number) {
      return row.code;
    }
  }
  return ResultCode::kInternal;
}

std::vector<Problem> ReadProblems(const std::string& error_data) {
  std::vector<Problem> problems;
  const nlohmann::json data = nlohmann::json::parse(error_data, nullptr, false);
  if (!data.is_object()) {
    return problems;
  }
  for (const auto& problem : data.value("problems", nlohmann::json::array())) {
    problems.push_back({problem.value("path", ""), problem.value("message", "")});
  }
  return problems;
}

std::optional<Address> LeaderHint(const UserError& error) {
  for (const Problem& problem : error.problems()) {
    if (problem.json_path == "/leader") {
      return ParseAddress(problem.message);
    }
  }
  return std::nullopt;
}

bool IsRetryable(ResultCode code) {
  return code == ResultCode::kNotLeader || code == ResultCode::kNoMajority ||
         code == ResultCode::kControlUnreachable;
}

}  // namespace

OperatorClient::OperatorClient(OperatorClientSettings settings) : settings_(std::move(settings)) {}

nlohmann::json OperatorClient::Call(const std::string& method, const nlohmann::json& parameters) {
  const auto deadline = std::chrono::steady_clock::now() + settings_.timeout;
  while (true) {
    std::deque<Address> addresses(settings_.control.begin(), settings_.control.end());
    std::optional<UserError> last;
    bool followed_leader = false;
    while (!addresses.empty()) {
      const Address address = addresses.front();
      addresses.pop_front();
      try {
        return CallOne(address, method, parameters);
      } catch (const UserError& error) {
        if (!IsRetryable(error.code())) {
          throw;
        }
        if (const auto leader = LeaderHint(error); leader && !followed_leader) {
          followed_leader = true;
          addresses.push_front(*leader);
        }
        if (!last || error.code() != ResultCode::kControlUnreachable) {
          last.emplace(error);
        }
      }
    }
    if (std::chrono::steady_clock::now() + kRetryDelay >= deadline) {
      throw last.value();
    }
    std::this_thread::sleep_for(kRetryDelay);
  }
}

std::vector<nlohmann::json> OperatorClient::CallAll(const std::string& method,
                                                    const nlohmann::json& parameters) {
  std::vector<nlohmann::json> answers;
  for (const Address& address : settings_.control) {
    try {
      answers.push_back(CallOne(address, method, parameters));
    } catch (const UserError& error) {
      if (error.code() == ResultCode::kUnauthorized) {
        throw;
      }
    }
  }
  return answers;
}

nlohmann::json OperatorClient::CallOne(const Address& address, const std::string& method,
                                       const nlohmann::json& parameters) {
  const RpcTransport transport = [&](const std::string& body) { return Post(address, body); };
  const RpcOutcome outcome = CallRpc(transport, method, parameters.dump());
  if (outcome.succeeded) {
    return nlohmann::json::parse(outcome.json);
  }
  throw UserError(ResultCodeFromNumber(outcome.error_code), outcome.message,
                  ReadProblems(outcome.json));
}

std::string OperatorClient::Post(const Address& address, const std::string& body) const {
  HttpRequest request;
  request.method = "POST";
  request.path = "/rpc";
  request.headers.Add("content-type", "application/json");
  request.headers.Add("authorization", "Bearer " + settings_.token);
  request.body = body;
  const HttpOutcome outcome = SendAndWait(address, std::move(request));
  if (outcome.kind != HttpOutcome::kAnswered) {
    throw UserError(ResultCode::kControlUnreachable,
                    "the control instance at " + address.text() + " does not respond");
  }
  if (outcome.response.status == 401) {
    throw UserError(ResultCode::kUnauthorized, "the token is missing or wrong");
  }
  return outcome.response.body;
}

OperationId NewOperationId() {
  constexpr char kDigits[] = "0123456789abcdef";
  std::random_device device;
  std::string id;
  while (id.size() < 32) {
    id.push_back(kDigits[device() % 16]);
  }
  return OperationId(id);
}

}  // namespace endivecleat
