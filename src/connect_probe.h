// Checks whether an address accepts TCP connections, without sending a request. A dead process
// refuses them, whereas a slow or saturated one still accepts. TargetTask uses it after a broken
// call.
#ifndef ENDIVECLEAT_CONNECT_PROBE_H_
#define ENDIVECLEAT_CONNECT_PROBE_H_

#include <functional>

#include "event_loop.h"
#include "units.h"

namespace endivecleat {

enum class ConnectResult { kAccepted, kRefused, kTimedOut };

/// One connection attempt. Used on the loop's thread; destroying it cancels the attempt.
class ConnectProbe {
 public:
  /// Calls back exactly once, never from the constructor. The callback may destroy the probe.
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
