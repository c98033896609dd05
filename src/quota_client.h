// The quota side of a daemon: holds the tokens that it has leased from the owner (QuotaOwner),
// decides which requests get one, and tells what to request. While no owner holds its share, 1 / N
// of each quota, the daemon uses that share itself. Does no I/O; see docs/design/quotas.md.
#ifndef ENDIVECLEAT_QUOTA_CLIENT_H_
#define ENDIVECLEAT_QUOTA_CLIENT_H_

#include <algorithm>
#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "call_types.h"
#include "quota_message.h"
#include "tenant_table.h"
#include "units.h"

namespace endivecleat {

/// The right to run one request.
struct QuotaToken {
  TenantId tenant;
  TimePoint expires_at{};
};

enum class QuotaVerdict { kGranted, kWait, kRefused };

struct QuotaAnswer {
  QuotaVerdict verdict = QuotaVerdict::kGranted;
  QuotaToken token;        // with kGranted
  Duration retry_after{};  // with kRefused: when a token is likely to be free
};

/// The answer to a request that had to wait.
struct QuotaDecision {
  RequestNumber request;
  QuotaAnswer answer;
};

/// A tenant begins to be limited at this daemon, or has not been for some time.
struct QuotaEvent {
  TenantName tenant;
  bool limited = false;
  uint64_t refused = 0;  // since it began
};

struct OutgoingQuotaRequest {
  InstanceId to;
  QuotaRequest request;
};

/// All times are of the boot clock of the machine, since leases have to expire while it is frozen.
class QuotaClient {
 public:
  struct Counts {
    uint64_t taken = 0;     // by requests
    uint64_t refused = 0;   // requests
    uint64_t waited = 0;    // requests
    uint64_t returned = 0;  // tokens of requests that no target ran
    uint64_t expired = 0;   // leased tokens
    uint64_t owner_changes = 0;
    uint64_t messages = 0;  // sent
    uint64_t failed_messages = 0;
  };

  /// `run` must differ between runs of the daemon and from 0.
  QuotaClient(InstanceId self, uint64_t run) : self_(std::move(self)), run_(run) {}

  /// The tenants of a new configuration; null: none. Tokens of tenants whose quota is not lower
  /// than before are kept.
  /// `part` of each quota applies to the processes that can share owners with this one.
  void SetTenants(TimePoint now, ConfigVersion version, const TenantTable* tenants,
                  double part = 1);
  /// The processes that may be the owner, the preferred one first.
  void SetOwners(TimePoint now, std::vector<InstanceId> owners);

  /// The daemons that this machine has known within kQuotaMemberMemory.
  void SetKnownMembers(size_t daemons) { known_members_ = static_cast<uint32_t>(daemons); }

  /// Asks for a token for a request of a tenant. With kWait, TakeDecisions returns the answer, at
  /// the latest shortly before `deadline`.
  QuotaAnswer Take(TimePoint now, TenantId tenant, RequestNumber request, TimePoint deadline);
  /// The caller of a waiting request has gone.
  void Forget(TenantId tenant, RequestNumber request);
  /// No target ran the request that took the token.
  void Return(TimePoint now, const QuotaToken& token);

  /// What is to be sent now. Each request must be followed by Received or Failed before the next
  /// one is due; late replies must be dropped.
  std::optional<OutgoingQuotaRequest> NextRequest(TimePoint now);
  void Received(TimePoint now, uint64_t sequence, const QuotaReply& reply);
  void Failed(TimePoint now, uint64_t sequence);
  /// The daemon stops: the next request gives its share back.
  void Stop() { stopping_ = true; }

  std::vector<QuotaDecision> TakeDecisions(TimePoint now);
  std::vector<QuotaEvent> TakeEvents(TimePoint now);
  /// When NextRequest or TakeDecisions has to be called again; TimePoint::max() if not at all.
  TimePoint next_timer() const;

  size_t waiting() const { return waiting_; }
  const std::optional<InstanceId>& owner() const { return owner_; }
  const Counts& counts() const { return counts_; }

 private:
  // The window of 5 s and the second under way.
  static constexpr uint64_t kUseSlots = 6;

