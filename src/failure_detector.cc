// Each probe is identified by the nonce of its ping: a direct ping, then indirect pings after
// ping_timeout, then a failure after indirect_timeout.
#include "failure_detector.h"

#include <algorithm>
#include <utility>

namespace endivecleat {
namespace {

// One in this many random pings that would cross regions does.
constexpr uint64_t kCrossRegionDivisor = 4;
// Consecutive probes without an ack in time that show a cause on this side. With half of all
// members lost at once, one such run in 256 comes about by chance.
constexpr size_t kLateProbesOfOwnCause = 8;

}  // namespace

FailureDetector::FailureDetector(FailureDetectorSettings settings, uint64_t seed, TimePoint now)
    : settings_(settings), random_(seed) {
  Reset(now);
}

void FailureDetector::Reset(TimePoint now) {
  probes_.clear();
  latest_probe_at_.clear();
  suspects_.clear();
  unresponsive_.clear();
  late_probes_ = 0;
  heard_at_.reset();
  const auto period = static_cast<uint64_t>(settings_.period.count());
  next_random_ping_ = now + Duration(static_cast<int64_t>(random_.Below(period)));
}

void FailureDetector::SetMembers(RingMember self, std::vector<RingMember> others) {
  self_ = self;
  ring_ = std::move(others);
  std::sort(ring_.begin(), ring_.end());
  std::set<MemberKey> listed;
  for (const RingMember& member : ring_) {
    listed.insert(member.key);
  }
  const auto gone = [&](MemberKey key) { return !listed.contains(key); };
  std::erase_if(probes_, [&](const auto& item) { return gone(item.second.member); });
  std::erase_if(latest_probe_at_, [&](const auto& item) { return gone(item.first); });
  std::erase_if(suspects_, [&](const auto& item) { return gone(item.first); });
  std::erase_if(unresponsive_, gone);
}

FailureDetector::Actions FailureDetector::Tick(TimePoint now) {
  Actions actions;
  AdvanceProbes(now, &actions);
  if (!ring_.empty()) {
    PingSuspects(now, &actions);
    PingRandom(now, &actions);
    PingRing(now, &actions);
  }
  return actions;
}

void FailureDetector::Acknowledge(uint32_t nonce) {
  const auto found = probes_.find(nonce);
  if (found == probes_.end()) {
    return;
  }
  if (!found->second.indirect) {
    RecordProbe(true);
  }
  unresponsive_.erase(found->second.member);
  probes_.erase(found);
}

void FailureDetector::RecordProbe(bool in_time) { late_probes_ = in_time ? 0 : late_probes_ + 1; }

// A member that is cut off, or the last one alive, hears nothing.
bool FailureDetector::own_packets_late(TimePoint now) const {
  return late_probes_ >= kLateProbesOfOwnCause && heard_at_ && now - *heard_at_ < settings_.period;
}

void FailureDetector::StartProbe(TimePoint now, MemberKey member, Actions* actions) {
  const auto nonce = static_cast<uint32_t>(random_.Next());
  probes_[nonce] = Probe{.member = member, .sent_at = now};
  latest_probe_at_[member] = now;
  actions->pings.push_back({member, nonce});
}

void FailureDetector::AdvanceProbes(TimePoint now, Actions* actions) {
  for (auto it = probes_.begin(); it != probes_.end();) {
    Probe& probe = it->second;
    if (now - probe.sent_at >= settings_.ping_timeout + settings_.indirect_timeout) {
      if (!own_packets_late(now)) {
        actions->failed.push_back(probe.member);
        suspects_.try_emplace(probe.member,
                              SuspectPings{now, now + settings_.suspect_ping_duration});
      }
      it = probes_.erase(it);
      continue;
    }
    if (!probe.indirect && now - probe.sent_at >= settings_.ping_timeout) {
      probe.indirect = true;
      RecordProbe(false);
      unresponsive_.insert(probe.member);
      if (own_packets_late(now)) {
        ++it;
        continue;
      }
      for (size_t i = 0; i < settings_.indirect_pings && ring_.size() > 1; ++i) {
        const MemberKey relay = ring_[random_.Below(ring_.size())].key;
        if (relay != probe.member) {
          actions->indirect_pings.push_back({probe.member, relay, it->first});
        }
      }
    }
    ++it;
  }
}

void FailureDetector::PingSuspects(TimePoint now, Actions* actions) {
  std::erase_if(suspects_, [now](const auto& item) { return now >= item.second.ends_at; });
  if (own_packets_late(now)) {
    return;
  }
  for (size_t sent = 0; sent < settings_.suspect_pings_per_tick; ++sent) {
    const auto next = std::min_element(suspects_.begin(), suspects_.end(),
                                       [](const auto& one, const auto& other) {
                                         return one.second.next_ping < other.second.next_ping;
                                       });
    if (next == suspects_.end() || now < next->second.next_ping) {
      return;
    }
    next->second.next_ping = now + settings_.suspect_ping_interval;
    // This ping starts no probe: only a refutation ends the suspicion, not an ack.
    actions->pings.push_back({next->first, static_cast<uint32_t>(random_.Next())});
  }
}

void FailureDetector::PingRandom(TimePoint now, Actions* actions) {
  if (now < next_random_ping_) {
    return;
  }
  next_random_ping_ = std::max(next_random_ping_ + settings_.period, now);
  StartProbe(now, RandomMember().key, actions);
}

// Mostly a member of the own region: the link to the other one is billed, and what crosses it once
// spreads there. A full datagram from each member every second would be most of its bytes.
const RingMember& FailureDetector::RandomMember() {
  const auto region = [](const RingMember& member) { return member.locality_rank >> kRegionShift; };
  const RingMember* member = &ring_[random_.Below(ring_.size())];
  if (region(*member) == region(self_) || random_.Below(kCrossRegionDivisor) == 0) {
    return *member;
  }
  const auto [first, last] = std::equal_range(
      ring_.begin(), ring_.end(), self_,
      [&](const RingMember& one, const RingMember& other) { return region(one) < region(other); });
  const auto own_region = static_cast<uint64_t>(last - first);
  return own_region == 0 ? *member : *(first + static_cast<ptrdiff_t>(random_.Below(own_region)));
}

void FailureDetector::PingRing(TimePoint now, Actions* actions) {
  const auto after = std::upper_bound(ring_.begin(), ring_.end(), self_);
  const auto first = static_cast<size_t>(after - ring_.begin());
  // Each unresponsive successor extends the range by two members, so that the probes skip quickly
  // over adjacent members that failed together.
  size_t range = std::min(settings_.ring_pings, ring_.size());
  const bool extend = !own_packets_late(now);
  size_t started = 0;
  for (size_t i = 0; i < range && started < settings_.ring_probes_per_tick; ++i) {
    const MemberKey member = ring_[(first + i) % ring_.size()].key;
    const auto latest = latest_probe_at_.find(member);
    if (latest == latest_probe_at_.end() || now - latest->second >= settings_.period) {
      StartProbe(now, member, actions);
      ++started;
    }
    if (extend && unresponsive_.contains(member)) {
      range = std::min(range + 2, ring_.size());
    }
  }
}

}  // namespace endivecleat
