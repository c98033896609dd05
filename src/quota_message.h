// Messages between the daemons and the owner of the quotas, and their binary encoding. One request
// carries all tenants of a daemon. See docs/design/quotas.md.
#ifndef ENDIVECLEAT_QUOTA_MESSAGE_H_
#define ENDIVECLEAT_QUOTA_MESSAGE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "tenant_table.h"
#include "units.h"

namespace endivecleat {

/// A hash of a tenant's name, 48 bits: with 1,000 tenants two share one once in 500 million
/// deployments; they would share a bucket.
using TenantId = StrongNumber<struct TenantIdTag>;
TenantId TenantIdOf(const TenantName& name);

/// What a daemon reports and requests for one tenant.
struct QuotaEntry {
  TenantId tenant;
  TenantQuota quota;  // in the configuration of the daemon; in thousandths on the wire
  uint64_t used = 0;  // tokens, in this run of the daemon
  // Of these, the ones of the last window by age: at least 0, 1, 2 ... seconds. Empty if the owner
  // knows them.
  std::vector<uint32_t> recent;
  uint32_t held = 0;      // unused tokens at the daemon
  uint32_t returned = 0;  // tokens that it gives back; not in `held`
  uint32_t urgent = 0;    // tokens for requests that wait for them
  uint32_t prefetch = 0;  // tokens for requests expected before the next message

  bool operator==(const QuotaEntry&) const = default;
};

enum class QuotaPurpose : uint8_t {
  kRequest,
  kChangeOwner,  // the daemon takes its share back to lend it to another owner
  kStop,         // the same; the daemon stops and is not counted any longer
};

struct QuotaRequest {
  InstanceId from;
  uint64_t run = 0;       // differs between runs of the daemon
  uint64_t sequence = 0;  // grows with each request of a run, to any owner
  QuotaPurpose purpose = QuotaPurpose::kRequest;
  uint64_t owner_run = 0;  // from the latest reply of this owner; 0 if there is none
  TimePoint stamp{};       // the same
  Duration lent_for{};  // for how long the share has been lent to this run of the owner alone; ms
  Duration running_for{};  // since the daemon has quotas; ms
  uint32_t members = 0;  // daemons of the mesh, as the daemon and its latest owner know; 0: unknown
  ConfigVersion version;  // of the quotas
  std::vector<QuotaEntry> entries;

  bool operator==(const QuotaRequest&) const = default;
};

struct QuotaGrant {
  TenantId tenant;
  uint32_t tokens = 0;
  Duration wait{};  // > 0: urgent tokens are missing; when one is likely; in milliseconds

  bool operator==(const QuotaGrant&) const = default;
};

struct QuotaReply {
  uint64_t owner_run = 0;
  TimePoint stamp{};      // by the owner's clock
  bool released = false;  // the owner does not count the share of the daemon any longer
  uint32_t members = 0;   // daemons of the mesh
  Duration lease{};       // of the tokens, from the sending of the request on; in milliseconds
  std::vector<QuotaGrant> grants;

  bool operator==(const QuotaReply&) const = default;
};

std::string EncodeQuotaRequest(const QuotaRequest& request);
std::string EncodeQuotaReply(const QuotaReply& reply);

/// Both throw UserError (kMessageMalformed).
QuotaRequest DecodeQuotaRequest(std::string_view bytes);
QuotaReply DecodeQuotaReply(std::string_view bytes);

}  // namespace endivecleat

#endif  // ENDIVECLEAT_QUOTA_MESSAGE_H_
