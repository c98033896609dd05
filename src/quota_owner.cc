// Buckets are filled when they are used, from the integral of the share that the owner has held.
#include "quota_owner.h"

#include <algorithm>
#include <cmath>

#include "quota_limits.h"

namespace endivecleat {
namespace {

constexpr Duration kSweepInterval = std::chrono::seconds(1);
constexpr Duration kSlotLength = std::chrono::milliseconds(250);
// The requests of a daemon are known from the window before it lent its share on; the rest is the
// time of a change of owners.
constexpr Duration kPastKnownAfter = kQuotaWindow + std::chrono::seconds(1);
// A use is reported this long after the end of its lease at the latest, unless the daemon is cut
// off.
constexpr Duration kReportTime = std::chrono::milliseconds(1500);
// A bucket with more than this part of its depth belongs to a tenant below its limit. Its daemons
// may hold tokens in stock, up to a part of the window's limit.
constexpr double kCalmPart = 0.5;
constexpr double kMaxStockPart = 0.95;
constexpr double kMaxStockPartAfterChange = 0.7;
// Tokens in stock cannot be taken back. The requests of a window vary by about the square root of
// their number, so this multiple of it is kept for requests that find no token in stock.
constexpr double kReservedDeviations = 2.5;
constexpr double kUsualPartOfRate = 0.65;
// More than the burst, so that a tenant near its limit does not alternate between refusals and
// unused capacity.
constexpr double kExtraDepth = 10;
// Time constant with which refused tokens are forgotten; callers return about that late.
constexpr double kMissingSeconds = 1;
constexpr Duration kMaxWait = std::chrono::seconds(2);
constexpr Duration kMinWait = std::chrono::milliseconds(20);

double Seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

uint32_t WholeTokens(double tokens) { return static_cast<uint32_t>(std::max(tokens, 0.0)); }

}  // namespace

size_t QuotaOwner::members() const {
  return std::max({members_.size(), holders_, static_cast<size_t>(reported_members_), size_t{1}});
}

double QuotaOwner::Share() const {
  return static_cast<double>(holders_) / static_cast<double>(members());
}

void QuotaOwner::SetMembers(TimePoint now, const std::vector<InstanceId>& daemons) {
  Advance(now);
  for (const InstanceId& daemon : daemons) {
    members_[daemon] = now;
  }
  std::erase_if(members_,
                [&](const auto& entry) { return entry.second + kQuotaMemberMemory < now; });
  if (started_ + kQuotaMemberMemory < now) {
    reported_members_ = 0;
  }
}

// Shares that have expired meanwhile do not count for any of the time, so that a frozen owner
// counts too little rather than too much.
void QuotaOwner::Advance(TimePoint now) {
  for (auto& [instance, daemon] : daemons_) {
    if (daemon.lends && daemon.lends_until <= now) {
      daemon.lends = false;
      --holders_;
    }
  }
  if (now > now_) {
    share_seconds_ += Seconds(now - now_) * Share();
    now_ = now;
  }
  long_holders_ = 0;
  short_seconds_ = 0;
  young_holders_ = 0;
  young_seconds_ = 0;
  for (const auto& [instance, daemon] : daemons_) {
    if (daemon.lends && daemon.lends_since + kPastKnownAfter <= now_) {
      ++long_holders_;
    } else if (daemon.lends) {
      short_seconds_ += Seconds(now_ - daemon.lends_since);
    }
    if (daemon.lends && daemon.runs_since + kPastKnownAfter > now_) {
      ++young_holders_;
      young_seconds_ += Seconds(now_ - daemon.runs_since);
    }
  }
}

void QuotaOwner::Tick(TimePoint now) {
  Advance(now);
  if (now < next_sweep_) {
    return;
  }
  next_sweep_ = now + kSweepInterval;
  for (auto& [instance, daemon] : daemons_) {
    for (auto& [tenant, lease] : daemon.leases) {
      if (lease.tokens == 0 || lease.expires_at + kReportTime > now) {
        continue;
      }
      Bucket& bucket = buckets_[tenant];
      bucket.leased -= lease.tokens;
      counts_.expired += lease.tokens;
      if (daemon.heard_at < lease.expires_at) {
        CountUsed(bucket, lease.tokens);  // the daemon is cut off and may have used them
      }
      lease.tokens = 0;
    }
  }
  std::erase_if(daemons_, [&](const auto& entry) {
    return !entry.second.lends && entry.second.heard_at + kQuotaMemberMemory < now;
  });
}

void QuotaOwner::Stop() {
  stopped_ = true;
  for (auto& [instance, daemon] : daemons_) {
    TakeBackShare(daemon);
  }
}

void QuotaOwner::TakeBackShare(Daemon& daemon) {
  if (daemon.lends) {
    daemon.lends = false;
    --holders_;
    Advance(now_);
  }
}

// The stamp shows that the request was sent after a reply that this owner sent at that time. The
// daemon's promise, which lasts from the sending of the request, therefore lasts at least as long
// from the stamp on, however long the request was under way.
void QuotaOwner::UpdateShare(Daemon& daemon, const QuotaRequest& request) {
  if (stopped_ || members_.empty() || request.owner_run != run_ ||
      request.stamp + kQuotaDelegation <= now_) {
    return;
  }
  if (!daemon.lends) {
    daemon.lends = true;
    ++holders_;
    if (request.lent_for < kQuotaPeriod) {
      lent_shares_ += 1 / static_cast<double>(members());
    }
  }
  // The daemon knows whether it lent its share to others meanwhile.
  daemon.lends_since = now_ - request.lent_for;
  daemon.runs_since = now_ - request.running_for;
  daemon.lends_until = std::max(daemon.lends_until, request.stamp + kQuotaDelegation);
  Advance(now_);
}

QuotaReply QuotaOwner::Receive(TimePoint now, const QuotaRequest& request) {
  Advance(now);
  ++counts_.requests;
  QuotaReply reply;
  reply.owner_run = run_;
  reply.stamp = now_;
  reply.lease = kQuotaLease;
  const auto [found, added] = daemons_.try_emplace(request.from);
  Daemon& daemon = found->second;
  if (daemon.run != request.run) {
    if (!added) {
      TakeBackShare(daemon);  // the run that lent it has ended
      DropLeases(daemon);
    }
    daemon.run = request.run;
    daemon.sequence = 0;
  }
  if (request.sequence <= daemon.sequence) {
    reply.members = static_cast<uint32_t>(members());
    return reply;  // arrived late or twice
  }
  daemon.sequence = request.sequence;
  const bool was_absent = daemon.heard_at + kPastKnownAfter < now_;
  daemon.heard_at = now_;
  TimePoint present_since{};
  if (request.owner_run == run_) {
    present_since = now_ - request.lent_for;
  } else if (was_absent) {
    present_since = now_;
  }
  if (now_ < started_ + kQuotaMemberMemory) {
    reported_members_ = std::max(reported_members_, request.members);
  }
  if (request.purpose == QuotaPurpose::kRequest) {
    UpdateShare(daemon, request);
  } else {
    TakeBackShare(daemon);
    if (request.purpose == QuotaPurpose::kStop) {
      members_.erase(request.from);
    }
  }
  reply.released = stopped_ || request.purpose != QuotaPurpose::kRequest;
  for (const QuotaEntry& entry : request.entries) {
    Bucket& bucket = FindBucket(entry, request.version);
    Report(daemon, bucket, entry, present_since);
    if (!reply.released) {
      Grant(daemon, bucket, entry, reply);
    }
  }
  reply.members = static_cast<uint32_t>(members());
  return reply;
}

// The run that held the tokens has ended. It may have used them just before.
void QuotaOwner::DropLeases(Daemon& daemon) {
  for (const auto& [tenant, lease] : daemon.leases) {
    Bucket& bucket = buckets_[tenant];
    bucket.leased -= lease.tokens;
    counts_.expired += lease.tokens;
    CountUsed(bucket, lease.tokens);
  }
  daemon.leases.clear();
}

// A new bucket is filled from the start of this owner on: nothing was taken from it.
QuotaOwner::Bucket& QuotaOwner::FindBucket(const QuotaEntry& entry, ConfigVersion version) {
  const auto [found, added] = buckets_.try_emplace(entry.tenant);
  Bucket& bucket = found->second;
  if (added || version > bucket.version) {
    Fill(bucket);
    bucket.quota = entry.quota;
    bucket.version = version;
  }
  Fill(bucket);
  return bucket;
}

// After a long absence of the daemon, the difference to its last report here is mostly what it used
// of the tokens of other owners; the part of the last window is in entry.recent.
void QuotaOwner::Report(Daemon& daemon, Bucket& bucket, const QuotaEntry& entry,
                        TimePoint present_since) {
  const auto [found, added] = daemon.leases.try_emplace(entry.tenant);
  Lease& lease = found->second;
  const bool known = !added && lease.reported_at + kPastKnownAfter >= present_since;
  const uint64_t used_since = known && entry.used > lease.used ? entry.used - lease.used : 0;
  if (entry.recent.empty()) {
    CountUsed(bucket, used_since);
  }
  for (size_t seconds = 0; seconds < entry.recent.size(); ++seconds) {
    CountUsed(bucket, entry.recent[seconds], std::chrono::seconds(seconds));
    bucket.introduced += entry.recent[seconds];
  }
  bucket.introduced += added ? entry.held : 0;
  bucket.tokens -= static_cast<double>(used_since);
  counts_.returned += entry.returned;
  bucket.leased += entry.held;
  bucket.leased -= lease.tokens;
  lease = {entry.held, entry.used, now_, now_ + kQuotaLease};
}

void QuotaOwner::Grant(Daemon& daemon, Bucket& bucket, const QuotaEntry& entry, QuotaReply& reply) {
  const double limit = WindowLimit(bucket);
  const auto leased = static_cast<double>(bucket.leased);
  const double taken = leased + static_cast<double>(bucket.used_in_window);
  const uint32_t room = WholeTokens(limit - taken);
  const bool calm = bucket.tokens >= kCalmPart * Depth(bucket.quota);
  const uint32_t available = calm ? room : std::min(room, WholeTokens(bucket.tokens - leased));
  const uint32_t urgent = std::min(entry.urgent, available);
  const double stock_part = long_holders_ == holders_ ? kMaxStockPart : kMaxStockPartAfterChange;
  const double usual =
      kUsualPartOfRate * bucket.quota.rate_per_second * Share() * Seconds(kQuotaWindow);
  const double stock_limit =
      std::min(stock_part * limit, limit - kReservedDeviations * std::sqrt(usual));
  // A tenant at its limit gets half of the rest, so that tokens remain for other daemons.
  const uint32_t prefetch =
      std::min(entry.prefetch,
               calm ? WholeTokens(stock_limit - taken - urgent) : (available - urgent + 1) / 2);
  const uint32_t tokens = urgent + prefetch;
  counts_.granted += tokens;
  counts_.refused += entry.urgent - urgent;
  const Duration wait =
      urgent < entry.urgent ? ExpectedWait(bucket, entry.urgent - urgent) : Duration{};
  if (tokens > 0) {
    bucket.leased += tokens;
    daemon.leases[entry.tenant].tokens += tokens;
  }
  if (tokens > 0 || wait > Duration{}) {
    reply.grants.push_back({entry.tenant, tokens, wait});
  }
}

void QuotaOwner::CountUsed(Bucket& bucket, uint64_t tokens, Duration age) {
  const auto slot = static_cast<uint64_t>(now_.time_since_epoch() / kSlotLength);
  const uint64_t passed = std::min<uint64_t>(slot - bucket.slot, kSlots);
  for (uint64_t step = 1; step <= passed; ++step) {
    uint32_t& oldest = bucket.used.at((slot - passed + step) % kSlots);
    bucket.used_in_window -= oldest;
    oldest = 0;
  }
  bucket.slot = slot;
  const auto slots_ago = static_cast<uint64_t>(age / kSlotLength);
  if (slots_ago < kSlots) {
    bucket.used.at((slot - slots_ago) % kSlots) += static_cast<uint32_t>(tokens);
    bucket.used_in_window += tokens;
  }
}

Duration QuotaOwner::ExpectedWait(Bucket& bucket, uint32_t missing) const {
  const double passed = Seconds(now_ - bucket.missing_at);
  bucket.missing = bucket.missing * std::exp(-passed / kMissingSeconds) + missing;
  bucket.missing_at = now_;
  const double rate = bucket.quota.rate_per_second * Share();
  const double most = Seconds(kMaxWait);
  const double seconds = rate <= 0 ? most : std::min(bucket.missing / rate, most);
  return std::max(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds)),
                  kMinWait);
}

