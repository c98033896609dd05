// Per-service summaries of the ready targets of a data centre. Control instances exchange whole
// summaries across data centres; inside a data centre, Membership spreads the summaries of the
// other data centres by gossip, one entry per service.
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
  std::vector<Address> daemons;  // at most 4, in order of instance id

  bool operator==(const ServiceSummary&) const = default;
};

struct DataCentreSummary {
  DataCentreId data_centre;
  RegionId region;
  WallTime made_at;  // the summary with the latest time replaces the earlier ones
  std::vector<ServiceSummary> services;

  bool operator==(const DataCentreSummary&) const = default;
};

/// Aggregates the ready members by service, in order of service name.
std::vector<ServiceSummary> SummariseServices(const std::vector<MemberRecord>& members);

/// True when a change is worth sending: a different set of services, number of ready targets or
/// list of daemons, or free slots that changed by more than a quarter. Load changes all the time,
/// so without this threshold every interval would send an update.
bool DiffersSignificantly(const ServiceSummary& before, const ServiceSummary& after);
bool DiffersSignificantly(const DataCentreSummary& before, const DataCentreSummary& after);

std::string EncodeSummary(const DataCentreSummary& summary);
std::optional<DataCentreSummary> DecodeSummary(std::string_view bytes);

/// The gossip item for one service of another data centre.
struct SummaryEntry {
  DataCentreId data_centre;
  RegionId region;
  WallTime made_at;
  Duration age{};  // since the last renewal; keeps the expiry time when members forward the entry
  ServiceSummary service;
};

/// The gossip item that extends the lifetime of all entries of a data centre.
struct SummaryRenewal {
  DataCentreId data_centre;
  WallTime made_at;
  Duration age{};
};

nlohmann::json ToCbor(const SummaryEntry& entry);
nlohmann::json ToCbor(const SummaryRenewal& renewal);
SummaryEntry ReadSummaryEntry(CborReader* fields);
SummaryRenewal ReadSummaryRenewal(CborReader* fields);

/// Decides when a control instance sends its summary to the other data centres: every 10 s, or
/// after 2 s if it changed significantly.
class SummarySchedule {
 public:
  /// Returns whether the summary has to be sent now and, if so, records it as sent.
  bool MarkSentIfDue(TimePoint now, const DataCentreSummary& summary);

 private:
  std::optional<DataCentreSummary> sent_;
  TimePoint sent_at_;
};

/// The summaries of the other data centres that a member stores.
class SummaryTable {
 public:
  /// Each returns whether the item changed the table and has to be forwarded by gossip.
  bool Merge(TimePoint now, const SummaryEntry& entry);
  bool Renew(TimePoint now, const SummaryRenewal& renewal);

  /// Removes the data centres that were not renewed within 30 s.
  void Expire(TimePoint now);

  std::vector<DataCentreSummary> summaries() const;
  /// Every stored entry with its age, including services without ready targets.
  std::vector<SummaryEntry> entries(TimePoint now) const;
  /// A hash of the set of entries; tables with the same entries have the same hash.
  uint64_t hash() const { return hash_; }

 private:
  struct StoredDataCentre {
    RegionId region;
    WallTime newest_made_at;  // made_at of the newest entry or renewal
    TimePoint renewed_at;
    std::map<ServiceName, SummaryEntry> services;
  };
  std::map<DataCentreId, StoredDataCentre> data_centres_;
  uint64_t hash_ = 0;
};

/// The gossip queue key of an entry or, with an empty service, of a renewal.
uint64_t GossipKeyOf(const DataCentreId& data_centre, const ServiceName& service);

}  // namespace endivecleat

#endif  // ENDIVECLEAT_DATA_CENTRE_SUMMARY_H_