  struct Lot {
    TimePoint expires_at;
    uint32_t tokens;
  };
  struct Waiting {
    RequestNumber request;
    TimePoint since;
    TimePoint deadline;
  };
  struct TenantState {
    TenantName name;
    TenantQuota quota;
    std::deque<Lot> lots;                              // ascending by expiry
    uint32_t returned = 0;                             // tokens to give back with the next message
    bool changed = false;                              // tokens were used since the latest message
    uint64_t used = 0;                                 // tokens, in this run
    std::array<uint32_t, kUseSlots> used_by_second{};  // by second modulo kUseSlots
    uint64_t second = 0;                               // the newest
    double rate = 0;          // requests per second at this daemon, averaged
    TimePoint rate_at{};      // time of `rate`
    bool seen = false;        // a request of the tenant has come
    TimePoint prefetch_at{};  // earliest time of the next prefetch
    std::deque<Waiting> waiting;
    TimePoint refuse_until{};  // the owner has no tokens until then
    Duration wait_hint{};
    double own_tokens = 0;  // from the own share
    TimePoint own_filled{};
    TimePoint refused_at{};  // the latest refusal
    uint64_t refused = 0;    // since the tenant began to be limited; 0: it is not
    bool logged = false;     // that it began
  };
  struct InFlight {
    uint64_t sequence;
    TimePoint sent_at;
    bool changes_owner;
    bool introduces;
    std::optional<InstanceId> probed;
  };

  uint32_t members() const { return std::max(members_, known_members_); }
  bool HasLimits() const { return !tenants_.empty(); }
  /// Whether the owner of the share answers.
  bool HasOwner(TimePoint now) const;
  TimePoint GiveUpAt(TimePoint now, const Waiting& waiting) const;
  bool Lends(TimePoint now) const { return lends_ && now < lent_until_; }
  /// When the share is not lent and no owner has taken it in time: keeps only the tokens that the
  /// own share allows to store.
  void DropExpired(TimePoint now);
  void ChooseOwner(TimePoint now);
  std::optional<InstanceId> PreferredOwner(TimePoint now) const;
  void Avoid(TimePoint now, const InstanceId& owner, Duration time);
  OutgoingQuotaRequest MakeProbe(TimePoint now, const InstanceId& owner);
  void UseOwner(std::optional<InstanceId> owner);
  bool IsDue(TimePoint now) const;
  void LendShare(TimePoint now, QuotaRequest& request);
  void AddEntries(TimePoint now, QuotaRequest& request);
  static std::vector<uint32_t> RecentUse(TimePoint now, TenantState& tenant);
  static void CountUse(TimePoint now, TenantState& tenant, uint32_t tokens);
  uint32_t StockOf(const TenantState& tenant, TimePoint now) const;
  double RateOf(const TenantState& tenant, TimePoint now) const;
  bool TakeToken(TimePoint now, TenantId id, TenantState& tenant, QuotaToken& token);
  void FillOwn(TimePoint now, TenantId id, TenantState& tenant) const;
  double OwnDepth(TenantId id, const TenantState& tenant) const;
  QuotaAnswer Refuse(TimePoint now, TenantState& tenant);
  void Serve(TimePoint now, TenantId id, TenantState& tenant);
  void Decide(RequestNumber request, const QuotaAnswer& answer);

  InstanceId self_;
  uint64_t run_;
  uint64_t sequence_ = 0;
  ConfigVersion version_;
  std::unordered_map<TenantId, TenantState> tenants_;  // those with a limit
  size_t waiting_ = 0;
  TimePoint waiting_since_{};  // the first request, or the latest message
  std::vector<QuotaDecision> decisions_;
  std::vector<QuotaEvent> events_;

  std::vector<InstanceId> owners_;
  struct Avoided {
    TimePoint until;
    Duration time;  // doubles with each failure
  };
  std::map<InstanceId, Avoided> avoided_;  // owners that did not answer or stop
  std::optional<InstanceId> owner_;
  std::optional<InstanceId> probed_;                 // another owner that answers
  TimePoint other_preferred_at_ = TimePoint::max();  // since when another owner is preferred
  uint64_t owner_run_ = 0;                           // from its latest reply; 0 without one
  TimePoint stamp_{};
  TimePoint answered_at_{};
  unsigned failures_ = 0;  // consecutive
  uint32_t members_ = 0;   // from the latest reply
  uint32_t known_members_ = 0;
  std::optional<InFlight> in_flight_;
  TimePoint next_period_{};
  TimePoint retry_at_{};
  bool hurry_ = false;     // the next request is due at once
  double allowance_ = 15;  // of requests for tokens that are missing
  TimePoint allowance_at_{};

  // The share is lent to lent_to_, and must not be used or lent to another owner before.
  bool lends_ = false;
  bool has_lent_ = false;
  std::optional<TimePoint> started_at_;  // of the first quotas
  bool holds_leased_ = false;            // tokens that an owner leased may be left
  bool introduced_ = false;              // the owner knows what was used in the last window
  InstanceId lent_to_;
  uint64_t lent_to_run_ = 0;
  TimePoint lent_since_{};
  TimePoint lent_until_{};
  bool stopping_ = false;
  bool stopped_ = false;
  TimePoint now_{};
  Counts counts_;
};

}  // namespace endivecleat

#endif  // ENDIVECLEAT_QUOTA_CLIENT_H_
