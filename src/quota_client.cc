// Tokens and requests. Tokens are kept in lots by time of expiry; waiting requests are served in
// order of arrival. The messages to the owner are in quota_client_messages.cc.
#include "quota_client.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <string>

#include "quota_limits.h"

namespace endivecleat {
namespace {

// A round trip between regions takes 60 ms; a request that gets no token in this time would only
// become late.
constexpr Duration kMaxWait = std::chrono::milliseconds(150);
// Between regions, on links that are not full.
constexpr Duration kUsualReplyTime = std::chrono::milliseconds(100);
// While the owner's reply takes longer, as its link or processor may be busy. The message is given
// up after this time.
constexpr Duration kMaxWaitForLateReply = std::chrono::milliseconds(400);
// While there is no owner, after a start or a change of owners. These take up to kQuotaDelegation;
// the tenant is probably far below its limit.
constexpr Duration kMaxWaitWithoutOwner = std::chrono::seconds(1);
// The daemons lend their shares to a new owner within this time.
constexpr Duration kJoiningTime = kQuotaPeriod + std::chrono::milliseconds(100);
constexpr Duration kOwnerSilence = std::chrono::milliseconds(700);
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(200);
// After the end of a lending: for so long another owner may take the share, and the tokens with it,
// before the daemon uses its share itself.
constexpr Duration kIntroductionTime = std::chrono::seconds(1);
// Assumed of a tenant that is new in the configuration, so that its first requests find a token.
constexpr double kRateOfNewTenant = 0.1;
constexpr double kRateSeconds = 12;                          // time constant of the measured rate
constexpr Duration kLimitedPause = std::chrono::seconds(5);  // ends a limitation in the log
double Seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

}  // namespace

void QuotaClient::SetTenants(TimePoint now, ConfigVersion version, const TenantTable* tenants,
                             double part) {
  now_ = now;
  version_ = version;
  if (!started_at_) {
    started_at_ = now;
  }
  std::unordered_map<TenantId, TenantState> before = std::exchange(tenants_, {});
  if (tenants != nullptr) {
    for (const Tenant& tenant : tenants->tenants()) {
      if (!tenant.quota.limited()) {
        continue;
      }
      const TenantId id = TenantIdOf(tenant.name);
      TenantState& state = tenants_[id];
      const auto found = before.find(id);
      if (found != before.end()) {
        state = std::move(found->second);
        before.erase(found);
      } else {
        state.rate = kRateOfNewTenant;
        state.rate_at = now;
      }
      const TenantQuota quota = {tenant.quota.rate_per_second * part, tenant.quota.burst * part};
      const bool lower =
          quota.rate_per_second < state.quota.rate_per_second || quota.burst < state.quota.burst;
      if (lower) {
        for (const Lot& lot : state.lots) {
          state.returned += lot.tokens;
        }
        state.lots.clear();
        state.own_tokens = 0;
      }
      state.name = tenant.name;
      state.quota = quota;
    }
  }
  for (auto& [id, state] : before) {  // these have no limit any longer
    for (const Waiting& waiting : state.waiting) {
      Decide(waiting.request, {});
      --waiting_;
    }
  }
  hurry_ = hurry_ || !owner_;
}

void QuotaClient::DropExpired(TimePoint now) {
  now_ = std::max(now_, now);
  if (lends_ && lent_until_ <= now_) {
    lends_ = false;
    hurry_ = true;  // to lend the share to the current owner
  }
  if (lends_ || !holds_leased_ || now_ < lent_until_ + kIntroductionTime) {
    return;
  }
  holds_leased_ = false;
  for (auto& [id, tenant] : tenants_) {
    auto keep = static_cast<uint32_t>(OwnDepth(id, tenant));
    for (Lot& lot : tenant.lots) {
      const uint32_t kept = std::min(lot.tokens, keep);
      keep -= kept;
      counts_.expired += lot.tokens - kept;
      lot.tokens = kept;
    }
    std::erase_if(tenant.lots, [](const Lot& lot) { return lot.tokens == 0; });
  }
}

// Where less than one token of the depth falls to each daemon, only some daemons, chosen by a hash,
// may store one; otherwise the sum over all daemons would exceed the depth.
double QuotaClient::OwnDepth(TenantId id, const TenantState& tenant) const {
  if (members_ == 0) {
    return 0;
  }
  const double depth = UnknownPastLimitOf(tenant.quota);
  if (depth >= members()) {
    return depth / members();
  }
  const std::string text = self_.value() + "/" + std::to_string(id.value());
  return static_cast<double>(XXH3_64bits(text.data(), text.size()) % members()) < depth ? 1 : 0;
}

void QuotaClient::FillOwn(TimePoint now, TenantId id, TenantState& tenant) const {
  const TimePoint from = std::max(tenant.own_filled, lent_until_ + kIntroductionTime);
  tenant.own_filled = now;
  if (Lends(now) || members_ == 0 || !has_lent_ || now <= from) {
    return;
  }
  tenant.own_tokens =
      std::min(tenant.own_tokens + tenant.quota.rate_per_second / members() * Seconds(now - from),
               OwnDepth(id, tenant));
}

bool QuotaClient::TakeToken(TimePoint now, TenantId id, TenantState& tenant, QuotaToken& token) {
  while (!tenant.lots.empty() && tenant.lots.front().expires_at <= now) {
    counts_.expired += tenant.lots.front().tokens;
    tenant.lots.pop_front();
  }
  if (!tenant.lots.empty()) {
    Lot& lot = tenant.lots.front();
    token = {id, lot.expires_at};
    if (--lot.tokens == 0) {
      tenant.lots.pop_front();
    }
    tenant.changed = true;
    CountUse(now, tenant, 1);
    ++counts_.taken;
    return true;
  }
  FillOwn(now, id, tenant);
  if (tenant.own_tokens < 1) {
    return false;
  }
  tenant.own_tokens -= 1;
  CountUse(now, tenant, 1);
  token = {id, now};
  ++counts_.taken;
  return true;
}

void QuotaClient::CountUse(TimePoint now, TenantState& tenant, uint32_t tokens) {
  const auto second =
      static_cast<uint64_t>(now.time_since_epoch() / Duration(std::chrono::seconds(1)));
  for (; tenant.second < second && tenant.second + kUseSlots > second - 1; ++tenant.second) {
    tenant.used_by_second.at((tenant.second + 1) % kUseSlots) = 0;
  }
  if (tenant.second < second) {
    tenant.used_by_second.fill(0);
    tenant.second = second;
  }
  tenant.used_by_second.at(second % kUseSlots) += tokens;
  tenant.used += tokens;
}

double QuotaClient::RateOf(const TenantState& tenant, TimePoint now) const {
  return tenant.rate * std::exp(-Seconds(now - tenant.rate_at) / kRateSeconds);
}

QuotaAnswer QuotaClient::Take(TimePoint now, TenantId id, RequestNumber request,
                              TimePoint deadline) {
  DropExpired(now);
  const auto found = tenants_.find(id);
  if (found == tenants_.end()) {
    return {};
  }
  TenantState& tenant = found->second;
  tenant.rate = RateOf(tenant, now) + 1 / kRateSeconds;
  tenant.seen = true;
  tenant.rate_at = now;
  QuotaAnswer answer;
  if (tenant.waiting.empty() && TakeToken(now, id, tenant, answer.token)) {
    return answer;
  }
  if (now < tenant.refuse_until) {
    return Refuse(now, tenant);
  }
  tenant.waiting.push_back({request, now, deadline});
  waiting_since_ = waiting_ == 0 ? now : waiting_since_;
  ++waiting_;
  ++counts_.waited;
  answer.verdict = QuotaVerdict::kWait;
  return answer;
}

bool QuotaClient::HasOwner(TimePoint now) const {
  return Lends(now) && owner_ == lent_to_ && lent_since_ + kJoiningTime <= now && failures_ == 0 &&
         answered_at_ + kOwnerSilence > now;
}

TimePoint QuotaClient::GiveUpAt(TimePoint now, const Waiting& waiting) const {
  const bool reply_is_late = in_flight_ && in_flight_->sent_at + kUsualReplyTime <= now;
  const Duration most = !HasOwner(now)  ? kMaxWaitWithoutOwner
                        : reply_is_late ? kMaxWaitForLateReply
                                        : kMaxWait;
  return std::min(waiting.since + most, waiting.deadline);
}

void QuotaClient::Forget(TenantId id, RequestNumber request) {
  const auto found = tenants_.find(id);
  if (found != tenants_.end()) {
    waiting_ -= std::erase_if(found->second.waiting,
                              [&](const Waiting& waiting) { return waiting.request == request; });
  }
}

void QuotaClient::Return(TimePoint now, const QuotaToken& token) {
  DropExpired(now);
  const auto found = tenants_.find(token.tenant);
  // Without a share that is lent, the tokens stored here are limited; the token is lost.
  if (found == tenants_.end() || token.expires_at <= now || !Lends(now)) {
    return;
  }
  ++counts_.returned;
  TenantState& tenant = found->second;
  tenant.lots.push_front({token.expires_at, 1});
  std::sort(tenant.lots.begin(), tenant.lots.end(),
            [](const Lot& left, const Lot& right) { return left.expires_at < right.expires_at; });
  Serve(now, token.tenant, tenant);
}

QuotaAnswer QuotaClient::Refuse(TimePoint now, TenantState& tenant) {
  ++counts_.refused;
  ++tenant.refused;
  tenant.refused_at = now;
  if (!tenant.logged) {
    tenant.logged = true;
    events_.push_back({tenant.name, true, tenant.refused});
  }
  QuotaAnswer answer;
  answer.verdict = QuotaVerdict::kRefused;
  answer.retry_after = std::max(tenant.wait_hint, kMinRetryAfter);
  return answer;
}

void QuotaClient::Decide(RequestNumber request, const QuotaAnswer& answer) {
  decisions_.push_back({request, answer});
}

void QuotaClient::Serve(TimePoint now, TenantId id, TenantState& tenant) {
  QuotaAnswer answer;
  while (!tenant.waiting.empty() && TakeToken(now, id, tenant, answer.token)) {
    Decide(tenant.waiting.front().request, answer);
    tenant.waiting.pop_front();
    --waiting_;
  }
}

std::vector<QuotaDecision> QuotaClient::TakeDecisions(TimePoint now) {
  DropExpired(now);
  if (waiting_ > 0) {
    for (auto& entry : tenants_) {
      TenantState& tenant = entry.second;
      if (tenant.waiting.empty()) {
        continue;
      }
      Serve(now, entry.first, tenant);
      waiting_ -= std::erase_if(tenant.waiting, [&](const Waiting& waiting) {
        if (GiveUpAt(now, waiting) > now) {
          return false;
        }
        Decide(waiting.request, Refuse(now, tenant));
        return true;
      });
    }
  }
  return std::exchange(decisions_, {});
}

std::vector<QuotaEvent> QuotaClient::TakeEvents(TimePoint now) {
  for (auto& [id, tenant] : tenants_) {
    if (tenant.logged && tenant.refused_at + kLimitedPause <= now) {
      events_.push_back({tenant.name, false, tenant.refused});
      tenant.logged = false;
      tenant.refused = 0;
    }
  }
  return std::exchange(events_, {});
}

}  // namespace endivecleat
