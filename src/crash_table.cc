// The table hash is the XOR of the hashes of its reports, so that it can be updated incrementally.
#include "crash_table.h"

#include <xxhash.h>

#include <string>

namespace endivecleat {
namespace {

uint64_t HashOf(const MemberCrashReport& report) {
  const uint64_t at = report.reported_at.value();
  return XXH3_64bits_withSeed(&at, sizeof(at), SubjectOf(report));
}

}  // namespace

uint64_t SubjectOf(const MemberCrashReport& report) {
  const std::string& reporter = report.reporter.value();
  return XXH3_64bits_withSeed(reporter.data(), reporter.size(), report.fingerprint);
}

bool CrashTable::Merge(TimePoint now, const MemberCrashReport& report) {
  const auto key = std::pair(report.reporter, report.fingerprint);
  const auto held = held_.find(key);
  if (report.age >= lifetime_) {
    return false;
  }
  if (held != held_.end()) {
    if (report.reported_at <= held->second.report.reported_at) {
      return false;
    }
    hash_ ^= HashOf(held->second.report);
  }
  held_[key] = {report, now - report.age};
  hash_ ^= HashOf(report);
  return true;
}

MemberCrashReport CrashTable::MakeOwn(const InstanceId& self, uint64_t fingerprint, uint32_t count,
                                      WallTime at) const {
  const auto held = held_.find({self, fingerprint});
  if (held != held_.end() && held->second.report.reported_at >= at) {
    at = held->second.report.reported_at.next();
  }
  return {self, fingerprint, count, at, Duration{}};
}

void CrashTable::Expire(TimePoint now) {
  for (auto it = held_.begin(); it != held_.end();) {
    if (now - it->second.known_since < lifetime_) {
      ++it;
      continue;
    }
    hash_ ^= HashOf(it->second.report);
    it = held_.erase(it);
  }
}

std::vector<MemberCrashReport> CrashTable::reports(TimePoint now) const {
  std::vector<MemberCrashReport> all;
  for (const auto& [key, held] : held_) {
    all.push_back(held.report);
    all.back().age = now - held.known_since;
  }
  return all;
}

}  // namespace endivecleat
