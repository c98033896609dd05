// The owner of the quotas of all tenants: leases tokens to daemons. Each daemon lends its share,
// 1 / N of every quota, to one owner at a time, and an owner gives out the sum of the shares that
// it holds at the moment. Whatever the views of the membership, all owners together therefore give
// out at most the quota. QuotaClient sends the requests; see docs/design/quotas.md.
#ifndef ENDIVECLEAT_QUOTA_OWNER_H_
#define ENDIVECLEAT_QUOTA_OWNER_H_

#include <array>
#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

#include "quota_message.h"
#include "units.h"

namespace endivecleat {

/// Two rules decide on each token. The window: what was used within 5 s and what is leased stay
/// within the limit of the window; this holds the bound. The bucket: the use stays within the rate
/// and the burst; a tenant whose bucket is full may hold more leased tokens than the bucket has,
/// so that each daemon has some in stock. All times are of the boot clock of the owner's machine.
class QuotaOwner {
 public:
  struct Counts {
    uint64_t granted = 0;   // tokens
    uint64_t refused = 0;   // urgent tokens that were missing
    uint64_t returned = 0;  // tokens
    uint64_t expired = 0;   // tokens that were leased and not reported as used or returned
    uint64_t requests = 0;
  };

  /// `run` must differ between runs of this process and from 0.
  QuotaOwner(uint64_t run, TimePoint now) : run_(run), started_(now), now_(now) {}

  /// The daemons that are members now. Those of the last kQuotaMemberMemory count. Before the first
  /// call the owner takes no share, since it does not know how large one is.
  void SetMembers(TimePoint now, const std::vector<InstanceId>& daemons);
  QuotaReply Receive(TimePoint now, const QuotaRequest& request);
  /// Drops what has expired; to be called every 100 ms.
  void Tick(TimePoint now);
  /// From now on every share is given back and nothing is granted.
  void Stop();

  /// Daemons whose share this owner holds.
  size_t daemons() const { return holders_; }
  size_t members() const;
  /// Daemons passed to SetMembers within kQuotaMemberMemory.
  size_t known_members() const { return members_.size(); }
  const Counts& counts() const { return counts_; }

 private:
  static constexpr size_t kSlots = 21;  // of a quarter of a second: the window and one under way

  /// What is known of a tenant at one daemon.
  struct Lease {
    uint32_t tokens = 0;
    uint64_t used = 0;  // by the run of the daemon, as it reports
    TimePoint reported_at{};
    TimePoint expires_at{};
  };
  struct Daemon {
    uint64_t run = 0;
    uint64_t sequence = 0;
    bool lends = false;
    TimePoint lends_until{};
    TimePoint lends_since{};
    TimePoint runs_since{};
    TimePoint heard_at{};
    std::unordered_map<TenantId, Lease> leases;
  };
  struct Bucket {
    TenantQuota quota;
    ConfigVersion version;
    double tokens = 0;  // without what is leased; negative after the use of tokens in stock
    double filled = 0;  // value of share_seconds_ up to which `tokens` is filled
    double lent = 0;    // the same of lent_shares_
    uint64_t leased = 0;
    std::array<uint32_t, kSlots> used{};  // by slot of time, modulo kSlots
    uint64_t slot = 0;                    // the newest
    uint64_t used_in_window = 0;
    double introduced = 0;   // used and leased, as reported with the shares that were lent lately
    double missing = 0;      // tokens that were refused lately; decays
    TimePoint missing_at{};  // time of `missing`
  };

  void Advance(TimePoint now);
  void UpdateShare(Daemon& daemon, const QuotaRequest& request);
  void TakeBackShare(Daemon& daemon);
  void DropLeases(Daemon& daemon);
  Bucket& FindBucket(const QuotaEntry& entry, ConfigVersion version);
  /// `present_since`: since when the daemon has used tokens of this owner without a long absence.
  void Report(Daemon& daemon, Bucket& bucket, const QuotaEntry& entry, TimePoint present_since);
  void Grant(Daemon& daemon, Bucket& bucket, const QuotaEntry& entry, QuotaReply& reply);
  void CountUsed(Bucket& bucket, uint64_t tokens, Duration age = Duration{});
  void Fill(Bucket& bucket);
  /// When a token is likely to be free, given what has been refused lately.
  Duration ExpectedWait(Bucket& bucket, uint32_t missing) const;
  double Share() const;
  double Depth(const TenantQuota& quota) const;
  /// Tokens that may be used within the window and leased, from the shares held.
  double WindowLimit(const Bucket& bucket) const;

  uint64_t run_;
  TimePoint started_;
  TimePoint now_;
  bool stopped_ = false;
  std::map<InstanceId, Daemon> daemons_;
  std::unordered_map<TenantId, Bucket> buckets_;
  std::map<InstanceId, TimePoint> members_;  // when each was a member last
  uint32_t reported_members_ = 0;            // by daemons, until members_ goes back far enough
  size_t holders_ = 0;
  size_t long_holders_ = 0;   // of these, the ones whose requests of the last window are known
  double short_seconds_ = 0;  // sum of the times for which the others have lent their shares
  size_t young_holders_ = 0;  // holders whose process may have had another run in the window
  double young_seconds_ = 0;  // sum of the times for which these have run
  double share_seconds_ = 0;  // integral over time of the share that is held
  double lent_shares_ = 0;    // sum of all shares when they were lent
  TimePoint next_sweep_{};
  Counts counts_;
};

}  // namespace endivecleat

#endif  // ENDIVECLEAT_QUOTA_OWNER_H_
