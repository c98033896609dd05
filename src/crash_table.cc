// The table hash is the XOR of the hashes of its reports, so that it can be updated incrementally.
#include "crash_table.h"

#include <xxhash.h>

#include <string>

namespace endivecleat {
namespace {

uint64_t ReportHash(const MemberCrashReport& report) {
  const uint64_t at = report.reported_at.value();
  return XXH3_64bits_withSeed(&at, sizeof(at), GossipKeyOf(report));
}

}  // namespace

uint64_t GossipKeyOf(const MemberCrashReport& report) {
  const std::string& reporter = report.reporter.value();
  return XXH3_64bits_withSeed(reporter.data(), reporter.size(), report.fingerprint);
}

bool CrashTable::Merge(TimePoint now, const MemberCrashReport& report) {
  const auto key = std::pair(report.reporter, report.fingerprint);
  const auto stored = reports_.find(key);
  if (report.age >= lifetime_) {
    return false;
  }
  if (stored != reports_.end()) {
    if (report.reported_at <= stored->second.report.reported_at) {
      return false;
    }
    hash_ ^= ReportHash(stored->second.report);
  }
  reports_[key] = {report, now - report.age};
  hash_ ^= ReportHash(report);
  return true;
}

MemberCrashReport CrashTable::MakeOwnReport(const InstanceId& self, uint64_t fingerprint,
                                            uint32_t count, WallTime at) const {
  const auto stored = reports_.find({self, fingerprint});
  if (stored != reports_.end() && stored->second.report.reported_at >= at) {
    at = stored->second.report.reported_at.next();
  }
  return {self, fingerprint, count, at, Duration{}};
}

void CrashTable::Expire(TimePoint now) {
  for (auto it = reports_.begin(); it != reports_.end();) {
    if (now - it->second.created_at < lifetime_) {
      ++it;
      continue;
    }
    hash_ ^= ReportHash(it->second.report);
    it = reports_.erase(it);
  }
}

std::vector<MemberCrashReport> CrashTable::reports(TimePoint now) const {
  std::vector<MemberCrashReport> all;
  for (const auto& [key, stored] : reports_) {
    all.push_back(stored.report);
    all.back().age = now - stored.created_at;
  }
  return all;
}

}  // namespace endivecleat
