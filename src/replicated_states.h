// The two replicated state machines of a control instance, adapted to the ReplicatedState concept
// of ReplicaTask.
#ifndef ENDIVECLEAT_REPLICATED_STATES_H_
#define ENDIVECLEAT_REPLICATED_STATES_H_

#include <string>
#include <string_view>

#include "config_store.h"
#include "once_ledger.h"

namespace endivecleat {

/// State machine of the log "config": the configuration documents and the preset in force.
struct ConfigState {
  using Result = ChangeResult;

  Result Apply(std::string_view command) { return store.Apply(DecodeChange(command)); }
  std::string Snapshot() const { return store.Snapshot(); }
  static ConfigState Restore(std::string_view bytes) { return {ConfigStore::Restore(bytes)}; }

  ConfigStore store;
};

/// State machine of the log "once": the ledger of calls that may run at most once.
struct OnceState {
  using Result = LedgerResult;

  Result Apply(std::string_view command) { return ledger.Apply(DecodeLedgerCommand(command)); }
  std::string Snapshot() const { return ledger.Snapshot(); }
  static OnceState Restore(std::string_view bytes) { return {OnceLedger::Restore(bytes)}; }

  OnceLedger ledger;
};

}  // namespace endivecleat

#endif  // ENDIVECLEAT_REPLICATED_STATES_H_
