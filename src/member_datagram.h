// Datagrams of the membership protocol and their encoding: an indefinite-length CBOR array of the
// header fields followed by the gossip items, and a message authentication code.
#ifndef ENDIVECLEAT_MEMBER_DATAGRAM_H_
#define ENDIVECLEAT_MEMBER_DATAGRAM_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "data_centre_summary.h"
#include "member_record.h"
#include "units.h"

namespace endivecleat {

enum class DatagramKind : uint8_t {
  kPing,
  kAck,
  kPingRequest,  // asks the receiver to ping `member_to_ping` on behalf of the sender
  kSyncRequest,  // asks for the items of the parts of the view whose hashes differ
  kSync,         // answers a sync request
  kIntroduce,    // addresses of recent requesters of the receiver's data centre
};

struct DatagramHeader {
  DatagramKind kind = DatagramKind::kPing;
  uint32_t data_centre = 0;  // hash of the receiver's id, in sync requests of the sender's
  MemberKey sender;
  uint32_t nonce = 0;  // an ack repeats the nonce of its ping or ping request
  ConfigVersion config_version;
  std::string config_digest;
  uint64_t view_hash = 0;  // hash of the members, crash reports and summaries that the sender knows
  MemberKey member_to_ping;  // in ping requests only
  std::string part_hashes;   // in sync requests only: the result of EncodePartHashes
};

struct DatagramContent {
  DatagramHeader header;
  std::vector<MemberRecord> records;
  std::vector<MemberUpdate> updates;
  std::vector<MemberCrashReport> crash_reports;
  std::vector<SummaryEntry> summary_entries;
  std::vector<SummaryRenewal> summary_renewals;
  std::vector<Address> introduced;
};

uint32_t HashOf(const DataCentreId& data_centre);

/// Encodes the header; the caller appends the items in any order.
std::string BeginDatagram(const DatagramHeader& header);
void AppendIntroduced(const Address& address, std::string* datagram);
/// Closes the array and appends the authentication code.
std::string EndDatagram(std::string datagram, std::string_view token);
/// The number of bytes that EndDatagram adds.
inline constexpr size_t kDatagramTrailerBytes = 1 + 16;

/// Encodes the part hashes of a sync request as 4 little-endian bytes each.
std::string EncodePartHashes(const std::vector<uint32_t>& part_hashes);
/// Marks the parts whose hashes differ from the encoded ones; all parts if their numbers differ.
std::vector<bool> DifferingParts(const std::vector<uint32_t>& part_hashes,
                                 std::string_view encoded);
/// Packs the items into at most `max_datagrams` datagrams with this header and drops those that do
/// not fit.
std::vector<std::string> PackItems(const DatagramHeader& header,
                                   const std::vector<std::string>& items, size_t max_datagrams,
                                   size_t datagram_bytes, std::string_view token);

/// Returns nullopt if the authentication code is wrong or the payload is malformed.
std::optional<DatagramContent> DecodeDatagram(std::string_view token, std::string_view datagram);

}  // namespace endivecleat

#endif  // ENDIVECLEAT_MEMBER_DATAGRAM_H_
