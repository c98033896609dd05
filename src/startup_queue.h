// Holds requests that come before a restarted daemon has a configuration. The load pattern that it
// answers: all daemons restart under load and their callers come at once. Refused, these would
// return together a second later, on top of the new ones; held for the moment that the
// configuration takes, most of them are served in time. It holds no socket and no clock.
#ifndef ENDIVECLEAT_STARTUP_QUEUE_H_
#define ENDIVECLEAT_STARTUP_QUEUE_H_

#include <cstddef>
#include <deque>
#include <vector>

#include "call_types.h"
#include "units.h"

namespace endivecleat {

class StartupQueue {
 public:
  /// Control instances start up to 0.4 s after the daemons, and a configuration comes 0.3 s later.
  static constexpr Duration kStartTime = std::chrono::seconds(1);
  /// Waiting much longer would only delay the refusal.
  static constexpr Duration kLongestWait = std::chrono::milliseconds(500);
  /// What is left must be enough for the caller to come back after a refusal.
  static constexpr int kWaitPart = 4;  // of the caller's timeout
  /// About a second of the requests of one daemon; more could not be served in time anyway.
  static constexpr size_t kMostWaiting = 200;

  explicit StartupQueue(TimePoint started) : accepts_until_(started + kStartTime) {}

  /// False when the request is to be refused at once: the daemon did not start just now, or enough
  /// requests wait.
  bool Add(TimePoint now, RequestNumber number, Duration timeout);
  /// The caller is gone.
  void Remove(RequestNumber number);
  /// The requests that have waited long enough; they are to be refused.
  std::vector<RequestNumber> TakeExpired(TimePoint now);
  /// All requests, in the order of their arrival; the configuration is there.
  std::vector<RequestNumber> TakeAll();
  size_t size() const { return waiting_.size(); }

 private:
  struct Waiting {
    RequestNumber number;
    TimePoint expires;
  };

  TimePoint accepts_until_;
  std::deque<Waiting> waiting_;  // in the order of arrival; at most kMostWaiting
};

}  // namespace endivecleat

#endif  // ENDIVECLEAT_STARTUP_QUEUE_H_
