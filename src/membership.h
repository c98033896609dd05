// Membership of one data centre: SWIM with additional probes of ring successors, over authenticated
// datagrams. Members spread their records, crash reports and the summaries of other data centres by
// gossip. Anti-entropy repairs what gossip loses: each datagram carries a hash of the sender's
// view, and members whose views differ request the differing parts. MeshNode provides network and
// clock.
#ifndef ENDIVECLEAT_MEMBERSHIP_H_
#define ENDIVECLEAT_MEMBERSHIP_H_

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "crash_table.h"
#include "data_centre_summary.h"
#include "failure_detector.h"
#include "gossip_queue.h"
#include "introductions.h"
#include "member_datagram.h"
#include "member_record.h"
#include "member_table.h"
#include "seeded_random.h"
#include "units.h"

namespace endivecleat {

struct Datagram {
  Address to;
  std::string bytes;
};

/// The latest configuration version that this member knows of another member.
struct PeerVersion {
  InstanceId instance;
  ConfigVersion version;
  std::string digest;  // empty if unknown
};

struct MembershipSettings {
  DataCentreId data_centre;
  RegionId region;
  std::string mesh_token;
  /// Control instances of other data centres. They receive sync requests only while no seed is a
  /// member.
  std::vector<Address> remote_seeds;
  std::vector<Address> neighbours;  // also receive sync requests while no seed is a member
  FailureDetectorSettings detector;
  Duration suspicion_timeout = std::chrono::seconds(2);
  Duration tombstone_lifetime = std::chrono::minutes(10);
  Duration crash_report_lifetime = std::chrono::minutes(10);
  /// Between two gossiped changes of load, with up to 64 members; in proportion with more.
  Duration load_interval = std::chrono::seconds(2);
  /// A longer gap between two events means that this process was suspended.
  Duration freeze_threshold = std::chrono::seconds(3);
  size_t datagram_bytes = 1100;
};

class Membership {
 public:
  /// The seeds are the addresses of the data centre's control instances. `seed` initialises the
  /// random number generator.
  Membership(const MemberRecord& self, MembershipSettings settings, std::vector<Address> seeds,
             uint64_t seed, TimePoint now);

  /// Runs the timers and the failure detector; to be called every 100 ms. Like the other functions
  /// that return datagrams, leaves sending them to the caller.
  std::vector<Datagram> Tick(TimePoint now);
  /// Merges a datagram and returns the answers. Drops datagrams that are malformed, too large or
  /// not authenticated with the mesh token.
  std::vector<Datagram> Receive(TimePoint now, const Address& from, std::string_view datagram);
  /// Publishes the service, target, state, slots, load, configuration version and digest of the
  /// record; Membership maintains the boot time and the sequence itself.
  void UpdateSelf(TimePoint now, const MemberRecord& self);
  /// Announces that this member leaves. Afterwards the object neither sends nor accepts datagrams.
  std::vector<Datagram> Leave(TimePoint now);

  /// The members that are not known to have failed or left, including this one, in no particular
  /// order.
  const std::vector<MemberRecord>& members() const { return table_.records(); }
  const MemberRecord& self() const { return table_.self(); }
  bool IsSuspect(const MemberRecord& member) const;
  /// Whether this member hears of others, but gets none of its own packets acknowledged in time.
  bool own_packets_late() const { return detector_.own_packets_late(now_); }
  /// The configuration versions of the other members.
  std::vector<PeerVersion> peer_versions() const;

  void ReportCrash(TimePoint now, uint64_t fingerprint, uint32_t count);
  /// The latest report of each member, including this one, on each fingerprint. A count of 0 means
  /// that the request has succeeded since the crashes.
  std::vector<MemberCrashReport> crash_reports() const { return crashes_.reports(now_); }

  /// Accepts a summary from a control instance of another data centre.
  void MergeSummary(const DataCentreSummary& summary);
  std::vector<DataCentreSummary> summaries() const { return summaries_.summaries(); }
  DataCentreSummary OwnSummary() const;

 private:
  Duration LoadInterval() const;
  using Datagrams = std::vector<Datagram>;
  struct Relay {  // a ping sent on behalf of another member
    Address origin;
    uint32_t origin_nonce;
    TimePoint expires_at;
  };

  WallTime WallNow() const;
  DatagramHeader Header(DatagramKind kind, uint32_t nonce) const;
  void Send(const Address& to, MemberKey receiver, const DatagramHeader& header, Datagrams* out);
  void SendSyncRequest(const Address& to, Datagrams* out);
  uint64_t ViewHash() const;
  std::vector<uint32_t> PartHashes() const;
  uint32_t TransmitCount(bool urgent) const;
  void QueueUpdate(MemberKey key, bool urgent);
  void QueueRecord(const MemberRecord& record);
  void QueueSelf();
  void Refute(uint64_t sequence);

  /// Sets now_ and, after a freeze, discards the state that is outdated.
  void AdvanceClock(TimePoint now);
  void DropUnconfirmed(TimePoint now);
  void RunDetector(Datagrams* out);
  void ContactSeeds(Datagrams* out);
  void PingDeadMembers(Datagrams* out);
  void ExpireAll();
  void UpdateRing();

  void Merge(const DatagramContent& content);
  void MergeRecord(const MemberRecord& record, bool forward);
  void MergeUpdate(const MemberUpdate& update, bool forward);
  void MergeCrash(const MemberCrashReport& report, bool forward);
  void MergeSummaryEntry(const SummaryEntry& entry, bool forward);
  /// Answers outdated gossip about a member with its known state.
  void QueueCorrection(MemberKey key);
  void HandleAck(const DatagramContent& content, Datagrams* out);
  void HandlePingRequest(const Address& from, const DatagramContent& content, Datagrams* out);
  void AnswerSyncRequest(const Address& from, const DatagramContent& content, Datagrams* out);
  void AnswerRemoteSyncRequest(const Address& from, const DatagramContent& content, Datagrams* out);
  void CompareViews(const Address& from, const DatagramContent& content, Datagrams* out);

  MembershipSettings settings_;
  std::vector<Address> seeds_;
  SeededRandom random_;
  uint32_t data_centre_hash_;
  MemberTable table_;
  FailureDetector detector_;
  uint64_t ring_revision_ = 0;
  GossipQueue queue_;
  SummaryTable summaries_;
  CrashTable crashes_{settings_.crash_report_lifetime};
  std::map<uint32_t, Relay> relays_;
  std::map<MemberKey, TimePoint> corrected_at_;
  Introductions introductions_;
  std::set<MemberKey> unconfirmed_;  // listed before a freeze and not heard of since
  TimePoint unconfirmed_until_;
  TimePoint now_;  // time of the latest event
  TimePoint started_at_;
  TimePoint joined_at_;  // time of the start or of the end of the latest freeze
  WallTime started_wall_;
  TimePoint next_seed_contact_;
  TimePoint next_dead_ping_;
  TimePoint next_sync_;
  TimePoint next_load_update_;
  bool load_update_pending_ = false;
  uint32_t view_mismatches_ = 0;  // consecutive datagrams with a different view
  uint32_t sync_changes_ = 0;     // records changed by syncs since the latest sync request
  bool left_ = false;
};

}  // namespace endivecleat

#endif  // ENDIVECLEAT_MEMBERSHIP_H_
