// The messages between daemons and control instances about the ledger of at-most-once requests.
#ifndef ENDIVECLEAT_LEDGER_MESSAGE_H_
#define ENDIVECLEAT_LEDGER_MESSAGE_H_

#include <optional>
#include <string>
#include <string_view>

#include "once_ledger.h"

namespace endivecleat {

/// A command on its way to the leader. A forwarded one is not forwarded again, since two instances
/// may each take the other for the leader.
struct LedgerRequest {
  bool forwarded = false;
  LedgerCommand command;
};

std::string EncodeLedgerRequest(const LedgerRequest& request);
/// Without an answer: the majority was not reached, and the command may still be carried out.
std::string EncodeLedgerReply(const std::optional<LedgerAnswer>& answer);

/// Both throw UserError (kMessageMalformed).
LedgerRequest DecodeLedgerRequest(std::string_view bytes);
std::optional<LedgerAnswer> DecodeLedgerReply(std::string_view bytes);

}  // namespace endivecleat

#endif  // ENDIVECLEAT_LEDGER_MESSAGE_H_
