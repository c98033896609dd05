// Holds requests that arrive before a restarted daemon has a configuration or knows a target of
// their service. When all daemons restart under load, refused callers would retry together a second
// later, on top of the new requests. Held until both are known, most requests are served in time.
// Does no I/O and reads no clock.
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

  /// Returns false if the request is to be refused at once, because the start-up time or the
  /// request's wait is over or the queue is full. A request taken out before its wait was over may
  /// be added again; its wait begins at its arrival.
  bool Add(TimePoint now, RequestNumber number, TimePoint arrived, Duration timeout);
  bool Add(TimePoint now, RequestNumber number, Duration timeout) {
    return Add(now, number, now, timeout);
  }
  /// The caller disconnected; drops its request.
  void Remove(RequestNumber number);
  /// Removes and returns the requests whose wait has expired; they are to be refused.
  std::vector<RequestNumber> TakeExpired(TimePoint now);
  /// Removes and returns all requests, to be tried now that more is known.
  std::vector<RequestNumber> TakeAll();
  size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    RequestNumber number;
    TimePoint expires_at;
  };

  TimePoint accepts_until_;
  std::deque<Entry> entries_;  // at most kMaxSize
};

}  // namespace endivecleat

#endif  // ENDIVECLEAT_STARTUP_QUEUE_H_
