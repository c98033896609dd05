// Records are kept per fingerprint and reporting instance. The verdict counts crashes over all
// instances that are newer than the newest success on any of them.
#include "crash_guard.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <string>

#include "route_table.h"

namespace endivecleat {
namespace {

constexpr uint64_t kBlockPeriodMs = 10ULL * 60 * 1000;
constexpr size_t kCrashThreshold = 2;
constexpr size_t kDigits = 16;  // of a 64-bit number

bool Expired(WallTime now, WallTime crash) { return crash.value() + kBlockPeriodMs <= now.value(); }

// The length prefix distinguishes ("a", "bc") from ("ab", "c").
void AppendField(std::string& text, std::string_view field) {
  text += std::to_string(field.size());
  text += ':';
  text += field;
}

std::string HexDigits(uint64_t number) {
  std::array<char, kDigits + 1> hex{};
  std::snprintf(hex.data(), hex.size(), "%016llx",
                static_cast<unsigned long long>(number));  // NOLINT(google-runtime-int)
  return hex.data();
}

}  // namespace

std::string RequestDigest(std::string_view method, std::string_view path, std::string_view body) {
  std::string text;
  AppendField(text, method);
  AppendField(text, path);
  AppendField(text, body);
  const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
  return HexDigits(hash.high64) + HexDigits(hash.low64);
}

// A 64-bit hash, since gossip carries fingerprints as numbers.
Fingerprint FingerprintOf(const ServiceName& service, const CallHeaders& names,
                          const HttpRequest& request) {
  std::string text;
  AppendField(text, service.value());
  AppendField(text, request.method);
  AppendField(text, NormalizedHost(request.headers.ValueOr("host", "")));
  AppendField(text, request.path);
  AppendField(text, request.query);
  AppendField(
      text, names.origin_service.empty() ? "" : request.headers.ValueOr(names.origin_service, ""));
  AppendField(text, request.body);
  return FingerprintOfNumber(XXH3_64bits(text.data(), text.size()));
}

uint64_t FingerprintNumber(const Fingerprint& fingerprint) {
  uint64_t number = 0;
  const std::string& text = fingerprint.value();
  std::from_chars(text.data(), text.data() + text.size(), number, 16);
  return number;
}

Fingerprint FingerprintOfNumber(uint64_t number) { return Fingerprint(HexDigits(number)); }

CrashVerdict CrashGuard::Check(WallTime now, const Fingerprint& fingerprint) const {
  return crashes(now, fingerprint) >= kCrashThreshold ? CrashVerdict::kStop : CrashVerdict::kRun;
}

size_t CrashGuard::crashes(WallTime now, const Fingerprint& fingerprint) const {
  const auto found = records_.find(fingerprint);
  if (found == records_.end()) {
    return 0;
  }
  const WallTime success = LastSuccess(fingerprint);
  size_t count = 0;
  for (const auto& [instance, record] : found->second) {
    count += static_cast<size_t>(
        std::count_if(record.crashes.begin(), record.crashes.end(),
                      [&](WallTime crash) { return crash > success && !Expired(now, crash); }));
  }
  return count;
}

void CrashGuard::RecordEnding(WallTime now, const Fingerprint& fingerprint, CallEnding ending,
                              uint64_t death) {
  if (ending == CallEnding::kAnswered && HasRecord(fingerprint)) {
    records_[fingerprint][self_].last_success = now;
  }
  if (ending != CallEnding::kTargetDied) {
    return;
  }
  Record& record = records_[fingerprint][self_];
  if (!record.crashes.empty() && record.last_death == death) {
    return;
  }
  record.last_death = death;
  record.crashes.push_back(now);
  if (record.crashes.size() > kCrashThreshold) {
    record.crashes.erase(record.crashes.begin());
  }
}

std::vector<CrashReport> CrashGuard::OwnReports() const {
  std::vector<CrashReport> reports;
  for (const auto& [fingerprint, members] : records_) {
    const auto own = members.find(self_);
    if (own != members.end()) {
      reports.push_back({fingerprint, own->second.crashes, own->second.last_success});
    }
  }
  return reports;
}

void CrashGuard::Merge(const InstanceId& from, const std::vector<CrashReport>& reports) {
  if (from == self_) {
    return;
  }
  for (auto& [fingerprint, members] : records_) {
    members.erase(from);
  }
  for (const CrashReport& report : reports) {
    records_[report.fingerprint][from] = {report.crashes, report.last_success, 0};
  }
  std::erase_if(records_, [](const auto& entry) { return entry.second.empty(); });
}

void CrashGuard::Tick(WallTime now) {
  for (auto& [fingerprint, members] : records_) {
    std::erase_if(members, [&](const auto& entry) {
      const Record& record = entry.second;
      const bool crashed_recently = !record.crashes.empty() && !Expired(now, record.crashes.back());
      return !crashed_recently && Expired(now, record.last_success);
    });
  }
  std::erase_if(records_, [](const auto& entry) { return entry.second.empty(); });
}

WallTime CrashGuard::LastSuccess(const Fingerprint& fingerprint) const {
  WallTime newest;
  for (const auto& [instance, record] : records_.at(fingerprint)) {
    newest = std::max(newest, record.last_success);
  }
  return newest;
}

bool CrashGuard::HasRecord(const Fingerprint& fingerprint) const {
  return records_.contains(fingerprint);
}

}  // namespace endivecleat
