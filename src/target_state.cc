// Transitions come from charts/target.chart; this file adds the timers, counters and flags that
// decide which events are passed to it.
#include "target_state.h"

#include <algorithm>

namespace endivecleat {
namespace {

const StateChart& TargetChart() {
  static const StateChart chart(
#include "target.chart"
  );
  return chart;
}

}  // namespace

AnnouncedTarget::AnnouncedTarget(TargetSettings settings)
    : settings_(settings), state_(TargetStateFromName(TargetChart().initial())) {}

void AnnouncedTarget::HandleEvent(TimePoint now, const std::string& event) {
  const TargetState next = TargetStateFromName(TargetChart().Next(TargetStateName(state_), event));
  if (next == state_) {
    return;
  }
  state_ = next;
  consecutive_failed_probes_ = 0;
  if (state_ == TargetState::kWarming) {
    warming_since_ = now;
    next_probe_ = now;
  }
}

void AnnouncedTarget::Announce(TimePoint now, const Announcement& announcement) {
  const bool replaced = announcement.target != announcement_.target ||
                        announcement.address != announcement_.address ||
                        announcement.service != announcement_.service;
  if (replaced && state_ != TargetState::kAbsent) {
    HandleEvent(now, "leave");
  }
  drain_held_ = drain_held_ && !replaced;
  announcement_ = announcement;
  announced_at_ = now;
  announcement_expired_ = false;
  if (!drain_held_) {
    HandleEvent(now, "announce");
  }
}

void AnnouncedTarget::Drain(TimePoint now) {
  drain_held_ = false;
  HandleEvent(now, "drain");
}

void AnnouncedTarget::Leave(TimePoint now) {
  drain_held_ = false;
  HandleEvent(now, "leave");
}

void AnnouncedTarget::DrainAndHold(TimePoint now) {
  drain_held_ = true;
  HandleEvent(now, "drain");
}

void AnnouncedTarget::Drained(TimePoint now) {
  if (state_ == TargetState::kDraining) {
    HandleEvent(now, "leave");
  }
}

bool AnnouncedTarget::ProbeDue(TimePoint now) {
  const bool announced = state_ != TargetState::kAbsent && state_ != TargetState::kLeft;
  const bool suspect_probe_due =
      suspected(now) && now - settings_.suspect_probe_interval >= last_probe_;
  if (!announced || (now < next_probe_ && !suspect_probe_due)) {
    return false;
  }
  last_probe_ = now;
  next_probe_ = now + settings_.probe_interval;
  return true;
}

void AnnouncedTarget::CallStarted(TimePoint now) {
  if (!unanswered_since_) {
    unanswered_since_ = now;
  }
}

bool AnnouncedTarget::suspected(TimePoint now) const {
  return unanswered_since_ && now - *unanswered_since_ >= settings_.suspect_after;
}

void AnnouncedTarget::ProbeResult(TimePoint now, bool passed) {
  if (passed) {
    consecutive_failed_probes_ = 0;
    unanswered_since_.reset();
    // After the announcement has expired, a passed probe alone does not make the target ready
    // again.
    if (!announcement_expired_) {
      HandleEvent(now, "probe_passed");
    }
    return;
  }
  if (++consecutive_failed_probes_ == 1) {
    first_failed_probe_at_ = now;
  }
  if (consecutive_failed_probes_ >= settings_.failed_probe_threshold &&
      call_succeeded_at_ < first_failed_probe_at_) {
    unanswered_since_.reset();
    HandleEvent(now, "probe_failed");
  }
}

void AnnouncedTarget::CallSucceeded(TimePoint now) {
  call_succeeded_at_ = now;
  consecutive_failed_probes_ = 0;
  unanswered_since_.reset();
}

void AnnouncedTarget::CallFailed(TimePoint now) { HandleEvent(now, "probe_failed"); }

void AnnouncedTarget::Tick(TimePoint now) {
  if (!announcement_expired_ && now - announced_at_ >= settings_.announce_lifetime &&
      state_ != TargetState::kAbsent) {
    announcement_expired_ = true;
    drain_held_ = false;
    HandleEvent(now, "expire");
  }
  if (state_ == TargetState::kWarming && now - warming_since_ >= settings_.warm_up) {
    HandleEvent(now, "warmed_up");
  }
}

uint32_t AnnouncedTarget::usable_slots(TimePoint now) const {
  const uint32_t slots = announcement_.slots;
  if (state_ == TargetState::kReady) {
    return slots;
  }
  if (state_ != TargetState::kWarming || slots == 0) {
    return 0;
  }
  const auto warm = static_cast<uint64_t>(std::max<int64_t>(0, (now - warming_since_).count()));
  const auto full = static_cast<uint64_t>(std::max<int64_t>(1, settings_.warm_up.count()));
  const uint64_t added = std::min(warm, full) * (slots - 1) / full;
  return 1 + static_cast<uint32_t>(added);
}

}  // namespace endivecleat
