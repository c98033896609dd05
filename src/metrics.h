// The metrics of a process, in prometheus-cpp's registry and written by its text serializer for
// /metrics. Names carry their unit, as the Prometheus naming rules ask.
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

class Metrics {
 public:
  using Labels = std::map<std::string, std::string>;

  /// The counter of this name and these labels, made at the first call. The reference stays valid.
  prometheus::Counter& Counter(const std::string& name, const std::string& help,
                               const Labels& labels = {});
  prometheus::Gauge& Gauge(const std::string& name, const std::string& help,
                           const Labels& labels = {});
  /// A histogram of seconds with buckets from 100 microseconds to 10 seconds.
  prometheus::Histogram& Seconds(const std::string& name, const std::string& help,
                                 const Labels& labels = {});

  /// Runs before each Text, to set the gauges that nobody updates as they change.
  void SetCollector(std::function<void()> collect) { collect_ = std::move(collect); }

  /// All metrics in the text format of Prometheus.
  std::string Text() const;

 private:
  std::function<void()> collect_;
  prometheus::Registry registry_;
  // prometheus-cpp refuses to build one family twice, so families are kept by name.
  std::map<std::string, prometheus::Family<prometheus::Counter>*> counters_;
  std::map<std::string, prometheus::Family<prometheus::Gauge>*> gauges_;
  std::map<std::string, prometheus::Family<prometheus::Histogram>*> histograms_;
};

}  // namespace endivecleat

#endif  // ENDIVECLEAT_METRICS_H_
