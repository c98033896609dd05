// Tests ConfigSource and ConfigReplica without network faults. They guard against versions that do
// not reach every daemon, full texts where a delta would suffice, and an overloaded source.
#include "config_replica.h"

#include <CppUTest/TestHarness.h>

#include "config_mesh.h"
#include "config_source.h"

using endivecleat::ConfigEvent;
using endivecleat::ConfigEvents;
using endivecleat::ConfigMessage;
using endivecleat::ConfigReplica;
using endivecleat::ConfigSource;
using endivecleat::ConfigSourceSettings;
using endivecleat::ConfigText;
using endivecleat::ConfigTextPtr;
using endivecleat::ConfigVersion;
using endivecleat::Duration;
using endivecleat::InstanceId;
using endivecleat::PeerMessage;
using endivecleat::TimePoint;
using endivecleat::TransferCodec;
using endivecleat::TransferKind;
using endivecleat::test::ConfigMesh;
using endivecleat::test::MakeText;
using endivecleat::test::NetworkFaults;
using endivecleat::test::PrefixCodec;
using Kind = ConfigMessage::Kind;

namespace {
const TimePoint kStart = TimePoint{} + std::chrono::seconds(100);
InstanceId Peer(int number) { return InstanceId("peer-" + std::to_string(number)); }
ConfigMessage Pull() { return {.kind = Kind::kPull}; }
}  // namespace

TEST_GROUP(ConfigMeshRunning) {
  ConfigMesh mesh{20, 1, NetworkFaults{}};
  void setup() override {
    mesh.Publish({ConfigMesh::kLocal, ConfigMesh::kRemote});
    mesh.Run(std::chrono::seconds(8));
  }
};

TEST(ConfigMeshRunning, InstallsTheFirstVersionEverywhere) { CHECK(mesh.AllNewest()); }

TEST(ConfigMeshRunning, InstallsAChangeWithinOneSecond) {
  mesh.Publish({ConfigMesh::kLocal, ConfigMesh::kRemote});
  mesh.Run(std::chrono::seconds(1));
  CHECK(mesh.AllNewest());
}

TEST(ConfigMeshRunning, RelaysWhenTheLocalControlInstanceIsDown) {
  mesh.Stop(ConfigMesh::kLocal);
  mesh.Run(std::chrono::seconds(6));
  mesh.Publish({ConfigMesh::kRemote});
  mesh.Run(std::chrono::seconds(5));
  CHECK(mesh.AllNewest());
}

TEST(ConfigMeshRunning, PullsFromAnotherDataCentreWhenTheLocalControlInstanceIsOutdated) {
  mesh.Publish({ConfigMesh::kRemote});
  mesh.Run(std::chrono::seconds(12));
  CHECK(mesh.AllNewest());
}

// Guards against a source that encodes the same transfer again for each daemon that pulls it.
TEST_GROUP(ConfigSourcePulledByMany) {
  int encodings = 0;

  TransferCodec CountingCodec() {
    TransferCodec codec = PrefixCodec();
    codec.encode = [this, encode = codec.encode](const ConfigText* base, const ConfigText& next) {
      ++encodings;
      return encode(base, next);
    };
    return codec;
  }
};

TEST(ConfigSourcePulledByMany, EncodesTheSameTransferOnce) {
  ConfigSource source(ConfigSourceSettings{}, CountingCodec(), 1);
  source.Publish(kStart, MakeText(1), {});
  for (int number = 1; number <= 4; ++number) {
    LONGS_EQUAL(1, source.Receive(kStart, Peer(number), Pull()).size());
  }
  LONGS_EQUAL(1, encodings);
  source.Publish(kStart, MakeText(2), {});
  source.Receive(kStart, Peer(1), Pull());
  LONGS_EQUAL(2, encodings);
}

// Guards against a source that encodes a transfer for each pull when daemons have different
// versions.
TEST(ConfigSourcePulledByMany, EncodesOneTransferForEachBase) {
  ConfigSource source(ConfigSourceSettings{}, CountingCodec(), 1);
  for (uint64_t version = 1; version <= 3; ++version) {
    source.Store(kStart, MakeText(version));
  }
  for (int peer = 1; peer <= 20; ++peer) {
    const auto base = static_cast<uint64_t>(1 + peer % 2);
    const auto answer = source.Receive(kStart, Peer(peer),
                                       {Kind::kPull, ConfigVersion(base), MakeText(base)->digest});
    LONGS_EQUAL(base, answer.at(0).message.base.value());
  }
  LONGS_EQUAL(2, encodings);
}

