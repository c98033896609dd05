// Answers those that ask for a configuration: in a control instance and in every daemon. It limits
// the transfers under way, so that a restart of many daemons cannot overload one process.
#ifndef ENDIVECLEAT_CONFIG_SOURCE_H_
#define ENDIVECLEAT_CONFIG_SOURCE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <vector>

#include "config_message.h"
#include "seeded_random.h"
#include "units.h"

namespace endivecleat {

struct ConfigSourceSettings {
  size_t transfers = 4;  // at once
  size_t queue_length = 16;
  Duration queue_wait = std::chrono::seconds(2);
  /// A transfer that its receiver has not acknowledged after this time no longer counts.
  Duration transfer_time = std::chrono::seconds(1);
  Duration retry_min = std::chrono::milliseconds(100);
  Duration retry_max = std::chrono::milliseconds(500);
  size_t history = 64;  // versions kept as bases of deltas
  // Larger histories cost every daemon more memory than the deltas that they allow save traffic.
  ByteCount history_bytes{512U << 10U};
  size_t notices = 4;  // after Publish
  /// A version that was heard of but that nobody mentions any more counts as lost after this time.
  Duration heard_lifetime = std::chrono::seconds(30);
};

class ConfigSource {
 public:
  ConfigSource(ConfigSourceSettings settings, TransferCodec codec, uint64_t seed);

  /// Holds a new version and answers those that waited for it. An older version is ignored.
  std::vector<PeerMessage> Hold(TimePoint now, ConfigTextPtr text);
  /// Holds a new version and notifies random peers of it.
  std::vector<PeerMessage> Publish(TimePoint now, ConfigTextPtr text,
                                   const std::vector<InstanceId>& peers);
  /// Another instance has this version. While the own one is older, none is served.
  void Heard(TimePoint now, ConfigVersion version);
  /// The installer refused this version: that others have it no longer stops this source from
  /// serving.
  void Refuse(ConfigVersion version);
  /// Handles Hello, Pull, and the Notice that acknowledges a transfer; ignores the other kinds.
  std::vector<PeerMessage> Receive(TimePoint now, const InstanceId& from,
                                   const ConfigMessage& message);
  std::vector<PeerMessage> Tick(TimePoint now);

  /// Null before the first version.
  ConfigTextPtr newest() const { return history_.empty() ? nullptr : history_.back(); }
  /// A notice of the newest version.
  ConfigMessage Notice() const;

 private:
  struct Waiting {
    InstanceId from;
    ConfigMessage pull;
    TimePoint since;
  };
  struct UnderWay {
    ConfigVersion version;
    TimePoint expires_at;
  };

  struct Encoded {
    ConfigVersion from;  // 0: without a base
    ConfigVersion to;
    EncodedTransfer transfer;
  };

  bool MayServe(TimePoint now, ConfigVersion have) const;
  void ServeWaiting(TimePoint now, std::vector<PeerMessage>* out);
  std::vector<PeerMessage> HandlePull(TimePoint now, const InstanceId& from,
                                      const ConfigMessage& pull);
  ConfigMessage MakeTransfer(const ConfigMessage& pull);
  ConfigMessage Busy();
  const ConfigText* FindBase(ConfigVersion version, const std::string& digest) const;

  ConfigSourceSettings settings_;
  TransferCodec codec_;
  SeededRandom random_;
  // The transfer that was encoded last. After a change most pulls are for the same one.
  std::optional<Encoded> encoded_;
  std::deque<ConfigTextPtr> history_;  // versions ascend
  size_t history_bytes_ = 0;           // sum over history_
  std::map<InstanceId, UnderWay> under_way_;
  std::deque<Waiting> waiting_;
  ConfigVersion heard_;
  TimePoint heard_at_;
  ConfigVersion refused_;
};

/// Up to `count` different random elements.
std::vector<InstanceId> ChooseRandom(std::vector<InstanceId> from, size_t count,
                                     SeededRandom* random);

}  // namespace endivecleat

#endif  // ENDIVECLEAT_CONFIG_SOURCE_H_
