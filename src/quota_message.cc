// Quotas are encoded in thousandths, leases and waits in milliseconds, stamps in microseconds.
#include "quota_message.h"

#include <xxhash.h>

#include <cmath>

#include "byte_codec.h"

namespace endivecleat {
namespace {

constexpr uint64_t kFormat = 1;
constexpr int kTenantIdBits = 48;
constexpr uint64_t kMaxRecent = 60;
constexpr uint64_t kMaxCount = 1'000'000'000;
constexpr double kThousandths = 1000;
constexpr uint64_t kMaxThousandths = 1'000'000'000'000'000;
constexpr uint64_t kMaxStamp = 1ULL << 62U;
constexpr uint64_t kMaxMilliseconds = 3'600'000;

uint64_t ToThousandths(double number) {
  return static_cast<uint64_t>(std::llround(number * kThousandths));
}

double ReadThousandths(ByteReader& reader) {
  return static_cast<double>(reader.ReadVarintUpTo(kMaxThousandths)) / kThousandths;
}

uint32_t ReadCount(ByteReader& reader) {
  return static_cast<uint32_t>(reader.ReadVarintUpTo(kMaxCount));
}

uint64_t ToMilliseconds(Duration duration) {
  return static_cast<uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

Duration ReadMilliseconds(ByteReader& reader) {
  return std::chrono::milliseconds(reader.ReadVarintUpTo(kMaxMilliseconds));
}

void WriteTime(ByteWriter& writer, TimePoint time) {
  writer.WriteVarint(static_cast<uint64_t>(time.time_since_epoch().count()));
}

TimePoint ReadTime(ByteReader& reader) {
  return TimePoint{} + Duration(static_cast<int64_t>(reader.ReadVarintUpTo(kMaxStamp)));
}

}  // namespace

TenantId TenantIdOf(const TenantName& name) {
  constexpr uint64_t kMask = (1ULL << kTenantIdBits) - 1;
  return TenantId(XXH3_64bits(name.value().data(), name.value().size()) & kMask);
}

std::string EncodeQuotaRequest(const QuotaRequest& request) {
  ByteWriter writer;
  writer.WriteVarint(kFormat);
  writer.WriteString(request.from.value());
  writer.WriteVarint(request.run);
  writer.WriteVarint(request.sequence);
  writer.WriteVarint(static_cast<uint64_t>(request.purpose));
  writer.WriteVarint(request.owner_run);
  WriteTime(writer, request.stamp);
  writer.WriteVarint(ToMilliseconds(request.lent_for));
  writer.WriteVarint(ToMilliseconds(request.running_for));
  writer.WriteVarint(request.members);
  writer.WriteVarint(request.version.value());
  writer.WriteVarint(request.entries.size());
  for (const QuotaEntry& entry : request.entries) {
    writer.WriteVarint(entry.tenant.value());
    writer.WriteVarint(ToThousandths(entry.quota.rate_per_second));
    writer.WriteVarint(ToThousandths(entry.quota.burst));
    writer.WriteVarint(entry.used);
    writer.WriteVarint(entry.recent.size());
    for (const uint32_t tokens : entry.recent) {
      writer.WriteVarint(tokens);
    }
    writer.WriteVarint(entry.held);
    writer.WriteVarint(entry.returned);
    writer.WriteVarint(entry.urgent);
    writer.WriteVarint(entry.prefetch);
  }
  return writer.Take();
}

QuotaRequest DecodeQuotaRequest(std::string_view bytes) {
  ByteReader reader(bytes);
  reader.ExpectVarint(kFormat);
  QuotaRequest request;
  request.from = InstanceId(reader.ReadString());
  request.run = reader.ReadVarint();
  request.sequence = reader.ReadVarint();
  request.purpose =
      static_cast<QuotaPurpose>(reader.ReadVarintUpTo(static_cast<uint64_t>(QuotaPurpose::kStop)));
  request.owner_run = reader.ReadVarint();
  request.stamp = ReadTime(reader);
  request.lent_for = ReadMilliseconds(reader);
  request.running_for = ReadMilliseconds(reader);
  request.members = ReadCount(reader);
  request.version = ConfigVersion(reader.ReadVarint());
  request.entries.resize(reader.ReadCount());
  for (QuotaEntry& entry : request.entries) {
    entry.tenant = TenantId(reader.ReadVarint());
    entry.quota.rate_per_second = ReadThousandths(reader);
    entry.quota.burst = ReadThousandths(reader);
    entry.used = reader.ReadVarint();
    entry.recent.resize(reader.ReadVarintUpTo(kMaxRecent));
    for (uint32_t& tokens : entry.recent) {
      tokens = ReadCount(reader);
    }
    entry.held = ReadCount(reader);
    entry.returned = ReadCount(reader);
    entry.urgent = ReadCount(reader);
    entry.prefetch = ReadCount(reader);
  }
  reader.ExpectEnd();
  return request;
}

std::string EncodeQuotaReply(const QuotaReply& reply) {
  ByteWriter writer;
  writer.WriteVarint(kFormat);
  writer.WriteVarint(reply.owner_run);
  WriteTime(writer, reply.stamp);
  writer.WriteVarint(reply.released ? 1 : 0);
  writer.WriteVarint(reply.members);
  writer.WriteVarint(ToMilliseconds(reply.lease));
  writer.WriteVarint(reply.grants.size());
  for (const QuotaGrant& grant : reply.grants) {
    writer.WriteVarint(grant.tenant.value());
    writer.WriteVarint(grant.tokens);
    writer.WriteVarint(ToMilliseconds(grant.wait));
  }
  return writer.Take();
}

QuotaReply DecodeQuotaReply(std::string_view bytes) {
  ByteReader reader(bytes);
  reader.ExpectVarint(kFormat);
  QuotaReply reply;
  reply.owner_run = reader.ReadVarint();
  reply.stamp = ReadTime(reader);
  reply.released = reader.ReadVarintUpTo(1) == 1;
  reply.members = ReadCount(reader);
  reply.lease = ReadMilliseconds(reader);
  reply.grants.resize(reader.ReadCount());
  for (QuotaGrant& grant : reply.grants) {
    grant.tenant = TenantId(reader.ReadVarint());
    grant.tokens = ReadCount(reader);
    grant.wait = ReadMilliseconds(reader);
  }
  reader.ExpectEnd();
  return reply;
}

}  // namespace endivecleat