TEST_GROUP(ConfigSourceWithOneVersion) {
  ConfigSource source{ConfigSourceSettings{}, PrefixCodec(), 1};
  void setup() override { source.Store(kStart, MakeText(5)); }
};

TEST(ConfigSourceWithOneVersion, SendsADeltaAgainstAVersionItHolds) {
  source.Store(kStart, MakeText(6));
  const auto answer =
      source.Receive(kStart, Peer(1), {Kind::kPull, ConfigVersion(5), MakeText(5)->digest});
  CHECK(answer.front().message.transfer == TransferKind::kDelta);
  LONGS_EQUAL(5, answer.front().message.base.value());
}

TEST(ConfigSourceWithOneVersion, SendsTheFullTextForAVersionItDoesNotHold) {
  const auto answer = source.Receive(kStart, Peer(1), {Kind::kPull, ConfigVersion(4), "other"});
  CHECK(answer.front().message.transfer == TransferKind::kSnapshot);
}

TEST(ConfigSourceWithOneVersion, ServesAsManyAsItsBytesAllowAndTheNextOnAcknowledgement) {
  ConfigSourceSettings settings;
  settings.max_transfer_bytes = endivecleat::ByteCount(4 * MakeText(5)->text.size());
  ConfigSource bounded(settings, PrefixCodec(), 1);
  bounded.Store(kStart, MakeText(5));
  for (int peer = 1; peer <= 4; ++peer) {
    LONGS_EQUAL(1, bounded.Receive(kStart, Peer(peer), Pull()).size());
  }
  CHECK(bounded.Receive(kStart, Peer(5), Pull()).empty());
  const auto next = bounded.Receive(kStart, Peer(2), {Kind::kNotice, ConfigVersion(5)});
  LONGS_EQUAL(1, next.size());
  CHECK(next.front().to == Peer(5));
}

// Guards against a daemon that installs a version, misses the notice of the next one, and then
// learns of it from gossip only.
TEST(ConfigSourceWithOneVersion, TellsADaemonThatAcknowledgesAnOlderVersionOfTheNewest) {
  source.Receive(kStart, Peer(1), Pull());
  source.Store(kStart, MakeText(6));
  const auto answer =
      source.Receive(kStart, Peer(1), {Kind::kNotice, ConfigVersion(5), MakeText(5)->digest});
  LONGS_EQUAL(1, answer.size());
  CHECK(answer.front().message.kind == Kind::kNotice && answer.front().to == Peer(1));
  LONGS_EQUAL(6, answer.front().message.version.value());
}

// Guards against a daemon that has just started, which gossip does not list yet, and that hears of
// the next version from far away only.
TEST(ConfigSourceWithOneVersion, NotifiesADaemonThatPulledAndIsNotListed) {
  source.Receive(kStart, Peer(1), Pull());
  const auto sent = source.Publish(kStart + std::chrono::seconds(1), MakeText(6), {Peer(2)});
  LONGS_EQUAL(2, sent.size());
  CHECK(sent[0].to == Peer(2) && sent[1].to == Peer(1));
  CHECK(sent[1].message.kind == Kind::kNotice);
}

TEST(ConfigSourceWithOneVersion, ForgetsPullsAfterTheirLifetime) {
  source.Receive(kStart, Peer(1), Pull());
  LONGS_EQUAL(0, source.Publish(kStart + std::chrono::seconds(11), MakeText(6), {}).size());
}

// Guards against a source that lets daemons wait for small transfers, which cost it next to
// nothing.
TEST(ConfigSourceWithOneVersion, SendsDeltasToAllAtOnce) {
  constexpr int kPeers = 50;
  source.Store(kStart, MakeText(6));
  for (int peer = 1; peer <= kPeers; ++peer) {
    const auto answer =
        source.Receive(kStart, Peer(peer), {Kind::kPull, ConfigVersion(5), MakeText(5)->digest});
    LONGS_EQUAL(1, answer.size());
    CHECK(answer.front().message.transfer == TransferKind::kDelta);
  }
}

