// The operators' side of JSON-RPC: finds a control instance that answers, follows the leader, and
// repeats a change under its operation id until its outcome is known.
#ifndef ENDIVECLEAT_OPERATOR_CLIENT_H_
#define ENDIVECLEAT_OPERATOR_CLIENT_H_

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "units.h"

namespace endivecleat {

struct OperatorClientSettings {
  std::vector<Address> control;
  std::string token;
  Duration timeout = std::chrono::seconds(15);  // for one command, with all its attempts
};

class OperatorClient {
 public:
  explicit OperatorClient(OperatorClientSettings settings);

  /// Calls a method on any control instance, or on the leader where the method needs it. Throws
  /// UserError with the code that the control instance answered, kUnauthorized for a wrong token,
  /// or kControlUnreachable when none answered within the timeout.
  nlohmann::json Call(const std::string& method, const nlohmann::json& parameters);

  /// Calls a method on every control instance; unreachable ones are left out.
  std::vector<nlohmann::json> CallEach(const std::string& method, const nlohmann::json& parameters);

 private:
  nlohmann::json CallOne(const Address& address, const std::string& method,
                         const nlohmann::json& parameters);
  std::string Post(const Address& address, const std::string& body) const;

  OperatorClientSettings settings_;
};

/// A new operation id, random enough never to be drawn twice.
OperationId NewOperationId();

}  // namespace endivecleat

#endif  // ENDIVECLEAT_OPERATOR_CLIENT_H_
