// The choice of the owner and the messages to it; quota_client.cc has the rest.
#include <algorithm>
#include <cmath>
#include <utility>

#include "quota_client.h"
#include "quota_limits.h"

namespace endivecleat {
namespace {

// While the owner has no tokens, further requests are refused without a message.
constexpr Duration kMinRefusal = std::chrono::milliseconds(100);
constexpr Duration kMaxRefusal = std::chrono::milliseconds(300);
constexpr Duration kRetryInterval = std::chrono::milliseconds(100);
constexpr Duration kAvoidSilentOwner = std::chrono::seconds(2);
constexpr Duration kMaxAvoid = std::chrono::seconds(30);
constexpr Duration kForgetFailures = std::chrono::seconds(30);
constexpr Duration kAvoidStoppedOwner = std::chrono::seconds(5);
constexpr unsigned kMaxFailures = 2;
// An owner that is preferred to the current one takes over after this time; long enough for the
// views of the members to agree.
constexpr Duration kSettleTime = std::chrono::seconds(1);
// Messages for requests that wait: the average and the most at once. With about 350 bytes for a
// round trip, they stay under 2 kB/s.
constexpr double kMessagesPerSecond = 5;
constexpr double kMaxAllowance = 15;
// A message is sent in any case when requests have waited for this time.
constexpr Duration kLongWait = std::chrono::milliseconds(70);
// Stock of tokens: one for a tenant that was seen lately, and the demand of this time.
constexpr double kStockSeconds = 0.8;
constexpr double kMinStockRate = 0.02;  // one request was seen within the last 17 s
constexpr double kSingleTokenRate = 0.35;
constexpr uint32_t kSmallStock = 4;
constexpr double kBusyRate = 2;  // from here on a denied prefetch is repeated at once
constexpr Duration kPrefetchPause = std::chrono::seconds(2);
constexpr Duration kPrefetchPauseOfNewTenant = std::chrono::seconds(30);
constexpr Duration kRenewal = std::chrono::milliseconds(700);  // left when a token is renewed
double Seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

}  // namespace

void QuotaClient::SetOwners(TimePoint now, std::vector<InstanceId> owners) {
  owners_ = std::move(owners);
  std::erase_if(avoided_, [&](const auto& entry) {
    return entry.second.until + entry.second.time + kForgetFailures <= now;
  });
  ChooseOwner(now);
}

std::optional<InstanceId> QuotaClient::PreferredOwner(TimePoint now) const {
  for (const InstanceId& owner : owners_) {
    const auto avoided = avoided_.find(owner);
    if (avoided == avoided_.end() || avoided->second.until <= now) {
      return owner;
    }
  }
  return std::nullopt;
}

void QuotaClient::Avoid(TimePoint now, const InstanceId& owner, Duration time) {
  Avoided& avoided = avoided_[owner];
  avoided.time = std::clamp(2 * avoided.time, time, kMaxAvoid);
  avoided.until = now + avoided.time;
}

void QuotaClient::ChooseOwner(TimePoint now) {
  const std::optional<InstanceId> preferred = PreferredOwner(now);
  if (!owner_) {
    UseOwner(preferred);
  }
  if (!preferred || owner_ == preferred) {
    other_preferred_at_ = TimePoint::max();
  } else {
    other_preferred_at_ = std::min(other_preferred_at_, now);
  }
}

void QuotaClient::UseOwner(std::optional<InstanceId> owner) {
  if (owner == owner_) {
    return;
  }
  owner_ = std::move(owner);
  owner_run_ = 0;
  failures_ = 0;
  probed_.reset();
  other_preferred_at_ = TimePoint::max();
  retry_at_ = TimePoint{};
  hurry_ = true;
  ++counts_.owner_changes;
}

std::vector<uint32_t> QuotaClient::RecentUse(TimePoint now, TenantState& tenant) {
  CountUse(now, tenant, 0);
  // Uses of the second before this one may be of any age from 0 on.
  std::vector<uint32_t> recent(kUseSlots - 1);
  for (uint64_t back = 0; back < kUseSlots; ++back) {
    recent.at(back == 0 ? 0 : back - 1) +=
        tenant.used_by_second.at((tenant.second + kUseSlots - back) % kUseSlots);
  }
  while (!recent.empty() && recent.back() == 0) {
    recent.pop_back();
  }
  return recent;
}

bool QuotaClient::IsDue(TimePoint now) const {
  if (in_flight_ || stopped_ || now < retry_at_) {
    return false;
  }
  if (hurry_ || stopping_ || now >= next_period_) {
    return true;
  }
  const double allowance =
      std::min(allowance_ + Seconds(now - allowance_at_) * kMessagesPerSecond, kMaxAllowance);
  return waiting_ > 0 && (allowance >= 1 || waiting_since_ + kLongWait <= now);
}

std::optional<OutgoingQuotaRequest> QuotaClient::NextRequest(TimePoint now) {
  DropExpired(now);
  if (!HasLimits() || !IsDue(now)) {
    return std::nullopt;
  }
  ChooseOwner(now);
  if (!owner_) {
    retry_at_ = now + kRetryInterval;
    return std::nullopt;
  }
  const bool changes =
      other_preferred_at_ != TimePoint::max() && other_preferred_at_ + kSettleTime <= now;
  const std::optional<InstanceId> preferred = PreferredOwner(now);
  if (changes && preferred && probed_ != preferred && !stopping_) {
    return MakeProbe(now, *preferred);
  }
  OutgoingQuotaRequest outgoing;
  QuotaRequest& request = outgoing.request;
  outgoing.to = *owner_;
  request.from = self_;
  request.run = run_;
  request.sequence = ++sequence_;
  request.members = members();
  request.version = version_;
  if (stopping_) {
    request.purpose = QuotaPurpose::kStop;
    stopped_ = true;
  } else if (changes) {
    request.purpose = QuotaPurpose::kChangeOwner;
  } else {
    LendShare(now, request);
  }
  AddEntries(now, request);
  allowance_ =
      std::min(allowance_ + Seconds(now - allowance_at_) * kMessagesPerSecond, kMaxAllowance);
  allowance_at_ = now;
  allowance_ = std::max(allowance_ - 1, 0.0);
  in_flight_ = InFlight{request.sequence, now, changes, request.owner_run != 0, std::nullopt};
  next_period_ = now + kQuotaPeriod;
  hurry_ = false;
  waiting_since_ = now;
  ++counts_.messages;
  return outgoing;
}

// Asks whether an owner answers before the share is taken back from the current one.
OutgoingQuotaRequest QuotaClient::MakeProbe(TimePoint now, const InstanceId& owner) {
  OutgoingQuotaRequest outgoing;
  outgoing.to = owner;
  outgoing.request.from = self_;
  outgoing.request.run = run_;
  outgoing.request.sequence = ++sequence_;
  outgoing.request.members = members();
  outgoing.request.version = version_;
  in_flight_ = InFlight{sequence_, now, false, false, owner};
  ++counts_.messages;
  return outgoing;
}

void QuotaClient::LendShare(TimePoint now, QuotaRequest& request) {
  // After a failure the owner is only asked whether it answers: a promise would delay the change
  // to another one.
  if (owner_run_ == 0 || failures_ > 0 || (lends_ && lent_to_ != *owner_)) {
    return;
  }
  if (!lends_ || lent_to_run_ != owner_run_) {
    lent_since_ = now;
    introduced_ = false;
    for (auto& [id, tenant] : tenants_) {
      tenant.own_tokens = 0;
    }
  }
  request.owner_run = owner_run_;
  request.stamp = stamp_;
  request.running_for = std::min(now - started_at_.value_or(now), kQuotaMemberMemory);
  request.lent_for = std::min(now - lent_since_, kQuotaMemberMemory);
  lends_ = true;
  has_lent_ = true;
  holds_leased_ = true;
  lent_to_ = *owner_;
  lent_to_run_ = owner_run_;
  lent_until_ = now + kQuotaDelegation;
}

uint32_t QuotaClient::StockOf(const TenantState& tenant, TimePoint now) const {
  const double rate = RateOf(tenant, now);
  if (rate < kMinStockRate) {
    return 0;
  }
  return rate < kSingleTokenRate ? 1 : 1 + static_cast<uint32_t>(std::ceil(rate * kStockSeconds));
}

void QuotaClient::AddEntries(TimePoint now, QuotaRequest& request) {
  const bool introduces = request.owner_run != 0 && !introduced_;
  const bool gives_up = request.purpose != QuotaPurpose::kRequest;
  for (auto& [id, tenant] : tenants_) {
    const uint32_t stock = gives_up ? 0 : StockOf(tenant, now);
    QuotaEntry entry;
    entry.tenant = id;
    entry.quota = tenant.quota;
    uint32_t lasting = 0;  // tokens that need not be renewed yet
    for (const Lot& lot : tenant.lots) {
      entry.held += lot.expires_at > now ? lot.tokens : 0;
      lasting += lot.expires_at > now + kRenewal ? lot.tokens : 0;
    }
    // Of a larger stock twice as much is kept, so that a rate that varies does not cause messages.
    const uint32_t most = stock < kSmallStock ? stock : 2 * stock;
    while (entry.held > most || (gives_up && entry.held > 0)) {
      Lot& lot = tenant.lots.back();
      entry.held -= lot.expires_at > now ? 1 : 0;
      tenant.returned += lot.expires_at > now ? 1 : 0;
      if (--lot.tokens == 0) {
        tenant.lots.pop_back();
      }
    }
    entry.used = tenant.used;
    if (introduces) {
      entry.recent = RecentUse(now, tenant);
    }
    entry.returned = std::exchange(tenant.returned, 0);
    entry.urgent = gives_up ? 0 : static_cast<uint32_t>(tenant.waiting.size());
    if (lasting < stock && now >= tenant.prefetch_at) {
      entry.prefetch = stock - lasting;
      if (request.owner_run != 0 && RateOf(tenant, now) < kBusyRate) {
        // Until granted.
        tenant.prefetch_at = now + (tenant.seen ? kPrefetchPause : kPrefetchPauseOfNewTenant);
      }
    }
    const bool unknown = introduces && (entry.held > 0 || !entry.recent.empty());
    if (entry.returned + entry.urgent + entry.prefetch > 0 || tenant.changed || unknown) {
      request.entries.push_back(entry);
    }
    tenant.changed = false;
  }
}

void QuotaClient::Received(TimePoint now, uint64_t sequence, const QuotaReply& reply) {
  DropExpired(now);
  if (!in_flight_ || in_flight_->sequence != sequence) {
    return;
  }
  const InFlight sent = *std::exchange(in_flight_, std::nullopt);
  if (sent.probed) {
    probed_ = sent.probed;
    return;
  }
  failures_ = 0;
  answered_at_ = now;
  introduced_ = introduced_ || sent.introduces;
  members_ = reply.members;
  if (!Lends(now) || owner_run_ != reply.owner_run) {
    hurry_ = true;  // to lend the share at once
  }
  owner_run_ = reply.owner_run;
  stamp_ = reply.stamp;
  if (reply.released) {
    lent_until_ = std::min(lent_until_, now);
    if (!sent.changes_owner) {
      Avoid(now, *owner_, kAvoidStoppedOwner);
    }
    UseOwner(PreferredOwner(now));
    DropExpired(now);
    return;
  }
  const TimePoint expires_at = sent.sent_at + reply.lease;
  for (const QuotaGrant& grant : reply.grants) {
    const auto found = tenants_.find(grant.tenant);
    if (found == tenants_.end()) {
      continue;
    }
    TenantState& tenant = found->second;
    if (grant.tokens > 0 && expires_at > now) {
      tenant.lots.push_back({expires_at, grant.tokens});
      tenant.prefetch_at = TimePoint{};
    }
    tenant.wait_hint = grant.wait;
    Serve(now, grant.tenant, tenant);
    // An owner that does not hold all shares yet may have no tokens for that reason alone.
    if (grant.wait > Duration{} && HasOwner(now)) {
      tenant.refuse_until = now + std::clamp(grant.wait, kMinRefusal, kMaxRefusal);
      while (!tenant.waiting.empty() && GiveUpAt(now, tenant.waiting.back()) < now + grant.wait) {
        Decide(tenant.waiting.back().request, Refuse(now, tenant));
        tenant.waiting.pop_back();
        --waiting_;
      }
    }
  }
}

void QuotaClient::Failed(TimePoint now, uint64_t sequence) {
  DropExpired(now);
  if (!in_flight_ || in_flight_->sequence != sequence) {
    return;
  }
  const InFlight sent = *std::exchange(in_flight_, std::nullopt);
  ++counts_.failed_messages;
  if (sent.probed) {
    Avoid(now, *sent.probed, kAvoidSilentOwner);
    ChooseOwner(now);
    return;
  }
  ++failures_;
  retry_at_ = now + kRetryInterval;
  hurry_ = true;
  if (failures_ >= kMaxFailures || sent.changes_owner) {
    Avoid(now, *owner_, kAvoidSilentOwner);
    const std::optional<InstanceId> next = PreferredOwner(now);
    if (next) {
      UseOwner(next);
    }
    failures_ = 0;
  }
}

TimePoint QuotaClient::next_timer() const {
  if (!HasLimits()) {
    return TimePoint::max();
  }
  TimePoint next = TimePoint::max();
  if (!decisions_.empty()) {
    return now_;
  }
  if (!in_flight_ && !stopped_) {
    next = hurry_ || stopping_ ? retry_at_ : std::max(retry_at_, next_period_);
    if (waiting_ > 0) {
      const double missing = std::max(1 - allowance_, 0.0);
      const auto pause = std::chrono::duration_cast<Duration>(
          std::chrono::duration<double>(missing / kMessagesPerSecond));
      const TimePoint due = std::min(allowance_at_ + pause, waiting_since_ + kLongWait);
      next = std::min(next, std::max(retry_at_, due));
    }
  }
  if (lends_ && owner_ != lent_to_) {
    next = std::min(next, lent_until_);
  }
  if (waiting_ > 0) {
    for (const auto& [id, tenant] : tenants_) {
      for (const Waiting& waiting : tenant.waiting) {
        next = std::min(next, GiveUpAt(now_, waiting));
      }
    }
  }
  return next;
}

}  // namespace endivecleat
