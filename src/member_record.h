// Gossip items about the members of a data centre and their CBOR encoding: full member records,
// compact updates of records that the receiver already stores, and crash reports. MemberTable
// merges them; member_datagram carries them.
#ifndef ENDIVECLEAT_MEMBER_RECORD_H_
#define ENDIVECLEAT_MEMBER_RECORD_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

#include "cbor_reader.h"
#include "units.h"

namespace endivecleat {

/// The states of charts/target.chart, in its order.
enum class TargetState : uint8_t { kAbsent, kWarming, kReady, kDraining, kFailed, kLeft };

/// The name of the state in charts/target.chart.
const std::string& TargetStateName(TargetState state);
/// Throws InternalError if the chart has no state of this name.
TargetState TargetStateFromName(const std::string& name);

/// The description that a member publishes of itself. The record with the latest boot time of an
/// instance replaces the others; with equal boot times, the one with the highest sequence. The
/// upper bits of the sequence are the refutation count (the SWIM incarnation number), the lower 20
/// bits count ordinary changes. They are separate because an ordinary change that is still
/// spreading must not lift the suspicion of a member that stopped after sending it.
struct MemberRecord {
  InstanceId instance;
  Address address;
  WallTime boot_time;
  uint64_t sequence = 0;
  bool is_control = false;  // a control instance; it has no target
  RegionId region;
  DataCentreId data_centre;
  ServiceName service;  // empty until a target announces itself
  TargetId target;
  TargetState state = TargetState::kAbsent;
  uint32_t slots = 0;
  uint32_t free_slots = 0;
  ConfigVersion config_version;
  std::string config_digest;  // at most 32 raw bytes
  // Empty if the target has not said its version, or its daemon is of a release without versions.
  TargetVersion target_version;

  bool operator==(const MemberRecord&) const = default;
};

/// The number of sequence bits below the refutation count.
inline constexpr int kRefutationShift = 20;
inline uint64_t RefutationCount(uint64_t sequence) { return sequence >> kRefutationShift; }
inline uint64_t NextRefutationSequence(uint64_t sequence) {
  return (RefutationCount(sequence) + 1) << kRefutationShift;
}

/// Identifies one run of an instance: a hash of the instance id and the boot time.
using MemberKey = StrongNumber<struct MemberKeyTag>;
MemberKey KeyOf(const InstanceId& instance, WallTime boot_time);
inline MemberKey KeyOf(const MemberRecord& record) {
  return KeyOf(record.instance, record.boot_time);
}

enum class MemberStatus : uint8_t { kAlive, kSuspect, kDead, kLeft };

/// A change of a record that most members already store; a fifth of the size of a record.
struct MemberUpdate {
  MemberKey key;
  uint64_t sequence = 0;
  MemberStatus status = MemberStatus::kAlive;
  uint32_t free_slots = 0;
  ConfigVersion config_version;
};

/// The number of crashes that one member attributes to one request fingerprint.
struct MemberCrashReport {
  InstanceId reporter;
  uint64_t fingerprint = 0;
  uint32_t count = 0;
  WallTime reported_at;  // the latest report of a member on a fingerprint replaces earlier ones
  Duration age{};        // time since the report was made, as far as the sender knows

  bool operator==(const MemberCrashReport&) const = default;
};

nlohmann::json ToCbor(const MemberRecord& record);
nlohmann::json ToCbor(const MemberUpdate& update);
nlohmann::json ToCbor(const MemberCrashReport& report);

/// Encodes a gossip item: one of the types above or of data_centre_summary.h.
template <class Item>
std::string EncodeItem(const Item& item) {
  std::string bytes;
  AppendCbor(ToCbor(item), &bytes);
  return bytes;
}

/// Each throws MalformedMessage if a field is missing, of the wrong type or out of range.
MemberRecord ReadMemberRecord(CborReader* fields);
MemberUpdate ReadMemberUpdate(CborReader* fields);
MemberCrashReport ReadCrashReport(CborReader* fields);

}  // namespace endivecleat

#endif  // ENDIVECLEAT_MEMBER_RECORD_H_
