// Each probe is identified by the nonce of its ping: a direct ping, then indirect pings after
// ping_timeout, then a failure after indirect_timeout.
#include "failure_detector.h"

#include <algorithm>
#include <utility>

namespace endivecleat {

FailureDetector::FailureDetector(FailureDetectorSettings settings, uint64_t seed, TimePoint now)
    : settings_(settings), random_(seed) {
  Reset(now);
}

void FailureDetector::Reset(TimePoint now) {
  probes_.clear();
  pinged_at_.clear();
  doubted_.clear();
  silent_.clear();
  const auto period = static_cast<uint64_t>(settings_.period.count());
  next_random_ping_ = now + Duration(static_cast<int64_t>(random_.Below(period)));
}

void FailureDetector::SetMembers(RingMember self, std::vector<RingMember> others) {
  self_ = self;
  ring_ = std::move(others);
  std::sort(ring_.begin(), ring_.end());
  std::set<MemberKey> present;
  for (const RingMember& member : ring_) {
    present.insert(member.key);
  }
  const auto gone = [&](MemberKey key) { return !present.contains(key); };
  std::erase_if(probes_, [&](const auto& item) { return gone(item.second.target); });
  std::erase_if(pinged_at_, [&](const auto& item) { return gone(item.first); });
  std::erase_if(doubted_, [&](const auto& item) { return gone(item.first); });
  std::erase_if(silent_, gone);
}

FailureDetector::Actions FailureDetector::Tick(TimePoint now) {
  Actions actions;
  AdvanceProbes(now, &actions);
  if (!ring_.empty()) {
    PingDoubted(now, &actions);
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
  silent_.erase(found->second.target);
  probes_.erase(found);
}

void FailureDetector::StartProbe(TimePoint now, MemberKey target, Actions* actions) {
  const auto nonce = static_cast<uint32_t>(random_.Next());
  probes_[nonce] = Probe{.target = target, .sent_at = now};
  pinged_at_[target] = now;
  actions->pings.push_back({target, nonce});
}

void FailureDetector::AdvanceProbes(TimePoint now, Actions* actions) {
  for (auto it = probes_.begin(); it != probes_.end();) {
    Probe& probe = it->second;
    if (now - probe.sent_at >= settings_.ping_timeout + settings_.indirect_timeout) {
      actions->failed.push_back(probe.target);
      doubted_.try_emplace(probe.target, Doubt{now, now + settings_.doubt_time});
      it = probes_.erase(it);
      continue;
    }
    if (!probe.indirect && now - probe.sent_at >= settings_.ping_timeout) {
      probe.indirect = true;
      silent_.insert(probe.target);
      for (size_t i = 0; i < settings_.indirect_pings && ring_.size() > 1; ++i) {
        const MemberKey through = ring_[random_.Below(ring_.size())].key;
        if (through != probe.target) {
          actions->indirect_pings.push_back({probe.target, through, it->first});
        }
      }
    }
    ++it;
  }
}

void FailureDetector::PingDoubted(TimePoint now, Actions* actions) {
  std::erase_if(doubted_, [now](const auto& item) { return now >= item.second.ends_at; });
  for (auto& [target, doubt] : doubted_) {
    if (now >= doubt.next_ping) {
      doubt.next_ping = now + settings_.doubt_interval;
      // This ping starts no probe: only a refutation ends the suspicion, not an ack.
      actions->pings.push_back({target, static_cast<uint32_t>(random_.Next())});
    }
  }
}

void FailureDetector::PingRandom(TimePoint now, Actions* actions) {
  if (now < next_random_ping_) {
    return;
  }
  next_random_ping_ = std::max(next_random_ping_ + settings_.period, now);
  StartProbe(now, ring_[random_.Below(ring_.size())].key, actions);
}

void FailureDetector::PingRing(TimePoint now, Actions* actions) {
  const auto after = std::upper_bound(ring_.begin(), ring_.end(), self_);
  const auto first = static_cast<size_t>(after - ring_.begin());
  // Each unresponsive successor extends the range by two members, so that the probes skip quickly
  // over adjacent members that failed together.
  size_t range = std::min(settings_.ring_pings, ring_.size());
  for (size_t i = 0; i < range; ++i) {
    const MemberKey target = ring_[(first + i) % ring_.size()].key;
    const auto pinged = pinged_at_.find(target);
    if (pinged == pinged_at_.end() || now - pinged->second >= settings_.period) {
      StartProbe(now, target, actions);
    }
    if (silent_.contains(target)) {
      range = std::min(range + 2, ring_.size());
    }
  }
}

}  // namespace endivecleat
