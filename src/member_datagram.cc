// Each item is a CBOR array whose first element is its ItemType; the types are encoded by their own
// modules. Decoding verifies the authentication code before it parses anything.
#include "member_datagram.h"

#include <xxhash.h>

#include <limits>
#include <utility>

#include "datagram_auth.h"

namespace endivecleat {
namespace {

using Json = nlohmann::json;

constexpr char kIndefiniteArrayStart = static_cast<char>(0x9F);
constexpr char kIndefiniteArrayEnd = static_cast<char>(0xFF);
constexpr size_t kMaxDigestBytes = 32;
constexpr size_t kMaxPartHashesBytes = 256;
constexpr size_t kMaxIpBytes = 45;
constexpr uint64_t kMaxUint32 = std::numeric_limits<uint32_t>::max();

enum ItemType : uint8_t {
  kRecordItem,
  kUpdateItem,
  kCrashReportItem,
  kSummaryEntryItem,
  kSummaryRenewalItem,
  kIntroducedItem,
};

DatagramHeader ReadHeader(CborReader* fields) {
  DatagramHeader header;
  header.kind =
      static_cast<DatagramKind>(fields->Number(static_cast<uint64_t>(DatagramKind::kIntroduce)));
  header.data_centre = static_cast<uint32_t>(fields->Number(kMaxUint32));
  header.sender = MemberKey(fields->Number());
  header.nonce = static_cast<uint32_t>(fields->Number(kMaxUint32));
  header.config_version = ConfigVersion(fields->Number());
  header.config_digest = fields->Bytes(kMaxDigestBytes);
  header.view_hash = fields->Number();
  if (header.kind == DatagramKind::kPingRequest) {
    header.member_to_ping = MemberKey(fields->Number());
  }
  if (header.kind == DatagramKind::kSyncRequest) {
    header.part_hashes = fields->Bytes(kMaxPartHashesBytes);
  }
  return header;
}

void ReadItem(CborReader item, DatagramContent* content) {
  switch (item.Number(kIntroducedItem)) {
    case kRecordItem:
      content->records.push_back(ReadMemberRecord(&item));
      break;
    case kUpdateItem:
      content->updates.push_back(ReadMemberUpdate(&item));
      break;
    case kCrashReportItem:
      content->crash_reports.push_back(ReadCrashReport(&item));
      break;
    case kSummaryEntryItem:
      content->summary_entries.push_back(ReadSummaryEntry(&item));
      break;
    case kSummaryRenewalItem:
      content->summary_renewals.push_back(ReadSummaryRenewal(&item));
      break;
    default: {
      Address address;
      address.ip = item.Text(kMaxIpBytes);
      address.port = static_cast<uint16_t>(item.Number(0xFFFF));
      content->introduced.push_back(std::move(address));
    }
  }
}

}  // namespace

uint32_t HashOf(const DataCentreId& data_centre) {
  const std::string& id = data_centre.value();
  return static_cast<uint32_t>(XXH3_64bits(id.data(), id.size()));
}

std::string BeginDatagram(const DatagramHeader& header) {
  std::string bytes(1, kIndefiniteArrayStart);
  AppendCbor(static_cast<uint8_t>(header.kind), &bytes);
  AppendCbor(header.data_centre, &bytes);
  AppendCbor(header.sender.value(), &bytes);
  AppendCbor(header.nonce, &bytes);
  AppendCbor(header.config_version.value(), &bytes);
  AppendCbor(CborBytes(header.config_digest), &bytes);
  AppendCbor(header.view_hash, &bytes);
  if (header.kind == DatagramKind::kPingRequest) {
    AppendCbor(header.member_to_ping.value(), &bytes);
  }
  if (header.kind == DatagramKind::kSyncRequest) {
    AppendCbor(CborBytes(header.part_hashes), &bytes);
  }
  return bytes;
}

void AppendIntroduced(const Address& address, std::string* datagram) {
  AppendCbor(Json::array({static_cast<uint8_t>(kIntroducedItem), address.ip, address.port}),
             datagram);
}

std::string EndDatagram(std::string datagram, std::string_view token) {
  datagram.push_back(kIndefiniteArrayEnd);
  return SignDatagram(token, std::move(datagram));
}

std::string EncodePartHashes(const std::vector<uint32_t>& part_hashes) {
  std::string bytes;
  for (const uint32_t part_hash : part_hashes) {
    for (int shift = 0; shift < 32; shift += 8) {
      bytes.push_back(static_cast<char>((part_hash >> shift) & 0xFF));
    }
  }
  return bytes;
}

std::vector<bool> DifferingParts(const std::vector<uint32_t>& part_hashes,
                                 std::string_view encoded) {
  const std::string own = EncodePartHashes(part_hashes);
  std::vector<bool> differs(part_hashes.size(), true);
  for (size_t i = 0; i < part_hashes.size() && own.size() == encoded.size(); ++i) {
    differs[i] = own.compare(i * 4, 4, encoded.substr(i * 4, 4)) != 0;
  }
  return differs;
}

std::vector<std::string> PackItems(const DatagramHeader& header,
                                   const std::vector<std::string>& items, size_t max_datagrams,
                                   size_t datagram_bytes, std::string_view token) {
  const std::string empty = BeginDatagram(header);
  std::vector<std::string> datagrams;
  std::string datagram = empty;
  for (const std::string& item : items) {
    if (datagram.size() + item.size() + kDatagramTrailerBytes > datagram_bytes) {
      datagrams.push_back(EndDatagram(std::move(datagram), token));
      datagram = empty;
      if (datagrams.size() == max_datagrams) {
        return datagrams;
      }
    }
    datagram.append(item);
  }
  if (datagram.size() > empty.size()) {
    datagrams.push_back(EndDatagram(std::move(datagram), token));
  }
  return datagrams;
}

std::optional<DatagramContent> DecodeDatagram(std::string_view token, std::string_view datagram) {
  const std::optional<std::string_view> payload = VerifyDatagram(token, datagram);
  if (!payload) {
    return std::nullopt;
  }
  const std::optional<Json> array = DecodeCborArray(*payload);
  if (!array) {
    return std::nullopt;
  }
  try {
    CborReader fields(*array);
    DatagramContent content;
    content.header = ReadHeader(&fields);
    while (!fields.at_end()) {
      ReadItem(CborReader(fields.Array()), &content);
    }
    return content;
  } catch (const MalformedMessage&) {
    return std::nullopt;
  }
}

}  // namespace endivecleat
