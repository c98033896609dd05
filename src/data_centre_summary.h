// What one data centre tells the others about its targets. The control instances exchange
// summaries; inside a data centre the entries of the others spread by gossip, one service at a
// time.
#ifndef ENDIVECLEAT_DATA_CENTRE_SUMMARY_H_
#define ENDIVECLEAT_DATA_CENTRE_SUMMARY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "member_record.h"
#include "units.h"

namespace endivecleat {

struct ServiceSummary {
  ServiceName service;
  uint32_t ready_targets = 0;
  uint32_t free_slots = 0;
  std::vector<Address> daemons;  // at most 4, in order of free slots

  bool operator==(const ServiceSummary&) const = default;
};

struct DataCentreSummary {
  DataCentreId data_centre;
  RegionId region;
  WallTime made_at;  // of two summaries of a data centre the later is valid
  std::vector<ServiceSummary> services;

  bool operator==(const DataCentreSummary&) const = default;
};

/// The service entries over the ready members, in order of service name.
std::vector<ServiceSummary> SummariseServices(const std::vector<MemberRecord>& members);

/// True when a change is worth sending: another set of services, ready targets or daemons, or free
/// slots that moved by more than a quarter. Smaller movements of load would fill every interval.
bool DiffersNotably(const ServiceSummary& before, const ServiceSummary& after);
bool DiffersNotably(const DataCentreSummary& before, const DataCentreSummary& after);

std::string EncodeSummary(const DataCentreSummary& summary);
std::optional<DataCentreSummary> DecodeSummary(std::string_view bytes);

/// One service entry of another data centre, as it spreads by gossip.
struct SummaryEntry {
  DataCentreId data_centre;
  RegionId region;
  WallTime made_at;
  Duration age{};  // since the last renewal, so that entries passed between members still expire
  ServiceSummary service;
};

/// Says that the entries of a data centre are still valid.
struct SummaryRenewal {
  DataCentreId data_centre;
  WallTime made_at;
  Duration age{};
};

nlohmann::json ToCbor(const SummaryEntry& entry);
nlohmann::json ToCbor(const SummaryRenewal& renewal);
SummaryEntry ReadSummaryEntry(CborReader* fields);
SummaryRenewal ReadSummaryRenewal(CborReader* fields);

/// Decides when a control instance sends its summary to the other data centres.
class SummarySchedule {
 public:
  /// True when the summary is to be sent now; then it counts as sent.
  bool Due(TimePoint now, const DataCentreSummary& summary);

 private:
  std::optional<DataCentreSummary> sent_;
  TimePoint sent_at_;
};

/// The summaries of the other data centres that a member holds.
class SummaryTable {
 public:
  /// Each returns whether the news is to be spread further.
  bool Merge(TimePoint now, const SummaryEntry& entry);
  bool Renew(TimePoint now, const SummaryRenewal& renewal);

  /// Removes data centres that were not renewed for 30 s.
  void Expire(TimePoint now);

  std::vector<DataCentreSummary> summaries() const;
  /// Every held entry, also those of services without ready targets, with its age.
  std::vector<SummaryEntry> entries(TimePoint now) const;
  /// Equal for equal sets of entries.
  uint64_t hash() const { return hash_; }

 private:
  struct Held {
    RegionId region;
    WallTime renewed_by;  // made_at of the newest news
    TimePoint renewed_at;
    std::map<ServiceName, SummaryEntry> services;
  };
  std::map<DataCentreId, Held> held_;
  uint64_t hash_ = 0;
};

/// A hash that identifies the subject of an entry; with an empty service, that of a renewal.
uint64_t SubjectOf(const DataCentreId& data_centre, const ServiceName& service);

}  // namespace endivecleat

#endif  // ENDIVECLEAT_DATA_CENTRE_SUMMARY_H_
