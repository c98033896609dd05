// Delivers signals of the operating system as events of the loop.
#ifndef ENDIVECLEAT_SIGNAL_WATCH_H_
#define ENDIVECLEAT_SIGNAL_WATCH_H_

#include <functional>
#include <vector>

#include "event_loop.h"

namespace endivecleat {

class SignalWatch {
 public:
  /// Blocks the signals for the process. To be made before any other thread starts.
  SignalWatch(EventLoop& loop, const std::vector<int>& signals,
              std::function<void(int signal)> handler);
  SignalWatch(const SignalWatch&) = delete;
  SignalWatch& operator=(const SignalWatch&) = delete;
  ~SignalWatch();

 private:
  void Read();

  EventLoop& loop_;
  std::function<void(int signal)> handler_;
  int descriptor_ = -1;
  WatchId watch_;
};

}  // namespace endivecleat

#endif  // ENDIVECLEAT_SIGNAL_WATCH_H_
