// libwebsockets 4.1 offers no external poll loop and keeps its timers in a sorted list. The event
// loop therefore has an epoll set of its own, which holds the watched descriptors, a timerfd and an
// eventfd, and lws_service() polls that set as one descriptor. Timers are kept in an ordered map
// and cost O(log n).
#include "event_loop.h"

#include <libwebsockets.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/timerfd.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <chrono>
#include <system_error>

#include "errors.h"

namespace endivecleat {
namespace {

constexpr uint64_t kTimerToken = 0;
constexpr uint64_t kWakeToken = UINT64_MAX;
constexpr size_t kEventsPerBatch = 256;
// Read buffer of libwebsockets. Its default of 4096 bytes costs one system call per 4 KiB.
constexpr unsigned kReadBufferBytes = 65536;
// A peer that does not complete connecting or the handshake within this time is unreachable.
constexpr unsigned kHandshakeSeconds = 3;

int EpollReadableCallback(lws* wsi, lws_callback_reasons reason, void*, void*, size_t) {
  if (reason == LWS_CALLBACK_RAW_RX_FILE) {
    auto* loop = static_cast<EventLoop*>(lws_context_user(lws_get_context(wsi)));
    loop->DispatchEvents();
  }
  return 0;
}

constexpr char kLoopProtocol[] = "endivecleat-loop";
const std::array<lws_protocols, 2> kLoopProtocols = {
    {{kLoopProtocol, EpollReadableCallback, 0, 0, 0, nullptr, 0}, {}}};

int CheckSystemCall(int result, const char* name) {
  if (result < 0) {
    throw std::system_error(errno, std::generic_category(), name);
  }
  return result;
}

void AddToEpoll(int epoll, int descriptor, uint32_t events, uint64_t token) {
  epoll_event event = {};
  event.events = events;
  event.data.u64 = token;
  CheckSystemCall(epoll_ctl(epoll, EPOLL_CTL_ADD, descriptor, &event), "epoll_ctl");
}

void DrainCounter(int descriptor) {
  uint64_t count = 0;
  while (read(descriptor, &count, sizeof(count)) == sizeof(count)) {
  }
}

}  // namespace

EventLoop::EventLoop() {
  epoll_fd_ = CheckSystemCall(epoll_create1(EPOLL_CLOEXEC), "epoll_create1");
  timer_fd_ = CheckSystemCall(timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC),
                              "timerfd_create");
  wake_fd_ = CheckSystemCall(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC), "eventfd");
  AddToEpoll(epoll_fd_, timer_fd_, EPOLLIN, kTimerToken);
  AddToEpoll(epoll_fd_, wake_fd_, EPOLLIN, kWakeToken);
  OpenContext();
}

EventLoop::~EventLoop() {
  lws_context_destroy(context_);  // also closes epoll_fd_, which the context has adopted
  close(timer_fd_);
  close(wake_fd_);
}

void EventLoop::OpenContext() {
  lws_set_log_level(0, nullptr);
  lws_context_creation_info info = {};
  info.options = LWS_SERVER_OPTION_EXPLICIT_VHOSTS | LWS_SERVER_OPTION_SKIP_SERVER_CANONICAL_NAME;
  info.user = this;
  info.pt_serv_buf_size = kReadBufferBytes;
  info.timeout_secs = kHandshakeSeconds;
  info.connect_timeout_secs = kHandshakeSeconds;
  context_ = lws_create_context(&info);
  if (context_ == nullptr) {
    throw std::runtime_error("cannot create the libwebsockets context");
  }
  lws_context_creation_info vhost_info = {};
  vhost_info.port = CONTEXT_PORT_NO_LISTEN;
  vhost_info.protocols = kLoopProtocols.data();
  vhost_info.vhost_name = kLoopProtocol;
  lws_vhost* vhost = lws_create_vhost(context_, &vhost_info);
  lws_sock_file_fd_type descriptor;
  descriptor.filefd = epoll_fd_;
  if (vhost == nullptr || lws_adopt_descriptor_vhost(vhost, LWS_ADOPT_RAW_FILE_DESC, descriptor,
                                                     kLoopProtocol, nullptr) == nullptr) {
    throw std::runtime_error("libwebsockets cannot adopt the epoll descriptor");
  }
}

void EventLoop::Run() {
  while (!stopping_ && !exception_) {
    RunCapturingException([this] { RunPosted(); });
    if (after_batch_hook_) {
      RunCapturingException(after_batch_hook_);
    }
    if (!stopping_ && !exception_ && !HasPosted()) {
      lws_service(context_, 0);
    }
  }
  stopping_ = false;
  if (exception_) {
    std::rethrow_exception(std::exchange(exception_, nullptr));
  }
}

void EventLoop::Stop() {
  stopping_ = true;
  WakeUp();
}

