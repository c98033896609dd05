// Additive increase and multiplicative decrease towards the knee of the target's throughput. With a
// service time of a + b n at n concurrent requests, the throughput n / (a + b n) gains from one
// more slot a / (a + b n) of what the present ones yield on average; the knee is where that falls
// to kMinGain.
#include "concurrency_limit.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace endivecleat {
namespace {

constexpr double kMinGain = 0.25;
// Age at which an answer counts as 1/e. Changes are followed within a second at 30 answers a
// second, and at a few answers a second enough of them are left to compare.
constexpr Duration kSampleLifetime = std::chrono::seconds(2);
constexpr double kMinSamples = 12;
// Variance of the concurrency below which nothing is learned about its effect.
constexpr double kMinLoadVariance = 0.05;
// Standard errors by which the slope has to be above zero: with one, a sixth of all evaluations
// would see a slope in noise.
constexpr double kSlopeErrors = 2;
// An answer counts as at most 3 and at least 1/3 of the usual time, so that an outlier moves
// little.
constexpr double kMaxRatio = 3;
constexpr Duration kInterval = std::chrono::milliseconds(200);
constexpr double kDecrease = 0.8;
constexpr double kIncrease = 1;  // slots per interval
constexpr double kMinPace = 0.1;
constexpr double kMaxPace = 20;
// The newest report has a weight of 1/4: the figure changes many times a second.
constexpr double kPaceWeight = 0.25;

}  // namespace

void ConcurrencyLimit::Sums::Scale(double factor) {
  weight *= factor;
  load *= factor;
  load_squared *= factor;
  time *= factor;
  time_squared *= factor;
  product *= factor;
}

void ConcurrencyLimit::Reset(TimePoint now) {
  *this = ConcurrencyLimit();
  sums_at_ = now;
  changed_at_ = now;
}

void ConcurrencyLimit::Answered(TimePoint now, size_t slots, Duration objective,
                                Duration service_time, double concurrency) {
  const auto taken = static_cast<double>(std::max(service_time, Duration(1)).count());
  recent_.Add(objective, Duration(static_cast<Duration::rep>(taken / pace_) + 1));
  usual_.Add(objective, Duration(static_cast<Duration::rep>(taken)));
  const auto usual = static_cast<double>(std::max(usual_.Of(objective), Duration(1)).count());
  const double ratio = std::clamp(taken / usual, 1 / kMaxRatio, kMaxRatio);
  const double age = std::chrono::duration<double>(now - sums_at_).count();
  sums_.Scale(std::exp(-age / std::chrono::duration<double>(kSampleLifetime).count()));
  sums_at_ = now;
  sums_.weight += 1;
  sums_.load += concurrency;
  sums_.load_squared += concurrency * concurrency;
  sums_.time += ratio;
  sums_.time_squared += ratio * ratio;
  sums_.product += ratio * concurrency;
  if (!Due(now)) {
    return;
  }
  const double knee = Knee();
  if (knee < Current(now, slots)) {
    Decrease(now, slots, knee);
  } else {
    limit_ = std::min(Current(now, slots) + kIncrease, static_cast<double>(slots));
    changed_at_ = now;
  }
}

void ConcurrencyLimit::Refused(TimePoint now, size_t slots) {
  if (Due(now)) {
    Decrease(now, slots, 1);
  }
}

void ConcurrencyLimit::Reported(TimePoint now, size_t slots, const LoadField& load) {
  if (load.pace) {
    const double pace = std::clamp(static_cast<double>(*load.pace) / 100, kMinPace, kMaxPace);
    pace_ += kPaceWeight * (pace - pace_);
  }
  // Requests that wait inside the target hold slots without being served.
  if (load.waiting > 0 && Due(now)) {
    Decrease(now, slots, static_cast<double>(load.running));
  }
}

size_t ConcurrencyLimit::limit(TimePoint now, size_t slots) const {
  return std::max<size_t>(static_cast<size_t>(Current(now, slots)), 1);
}

Duration ConcurrencyLimit::ServiceTime(Duration objective) const {
  return Duration(
      static_cast<Duration::rep>(static_cast<double>(recent_.Of(objective).count()) * pace_));
}

// The number of slots at which one more gains little; infinite if the service time is not seen to
// grow with the load.
double ConcurrencyLimit::Knee() const {
  constexpr double kNone = std::numeric_limits<double>::infinity();
  if (sums_.weight < kMinSamples) {
    return kNone;
  }
  const double mean_load = sums_.load / sums_.weight;
  const double mean_time = sums_.time / sums_.weight;
  const double load_variance = sums_.load_squared / sums_.weight - mean_load * mean_load;
  if (load_variance < kMinLoadVariance) {
    return kNone;
  }
  const double slope = (sums_.product / sums_.weight - mean_load * mean_time) / load_variance;
  const double time_variance = sums_.time_squared / sums_.weight - mean_time * mean_time;
  const double unexplained = std::max(time_variance - slope * slope * load_variance, 0.0);
  const double error = std::sqrt(unexplained / (sums_.weight * load_variance));
  const double certain_slope = slope - kSlopeErrors * error;
  if (certain_slope <= 0) {
    return kNone;
  }
  // a / (a + b n) = kMinGain, solved for n.
  const double at_zero = std::max(mean_time - certain_slope * mean_load, 0.0);
  return std::max((1 / kMinGain - 1) * at_zero / certain_slope, 1.0);
}

// Grows by kIncrease per interval also while nothing is answered: a target without requests would
// otherwise keep the limit of its last spell.
double ConcurrencyLimit::Current(TimePoint now, size_t slots) const {
  const auto most = static_cast<double>(std::max<size_t>(slots, 1));
  if (!limit_) {
    return most;
  }
  const double idle = std::max(
      std::chrono::duration<double>(now - changed_at_) / std::chrono::duration<double>(kInterval) -
          1,
      0.0);
  return std::clamp(*limit_ + kIncrease * idle, 1.0, most);
}

void ConcurrencyLimit::Decrease(TimePoint now, size_t slots, double least) {
  const double current = Current(now, slots);
  limit_ = std::max({std::min(least, current), current * kDecrease, 1.0});
  changed_at_ = now;
}

bool ConcurrencyLimit::Due(TimePoint now) const { return now - changed_at_ >= kInterval; }

}  // namespace endivecleat
