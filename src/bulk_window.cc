// The delay of an acknowledgement less the least one of its link is the time in queues on the way.
// As in LEDBAT (RFC 6817), the window grows while that time is short and shrinks when it is long.
#include "bulk_window.h"

#include <algorithm>

namespace endivecleat {
namespace {

// Time in queues above which the window shrinks: what a small message may wait behind large
// responses.
constexpr Duration kMaxQueueing = std::chrono::milliseconds(25);
// Added for each acknowledgement of a full window, so that it doubles in one window's time at most.
constexpr size_t kIncreaseBytes = 4U << 10U;
constexpr size_t kDecreaseDivisor = 4;  // shrinks by a quarter, at most once per interval
constexpr Duration kDecreaseInterval = std::chrono::milliseconds(50);
// The least delay is taken over this time and the period before, since routes and loads change.
constexpr Duration kDelayPeriod = std::chrono::seconds(10);

}  // namespace

bool BulkWindow::MaySend(TimePoint now, LinkNumber link) const {
  const auto found = links_.find(link);
  if (found != links_.end() && IsStalled(now, found->second)) {
    return false;
  }
  return bytes_under_way(now) < window_bytes_;
}

void BulkWindow::Sent(TimePoint now, LinkNumber link, size_t bytes) {
  const bool full = bytes_under_way(now) + bytes >= window_bytes_;
  links_[link].under_way.push_back({now, bytes, full});
}

void BulkWindow::Acknowledged(TimePoint now, LinkNumber link) {
  const auto found = links_.find(link);
  if (found == links_.end() || found->second.under_way.empty()) {
    return;
  }
  const Fragment fragment = found->second.under_way.front();
  found->second.under_way.pop_front();
  Adapt(now, AddDelay(now, found->second, now - fragment.sent_at), fragment);
}

void BulkWindow::Remove(LinkNumber link) { links_.erase(link); }

size_t BulkWindow::bytes_under_way(TimePoint now) const {
  size_t bytes = 0;
  for (const auto& [number, link] : links_) {
    if (IsStalled(now, link)) {
      continue;
    }
    for (const Fragment& fragment : link.under_way) {
      bytes += fragment.bytes;
    }
  }
  return bytes;
}

bool BulkWindow::IsStalled(TimePoint now, const Link& link) {
  return !link.under_way.empty() && now - link.under_way.front().sent_at > kStallTimeout;
}

// Returns the part of the delay that is due to queues.
Duration BulkWindow::AddDelay(TimePoint now, Link& link, Duration delay) {
  if (now - link.period_started_at > kDelayPeriod) {
    link.least_delay = link.least_delay_of_period;
    link.least_delay_of_period = Duration::max();
    link.period_started_at = now;
  }
  link.least_delay_of_period = std::min(link.least_delay_of_period, delay);
  link.least_delay = std::min(link.least_delay, delay);
  return delay - link.least_delay;
}

void BulkWindow::Adapt(TimePoint now, Duration queueing, const Fragment& fragment) {
  if (queueing <= kMaxQueueing) {
    window_bytes_ += fragment.window_was_full ? kIncreaseBytes : 0;
  } else if (now - last_decrease_at_ >= kDecreaseInterval) {
    last_decrease_at_ = now;
    window_bytes_ -= window_bytes_ / kDecreaseDivisor;
  }
  window_bytes_ = std::clamp(window_bytes_, kMinWindowBytes, kMaxWindowBytes);
}

}  // namespace endivecleat
