// Delivers POSIX signals as events of the event loop, so that their handler may do what a signal
// handler must not, such as allocate memory.
#ifndef ENDIVECLEAT_SIGNAL_WATCH_H_
#define ENDIVECLEAT_SIGNAL_WATCH_H_

#include <functional>
#include <vector>

#include "event_loop.h"

namespace endivecleat {

/// Watches a set of signals until it is destroyed.
class SignalWatch {
 public:
  /// Blocks the signals in the calling thread, which later threads inherit; construct it before any
  /// other thread starts. Throws std::system_error.
  SignalWatch(EventLoop& loop, const std::vector<int>& signals,
              std::function<void(int signal)> handler);
  SignalWatch(const SignalWatch&) = delete;
  SignalWatch& operator=(const SignalWatch&) = delete;
  ~SignalWatch();

 private:
  void ReadSignals();

  EventLoop& loop_;
  std::function<void(int signal)> handler_;
  int signal_fd_ = -1;
  WatchId watch_;
};

}  // namespace endivecleat

#endif  // ENDIVECLEAT_SIGNAL_WATCH_H_
