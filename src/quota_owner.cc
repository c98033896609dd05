// Buckets are filled when they are used, from the integral of the share that the owner has held.
#include "quota_owner.h"

#include <algorithm>
#include <cmath>

#include "quota_limits.h"

namespace endivecleat {
namespace {

// Daemons report the size of the mesh to an owner that may not know all members yet.
constexpr Duration kLearningTime = std::chrono::seconds(5);
constexpr Duration kSweepInterval = std::chrono::milliseconds(250);
// Prefetched tokens are at most this part of the depth, so that tokens for requests that wait still
// accrue.
constexpr double kMaxLeasedPart = 0.75;
// Time constant with which refused tokens are forgotten; callers return about that late.
constexpr double kMissingSeconds = 1;
// A daemon asks again after this time at the latest.
constexpr Duration kMaxWait = std::chrono::seconds(2);
constexpr Duration kMinWait = std::chrono::milliseconds(20);

}  // namespace

size_t QuotaOwner::members() const {
  return std::max({members_.size(), holders_, static_cast<size_t>(reported_members_), size_t{1}});
}

void QuotaOwner::SetMembers(TimePoint now, const std::vector<InstanceId>& daemons) {
  Advance(now);
  for (const InstanceId& daemon : daemons) {
    members_[daemon] = now;
  }
  std::erase_if(members_, [&](const auto& entry) {
    return entry.second + kQuotaMemberMemory < now;
  });
  if (started_ + kQuotaMemberMemory < now) {
    reported_members_ = 0;
  }
}

// Shares that have expired meanwhile do not count for any of the time, so that a frozen owner
// counts too little rather than too much.
void QuotaOwner::Advance(TimePoint now) {
  if (now <= now_) {
    return;
  }
  bool lost = false;
  long_holders_ = 0;
  for (auto& [instance, daemon] : daemons_) {
    if (daemon.lends && daemon.lends_until <= now) {
      daemon.lends = false;
      --holders_;
      lost = true;
    }
  }
  const double seconds = std::chrono::duration<double>(now - now_).count();
  share_seconds_ += seconds * static_cast<double>(holders_) / static_cast<double>(members());
  now_ = now;
  for (const auto& [instance, daemon] : daemons_) {
    long_holders_ += LendsForLong(daemon) ? 1 : 0;
  }
  if (lost) {
    for (auto& [tenant, bucket] : buckets_) {
      Fill(bucket);
    }
  }
}

bool QuotaOwner::LendsForLong(const Daemon& daemon) const {
  return daemon.lends && daemon.lends_since + kQuotaLease <= now_;
}

void QuotaOwner::Tick(TimePoint now) {
  Advance(now);
  if (now < next_sweep_) {
    return;
  }
  next_sweep_ = now + kSweepInterval;
  for (auto& [instance, daemon] : daemons_) {
    std::erase_if(daemon.leases, [&](const auto& entry) {
      if (entry.second.expires_at > now) {
        return false;
      }
      buckets_[entry.first].leased -= entry.second.tokens;
      counts_.expired += entry.second.tokens;
      return true;
    });
  }
  std::erase_if(daemons_, [&](const auto& entry) {
    const Daemon& daemon = entry.second;
    return !daemon.lends && daemon.leases.empty() && daemon.lends_until + kQuotaMemberMemory < now;
  });
}

void QuotaOwner::Stop() {
  stopped_ = true;
  for (auto& [instance, daemon] : daemons_) {
    TakeBackShare(daemon);
  }
}

void QuotaOwner::TakeBackShare(Daemon& daemon) {
  if (!daemon.lends) {
    return;
  }
  long_holders_ -= LendsForLong(daemon) ? 1 : 0;
  daemon.lends = false;
  --holders_;
  for (auto& [tenant, bucket] : buckets_) {
    Fill(bucket);
  }
}

// The stamp shows that the request was sent after a reply that this owner sent at that time. The
// daemon's promise, which lasts from the sending of the request, therefore lasts at least as long
// from the stamp on, however long the request was under way.
void QuotaOwner::UpdateShare(Daemon& daemon, const QuotaRequest& request) {
  if (stopped_ || request.owner_run != run_ || request.stamp + kQuotaDelegation <= now_) {
    return;
  }
  // The daemon knows better than the owner whether it lent its share to others meanwhile.
  daemon.lends_since = now_ - request.lent_for;
  if (!daemon.lends) {
    daemon.lends = true;
    ++holders_;
    if (request.fresh) {
      fresh_shares_ += 1 / static_cast<double>(members());
    }
  }
  daemon.lends_until = std::max(daemon.lends_until, request.stamp + kQuotaDelegation);
}

QuotaReply QuotaOwner::Receive(TimePoint now, const QuotaRequest& request) {
  Advance(now);
  ++counts_.requests;
  QuotaReply reply;
  reply.owner_run = run_;
  reply.stamp = now_;
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
  if (now_ < started_ + kLearningTime) {
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
  reply.lease = LendsForLong(daemon) ? kQuotaLease : kQuotaShortLease;
  for (const QuotaEntry& entry : request.entries) {
    Grant(daemon, entry, request.version, reply);
  }
  reply.members = static_cast<uint32_t>(members());
  return reply;
}

void QuotaOwner::DropLeases(Daemon& daemon) {
  for (const auto& [tenant, lease] : daemon.leases) {
    buckets_[tenant].leased -= lease.tokens;
    counts_.expired += lease.tokens;
  }
  daemon.leases.clear();
}

void QuotaOwner::Grant(Daemon& daemon, const QuotaEntry& entry, ConfigVersion version,
                       QuotaReply& reply) {
  const auto [found, added] = buckets_.try_emplace(entry.tenant);
  Bucket& bucket = found->second;
  // A new bucket is filled from the start of this owner on: nothing was taken from it.
  if (added || version > bucket.version) {
    if (!added) {
      Fill(bucket);
    }
    bucket.quota = entry.quota;
    bucket.version = version;
  }
  SetLease(daemon, bucket, entry.tenant, entry.held, now_ + kQuotaLease);
  bucket.tokens += entry.returned;
  counts_.returned += entry.returned;
  Fill(bucket);
  if (reply.released) {
    return;
  }
  const auto available = static_cast<uint32_t>(std::max(std::floor(bucket.tokens), 0.0));
  const uint32_t urgent = std::min(entry.urgent, available);
  uint32_t prefetch = 0;
  const double room =
      std::floor(kMaxLeasedPart * Depth(bucket.quota) - static_cast<double>(bucket.leased));
  if (room >= 1) {
    const uint32_t half = (available - urgent + 1) / 2;
    prefetch = std::min({entry.prefetch, half, static_cast<uint32_t>(room)});
  }
  const uint32_t tokens = urgent + prefetch;
  bucket.tokens -= tokens;
  counts_.granted += tokens;
  counts_.refused += entry.urgent - urgent;
  Duration wait{};
  if (urgent < entry.urgent) {
    wait = ExpectedWait(bucket, entry.urgent - urgent);
  }
  if (tokens > 0) {
    SetLease(daemon, bucket, entry.tenant, entry.held + tokens, now_ + kQuotaLease);
  }
  if (tokens > 0 || wait > Duration{}) {
    reply.grants.push_back({entry.tenant, tokens, wait});
  }
}

Duration QuotaOwner::ExpectedWait(Bucket& bucket, uint32_t missing) const {
  const double passed = std::chrono::duration<double>(now_ - bucket.missing_at).count();
  bucket.missing = bucket.missing * std::exp(-passed / kMissingSeconds) + missing;
  bucket.missing_at = now_;
  const double rate = bucket.quota.rate_per_second * static_cast<double>(holders_) /
                      static_cast<double>(members());
  const double most = std::chrono::duration<double>(kMaxWait).count();
  const double seconds = rate <= 0 ? most : std::min(bucket.missing / rate, most);
  return std::max(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds)),
                  kMinWait);
}

