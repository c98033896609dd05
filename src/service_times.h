// Moving averages of the service times at one target or of one service. Requests of routes with the
// same latency objective are expected to take equally long; a short call and a long one at the same
// service differ by a factor of five and more. Admission and Balancer use it.
#ifndef ENDIVECLEAT_SERVICE_TIMES_H_
#define ENDIVECLEAT_SERVICE_TIMES_H_

#include <map>

#include "units.h"

namespace endivecleat {

class ServiceTimes {
 public:
  /// `initial_mean` is the mean before the first request has ended; 0: unknown. The newest request
  /// has a weight of 1/`divisor`.
  ServiceTimes(Duration initial_mean, Duration::rep divisor)
      : all_{initial_mean, Duration{}}, divisor_(divisor) {}

  /// `objective` is the whole latency objective of the request's route; 0 if it has none.
  void Add(Duration objective, Duration service_time);
  /// Of all requests; the initial mean before the first has ended.
  Duration mean() const { return all_.mean; }
  /// Of requests with this objective; mean() while none of them has ended.
  Duration Of(Duration objective) const;
  /// A service time that about nine in ten requests with this objective stay below: the average and
  /// twice the mean deviation from it.
  Duration UpperBound(Duration objective) const;

 private:
  struct Average {
    Duration mean{};
    Duration deviation{};  // moving average of the distance from the mean
  };

  Average Updated(const Average& average, Duration newest) const;
  const Average& Find(Duration objective) const;

  // A configuration has a few objectives; further ones count as the mean.
  static constexpr size_t kMaxObjectives = 32;

  Average all_;
  Duration::rep divisor_;
  std::map<Duration, Average> by_objective_;  // at most kMaxObjectives
};

}  // namespace endivecleat

#endif  // ENDIVECLEAT_SERVICE_TIMES_H_