TEST(ConfigSourceWithOneVersion, RejectsAQueuedPullWithBusyAfterTwoSeconds) {
  source.NoteKnownVersion(kStart, ConfigVersion(6));
  CHECK(source.Receive(kStart, Peer(1), Pull()).empty());
  CHECK(source.Tick(kStart + std::chrono::milliseconds(1900)).empty());
  const auto answers = source.Tick(kStart + std::chrono::seconds(2));
  CHECK(answers.front().message.kind == Kind::kBusy);
}

TEST(ConfigSourceWithOneVersion, QueuesAFirstPullWhileANewerVersionIsKnown) {
  source.NoteKnownVersion(kStart, ConfigVersion(6));
  CHECK(source.Receive(kStart, Peer(1), Pull()).empty());
  const auto served = source.Store(kStart, MakeText(6));
  CHECK(served.front().message.kind == Kind::kTransfer);
  LONGS_EQUAL(6, served.front().message.version.value());
}

TEST(ConfigSourceWithOneVersion, ServesAgainAfterTheInstallerRejectsTheNewerVersion) {
  source.NoteKnownVersion(kStart, ConfigVersion(6));
  source.MarkRejected(ConfigVersion(6));
  LONGS_EQUAL(5, source.Receive(kStart, Peer(1), Pull()).front().message.version.value());
}

// Guards against daemons that stay on an old version during rapid changes: every source then knows
// of a newer version than it stores, and must still serve what it has.
TEST(ConfigSourceWithOneVersion, ServesAnOlderDaemonWhileANewerVersionIsKnown) {
  source.Store(kStart, MakeText(8));
  source.NoteKnownVersion(kStart, ConfigVersion(9));
  CHECK(source.Receive(kStart, Peer(1), Pull()).empty());
  ConfigMessage pull = Pull();
  pull.version = ConfigVersion(1);
  const auto answers = source.Receive(kStart, Peer(2), pull);
  LONGS_EQUAL(1, answers.size());
  CHECK(answers.at(0).message.kind == Kind::kTransfer && answers.at(0).to == Peer(2));
}

TEST(ConfigSourceWithOneVersion, EvictsOldVersionsBeyondTheByteLimit) {
  ConfigSourceSettings settings;
  settings.history_bytes = endivecleat::ByteCount(MakeText(1)->text.size() * 2);
  ConfigSource bounded(settings, PrefixCodec(), 1);
  for (uint64_t version = 1; version <= 5; ++version) {
    bounded.Store(kStart, MakeText(version));
  }
  ConfigMessage pull = Pull();
  pull.version = ConfigVersion(2);
  pull.digest = MakeText(2)->digest;
  CHECK(bounded.Receive(kStart, Peer(1), pull).at(0).message.transfer == TransferKind::kSnapshot);
}

// Guards against a slow distribution that no log line explains: the events are all that the
// processes log of it.
TEST_GROUP(ConfigSourceEvents) {
  ConfigSource source{Settings(), PrefixCodec(), 1};
  void setup() override { source.Store(kStart, MakeText(5)); }

  static ConfigSourceSettings Settings() {
    ConfigSourceSettings settings;
    settings.max_transfer_bytes = endivecleat::ByteCount(4 * MakeText(5)->text.size());
    return settings;
  }
};

TEST(ConfigSourceEvents, TellHowLongAPullWaitedForItsTransfer) {
  for (int peer = 1; peer <= 5; ++peer) {
    source.Receive(kStart, Peer(peer), Pull());
  }
  source.TakeEvents();
  const TimePoint later = kStart + std::chrono::milliseconds(300);
  source.Receive(later, Peer(2), {Kind::kNotice, ConfigVersion(5)});
  const ConfigEvents events = source.TakeEvents();
  LONGS_EQUAL(1, events.size());
  CHECK(events[0].kind == ConfigEvent::Kind::kTransferSent && events[0].peer == Peer(5));
  CHECK(events[0].waited == later - kStart);
  LONGS_EQUAL(MakeText(5)->text.size(), events[0].bytes.value());
}

