// Finds out whether an address accepts connections, without a request: a target that has died
// refuses them, whereas one that is slow or full still accepts.
#ifndef ENDIVECLEAT_CONNECT_PROBE_H_
#define ENDIVECLEAT_CONNECT_PROBE_H_

#include <functional>

#include "event_loop.h"
#include "units.h"

namespace endivecleat {

enum class ConnectResult { kAccepted, kRefused, kTimedOut };

/// One attempt to connect. Used on the loop's thread; destroying it gives the attempt up.
class ConnectProbe {
 public:
  /// Calls back once, never inside the constructor. The callback may destroy the probe.
  ConnectProbe(EventLoop& loop, const Address& address, Duration timeout,
               std::function<void(ConnectResult)> callback);
  ~ConnectProbe();
  ConnectProbe(const ConnectProbe&) = delete;
  ConnectProbe& operator=(const ConnectProbe&) = delete;

 private:
  void Close();
  void Finish(ConnectResult result);

  EventLoop& loop_;
  std::function<void(ConnectResult)> callback_;
  int descriptor_ = -1;  // -1 once closed
  WatchId watch_;
  TimerId timer_;
};

}  // namespace endivecleat

#endif  // ENDIVECLEAT_CONNECT_PROBE_H_
