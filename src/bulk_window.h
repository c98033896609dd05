// Limits the bytes of large responses that a process has under way on all its links together. Its
// own network link sends all packets in turn, so that without a limit each small message waits
// behind the full windows of all large responses: 300 ms on a link of 15 Mbit/s. The limit follows
// the delay of the acknowledgements, so that the link stays busy with a short queue, whatever its
// rate is.
#ifndef ENDIVECLEAT_BULK_WINDOW_H_
#define ENDIVECLEAT_BULK_WINDOW_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>

#include "units.h"

namespace endivecleat {

/// Identifies a link of PeerNetwork; never reused.
using LinkNumber = StrongNumber<struct LinkNumberTag>;

/// Decides when the next fragment of a large response may be sent. Every fragment is acknowledged
/// by its receiver, in the order of sending on each link.
class BulkWindow {
 public:
  static constexpr size_t kMinWindowBytes = 32U << 10U;
  static constexpr size_t kInitialWindowBytes = 64U << 10U;
  static constexpr size_t kMaxWindowBytes = 1U << 20U;
  /// A receiver that has acknowledged nothing for this long holds the bytes itself: they no longer
  /// count against the window, and its link gets no more until it acknowledges.
  static constexpr Duration kStallTimeout = std::chrono::milliseconds(400);

  /// Whether a fragment may be sent on the link now.
  bool MaySend(TimePoint now, LinkNumber link) const;
  void Sent(TimePoint now, LinkNumber link, size_t bytes);
  /// The receiver has acknowledged the oldest fragment of the link. Ignored if there is none.
  void Acknowledged(TimePoint now, LinkNumber link);
  /// Forgets the fragments under way on the link.
  void Remove(LinkNumber link);

  size_t window_bytes() const { return window_bytes_; }
  /// Bytes that count against the window.
  size_t bytes_under_way(TimePoint now) const;

 private:
  struct Fragment {
    TimePoint sent_at;
    size_t bytes;
    bool window_was_full;  // no other fragment could be sent after this one
  };
  struct Link {
    std::deque<Fragment> under_way;          // oldest first
    Duration least_delay = Duration::max();  // of an acknowledgement, in the current or last period
    Duration least_delay_of_period = Duration::max();
    TimePoint period_started_at{};
  };

  static bool IsStalled(TimePoint now, const Link& link);
  static Duration AddDelay(TimePoint now, Link& link, Duration delay);
  void Adapt(TimePoint now, Duration queueing, const Fragment& fragment);

  std::map<LinkNumber, Link> links_;
  size_t window_bytes_ = kInitialWindowBytes;
  TimePoint last_decrease_at_{};
};

}  // namespace endivecleat

#endif  // ENDIVECLEAT_BULK_WINDOW_H_
