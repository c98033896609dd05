// Looks up or registers the metric family of a name, then adds the metric with the given labels.
#include "metrics.h"

#include <prometheus/text_serializer.h>

#include <sstream>

namespace endivecleat {
namespace {

template <class Builder, class Family>
Family& FindOrRegisterFamily(std::map<std::string, Family*>& families,
                             prometheus::Registry& registry, Builder builder,
                             const std::string& name, const std::string& help) {
  Family*& family = families[name];
  if (family == nullptr) {
    family = &builder.Name(name).Help(help).Register(registry);
  }
  return *family;
}

prometheus::Histogram::BucketBoundaries LatencyBuckets() {
  return {0.0001, 0.00025, 0.0005, 0.001, 0.0015, 0.0025, 0.005, 0.01, 0.025,
          0.05,   0.1,     0.25,   0.5,   1.0,    2.5,    5.0,   10.0};
}

}  // namespace

prometheus::Counter& Metrics::Counter(const std::string& name, const std::string& help,
                                      const Labels& labels) {
  return FindOrRegisterFamily(counters_, registry_, prometheus::BuildCounter(), name, help)
      .Add(labels);
}

prometheus::Gauge& Metrics::Gauge(const std::string& name, const std::string& help,
                                  const Labels& labels) {
  return FindOrRegisterFamily(gauges_, registry_, prometheus::BuildGauge(), name, help).Add(labels);
}

prometheus::Histogram& Metrics::DurationHistogram(const std::string& name, const std::string& help,
                                                  const Labels& labels) {
  return FindOrRegisterFamily(histograms_, registry_, prometheus::BuildHistogram(), name, help)
      .Add(labels, LatencyBuckets());
}

std::string Metrics::Serialize() const {
  if (collect_) {
    collect_();
  }
  std::ostringstream out;
  prometheus::TextSerializer().Serialize(out, registry_.Collect());
  return out.str();
}

}  // namespace endivecleat
