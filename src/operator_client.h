// The JSON-RPC client of the operators' commands. It tries the control instances in turn, follows
// the hint that names the leader, and retries a change under the same operation id until its
// outcome is known.
#ifndef ENDIVECLEAT_OPERATOR_CLIENT_H_
#define ENDIVECLEAT_OPERATOR_CLIENT_H_

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "units.h"

namespace endivecleat {

struct OperatorClientSettings {
  std::vector<Address> control;  // operator addresses of the control instances
  std::string token;
  Duration timeout = std::chrono::seconds(15);  // for one command, including all retries
};

class OperatorClient {
 public:
  explicit OperatorClient(OperatorClientSettings settings);

  /// Calls a method on any control instance, or on the leader if the method requires it. Throws
  /// UserError with the code that the control instance returned, kUnauthorized for a wrong token,
  /// or kControlUnreachable if no instance responded within the timeout.
  nlohmann::json Call(const std::string& method, const nlohmann::json& parameters);

  /// Calls a method once on every control instance and returns the results. Instances that fail
  /// are skipped; throws UserError (kUnauthorized) for a wrong token.
  std::vector<nlohmann::json> CallAll(const std::string& method, const nlohmann::json& parameters);

 private:
  nlohmann::json CallOne(const Address& address, const std::string& method,
                         const nlohmann::json& parameters);
  std::string Post(const Address& address, const std::string& body) const;

  OperatorClientSettings settings_;
};

/// Returns a new operation id of 128 random bits.
OperationId NewOperationId();

}  // namespace endivecleat

#endif  // ENDIVECLEAT_OPERATOR_CLIENT_H_
