// The metrics of a process, kept in a prometheus-cpp registry and served in text format at
// /metrics. Metric names carry their unit, as the Prometheus naming conventions require.
#ifndef ENDIVECLEAT_METRICS_H_
#define ENDIVECLEAT_METRICS_H_

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <functional>
#include <map>
#include <string>
#include <utility>

namespace endivecleat {

/// Creates metrics on first use and renders them.
class Metrics {
 public:
  using Labels = std::map<std::string, std::string>;

  /// Each of these returns the metric with this name and these labels and creates it on the first
  /// call. The reference stays valid as long as this object.
  prometheus::Counter& Counter(const std::string& name, const std::string& help,
                               const Labels& labels = {});
  prometheus::Gauge& Gauge(const std::string& name, const std::string& help,
                           const Labels& labels = {});
  /// A histogram of durations in seconds, with buckets from 100 microseconds to 10 seconds.
  prometheus::Histogram& DurationHistogram(const std::string& name, const std::string& help,
                                           const Labels& labels = {});

  /// Sets a callback that runs at the start of each Serialize(). It sets the gauges that are not
  /// updated as their values change.
  void SetCollectCallback(std::function<void()> collect) { collect_ = std::move(collect); }

  /// Renders all metrics in the Prometheus text exposition format.
  std::string Serialize() const;

 private:
  std::function<void()> collect_;
  prometheus::Registry registry_;
  // By metric name, because prometheus-cpp rejects a second registration of the same family.
  std::map<std::string, prometheus::Family<prometheus::Counter>*> counters_;
  std::map<std::string, prometheus::Family<prometheus::Gauge>*> gauges_;
  std::map<std::string, prometheus::Family<prometheus::Histogram>*> histograms_;
};

}  // namespace endivecleat

#endif  // ENDIVECLEAT_METRICS_H_
