// The owner of the quotas of all tenants: one token bucket for each tenant, from which daemons
// lease tokens. Each daemon lends its share, 1 / N of every quota, to one owner at a time; the
// buckets fill at the sum of the shares that the owner holds at the moment. Whatever the views of
// the membership, the rates of all owners together are therefore at most the quota. QuotaClient
// sends the requests; see docs/design/quotas.md.
#ifndef ENDIVECLEAT_QUOTA_OWNER_H_
#define ENDIVECLEAT_QUOTA_OWNER_H_

#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

#include "quota_message.h"
#include "units.h"

namespace endivecleat {

/// All times are of the boot clock of the owner's machine.
class QuotaOwner {
 public:
  struct Counts {
    uint64_t granted = 0;   // tokens
    uint64_t refused = 0;   // urgent tokens that were missing
    uint64_t returned = 0;  // tokens
    uint64_t expired = 0;   // leased tokens that were neither used nor returned, as far as known
    uint64_t requests = 0;
  };

  /// `run` must differ between runs of this process and from 0.
  QuotaOwner(uint64_t run, TimePoint now) : run_(run), started_(now), now_(now) {}

  /// The daemons that are members now. Those of the last kQuotaMemberMemory count.
  void SetMembers(TimePoint now, const std::vector<InstanceId>& daemons);
  QuotaReply Receive(TimePoint now, const QuotaRequest& request);
  /// Drops what has expired; to be called every 100 ms.
  void Tick(TimePoint now);
  /// From now on every share is given back and nothing is granted.
  void Stop();

  /// Daemons whose share this owner holds.
  size_t daemons() const { return holders_; }
  size_t members() const;
  const Counts& counts() const { return counts_; }

 private:
  struct Lease {
    uint32_t tokens = 0;
    TimePoint expires_at{};
  };
  struct Daemon {
    uint64_t run = 0;
    uint64_t sequence = 0;
    bool lends = false;
    TimePoint lends_until{};
    TimePoint lends_since{};
    std::unordered_map<TenantId, Lease> leases;
  };
  struct Bucket {
    TenantQuota quota;
    ConfigVersion version;
    double tokens = 0;
    double filled = 0;       // value of share_seconds_ up to which `tokens` is filled
    double fresh = 0;        // the same of fresh_shares_
    double missing = 0;      // tokens that were refused lately; decays
    TimePoint missing_at{};  // time of `missing`
    uint64_t leased = 0;     // sum of the unexpired leases
  };

  void Advance(TimePoint now);
  void UpdateShare(Daemon& daemon, const QuotaRequest& request);
  void TakeBackShare(Daemon& daemon);
  void DropLeases(Daemon& daemon);
  void Grant(Daemon& daemon, const QuotaEntry& entry, ConfigVersion version, QuotaReply& reply);
  void SetLease(Daemon& daemon, Bucket& bucket, TenantId tenant, uint32_t tokens,
                TimePoint expires_at);
  void Fill(Bucket& bucket) const;
  /// When a token is likely to be free, given what has been refused lately.
  Duration ExpectedWait(Bucket& bucket, uint32_t missing) const;
  double Depth(const TenantQuota& quota) const;
  bool LendsForLong(const Daemon& daemon) const;

  uint64_t run_;
  TimePoint started_;
  TimePoint now_;
  bool stopped_ = false;
  std::map<InstanceId, Daemon> daemons_;
  std::unordered_map<TenantId, Bucket> buckets_;
  std::map<InstanceId, TimePoint> members_;  // when each was a member last
  uint32_t reported_members_ = 0;            // by daemons soon after the start
  size_t holders_ = 0;
  size_t long_holders_ = 0;   // of these, the ones that lend for longer than a lease
  double share_seconds_ = 0;  // integral over time of the share that is held
  double fresh_shares_ = 0;   // sum of the shares lent by daemons that started
  TimePoint next_sweep_{};
  Counts counts_;
};

}  // namespace endivecleat

#endif  // ENDIVECLEAT_QUOTA_OWNER_H_
