// Stores the totals last sent and last reported, so that only changes are passed on.
#include "crash_relay.h"

#include <algorithm>

#include "byte_codec.h"

namespace endivecleat {
namespace {

constexpr uint64_t kMaxCrashes = 1000;

// Crashes reported after the newest success, by fingerprint. Crashes of the reporters in
// `excluded_reporters` are not counted, but their successes are.
std::map<uint64_t, uint32_t> SumByFingerprint(const std::vector<MemberCrashReport>& reports,
                                              const std::set<InstanceId>& excluded_reporters) {
  std::map<uint64_t, WallTime> success;
  for (const MemberCrashReport& report : reports) {
    if (report.count == 0) {
      success[report.fingerprint] = std::max(success[report.fingerprint], report.reported_at);
    }
  }
  std::map<uint64_t, uint32_t> totals;
  for (const MemberCrashReport& report : reports) {
    if (excluded_reporters.contains(report.reporter)) {
      continue;
    }
    const bool counts = report.reported_at > success[report.fingerprint];
    totals[report.fingerprint] += counts ? report.count : 0;
  }
  return totals;
}

}  // namespace

std::string EncodeCrashTotals(const std::vector<CrashTotal>& totals) {
  ByteWriter writer;
  writer.WriteVarint(totals.size());
  for (const CrashTotal& total : totals) {
    writer.WriteVarint(total.fingerprint);
    writer.WriteVarint(total.crashes);
  }
  return writer.Take();
}

std::vector<CrashTotal> DecodeCrashTotals(std::string_view bytes) {
  ByteReader reader(bytes);
  std::vector<CrashTotal> totals(reader.ReadCount());
  for (CrashTotal& total : totals) {
    total.fingerprint = reader.ReadVarint();
    total.crashes = static_cast<uint32_t>(reader.ReadVarintUpTo(kMaxCrashes));
  }
  reader.ExpectEnd();
  return totals;
}

std::vector<CrashTotal> CrashRelay::TakeChangedTotals(
    const std::vector<MemberCrashReport>& reports) {
  std::vector<CrashTotal> changes;
  std::map<uint64_t, uint32_t> totals = SumByFingerprint(reports, control_instances_);
  for (const auto& [fingerprint, crashes] : totals) {
    const auto known = sent_totals_.find(fingerprint);
    if (known == sent_totals_.end() ? crashes > 0 : known->second != crashes) {
      changes.push_back({fingerprint, crashes});
    }
  }
  sent_totals_ = std::move(totals);
  return changes;
}

std::vector<CrashTotal> CrashRelay::Merge(const DataCentreId& from,
                                          const std::vector<CrashTotal>& totals) {
  std::vector<CrashTotal> changes;
  for (const CrashTotal& total : totals) {
    received_totals_[{total.fingerprint, from}] = total.crashes;
    const uint32_t sum = ReceivedTotal(total.fingerprint);
    const auto known = reported_totals_.find(total.fingerprint);
    if (known == reported_totals_.end() || known->second != sum) {
      reported_totals_[total.fingerprint] = sum;
      changes.push_back({total.fingerprint, sum});
    }
  }
  return changes;
}

uint32_t CrashRelay::ReceivedTotal(uint64_t fingerprint) const {
  uint32_t sum = 0;
  for (auto it = received_totals_.lower_bound({fingerprint, DataCentreId()});
       it != received_totals_.end() && it->first.first == fingerprint; ++it) {
    sum += it->second;
  }
  return sum;
}

}  // namespace endivecleat