void QuotaOwner::SetLease(Daemon& daemon, Bucket& bucket, TenantId tenant, uint32_t tokens,
                          TimePoint expires_at) {
  Lease& lease = daemon.leases[tenant];
  bucket.leased += tokens;
  bucket.leased -= lease.tokens;
  lease = {tokens, expires_at};
}

double QuotaOwner::Depth(const TenantQuota& quota) const {
  const QuotaDepth depth = DepthOf(quota);
  const auto all = static_cast<double>(members());
  const auto lent_for_long = static_cast<double>(long_holders_);
  const double lent_since = static_cast<double>(holders_) - lent_for_long;
  return (depth.steady * lent_for_long + depth.margin * lent_since) / all;
}

void QuotaOwner::Fill(Bucket& bucket) const {
  const double fresh = DepthOf(bucket.quota).margin * (fresh_shares_ - bucket.fresh);
  bucket.tokens += bucket.quota.rate_per_second * (share_seconds_ - bucket.filled) + fresh;
  bucket.filled = share_seconds_;
  bucket.fresh = fresh_shares_;
  const double most = Depth(bucket.quota) - static_cast<double>(bucket.leased);
  bucket.tokens = std::clamp(bucket.tokens, 0.0, std::max(most, 0.0));
}

}  // namespace endivecleat
