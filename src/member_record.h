// What members of a data centre tell each other: full member records, compact updates of records
// that the receiver knows, and crash reports, with their CBOR encoding.
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

/// The name of a state in charts/target.chart.
const std::string& TargetStateName(TargetState state);
/// Throws InternalError for a name that the chart does not have.
TargetState TargetStateFromName(const std::string& name);

/// One member as it describes itself. Of two records of an instance the one with the later boot
/// time is valid, and of two with the same boot time the one with the higher sequence. The upper
/// bits of the sequence count refutations, the lower 20 bits ordinary changes: an ordinary change
/// that is still spreading must not lift the suspicion of a member that stopped after sending it.
struct MemberRecord {
  InstanceId instance;
  Address address;
  WallTime boot_time;
  uint64_t sequence = 0;
  bool control = false;  // a control instance; it has no target
  RegionId region;
  DataCentreId data_centre;
  ServiceName service;  // empty until a target has announced itself
  TargetId target;
  TargetState state = TargetState::kAbsent;
  uint32_t slots = 0;
  uint32_t load = 0;  // free slots
  ConfigVersion config_version;
  std::string config_digest;  // bytes, at most 32

  bool operator==(const MemberRecord&) const = default;
};

inline constexpr int kRefutationShift = 20;
inline uint64_t RefutationOf(uint64_t sequence) { return sequence >> kRefutationShift; }
inline uint64_t NextRefutation(uint64_t sequence) {
  return (RefutationOf(sequence) + 1) << kRefutationShift;
}

/// Names one run of an instance: a hash of the instance id and the boot time.
using MemberKey = StrongNumber<struct MemberKeyTag>;
MemberKey KeyOf(const InstanceId& instance, WallTime boot_time);
inline MemberKey KeyOf(const MemberRecord& record) {
  return KeyOf(record.instance, record.boot_time);
}

enum class MemberStatus : uint8_t { kAlive, kSuspect, kDead, kLeft };

/// A change to a record that most members already hold, a fifth of its size.
struct MemberUpdate {
  MemberKey key;
  uint64_t sequence = 0;
  MemberStatus status = MemberStatus::kAlive;
  uint32_t load = 0;
  ConfigVersion config_version;
};

/// Crashes that one member counted for one request fingerprint.
struct MemberCrashReport {
  InstanceId reporter;
  uint64_t fingerprint = 0;
  uint32_t count = 0;
  WallTime reported_at;  // of two reports on a fingerprint by one member the later is valid
  Duration age{};        // how long the sender of this report has known it

  bool operator==(const MemberCrashReport&) const = default;
};

nlohmann::json ToCbor(const MemberRecord& record);
nlohmann::json ToCbor(const MemberUpdate& update);
nlohmann::json ToCbor(const MemberCrashReport& report);

/// The bytes of an item. The summaries in data_centre_summary.h are items too.
template <class Item>
std::string EncodeItem(const Item& item) {
  std::string bytes;
  AppendCbor(ToCbor(item), &bytes);
  return bytes;
}

/// Each throws MalformedMessage.
MemberRecord ReadMemberRecord(CborReader* fields);
MemberUpdate ReadMemberUpdate(CborReader* fields);
MemberCrashReport ReadCrashReport(CborReader* fields);

}  // namespace endivecleat

#endif  // ENDIVECLEAT_MEMBER_RECORD_H_
