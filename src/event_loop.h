// The event loop of a process: one thread, one libwebsockets context. Sockets, timers and posted
// tasks run on it, so tasks share no state with other threads.
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

/// An exception thrown by a task, timer or watch handler ends Run(), which throws it again:
/// it must not pass through the frames of libwebsockets.
///
/// Objects that use the loop are destroyed before it, on its thread or when Run() is not running.
class EventLoop {
 public:
  using Task = std::function<void()>;
  using WatchHandler = std::function<void(uint32_t events)>;

  /// Throws std::runtime_error when the kernel refuses a descriptor.
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  /// Serves events until Stop().
  void Run();

  /// Ends Run() after the batch in progress. Any thread.
  void Stop();

  /// Runs the task once, no earlier than after the delay, with the resolution of the kernel's
  /// timers (microseconds).
  TimerId After(Duration delay, Task task);

  /// Does nothing when the timer has run or was cancelled.
  void Cancel(TimerId timer);

  /// Runs the task on the loop's thread in order of posting, never inside this call. Any thread.
  void Post(Task task);

  /// Runs the hook after each batch of events, before the loop waits again.
  void SetAfterBatch(Task hook) { after_batch_ = std::move(hook); }

  /// Monotonic time.
  TimePoint now() const;

  /// Calls the handler when the descriptor is ready for one of the epoll events. The caller keeps
  /// the descriptor and ends the watch before it closes it.
  WatchId Watch(int descriptor, uint32_t events, WatchHandler handler);
  void ChangeWatch(WatchId watch, uint32_t events);
  void Unwatch(WatchId watch);

  /// Runs a callback of libwebsockets and keeps its exception for Run().
  void Guard(const Task& task);

  lws_context* context() const { return context_; }

  /// Serves whatever is ready in the watched descriptors. For the callback of libwebsockets.
  void ServeWatches();

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
  void Wake();

  lws_context* context_ = nullptr;
  int epoll_ = -1;
  int timer_ = -1;
  int wake_ = -1;

  uint64_t next_id_ = 1;
  std::map<std::pair<TimePoint, TimerId>, Task> timers_;
  std::unordered_map<TimerId, TimePoint> timer_times_;  // the same timers as in timers_
  TimePoint armed_ = TimePoint::max();                  // max: the kernel's timer is off

  std::unordered_map<uint64_t, std::shared_ptr<WatchEntry>> watches_;

  std::mutex mutex_;
  std::vector<Task> posted_;  // guarded by mutex_

  std::atomic<bool> stopping_ = false;
  Task after_batch_;
  std::exception_ptr failure_;
};

}  // namespace endivecleat

#endif  // ENDIVECLEAT_EVENT_LOOP_H_
