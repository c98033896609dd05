// A report is a CBOR array; of each route it has only the latency buckets that are not empty.
#include "rollout_evidence.h"

#include <algorithm>
#include <cmath>

#include "cbor_reader.h"

namespace endivecleat {
namespace {

using Json = nlohmann::json;

constexpr Duration kFirstBucketEnd = std::chrono::milliseconds(4);
constexpr double kBucketsPerDoubling = 4;
constexpr int kColdSlowdown = 2;
constexpr size_t kMaxNameBytes = 128;
// A report of more routes would take too much of the control traffic; further ones are counted
// together.
constexpr size_t kMaxRoutes = 16;
constexpr char kOtherRoutes[] = "*";

Json ToCbor(const std::string& name, const RouteEvidence& route) {
  Json buckets = Json::array();
  for (size_t bucket = 0; bucket < kLatencyBuckets; ++bucket) {
    if (route.latencies.at(bucket) > 0) {
      buckets.push_back(bucket);
      buckets.push_back(route.latencies.at(bucket));
    }
  }
  return Json::array({name, route.responses, route.failures, std::move(buckets)});
}

RouteEvidence ReadRoute(CborReader& fields) {
  RouteEvidence route;
  route.responses = fields.Number();
  route.failures = fields.Number();
  CborReader buckets(fields.Array());
  while (!buckets.at_end()) {
    const uint64_t bucket = buckets.Number(kLatencyBuckets - 1);
    route.latencies.at(bucket) = buckets.Number();
  }
  return route;
}

}  // namespace

size_t LatencyBucket(Duration taken) {
  if (taken <= kFirstBucketEnd) {
    return 0;
  }
  const double ratio =
      static_cast<double>(taken.count()) / static_cast<double>(kFirstBucketEnd.count());
  const auto bucket = static_cast<size_t>(std::log2(ratio) * kBucketsPerDoubling);
  return std::min(bucket + 1, kLatencyBuckets - 1);
}

void RouteEvidence::Add(const RouteEvidence& more) {
  responses += more.responses;
  failures += more.failures;
  for (size_t bucket = 0; bucket < kLatencyBuckets; ++bucket) {
    latencies.at(bucket) += more.latencies.at(bucket);
  }
}

std::optional<RouteEvidence> RouteEvidence::Since(const RouteEvidence& before) const {
  if (before.responses > responses || before.failures > failures) {
    return std::nullopt;
  }
  RouteEvidence since;
  since.responses = responses - before.responses;
  since.failures = failures - before.failures;
  for (size_t bucket = 0; bucket < kLatencyBuckets; ++bucket) {
    if (before.latencies.at(bucket) > latencies.at(bucket)) {
      return std::nullopt;
    }
    since.latencies.at(bucket) = latencies.at(bucket) - before.latencies.at(bucket);
  }
  return since;
}

std::string EncodeRolloutReport(const RolloutReport& report) {
  Json routes = Json::array();
  for (const auto& [name, route] : report.routes) {
    routes.push_back(ToCbor(name, route));
  }
  std::string bytes;
  AppendCbor(Json::array({report.run_id, report.service.value(), report.start.value(),
                          report.version.value(), std::move(routes)}),
             &bytes);
  return bytes;
}

std::optional<RolloutReport> DecodeRolloutReport(std::string_view bytes) {
  const std::optional<Json> array = DecodeCborArray(bytes);
  if (!array) {
    return std::nullopt;
  }
  try {
    CborReader fields(*array);
    RolloutReport report;
    report.run_id = fields.Text(kMaxNameBytes);
    report.service = ServiceName(fields.Text(kMaxNameBytes));
    report.start = WallTime(fields.Number());
    report.version = TargetVersion(fields.Text(kMaxTargetVersionBytes));
    const Json& routes = fields.Array();
    if (routes.size() > kMaxRoutes + 1) {
      return std::nullopt;
    }
    for (const Json& each : routes) {
      CborReader route(each);
      const std::string name = route.Text(kMaxNameBytes);
      report.routes[name] = ReadRoute(route);
    }
    return report;
  } catch (const MalformedMessage&) {
    return std::nullopt;
  }
}

void RolloutEvidence::Update(TimePoint now, const ServiceName& service, const Rollout* rollout,
                             const TargetId& target, const TargetVersion& version) {
  if (target != target_) {
    target_ = target;
    target_since_ = now;
  }
  active_ = rollout != nullptr && rollout->state == RolloutState::kServing;
  const bool same = active_ && report_.service == service && report_.start == rollout->start &&
                    report_.version == version;
  if (active_ && !same) {
    report_ = {.run_id = run_id_ + "/" + std::to_string(++runs_),
               .service = service,
               .start = rollout->start,
               .version = version,
               .routes = {}};
  }
}

RouteEvidence* RolloutEvidence::FindOrAdd(const std::string& route) {
  const bool known = report_.routes.contains(route) || report_.routes.size() < kMaxRoutes;
  return &report_.routes[known && route.size() <= kMaxNameBytes ? route : kOtherRoutes];
}

void RolloutEvidence::AddResponse(TimePoint now, const std::string& route, Duration taken,
                                  bool failed) {
  if (!active_) {
    return;
  }
  RouteEvidence* evidence = FindOrAdd(route);
  ++evidence->responses;
  if (failed) {
    ++evidence->failures;
    return;
  }
  const bool cold = now - target_since_ < kColdTime;
  ++evidence->latencies.at(LatencyBucket(cold ? taken / kColdSlowdown : taken));
}

void RolloutEvidence::AddBrokenOff(TimePoint now, const std::string& route) {
  if (active_ && (!broken_off_at_ || now - *broken_off_at_ >= kBreakInterval)) {
    broken_off_at_ = now;
    AddResponse(now, route, Duration{}, true);
  }
}

std::optional<RolloutReport> RolloutEvidence::TakeReport(TimePoint now) {
  if (!active_ || now < next_report_) {
    return std::nullopt;
  }
  next_report_ = now + kReportInterval;
  return report_;
}

}  // namespace endivecleat
