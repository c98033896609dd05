// Serves configurations to instances that pull them. Control instances and daemons each have one.
// It bounds the concurrent transfers and queues further pulls, so that a simultaneous restart of
// many daemons cannot overload one process.
#ifndef ENDIVECLEAT_CONFIG_SOURCE_H_
#define ENDIVECLEAT_CONFIG_SOURCE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "config_event.h"
#include "config_message.h"
#include "seeded_random.h"
#include "units.h"

namespace endivecleat {

/// Limits and timeouts of a source.
struct ConfigSourceSettings {
  // Bytes of transfers that are under way together; a transfer starts while they are fewer. They
  // occupy the link and memory of the source: a quarter of a second of a link of 2 Mbit/s.
  ByteCount max_transfer_bytes{64U << 10U};
  size_t queue_length = 16;
  Duration queue_wait = std::chrono::seconds(2);  // maximum time of a pull in the queue
  /// A transfer that is not acknowledged within this time no longer occupies a slot.
  Duration transfer_time = std::chrono::seconds(1);
  // Bounds of the random retry_after in Busy messages.
  Duration retry_min = std::chrono::milliseconds(100);
  Duration retry_max = std::chrono::milliseconds(500);
  size_t history = 64;  // versions stored as bases of deltas
  // Each daemon holds this history; beyond this size the memory costs more than the saved traffic.
  ByteCount history_bytes{512U << 10U};
  size_t notice_fanout = 4;  // random peers notified by Publish
  // Of the peers that pulled last, as many as notice_fanout are notified as well, for this long.
  Duration puller_lifetime = std::chrono::seconds(10);
  /// A newer version that no message has mentioned for this time is considered lost.
  Duration known_version_lifetime = std::chrono::seconds(30);
};

/// Stores recent configuration versions and answers Hello and Pull messages.
class ConfigSource {
 public:
  ConfigSource(ConfigSourceSettings settings, TransferCodec codec, uint64_t seed);

  /// Stores a new version and serves the queued pulls. A version that is not newer is ignored.
  std::vector<PeerMessage> Store(TimePoint now, ConfigTextPtr text);
  /// Stores a new version and notifies random peers, and those that pulled not long ago: gossip may
  /// not list them yet after their start.
  std::vector<PeerMessage> Publish(TimePoint now, ConfigTextPtr text,
                                   const std::vector<InstanceId>& peers);
  /// Records that another instance has this version. While the stored version is older, it is not
  /// served to instances that have none.
  void NoteKnownVersion(TimePoint now, ConfigVersion version);
  /// Records that the installer rejected this version, so that it no longer prevents this source
  /// from serving an older one.
  void MarkRejected(ConfigVersion version);
  /// Handles Hello, Pull and Notice; ignores the other kinds. A notice acknowledges a transfer; one
  /// of a version that is no longer the newest is answered with a notice.
  std::vector<PeerMessage> Receive(TimePoint now, const InstanceId& from,
                                   const ConfigMessage& message);
  /// Expires transfers and queued pulls. Must be called every 100 ms.
  std::vector<PeerMessage> Tick(TimePoint now);

  /// Returns and clears the events since the last call.
  ConfigEvents TakeEvents() { return std::exchange(events_, {}); }

  /// Null before the first version.
  ConfigTextPtr newest() const { return history_.empty() ? nullptr : history_.back(); }
  /// A notice that announces the newest version.
  ConfigMessage MakeNotice() const;
  /// An answer that tells the receiver to ask another instance, or later.
  ConfigMessage MakeBusy();

 private:
  struct QueuedPull {
    InstanceId from;
    ConfigMessage pull;
    TimePoint since;
  };
  struct TransferInFlight {
    ConfigVersion version;
    ByteCount bytes;
    TimePoint sent_at;
    TimePoint expires_at;
  };

  void RecordPuller(TimePoint now, const InstanceId& from);
  std::vector<InstanceId> NoticeReceivers(TimePoint now, const std::vector<InstanceId>& peers);
  bool MayServe(TimePoint now, ConfigVersion requester_version) const;
  void ServeQueue(TimePoint now, std::vector<PeerMessage>* out);
  std::vector<PeerMessage> HandlePull(TimePoint now, const InstanceId& from,
                                      const ConfigMessage& pull);
  ByteCount BytesInFlight() const;
  ConfigMessage MakeTransfer(const ConfigMessage& pull);
  PeerMessage RefusePull(TimePoint now, const QueuedPull& refused);
  const ConfigText* FindBase(ConfigVersion version, const std::string& digest) const;

  ConfigSourceSettings settings_;
  TransferCodec codec_;
  SeededRandom random_;
  // Encoded transfers of the newest version, by base version (0: none). After a change most pulls
  // need the same few.
  std::map<ConfigVersion, EncodedTransfer> cached_transfers_;
  std::deque<ConfigTextPtr> history_;  // ascending versions
  size_t history_bytes_ = 0;           // total size of the texts in history_
  std::map<InstanceId, TransferInFlight> in_flight_;
  std::deque<QueuedPull> queue_;
  std::map<InstanceId, TimePoint> pullers_;  // last pull of each; at most notice_fanout
  ConfigVersion newest_known_;
  TimePoint newest_known_at_;
  ConfigVersion rejected_;
  ConfigEvents events_;
};

/// Returns up to `count` distinct random elements.
std::vector<InstanceId> ChooseRandom(std::vector<InstanceId> from, size_t count,
                                     SeededRandom* random);

}  // namespace endivecleat

#endif  // ENDIVECLEAT_CONFIG_SOURCE_H_
