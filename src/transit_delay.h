// How long messages waited on their way from other processes, from the senders' times in them.
// Clocks of different instances have unrelated origins, so the fastest recent message
// from a sender counts as one that did not wait. A request that waited on a full network link has
// that much less time left; without this it would run after its caller has given up.
#ifndef ENDIVECLEAT_TRANSIT_DELAY_H_
#define ENDIVECLEAT_TRANSIT_DELAY_H_

#include <map>
#include <string>

#include "units.h"

namespace endivecleat {

/// Estimates the wait of each message that arrives.
class TransitDelay {
 public:
  /// The fastest message is sought over the current and the previous period. Long enough for
  /// senders that call a target every few seconds; short enough for the drift of the clocks and for
  /// a sender that was restarted on another machine.
  static constexpr Duration kPeriod = std::chrono::seconds(60);

  /// A message of `sender` that was sent at `sent_at` by the sender's clock has arrived. Returns
  /// how much longer it took than the fastest one; 0 for the first message of a sender.
  Duration Arrived(TimePoint now, const std::string& sender, TimePoint sent_at);

 private:
  using Fastest = std::map<std::string, Duration>;  // differences of the clocks, by sender

  Fastest current_;   // since period_start_
  Fastest previous_;  // of the period before
  TimePoint period_start_{};
};

}  // namespace endivecleat

#endif  // ENDIVECLEAT_TRANSIT_DELAY_H_