double QuotaOwner::Depth(const TenantQuota& quota) const {
  return (quota.burst + kExtraDepth) * Share();
}

// Of shares that were lent lately, the past of the daemons that lent them is known, but not that of
// others which the owner before served from them.
double QuotaOwner::WindowLimit(const Bucket& bucket) const {
  const TenantQuota& quota = bucket.quota;
  const double limit = WindowLimitOf(quota);
  const auto short_holders = static_cast<double>(holders_ - long_holders_);
  const double of_short = short_holders * UnknownPastLimitOf(quota) +
                          quota.rate_per_second * short_seconds_ +
                          bucket.introduced * static_cast<double>(members());
  // A daemon that was restarted does not report what its run before used.
  const auto young = static_cast<double>(young_holders_);
  const double of_young = std::min(
      young * UnknownPastLimitOf(quota) + quota.rate_per_second * young_seconds_, young * limit);
  const double most_of_short = of_young + limit * std::max(short_holders - young, 0.0);
  return (limit * static_cast<double>(long_holders_) + std::min(of_short, most_of_short)) /
         static_cast<double>(members());
}

// A share that is lent comes with its part of the depth, since the window holds the bound.
void QuotaOwner::Fill(Bucket& bucket) {
  CountUsed(bucket, 0);
  bucket.introduced = long_holders_ == holders_ ? 0 : bucket.introduced;
  bucket.tokens += bucket.quota.rate_per_second * (share_seconds_ - bucket.filled) +
                   (bucket.quota.burst + kExtraDepth) * (lent_shares_ - bucket.lent);
  bucket.filled = share_seconds_;
  bucket.lent = lent_shares_;
  bucket.tokens = std::clamp(bucket.tokens, -WindowLimitOf(bucket.quota), Depth(bucket.quota));
}

}  // namespace endivecleat
