// Aggregation, CBOR encoding, send schedule and table of the summaries. The hash of the table is
// the XOR of the hashes of its entries, so that it is updated incrementally and ignores their
// order.
#include "data_centre_summary.h"

#include <xxhash.h>

#include <algorithm>
#include <limits>

namespace endivecleat {
namespace {

using Json = nlohmann::json;

constexpr size_t kMaxNameBytes = 64;
constexpr size_t kMaxDaemons = 4;
constexpr size_t kMaxServices = 4096;
constexpr uint64_t kMaxUint32 = std::numeric_limits<uint32_t>::max();
constexpr Duration kMinSendInterval = std::chrono::seconds(2);
constexpr Duration kMaxSendInterval = std::chrono::seconds(10);
constexpr Duration kSummaryLifetime = std::chrono::seconds(30);  // three unconditional sends

constexpr uint64_t kMaxAgeMs = 3'600'000;

uint64_t AgeToMs(Duration age) {
  const int64_t milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(age).count();
  return std::min(kMaxAgeMs, static_cast<uint64_t>(std::max<int64_t>(0, milliseconds)));
}

Json ServiceToJson(const ServiceSummary& service) {
  Json daemons = Json::array();
  for (const Address& daemon : service.daemons) {
    daemons.push_back(Json::array({daemon.ip, daemon.port}));
  }
  return Json::array(
      {service.service.value(), service.ready_targets, service.free_slots, std::move(daemons)});
}

ServiceSummary ReadService(CborReader fields) {
  ServiceSummary service;
  service.service = ServiceName(fields.Text(kMaxNameBytes));
  service.ready_targets = static_cast<uint32_t>(fields.Number(kMaxUint32));
  service.free_slots = static_cast<uint32_t>(fields.Number(kMaxUint32));
  const Json& daemons = fields.Array();
  if (daemons.size() > kMaxDaemons) {
    throw MalformedMessage("a summary lists too many daemons");
  }
  for (const Json& daemon : daemons) {
    CborReader daemon_fields(daemon);
    Address address;
    address.ip = daemon_fields.Text(kMaxNameBytes);
    address.port = static_cast<uint16_t>(daemon_fields.Number(0xFFFF));
    service.daemons.push_back(std::move(address));
  }
  return service;
}

uint64_t HashOf(const SummaryEntry& entry) {
  const uint64_t at = entry.made_at.value();
  return XXH3_64bits_withSeed(&at, sizeof(at),
                              GossipKeyOf(entry.data_centre, entry.service.service));
}

}  // namespace

uint64_t GossipKeyOf(const DataCentreId& data_centre, const ServiceName& service) {
  const std::string text = data_centre.value() + '/' + service.value();
  return XXH3_64bits(text.data(), text.size());
}

std::vector<ServiceSummary> SummariseServices(const std::vector<MemberRecord>& members) {
  std::map<ServiceName, std::vector<const MemberRecord*>> by_service;
  for (const MemberRecord& member : members) {
    if (!member.service.empty() && member.state == TargetState::kReady) {
      by_service[member.service].push_back(&member);
    }
  }
  std::vector<ServiceSummary> services;
  for (auto& [name, ready] : by_service) {
    ServiceSummary service{.service = name, .ready_targets = static_cast<uint32_t>(ready.size())};
    // The daemons are chosen by instance id, so that the choice does not change with the load.
    std::sort(ready.begin(), ready.end(), [](const MemberRecord* left, const MemberRecord* right) {
      return left->instance < right->instance;
    });
    for (const MemberRecord* member : ready) {
      service.free_slots += member->free_slots;
      if (service.daemons.size() < kMaxDaemons) {
        service.daemons.push_back(member->address);
      }
    }
    services.push_back(std::move(service));
  }
  return services;
}

bool DiffersSignificantly(const ServiceSummary& before, const ServiceSummary& after) {
  if (before.service != after.service || before.ready_targets != after.ready_targets ||
      before.daemons != after.daemons) {
    return true;
  }
  const uint64_t larger = std::max(before.free_slots, after.free_slots);
  const uint64_t smaller = std::min(before.free_slots, after.free_slots);
  return (larger - smaller) * 4 > larger;
}

bool DiffersSignificantly(const DataCentreSummary& before, const DataCentreSummary& after) {
  if (before.services.size() != after.services.size()) {
    return true;
  }
  for (size_t i = 0; i < before.services.size(); ++i) {
    if (DiffersSignificantly(before.services[i], after.services[i])) {
      return true;
    }
  }
  return false;
}

std::string EncodeSummary(const DataCentreSummary& summary) {
  Json services = Json::array();
  for (const ServiceSummary& service : summary.services) {
    services.push_back(ServiceToJson(service));
  }
  std::string bytes;
  AppendCbor(Json::array({summary.data_centre.value(), summary.region.value(),
                          summary.made_at.value(), std::move(services)}),
             &bytes);
  return bytes;
}

std::optional<DataCentreSummary> DecodeSummary(std::string_view bytes) {
  const std::optional<Json> array = DecodeCborArray(bytes);
  if (!array) {
    return std::nullopt;
  }
  try {
    CborReader fields(*array);
    DataCentreSummary summary;
    summary.data_centre = DataCentreId(fields.Text(kMaxNameBytes));
    summary.region = RegionId(fields.Text(kMaxNameBytes));
    summary.made_at = WallTime(fields.Number());
    const Json& services = fields.Array();
    if (services.size() > kMaxServices) {
      return std::nullopt;
    }
    for (const Json& service : services) {
      summary.services.push_back(ReadService(CborReader(service)));
    }
    return summary;
  } catch (const MalformedMessage&) {
    return std::nullopt;
  }
}

Json ToCbor(const SummaryEntry& entry) {
  return Json::array({3U, entry.data_centre.value(), entry.region.value(), entry.made_at.value(),
                      AgeToMs(entry.age), ServiceToJson(entry.service)});
}

Json ToCbor(const SummaryRenewal& renewal) {
  return Json::array(
      {4U, renewal.data_centre.value(), renewal.made_at.value(), AgeToMs(renewal.age)});
}

SummaryEntry ReadSummaryEntry(CborReader* fields) {
  SummaryEntry entry;
  entry.data_centre = DataCentreId(fields->Text(kMaxNameBytes));
  entry.region = RegionId(fields->Text(kMaxNameBytes));
  entry.made_at = WallTime(fields->Number());
  entry.age = std::chrono::milliseconds(fields->Number(kMaxAgeMs));
  entry.service = ReadService(CborReader(fields->Array()));
  return entry;
}

SummaryRenewal ReadSummaryRenewal(CborReader* fields) {
  SummaryRenewal renewal;
  renewal.data_centre = DataCentreId(fields->Text(kMaxNameBytes));
  renewal.made_at = WallTime(fields->Number());
  renewal.age = std::chrono::milliseconds(fields->Number(kMaxAgeMs));
  return renewal;
}

bool SummarySchedule::MarkSentIfDue(TimePoint now, const DataCentreSummary& summary) {
  const bool due = !sent_ || now - sent_at_ >= kMaxSendInterval ||
                   (now - sent_at_ >= kMinSendInterval && DiffersSignificantly(*sent_, summary));
  if (due) {
    sent_ = summary;
    sent_at_ = now;
  }
  return due;
}

bool SummaryTable::Merge(TimePoint now, const SummaryEntry& entry) {
  if (entry.age > kSummaryLifetime) {
    return false;
  }
  StoredDataCentre& stored = data_centres_[entry.data_centre];
  if (entry.made_at > stored.newest_made_at || stored.services.empty()) {
    stored.newest_made_at = entry.made_at;
    stored.renewed_at = now - entry.age;
  }
  stored.region = entry.region;
  const auto found = stored.services.find(entry.service.service);
  if (found == stored.services.end()) {
    stored.services.emplace(entry.service.service, entry);
    hash_ ^= HashOf(entry);
    return true;
  }
  if (entry.made_at <= found->second.made_at) {
    return false;
  }
  // An entry with a small change of load does not replace the stored one. All members then store
  // the same entry, and successive small changes add up until they exceed the threshold.
  if (!DiffersSignificantly(found->second.service, entry.service)) {
    return false;
  }
  hash_ ^= HashOf(found->second) ^ HashOf(entry);
  found->second = entry;
  return true;
}

bool SummaryTable::Renew(TimePoint now, const SummaryRenewal& renewal) {
  const auto found = data_centres_.find(renewal.data_centre);
  if (found == data_centres_.end() || renewal.made_at <= found->second.newest_made_at) {
    return false;
  }
  found->second.newest_made_at = renewal.made_at;
  found->second.renewed_at = now - renewal.age;
  return true;
}

void SummaryTable::Expire(TimePoint now) {
  for (auto it = data_centres_.begin(); it != data_centres_.end();) {
    if (now - it->second.renewed_at <= kSummaryLifetime) {
      ++it;
      continue;
    }
    for (const auto& [name, entry] : it->second.services) {
      hash_ ^= HashOf(entry);
    }
    it = data_centres_.erase(it);
  }
}

std::vector<DataCentreSummary> SummaryTable::summaries() const {
  std::vector<DataCentreSummary> all;
  for (const auto& [data_centre, stored] : data_centres_) {
    DataCentreSummary summary{data_centre, stored.region, stored.newest_made_at, {}};
    for (const auto& [name, entry] : stored.services) {
      if (entry.service.ready_targets > 0) {
        summary.services.push_back(entry.service);
      }
    }
    all.push_back(std::move(summary));
  }
  return all;
}

std::vector<SummaryEntry> SummaryTable::entries(TimePoint now) const {
  std::vector<SummaryEntry> all;
  for (const auto& [data_centre, stored] : data_centres_) {
    for (const auto& [name, entry] : stored.services) {
      all.push_back(entry);
      all.back().age = now - stored.renewed_at;
    }
  }
  return all;
}

}  // namespace endivecleat
