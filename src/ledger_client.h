// Sends a daemon's ledger commands to the control instances: first to the one of the own data
// centre, then to the others by distance, until one of them reaches a majority.
#ifndef ENDIVECLEAT_LEDGER_CLIENT_H_
#define ENDIVECLEAT_LEDGER_CLIENT_H_

#include <functional>
#include <memory>
#include <vector>

#include "call_types.h"
#include "event_loop.h"
#include "once_ledger.h"
#include "peer_network.h"
#include "settings.h"
#include "units.h"

namespace endivecleat {

/// The client must outlive its pending requests.
class LedgerClient {
 public:
  using Callback = std::function<void(const LedgerReply&)>;

  LedgerClient(EventLoop& loop, PeerNetwork& network, const CommonSettings& settings);

  /// Calls back exactly once; with kUnreachable if no control instance reached a majority, in which
  /// case the command may still be applied later.
  void Send(const LedgerCommand& command, Callback callback);

 private:
  struct PendingCommand;
  struct ControlEndpoint {
    Address address;
    TimePoint avoid_until{};  // until then it is tried after the others, since it did not answer
  };

  std::vector<size_t> PreferenceOrder() const;
  void TryNext(const std::shared_ptr<PendingCommand>& pending);

  EventLoop& loop_;
  PeerNetwork& network_;
  std::vector<ControlEndpoint> endpoints_;  // nearest first
};

/// The stored form of a target's answer, and back.
StoredAnswer ToStored(const TargetAnswer& answer);
TargetAnswer FromStored(const StoredAnswer& stored);

}  // namespace endivecleat

#endif  // ENDIVECLEAT_LEDGER_CLIENT_H_
