// Carries the messages of the configuration distribution between processes. A Hello or a Pull is
// sent as a request, and what answers it returns on the same link. So a link that has gone silent
// without being closed shows by the missing answer, and is replaced, whichever side opened the
// others.
#ifndef ENDIVECLEAT_CONFIG_EXCHANGE_H_
#define ENDIVECLEAT_CONFIG_EXCHANGE_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "config_exchange_times.h"
#include "config_message.h"
#include "event_loop.h"
#include "mesh_node.h"
#include "units.h"

namespace endivecleat {

/// Belongs to one process. For use on the loop's thread only.
class ConfigExchange {
 public:
  struct Handlers {
    std::function<void(const InstanceId& from, const ConfigMessage&)> on_message;
    /// The request to this instance will not be answered: it could not be sent, or its link closed.
    std::function<void(const InstanceId& to)> on_not_delivered;
  };

  ConfigExchange(EventLoop& loop, MeshNode& node, InstanceId self, ConfigExchangeTimes times,
                 Handlers handlers);

  /// Sends each Hello and Pull as a request; any other message answers the receiver's latest
  /// request, or is a one-way message when there is none.
  void Send(const std::vector<PeerMessage>& messages);
  /// Handles a one-way message of the channel.
  void OnMessage(const InstanceId& from, const std::string& bytes);
  /// Handles a request of the channel.
  void OnRequest(const std::string& payload, const PeerResponder& responder);

 private:
  void Request(const PeerMessage& message);
  void OnOutcome(const InstanceId& to, const PeerOutcome& outcome);
  void CheckLink(PeerRequestId request, const InstanceId& to, const std::string& bytes);

  EventLoop& loop_;
  MeshNode& node_;
  InstanceId self_;
  ConfigExchangeTimes times_;
  Handlers handlers_;
  std::map<InstanceId, PeerResponder> unanswered_;  // the latest request of each peer
  // Peers that have answered a request. Others may run a version of the program that only knows
  // one-way messages.
  std::set<InstanceId> answered_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // timers hold a weak pointer
};

}  // namespace endivecleat

#endif  // ENDIVECLEAT_CONFIG_EXCHANGE_H_
