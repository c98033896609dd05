// A report is published when its crash count changes, or at most once a second for a new success.
// Reports of this instance from before a restart are merged under a separate instance id.
#include "crash_report_exchange.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace endivecleat {
namespace {

// Limits the reports of successes: a popular request may succeed thousands of times a second.
constexpr uint64_t kSuccessIntervalMs = 1000;
constexpr uint32_t kMaxCrashes = 2;  // the guard keeps at most two per reporter

uint32_t CrashesSinceSuccess(const CrashReport& report) {
  return static_cast<uint32_t>(
      std::count_if(report.crashes.begin(), report.crashes.end(),
                    [&](WallTime crash) { return crash > report.last_success; }));
}

}  // namespace

void CrashReportExchange::Publish(TimePoint now, const CrashGuard& guard, Membership& membership) {
  std::map<Fingerprint, Published> current;
  for (const CrashReport& report : guard.OwnReports()) {
    const uint32_t crashes = CrashesSinceSuccess(report);
    const auto known = published_.find(report.fingerprint);
    const bool same_count = known != published_.end() && known->second.crashes == crashes;
    const bool recent_success =
        known != published_.end() &&
        report.last_success.value() < known->second.last_success.value() + kSuccessIntervalMs;
    if (same_count && recent_success) {
      current[report.fingerprint] = known->second;
      continue;
    }
    current[report.fingerprint] = {crashes, report.last_success};
    membership.ReportCrash(now, FingerprintNumber(report.fingerprint), crashes);
  }
  published_ = std::move(current);
}

void CrashReportExchange::Collect(const Membership& membership, CrashGuard& guard) {
  std::map<InstanceId, std::vector<CrashReport>> by_reporter;
  const InstanceId before_restart(self_.value() + " before its restart");
  for (const MemberCrashReport& gossiped : membership.crash_reports()) {
    const Fingerprint fingerprint = FingerprintOfNumber(gossiped.fingerprint);
    if (gossiped.reporter == self_ && published_.contains(fingerprint)) {
      continue;
    }
    CrashReport report;
    report.fingerprint = fingerprint;
    report.crashes.assign(std::min(gossiped.count, kMaxCrashes), gossiped.reported_at);
    report.last_success = gossiped.count == 0 ? gossiped.reported_at : WallTime();
    by_reporter[gossiped.reporter == self_ ? before_restart : gossiped.reporter].push_back(report);
  }
  for (const auto& [reporter, reports] : by_reporter) {
    guard.Merge(reporter, reports);
  }
}

}  // namespace endivecleat