TEST(ConfigSourceEvents, TellWhichTransferWasNotAcknowledged) {
  source.Receive(kStart, Peer(1), Pull());
  source.TakeEvents();
  source.Tick(kStart + std::chrono::seconds(5));
  const ConfigEvents events = source.TakeEvents();
  LONGS_EQUAL(1, events.size());
  CHECK(events[0].kind == ConfigEvent::Kind::kTransferExpired && events[0].peer == Peer(1));
}

// Guards against a daemon that stays on an old version since the control instance that it asks is
// gone, cut off from the others, or out of reach.
TEST_GROUP(ConfigReplicaWithTwoControlInstances) {
  const InstanceId near{"near"};
  const InstanceId far{"far"};
  TimePoint now = kStart;
  ConfigReplica replica{InstanceId("self"),
                        {.local_controls = {near, far}, .start_jitter = Duration{}},
                        PrefixCodec(),
                        [](ConfigVersion, const std::string&) { return true; },
                        1,
                        kStart};

  static ConfigMessage Notice(uint64_t version) {
    return {Kind::kNotice, ConfigVersion(version), MakeText(version)->digest};
  }
  static ConfigMessage Transfer(uint64_t version) {
    const ConfigTextPtr text = MakeText(version);
    return {.kind = Kind::kTransfer,
            .version = text->version,
            .digest = text->digest,
            .transfer = TransferKind::kSnapshot,
            .bytes = text->text};
  }
  void setup() override { replica.Receive(now, near, Transfer(1)); }

  /// Ticks until the replica asks a control instance, and returns which; empty after five seconds.
  InstanceId Asked() {
    for (int tick = 0; tick < 50; ++tick) {
      now += std::chrono::milliseconds(100);
      for (const PeerMessage& sent : replica.Tick(now, {})) {
        if (sent.message.kind == Kind::kHello) {
          return sent.to;
        }
      }
    }
    return {};
  }
};

TEST(ConfigReplicaWithTwoControlInstances, AsksTheNearestAgainAndAgainWhileItAnswers) {
  for (int question = 0; question < 30; ++question) {
    CHECK(Asked() == near);
    CHECK(replica.Receive(now, near, Notice(1)).empty());
  }
}

TEST(ConfigReplicaWithTwoControlInstances, AsksTheNextAfterASilentOne) {
  CHECK(Asked() == near);
  CHECK(Asked() == far);
}

TEST(ConfigReplicaWithTwoControlInstances, AsksTheNextAfterOneThatCannotTell) {
  CHECK(Asked() == near);
  replica.Receive(now, near, {.kind = Kind::kBusy});
  const TimePoint answered = now;
  CHECK(Asked() == far);
  CHECK(now - answered <= std::chrono::milliseconds(100));
}

TEST(ConfigReplicaWithTwoControlInstances, AsksTheNextAfterOneOutOfReach) {
  CHECK(Asked() == near);
  replica.NotDelivered(now, near);
  const TimePoint told = now;
  CHECK(Asked() == far);
  CHECK(now - told <= std::chrono::milliseconds(100));
}

TEST(ConfigReplicaWithTwoControlInstances, PullsAtOnceFromAnotherAfterAPullThatWasNotDelivered) {
  replica.Receive(now, far, Notice(2));
  const auto second = replica.Receive(now, near, Notice(2));
  CHECK(second.empty());  // the pull to the first is under way
  const auto again = replica.NotDelivered(now, far);
  LONGS_EQUAL(1, again.size());
  CHECK(again[0].to == near);
  CHECK(again[0].message.kind == Kind::kPull);
}

// Guards against a daemon in a data centre that is cut off and asks without pause.
TEST(ConfigReplicaWithTwoControlInstances, AsksAboutOnceInAnIntervalWhileNoneCanTell) {
  const TimePoint start = now;
  int questions = 0;
  while (now - start < std::chrono::seconds(30)) {
    const InstanceId asked = Asked();
    CHECK(asked == near || asked == far);
    ++questions;
    replica.Receive(now, asked, {.kind = Kind::kBusy});
  }
  CHECK(questions <= 50);
}
