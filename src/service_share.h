// The share of requests that is served, by priority. More urgent requests go first, but a less
// urgent priority whose share has fallen below a quarter of that of all requests is due, so that
// deferrable work makes progress while urgent work takes all slots. Only requests with a tenant are
// counted.
#ifndef ENDIVECLEAT_SERVICE_SHARE_H_
#define ENDIVECLEAT_SERVICE_SHARE_H_

#include <map>

#include "service_policy.h"
#include "units.h"

namespace endivecleat {

class ServiceShare {
 public:
  /// A request has come that may wait; it is counted once, wherever its earlier offers went.
  void Offered(TimePoint now, Priority priority);
  void Served(TimePoint now, Priority priority);
  /// Whether the next slot belongs to the priority: others are more urgent and its share is below
  /// kMinShare of the share of all.
  bool IsDue(TimePoint now, Priority priority) const;

 private:
  struct Counts {
    double offered = 0;
    double served = 0;
  };

  void Age(TimePoint now);

  // A quarter is required; the rest covers requests that get a slot and fail, and the delay of the
  // counts.
  static constexpr double kMinShare = 0.3;
  // Long enough to count several requests of a route with one request a second at a target.
  static constexpr Duration kHalfLife = std::chrono::seconds(4);

  Counts all_;
  std::map<Priority, Counts> by_priority_;
  TimePoint aged_at_{};
};

}  // namespace endivecleat

#endif  // ENDIVECLEAT_SERVICE_SHARE_H_
