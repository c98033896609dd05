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

// Low, so that a target whose throughput still grows with its load keeps its slots: with 1/3, one
// of two cores lost a tenth of its throughput.
constexpr double kMinGain = 0.25;
// The limit falls only while it is in use to this degree; otherwise it would follow a slow spell of
// the past down to the few requests of the present.
constexpr double kInUse = 0.75;
// Age at which an answer counts as 1/e. With 2 s, a target was limited for two seconds after a slow
// spell of one second, because answers of the spell, at a high load, were compared with those
// after.
constexpr Duration kSampleLifetime = std::chrono::seconds(1);
constexpr double kMinSamples = 6;
// Variance of the concurrency below which recent answers alone do not show its effect.
constexpr double kMinLoadVariance = 0.5;
// Answers that the time of a route at a low load is averaged over.
constexpr uint64_t kLowLoadAnswers = 64;
constexpr size_t kMaxObjectives = 32;
// Error of a comparison with earlier answers, as a fraction: the target may have changed since.
constexpr double kStaleError = 0.15;
constexpr double kLeastError = 0.005;
// Standard errors by which the slope has to be above zero. With two, targets that are all alike
// lost 0.0007 of the requests in time at 90% of their capacity.
constexpr double kSlopeErrors = 3;
// An answer counts as at most 8 times the usual time, so that an outlier moves little.
constexpr double kMaxRatio = 8;
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
  low_load *= factor;
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
  if (concurrency <= std::max(static_cast<double>(slots) / 2, 1.0)) {
    AddAtLowLoad(objective, taken, concurrency);
  }
  const auto found = low_load_.find(objective);
  if (found != low_load_.end()) {
    AddRatio(now, std::min(taken / found->second.time, kMaxRatio), concurrency,
             found->second.concurrency);
  }
  if (!Due(now)) {
    return;
  }
  const double current = Current(now, slots);
  const double knee = Knee();
  if (knee >= current) {
    limit_ = std::min(current + kIncrease, static_cast<double>(slots));
    changed_at_ = now;
  } else if (concurrency >= kInUse * current) {
    Decrease(now, slots, knee);
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

void ConcurrencyLimit::AddAtLowLoad(Duration objective, double taken, double concurrency) {
  const auto found = low_load_.find(objective);
  if (found == low_load_.end() && low_load_.size() >= kMaxObjectives) {
    return;
  }
  LowLoad& low = found == low_load_.end() ? low_load_[objective] : found->second;
  low.answers = std::min(low.answers + 1, kLowLoadAnswers);
  const auto answers = static_cast<double>(low.answers);
  low.time += (taken - low.time) / answers;
  low.concurrency += (concurrency - low.concurrency) / answers;
}

void ConcurrencyLimit::AddRatio(TimePoint now, double ratio, double concurrency,
                                double low_concurrency) {
  const double age = std::chrono::duration<double>(now - sums_at_).count();
  sums_.Scale(std::exp(-age / std::chrono::duration<double>(kSampleLifetime).count()));
  sums_at_ = now;
  sums_.weight += 1;
  sums_.load += concurrency;
  sums_.load_squared += concurrency * concurrency;
  sums_.low_load += low_concurrency;
  sums_.time += ratio;
  sums_.time_squared += ratio * ratio;
  sums_.product += ratio * concurrency;
}

// The number of slots at which one more gains little; infinite if the service time is not seen to
// grow with the load. Recent answers often came at about the same load, so they are also compared
// with earlier ones at a low load.
double ConcurrencyLimit::Knee() const {
  constexpr double kNone = std::numeric_limits<double>::infinity();
  if (sums_.weight < kMinSamples) {
    return kNone;
  }
  const double mean_load = sums_.load / sums_.weight;
  const double mean_time = sums_.time / sums_.weight;
  const double time_variance = sums_.time_squared / sums_.weight - mean_time * mean_time;
  const double load_variance = sums_.load_squared / sums_.weight - mean_load * mean_load;
  // Both estimates of the slope, weighted by the inverse of their variances.
  double weights = 0;
  double weighted = 0;
  if (load_variance >= kMinLoadVariance) {
    const double slope = (sums_.product / sums_.weight - mean_load * mean_time) / load_variance;
    const double unexplained = std::max(time_variance - slope * slope * load_variance, 0.0);
    const double error = std::sqrt(unexplained / (sums_.weight * load_variance)) + kLeastError;
    weights += 1 / (error * error);
    weighted += slope / (error * error);
  }
  if (const double distance = mean_load - sums_.low_load / sums_.weight; distance >= 1) {
    const double slope = (mean_time - 1) / distance;
    const double error = std::sqrt(std::max(time_variance, 0.0) / sums_.weight) / distance +
                         kStaleError * std::abs(slope) + kLeastError;
    weights += 1 / (error * error);
    weighted += slope / (error * error);
  }
  if (weights == 0) {
    return kNone;
  }
  const double slope = weighted / weights;
  const double error = 1 / std::sqrt(weights);
  if (slope <= kSlopeErrors * error) {
    return kNone;
  }
  // a / (a + b n) = kMinGain, solved for n.
  const double at_zero = std::max(mean_time - slope * mean_load, 0.0);
  return std::max((1 / kMinGain - 1) * at_zero / slope, 1.0);
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
