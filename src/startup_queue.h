// Holds requests that arrive before a restarted daemon has a configuration. When all daemons
// restart under load, refused callers would retry together a second later, on top of the new
// requests. Held until the configuration arrives, most requests are served in time. Does no I/O and
// reads no clock.
#ifndef ENDIVECLEAT_STARTUP_QUEUE_H_
#define ENDIVECLEAT_STARTUP_QUEUE_H_

#include <cstddef>
#include <deque>
#include <vector>

#include "call_types.h"
#include "units.h"

namespace endivecleat {

/// Bounded FIFO queue with an expiry for each request.
class StartupQueue {
 public:
  /// Requests are held only during this time after the start. Control instances start up to 0.4 s
  /// after the daemons, and a configuration arrives 0.3 s later.
  static constexpr Duration kStartupTime = std::chrono::seconds(1);
  /// A longer wait would mostly delay the refusal.
  static constexpr Duration kMaxWait = std::chrono::milliseconds(500);
  /// A request waits at most 1/4 of the caller's timeout; the rest leaves time for a retry.
  static constexpr int kTimeoutDivisor = 4;
  /// About one second's requests of one daemon; more could not be served in time.
  static constexpr size_t kMaxSize = 200;

  explicit StartupQueue(TimePoint started) : accepts_until_(started + kStartupTime) {}

  /// Returns false if the request is to be refused at once, because the start-up time is over or
  /// the queue is full.
  bool Add(TimePoint now, RequestNumber number, Duration timeout);
  /// The caller disconnected; drops its request.
  void Remove(RequestNumber number);
  /// Removes and returns the requests whose wait has expired; they are to be refused.
  std::vector<RequestNumber> TakeExpired(TimePoint now);
  /// Removes and returns all requests in order of arrival, once the configuration is there.
  std::vector<RequestNumber> TakeAll();
  size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    RequestNumber number;
    TimePoint expires_at;
  };

  TimePoint accepts_until_;
  std::deque<Entry> entries_;  // in order of arrival; at most kMaxSize
};

}  // namespace endivecleat

#endif  // ENDIVECLEAT_STARTUP_QUEUE_H_
