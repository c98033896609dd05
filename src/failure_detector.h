// SWIM failure detector: selects the members to ping and reports those whose probe failed. Each
// period it pings one random member and its next two successors on a ring that all members order
// in the same way. Random pings alone leave one member in eight without a probe for two periods,
// which keeps a dead target listed for too long.
//
// A member whose own packets are late, such as one with a full network link, gets no ack in time
// from anyone. It hears of others all the while, and then blames none of them: otherwise its pings
// to all of them would keep its link full.
#ifndef ENDIVECLEAT_FAILURE_DETECTOR_H_
#define ENDIVECLEAT_FAILURE_DETECTOR_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "member_record.h"
#include "seeded_random.h"
#include "units.h"

namespace endivecleat {

struct FailureDetectorSettings {
  Duration period = std::chrono::seconds(1);
  Duration ping_timeout = std::chrono::milliseconds(400);      // until the indirect pings
  Duration indirect_timeout = std::chrono::milliseconds(400);  // until the probe fails
  size_t indirect_pings = 2;
  size_t ring_pings = 2;
  /// Interval and duration of the extra pings to a member whose probe failed. They carry the
  /// suspicion, so that a live member can refute it in time: with 10 % packet loss, gossip alone
  /// spreads the suspicion and its refutation too slowly.
  Duration suspect_ping_interval = std::chrono::milliseconds(250);
  Duration suspect_ping_duration = std::chrono::seconds(2);
  /// Limits on each call of Tick, which the pings of many failed members share.
  size_t suspect_pings_per_tick = 1;
  size_t ring_probes_per_tick = 2;
};

constexpr int kRegionShift = 32;

/// A member's position on the ring. The members of a data centre are adjacent, and so are the data
/// centres of a region, so that few ring pings use a billed link.
struct RingMember {
  // Equal for all members of a data centre; the bits from kRegionShift on are equal for all of a
  // region.
  uint64_t locality_rank = 0;
  MemberKey key;

  auto operator<=>(const RingMember&) const = default;
};

class FailureDetector {
 public:
  struct Ping {
    MemberKey member;
    uint32_t nonce;
  };
  struct IndirectPing {
    MemberKey member;
    MemberKey relay;
    uint32_t nonce;
  };
  struct Actions {
    std::vector<Ping> pings;
    std::vector<IndirectPing> indirect_pings;
    std::vector<MemberKey> failed;
  };

  FailureDetector(FailureDetectorSettings settings, uint64_t seed, TimePoint now);

  /// Replaces the members to probe and drops the state of members that are gone.
  void SetMembers(RingMember self, std::vector<RingMember> others);
  /// Returns the pings to send and the members whose probes failed since the last call.
  Actions Tick(TimePoint now);
  /// Completes the probe that a received ack belongs to; ignores unknown nonces.
  void Acknowledge(uint32_t nonce);
  /// A datagram of another member has arrived.
  void Heard(TimePoint now) { heard_at_ = now; }
  /// Whether the latest probes went unanswered in time for a cause on this side.
  bool own_packets_late(TimePoint now) const;
  /// Cancels all pending probes without reporting them as failed.
  void Reset(TimePoint now);

 private:
  struct Probe {
    MemberKey member;
    TimePoint sent_at;
    bool indirect = false;  // indirect pings were sent
  };
  struct SuspectPings {
    TimePoint next_ping;
    TimePoint ends_at;
  };

  void RecordProbe(bool in_time);
  void StartProbe(TimePoint now, MemberKey member, Actions* actions);
  void AdvanceProbes(TimePoint now, Actions* actions);
  void PingSuspects(TimePoint now, Actions* actions);
  void PingRing(TimePoint now, Actions* actions);
  void PingRandom(TimePoint now, Actions* actions);
  const RingMember& RandomMember();

  FailureDetectorSettings settings_;
  SeededRandom random_;
  RingMember self_;
  std::vector<RingMember> ring_;  // sorted, without self
  std::map<uint32_t, Probe> probes_;
  std::map<MemberKey, TimePoint> latest_probe_at_;  // start of the latest probe of a member
  std::map<MemberKey, SuspectPings> suspects_;      // members whose probe failed recently
  std::set<MemberKey> unresponsive_;                // did not answer the latest direct ping
  TimePoint next_random_ping_;
  size_t late_probes_ = 0;             // consecutive probes without an ack in time
  std::optional<TimePoint> heard_at_;  // the latest datagram of any other member
};

}  // namespace endivecleat

#endif  // ENDIVECLEAT_FAILURE_DETECTOR_H_
