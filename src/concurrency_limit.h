// Learns from the answers of one target how many requests it handles well at the same time, and how
// long it takes for the requests of each route. The daemon beside the target owns it: Admission
// lowers its slots to the limit, and the service time travels to callers' daemons with each reply.
#ifndef ENDIVECLEAT_CONCURRENCY_LIMIT_H_
#define ENDIVECLEAT_CONCURRENCY_LIMIT_H_

#include <map>
#include <optional>

#include "load_field.h"
#include "service_times.h"
#include "units.h"

namespace endivecleat {

/// The limit falls only where more concurrent requests are seen to take longer, so that a machine
/// that is slow at any load keeps its slots: fewer of them would make it slower still. Service
/// times are compared with the average of requests with the same latency objective (of the same
/// route, mostly), so a run of short or long requests is not taken for a change of the target.
class ConcurrencyLimit {
 public:
  /// Forgets everything: the target was started. The limit is then that of its slots.
  void Reset(TimePoint now);

  /// The target has answered. `concurrency`: the requests that ran beside it and itself, averaged
  /// over its time.
  void Answered(TimePoint now, size_t slots, Duration objective, Duration service_time,
                double concurrency);
  /// The target refused a request although Admission had a slot for it.
  void Refused(TimePoint now, size_t slots);
  /// The load that the target stated.
  void Reported(TimePoint now, size_t slots, const LoadField& load);

  /// At least 1, at most `slots`. While nothing is answered, it grows back to the slots.
  size_t limit(TimePoint now, size_t slots) const;
  /// How long the target takes now for a request with this objective; 0 while unknown.
  Duration ServiceTime(Duration objective) const;

 private:
  /// Sums over recent answers, weighted by age, for a regression of the service time, relative to
  /// that of its route at a low load, over the concurrency.
  struct Sums {
    double weight = 0;
    double load = 0;
    double load_squared = 0;
    double low_load = 0;  // the concurrency at which the requests' route was seen at a low load
    double time = 0;
    double time_squared = 0;
    double product = 0;
    void Scale(double factor);
  };

  void AddAtLowLoad(Duration objective, double taken, double concurrency);
  void AddRatio(TimePoint now, double ratio, double concurrency, double low_concurrency);
  double Knee() const;
  double Current(TimePoint now, size_t slots) const;
  void Decrease(TimePoint now, size_t slots, double least);
  bool Due(TimePoint now) const;

  /// Averages over the answers to requests with one objective at up to half of the slots.
  struct LowLoad {
    double time = 0;  // microseconds
    double concurrency = 0;
    uint64_t answers = 0;
  };

  // The newest answer has a weight of 1/8 in the averages that tell how long the target takes now.
  static constexpr Duration::rep kRecentDivisor = 8;

  Sums sums_;
  TimePoint sums_at_{};
  std::optional<double> limit_;           // nullopt: all slots
  TimePoint changed_at_{};                // when limit_ was last evaluated
  double pace_ = 1;                       // how long work takes, by the load field; 1 as usual
  std::map<Duration, LowLoad> low_load_;  // by objective
  ServiceTimes recent_{Duration{}, kRecentDivisor};  // at a pace of 1
};

}  // namespace endivecleat

#endif  // ENDIVECLEAT_CONCURRENCY_LIMIT_H_
