// Encodes each item as a CBOR array that starts with the ItemType number of member_datagram.cc.
#include "member_record.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <limits>

#include "errors.h"

namespace endivecleat {
namespace {

using Json = nlohmann::json;

constexpr size_t kMaxNameBytes = 64;
constexpr size_t kMaxIpBytes = 45;  // an IPv6 address with an embedded IPv4 address
constexpr size_t kMaxDigestBytes = 32;
constexpr uint64_t kMaxUint32 = std::numeric_limits<uint32_t>::max();

constexpr uint64_t kMaxAgeMs = 3'600'000;

uint64_t AgeToMs(Duration age) {
  const int64_t milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(age).count();
  return std::min(kMaxAgeMs, static_cast<uint64_t>(std::max<int64_t>(0, milliseconds)));
}

const std::array<std::string, 6>& StateNames() {
  static const std::array<std::string, 6> names = {"absent",   "warming", "ready",
                                                   "draining", "failed",  "left"};
  return names;
}

uint32_t ReadUint32(CborReader* fields) {
  return static_cast<uint32_t>(fields->Number(kMaxUint32));
}

}  // namespace

const std::string& TargetStateName(TargetState state) {
  return StateNames().at(static_cast<size_t>(state));
}

TargetState TargetStateFromName(const std::string& name) {
  const auto& names = StateNames();
  const auto found = std::find(names.begin(), names.end(), name);
  ENDIVECLEAT_CHECK(found != names.end(), "unknown target state " + name);
  return static_cast<TargetState>(found - names.begin());
}

MemberKey KeyOf(const InstanceId& instance, WallTime boot_time) {
  const std::string& id = instance.value();
  return MemberKey(XXH3_64bits_withSeed(id.data(), id.size(), boot_time.value()));
}

Json ToCbor(const MemberRecord& record) {
  Json fields = Json::array({0U, record.instance.value(), record.address.ip, record.address.port,
                             record.boot_time.value(), record.sequence, record.service.value(),
                             record.target.value(), static_cast<uint8_t>(record.state),
                             record.slots, record.free_slots, record.config_version.value(),
                             CborBytes(record.config_digest), record.is_control ? 1U : 0U,
                             record.region.value(), record.data_centre.value()});
  if (!record.target_version.empty()) {  // left out, since records are most of the gossip
    fields.push_back(record.target_version.value());
  }
  return fields;
}

Json ToCbor(const MemberUpdate& update) {
  return Json::array({1U, update.key.value(), update.sequence, static_cast<uint8_t>(update.status),
                      update.free_slots, update.config_version.value()});
}

Json ToCbor(const MemberCrashReport& report) {
  return Json::array({2U, report.reporter.value(), report.fingerprint, report.count,
                      report.reported_at.value(), AgeToMs(report.age)});
}

MemberRecord ReadMemberRecord(CborReader* fields) {
  MemberRecord record;
  record.instance = InstanceId(fields->Text(kMaxNameBytes));
  record.address.ip = fields->Text(kMaxIpBytes);
  record.address.port = static_cast<uint16_t>(fields->Number(0xFFFF));
  record.boot_time = WallTime(fields->Number());
  record.sequence = fields->Number();
  record.service = ServiceName(fields->Text(kMaxNameBytes));
  record.target = TargetId(fields->Text(kMaxNameBytes));
  record.state = static_cast<TargetState>(fields->Number(StateNames().size() - 1));
  record.slots = ReadUint32(fields);
  record.free_slots = ReadUint32(fields);
  record.config_version = ConfigVersion(fields->Number());
  record.config_digest = fields->Bytes(kMaxDigestBytes);
  record.is_control = fields->Number(1) == 1;
  record.region = RegionId(fields->Text(kMaxNameBytes));
  record.data_centre = DataCentreId(fields->Text(kMaxNameBytes));
  if (!fields->at_end()) {  // absent in records of the release before
    record.target_version = TargetVersion(fields->Text(kMaxNameBytes));
  }
  if (record.instance.empty()) {
    throw MalformedMessage("a member record has no instance id");
  }
  return record;
}

MemberUpdate ReadMemberUpdate(CborReader* fields) {
  MemberUpdate update;
  update.key = MemberKey(fields->Number());
  update.sequence = fields->Number();
  update.status = static_cast<MemberStatus>(fields->Number(3));
  update.free_slots = ReadUint32(fields);
  update.config_version = ConfigVersion(fields->Number());
  return update;
}

MemberCrashReport ReadCrashReport(CborReader* fields) {
  MemberCrashReport report;
  report.reporter = InstanceId(fields->Text(kMaxNameBytes));
  report.fingerprint = fields->Number();
  report.count = ReadUint32(fields);
  report.reported_at = WallTime(fields->Number());
  report.age = std::chrono::milliseconds(fields->Number(kMaxAgeMs));
  return report;
}

}  // namespace endivecleat
