// Single-threaded event loop, built on one libwebsockets context. Socket events, timers and posted
// tasks all run on the loop's thread, so they need no locks among themselves. The HTTP client and
// server and the peer network run on it.
#ifndef ENDIVECLEAT_EVENT_LOOP_H_
#define ENDIVECLEAT_EVENT_LOOP_H_

#include <atomic>
#include <cstdint>
#include <exception>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <utility>
#include <vector>

#include "units.h"

struct lws_context;

namespace endivecleat {

using TimerId = StrongNumber<struct TimerIdTag>;
using WatchId = StrongNumber<struct WatchIdTag>;

/// Run() returns by rethrowing the first exception that a task, timer or watch handler throws. The
/// exception is stored until then because it must not unwind through the C frames of libwebsockets.
///
/// Objects that use the loop must be destroyed before it, on its thread or while Run() is not
/// running.
class EventLoop {
 public:
  using Task = std::function<void()>;
  using WatchHandler = std::function<void(uint32_t events)>;

  /// Throws std::system_error when the kernel refuses a descriptor, and std::runtime_error when
  /// libwebsockets cannot be initialised.
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  /// Dispatches events until Stop() is called.
  void Run();

  /// Makes Run() return after the current batch of events. Thread-safe.
  void Stop();

  /// Runs the task once, not before the delay has passed. The timer has a resolution of one
  /// microsecond.
  TimerId RunAfter(Duration delay, Task task);

  /// Cancels a timer. Does nothing when it has already run or was cancelled.
  void Cancel(TimerId timer);

  /// Queues the task to run on the loop's thread. Tasks run in the order of posting, never before
  /// this call returns. Thread-safe.
  void Post(Task task);

  /// Sets a hook that runs after each batch of events, before the loop waits again.
  void SetAfterBatchHook(Task hook) { after_batch_hook_ = std::move(hook); }

  /// The current time of the monotonic clock.
  TimePoint now() const;

  /// Calls the handler whenever one of the epoll events is pending on the descriptor. The caller
  /// still owns the descriptor and must call Unwatch() before closing it. Throws std::system_error.
  WatchId Watch(int descriptor, uint32_t events, WatchHandler handler);
  void ModifyWatch(WatchId watch, uint32_t events);
  void Unwatch(WatchId watch);

  /// Runs a task inside a callback of libwebsockets and stores its exception, which Run() rethrows.
  void RunCapturingException(const Task& task);

  lws_context* context() const { return context_; }

  /// Dispatches the pending events of all descriptors without waiting. Called from the callback of
  /// libwebsockets only.
  void DispatchEvents();

 private:
  struct WatchEntry {
    int descriptor;
    WatchHandler handler;
  };

  void OpenContext();
  void ArmTimer();
  void RunDueTimers();
  void RunPosted();
  bool HasPosted();
  void WakeUp();

  lws_context* context_ = nullptr;
  int epoll_fd_ = -1;
  int timer_fd_ = -1;
  int wake_fd_ = -1;

  uint64_t next_id_ = 1;
  std::map<std::pair<TimePoint, TimerId>, Task> timers_;
  std::unordered_map<TimerId, TimePoint> timer_deadlines_;  // deadline of each timer in timers_
  TimePoint armed_deadline_ = TimePoint::max();  // expiry of the timerfd; max when disarmed

  std::unordered_map<uint64_t, std::shared_ptr<WatchEntry>> watches_;

  std::mutex mutex_;
  std::vector<Task> posted_;  // guarded by mutex_

  std::atomic<bool> stopping_ = false;
  Task after_batch_hook_;
  std::exception_ptr exception_;
};

}  // namespace endivecleat

#endif  // ENDIVECLEAT_EVENT_LOOP_H_
