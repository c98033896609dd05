// What the daemon beside a target counts of its responses while a rollout of the service is in
// progress, and the report of it to the control instances. The counts are cumulative, so that a
// report that is lost or repeated does no harm and a new leader learns all with the next one.
#ifndef ENDIVECLEAT_ROLLOUT_EVIDENCE_H_
#define ENDIVECLEAT_ROLLOUT_EVIDENCE_H_

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "rollout.h"
#include "units.h"

namespace endivecleat {

/// Four buckets for each doubling, from 4 ms to 4 s; the last one counts all longer times as well.
constexpr size_t kLatencyBuckets = 41;
size_t LatencyBucket(Duration taken);

struct RouteEvidence {
  uint64_t responses = 0;  // including failures
  uint64_t failures = 0;
  std::array<uint64_t, kLatencyBuckets> latencies = {};  // of the responses that are no failures

  void Add(const RouteEvidence& more);
  /// What was counted since `before`, or nullopt if `before` is not an earlier state of the same.
  std::optional<RouteEvidence> Since(const RouteEvidence& before) const;

  bool operator==(const RouteEvidence&) const = default;
};

struct RolloutReport {
  std::string run_id;  // of the counting; another one starts again from 0
  ServiceName service;
  WallTime start;  // of the rollout
  TargetVersion version;
  std::map<std::string, RouteEvidence> routes;

  bool operator==(const RolloutReport&) const = default;
};

std::string EncodeRolloutReport(const RolloutReport& report);
/// Returns nullopt if the bytes are malformed.
std::optional<RolloutReport> DecodeRolloutReport(std::string_view bytes);

/// Counts for one target.
class RolloutEvidence {
 public:
  static constexpr Duration kReportInterval = std::chrono::milliseconds(500);
  /// A target that has just started is about twice as slow for this time. Its latencies count half,
  /// so that a cold start is not taken for a slow version and a slow version still shows.
  static constexpr Duration kColdTime = std::chrono::milliseconds(3'500);
  /// Responses that break off together, as when a target dies, count once in this time; they tell
  /// of the target and not of its version.
  static constexpr Duration kBreakInterval = std::chrono::milliseconds(500);

  explicit RolloutEvidence(std::string run_id) : run_id_(std::move(run_id)) {}

  /// Must be called before each of the others, with the rollout in the configuration in force (null
  /// if there is none) and the local target. Starts again from 0 when one of them is another.
  void Update(TimePoint now, const ServiceName& service, const Rollout* rollout,
              const TargetId& target, const TargetVersion& version);
  /// Whether responses are counted.
  bool active() const { return active_; }
  void AddResponse(TimePoint now, const std::string& route, Duration taken, bool failed);
  void AddBrokenOff(TimePoint now, const std::string& route);
  /// The report that is due, or nullopt.
  std::optional<RolloutReport> TakeReport(TimePoint now);

 private:
  RouteEvidence* FindOrAdd(const std::string& route);

  std::string run_id_;
  uint64_t runs_ = 0;
  bool active_ = false;
  RolloutReport report_;
  TargetId target_;
  TimePoint target_since_{};
  std::optional<TimePoint> broken_off_at_;
  TimePoint next_report_{};
};

}  // namespace endivecleat

#endif  // ENDIVECLEAT_ROLLOUT_EVIDENCE_H_
