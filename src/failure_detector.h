// Decides which members to ping and which of them failed. Each period it pings one random member
// and the next two members on a ring that all members order in the same way: random pings alone
// leave one member in eight unchecked for two periods, too long for a dead target to stay listed.
#ifndef ENDIVECLEAT_FAILURE_DETECTOR_H_
#define ENDIVECLEAT_FAILURE_DETECTOR_H_

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "member_record.h"
#include "seeded_random.h"
#include "units.h"

namespace endivecleat {

struct FailureDetectorSettings {
  Duration period = std::chrono::seconds(1);
  Duration ping_timeout = std::chrono::milliseconds(400);      // then indirect pings
  Duration indirect_timeout = std::chrono::milliseconds(400);  // then the probe has failed
  size_t indirect_pings = 2;
  size_t ring_pings = 2;
  /// After a failed probe the member is pinged at this interval to give it the chance to refute.
  /// With one datagram in ten lost, the gossip of the suspicion and of its refutation alone is too
  /// slow.
  Duration doubt_interval = std::chrono::milliseconds(250);
  Duration doubt_time = std::chrono::seconds(2);
};

/// A member's place on the ring. Members of one data centre follow each other there, as do data
/// centres of one region, so that ring pings seldom cross a billed link.
struct RingMember {
  uint64_t place = 0;  // the same for all members of a data centre
  MemberKey key;

  auto operator<=>(const RingMember&) const = default;
};

class FailureDetector {
 public:
  struct Ping {
    MemberKey target;
    uint32_t nonce;
  };
  struct IndirectPing {
    MemberKey target;
    MemberKey through;
    uint32_t nonce;
  };
  struct Actions {
    std::vector<Ping> pings;
    std::vector<IndirectPing> indirect_pings;
    std::vector<MemberKey> failed;
  };

  FailureDetector(FailureDetectorSettings settings, uint64_t seed, TimePoint now);

  /// The other members; the ring is their order.
  void SetMembers(RingMember self, std::vector<RingMember> others);
  Actions Tick(TimePoint now);
  /// An answer to a ping or indirect ping arrived. Unknown nonces are ignored.
  void Acknowledge(uint32_t nonce);
  /// Abandons the probes under way without a verdict.
  void Reset(TimePoint now);

 private:
  struct Probe {
    MemberKey target;
    TimePoint sent_at;
    bool indirect = false;  // indirect pings were sent
  };
  struct Doubt {
    TimePoint next_ping;
    TimePoint ends_at;
  };

  void StartProbe(TimePoint now, MemberKey target, Actions* actions);
  void AdvanceProbes(TimePoint now, Actions* actions);
  void PingDoubted(TimePoint now, Actions* actions);
  void PingRing(TimePoint now, Actions* actions);
  void PingRandom(TimePoint now, Actions* actions);

  FailureDetectorSettings settings_;
  SeededRandom random_;
  RingMember self_;
  std::vector<RingMember> ring_;  // sorted, without self
  std::map<uint32_t, Probe> probes_;
  std::map<MemberKey, TimePoint> pinged_at_;  // start of the newest probe of a member
  std::map<MemberKey, Doubt> doubted_;        // failed a probe of this member
  std::set<MemberKey> silent_;                // did not answer the newest direct ping
  TimePoint next_random_ping_;
};

}  // namespace endivecleat

#endif  // ENDIVECLEAT_FAILURE_DETECTOR_H_
