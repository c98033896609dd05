// The datagrams of the membership protocol and their encoding: one CBOR array of indefinite length
// that holds the header fields and then the items.
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
  kPingRequest,  // ping `about` for me
  kSyncRequest,  // send me the records of the buckets that differ from mine
  kSync,
  kIntroduce,  // addresses of members of your data centre that asked me lately
};

struct DatagramHeader {
  DatagramKind kind = DatagramKind::kPing;
  uint32_t data_centre = 0;  // hash of its id; except in sync requests, that of the receiver
  MemberKey sender;
  uint32_t nonce = 0;  // an answer repeats the one of its request
  ConfigVersion config_version;
  std::string config_digest;
  uint64_t view = 0;    // hash of what the sender knows of members, crash reports and summaries
  MemberKey about;      // of a ping request
  std::string buckets;  // of a sync request: 4 bytes each
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

/// Starts a datagram; items are appended to it in any order.
std::string BeginDatagram(const DatagramHeader& header);
void AppendIntroduced(const Address& address, std::string* datagram);
/// Completes a datagram and signs it.
std::string EndDatagram(std::string datagram, std::string_view token);
/// The bytes that EndDatagram adds.
inline constexpr size_t kDatagramTrailerBytes = 1 + 16;

/// The part hashes of a sync request, 4 bytes each.
std::string EncodeParts(const std::vector<uint32_t>& parts);
/// Marks the parts that differ from the encoded ones; all of them when the number of parts differs.
std::vector<bool> DifferingParts(const std::vector<uint32_t>& parts, std::string_view encoded);
/// Datagrams with the header that hold as many of the items as fit into the given number.
std::vector<std::string> PackItems(const DatagramHeader& header,
                                   const std::vector<std::string>& items, size_t most_datagrams,
                                   size_t datagram_bytes, std::string_view token);

/// Nothing when the authentication code or the form is wrong.
std::optional<DatagramContent> DecodeDatagram(std::string_view token, std::string_view datagram);

}  // namespace endivecleat

#endif  // ENDIVECLEAT_MEMBER_DATAGRAM_H_
