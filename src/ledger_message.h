// Messages between daemons and control instances about the ledger of at-most-once requests, and
// their binary encoding. LedgerClient sends the requests.
#ifndef ENDIVECLEAT_LEDGER_MESSAGE_H_
#define ENDIVECLEAT_LEDGER_MESSAGE_H_

#include <optional>
#include <string>
#include <string_view>

#include "once_ledger.h"

namespace endivecleat {

/// A command for the leader. A forwarded request is not forwarded again, since two instances may
/// each consider the other the leader.
struct LedgerRequest {
  bool forwarded = false;
  LedgerCommand command;
};

std::string EncodeLedgerRequest(const LedgerRequest& request);
/// nullopt: no majority was reached, and the command may still be applied later.
std::string EncodeLedgerReply(const std::optional<LedgerResult>& answer);

/// Both throw UserError (kMessageMalformed).
LedgerRequest DecodeLedgerRequest(std::string_view bytes);
std::optional<LedgerResult> DecodeLedgerReply(std::string_view bytes);

}  // namespace endivecleat

#endif  // ENDIVECLEAT_LEDGER_MESSAGE_H_