void EventLoop::WakeUp() {
  const uint64_t one = 1;
  // The write fails only when the counter of the eventfd is full, and then the loop wakes anyway.
  [[maybe_unused]] const ssize_t written = write(wake_fd_, &one, sizeof(one));
}

void EventLoop::Post(Task task) {
  bool was_empty = false;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    was_empty = posted_.empty();
    posted_.push_back(std::move(task));
  }
  if (was_empty) {
    WakeUp();
  }
}

bool EventLoop::HasPosted() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return !posted_.empty();
}

void EventLoop::RunPosted() {
  std::vector<Task> tasks;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    tasks.swap(posted_);
  }
  for (const Task& task : tasks) {
    task();
  }
}

void EventLoop::RunCapturingException(const Task& task) {
  try {
    task();
  } catch (...) {
    if (!exception_) {
      exception_ = std::current_exception();
    }
  }
}

TimePoint EventLoop::now() const {
  const auto since_start = std::chrono::steady_clock::now().time_since_epoch();
  return TimePoint(std::chrono::duration_cast<Duration>(since_start));
}

TimerId EventLoop::RunAfter(Duration delay, Task task) {
  const TimerId timer(next_id_++);
  const TimePoint when = now() + delay;
  timers_.emplace(std::pair(when, timer), std::move(task));
  timer_deadlines_.emplace(timer, when);
  if (when < armed_deadline_) {
    ArmTimer();
  }
  return timer;
}

void EventLoop::Cancel(TimerId timer) {
  const auto found = timer_deadlines_.find(timer);
  if (found == timer_deadlines_.end()) {
    return;
  }
  // The timerfd stays armed: a spurious wake-up costs less than a system call per cancelled timer.
  timers_.erase({found->second, timer});
  timer_deadlines_.erase(found);
}

void EventLoop::ArmTimer() {
  if (timers_.empty()) {
    armed_deadline_ = TimePoint::max();
    return;
  }
  armed_deadline_ = timers_.begin()->first.first;
  const int64_t micros = std::max<int64_t>(armed_deadline_.time_since_epoch().count(), 1);
  itimerspec when = {};
  when.it_value.tv_sec = micros / 1000000;
  when.it_value.tv_nsec = micros % 1000000 * 1000;
  CheckSystemCall(timerfd_settime(timer_fd_, TFD_TIMER_ABSTIME, &when, nullptr), "timerfd_settime");
}

void EventLoop::RunDueTimers() {
  DrainCounter(timer_fd_);
  const TimePoint due = now();
  while (!timers_.empty() && timers_.begin()->first.first <= due) {
    auto first = timers_.extract(timers_.begin());
    timer_deadlines_.erase(first.key().second);
    RunCapturingException(first.mapped());
  }
  ArmTimer();
}

WatchId EventLoop::Watch(int descriptor, uint32_t events, WatchHandler handler) {
  // Each watch gets a new token, so that an event already fetched for a closed descriptor cannot
  // reach a new watch whose descriptor has the same number.
  const uint64_t token = next_id_++;
  AddToEpoll(epoll_fd_, descriptor, events, token);
  watches_.emplace(token, std::make_shared<WatchEntry>(WatchEntry{descriptor, std::move(handler)}));
  return WatchId(token);
}

void EventLoop::ModifyWatch(WatchId watch, uint32_t events) {
  const auto found = watches_.find(watch.value());
  ENDIVECLEAT_CHECK(found != watches_.end(), "the watch does not exist");
  epoll_event event = {};
  event.events = events;
  event.data.u64 = watch.value();
  CheckSystemCall(epoll_ctl(epoll_fd_, EPOLL_CTL_MOD, found->second->descriptor, &event),
                  "epoll_ctl");
}

void EventLoop::Unwatch(WatchId watch) {
  const auto found = watches_.find(watch.value());
  if (found == watches_.end()) {
    return;
  }
  epoll_ctl(epoll_fd_, EPOLL_CTL_DEL, found->second->descriptor, nullptr);
  watches_.erase(found);
}

void EventLoop::DispatchEvents() {
  std::array<epoll_event, kEventsPerBatch> events;
  const int count = epoll_wait(epoll_fd_, events.data(), static_cast<int>(events.size()), 0);
  for (int i = 0; i < count; ++i) {
    const epoll_event& event = events[static_cast<size_t>(i)];
    if (event.data.u64 == kTimerToken) {
      RunDueTimers();
    } else if (event.data.u64 == kWakeToken) {
      DrainCounter(wake_fd_);
    } else if (const auto found = watches_.find(event.data.u64); found != watches_.end()) {
      const std::shared_ptr<WatchEntry> entry = found->second;  // the handler may call Unwatch()
      RunCapturingException([&] { entry->handler(event.events); });
    }
  }
}

}  // namespace endivecleat
