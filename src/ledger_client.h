// Carries a daemon's ledger commands to a control instance: the one of the own data centre first,
// then the others, until one of them reaches the majority.
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

/// The client must outlive the requests that it sends through the network.
class LedgerClient {
 public:
  using Callback = std::function<void(const LedgerReply&)>;

  LedgerClient(EventLoop& loop, PeerNetwork& network, const CommonSettings& settings);

  /// Calls back exactly once, with kUnreachable when no control instance reached the majority. The
  /// command may still be carried out then.
  void Send(const LedgerCommand& command, Callback callback);

 private:
  struct Pending;
  struct Control {
    Address address;
    TimePoint avoid_until{};  // it answered nothing lately, so it is asked after the others
  };

  std::vector<size_t> Order() const;
  void TryNext(const std::shared_ptr<Pending>& pending);

  EventLoop& loop_;
  PeerNetwork& network_;
  std::vector<Control> controls_;  // in the order of preference
};

/// The stored form of a target's answer, and back.
StoredAnswer ToStored(const TargetAnswer& answer);
TargetAnswer FromStored(const StoredAnswer& stored);

}  // namespace endivecleat

#endif  // ENDIVECLEAT_LEDGER_CLIENT_H_
