// Guards against malformed, truncated or forged messages that crash a process or change its state:
// membership datagrams, configuration messages and data centre summaries.
#include "membership.h"

#include <CppUTest/TestHarness.h>

#include "config_message.h"
#include "data_centre_summary.h"
#include "datagram_auth.h"
#include "membership_cluster.h"

using endivecleat::Address;
using endivecleat::ByteCount;
using endivecleat::ConfigMessage;
using endivecleat::DataCentreId;
using endivecleat::DataCentreSummary;
using endivecleat::Datagram;
using endivecleat::DecodeConfigMessage;
using endivecleat::DecodeDatagram;
using endivecleat::DecodeSummary;
using endivecleat::RegionId;
using endivecleat::SeededRandom;
using endivecleat::ServiceName;
using endivecleat::SignDatagram;
using endivecleat::VerifyDatagram;
using endivecleat::WallTime;
using endivecleat::test::MembershipCluster;
using endivecleat::test::NetworkFaults;

namespace {

constexpr const char* kToken = "mesh-token";
const Address kUnknownSender{"10.99.0.1", 7000};

std::string Corrupt(std::string bytes, SeededRandom* random) {
  switch (random->Below(3)) {
    case 0:
      bytes.resize(random->Below(bytes.size() + 1));
      break;
    case 1:
      bytes[random->Below(bytes.size())] = static_cast<char>(random->Next());
      break;
    default:
      bytes.insert(random->Below(bytes.size()), 1, static_cast<char>(random->Next()));
  }
  return bytes;
}

}  // namespace

TEST_GROUP(DatagramReceived) {
  MembershipCluster cluster{4, 1, 1, NetworkFaults{}};
  std::vector<std::string> captured;
  void setup() override {
    cluster.Run(std::chrono::seconds(6));
    cluster.at(0).ReportCrash(cluster.now(), 42, 1);
    for (int i = 0; i < 30; ++i) {
      for (const Datagram& datagram :
           cluster.at(0).Tick(cluster.now() + std::chrono::milliseconds(100 * i))) {
        captured.push_back(datagram.bytes);
      }
    }
  }
};

TEST(DatagramReceived, WithAnyByteChangedIsDropped) {
  const std::string& datagram = captured.front();
  CHECK(DecodeDatagram(kToken, datagram).has_value());
  for (size_t i = 0; i < datagram.size(); ++i) {
    std::string forged = datagram;
    forged[i] ^= 1;
    CHECK_FALSE(DecodeDatagram(kToken, forged).has_value());
    CHECK(cluster.at(1).Receive(cluster.now(), kUnknownSender, forged).empty());
  }
}

TEST(DatagramReceived, TruncatedIsDropped) {
  for (size_t length = 0; length < captured.front().size(); ++length) {
    CHECK_FALSE(DecodeDatagram(kToken, captured.front().substr(0, length)).has_value());
  }
}

TEST(DatagramReceived, SignedWithAnotherTokenIsDropped) {
  const auto payload = VerifyDatagram(kToken, captured.front());
  const std::string forged = SignDatagram("other-token", std::string(*payload));
  CHECK_FALSE(DecodeDatagram(kToken, forged).has_value());
}

TEST(DatagramReceived, MalformedButSignedNeverCrashes) {
  SeededRandom random(7);
  for (int i = 0; i < 20'000; ++i) {
    const std::string& original = captured[random.Below(captured.size())];
    const auto payload = VerifyDatagram(kToken, original);
    const std::string damaged = SignDatagram(kToken, Corrupt(std::string(*payload), &random));
    cluster.at(1).Receive(cluster.now(), kUnknownSender, damaged);
  }
  cluster.Run(std::chrono::seconds(2));
}

TEST(DatagramReceived, DeeplyNestedIsDropped) {
  for (const char opening : {static_cast<char>(0x81), static_cast<char>(0x9F)}) {
    const std::string nested(1'000'000, opening);
    CHECK_FALSE(DecodeDatagram(kToken, SignDatagram(kToken, nested)).has_value());
    CHECK_FALSE(DecodeConfigMessage(nested, ByteCount(nested.size())).has_value());
    CHECK_FALSE(DecodeSummary(nested).has_value());
  }
}

TEST_GROUP(ConfigMessageReceived){};

TEST(ConfigMessageReceived, DamagedNeverCrashes) {
  ConfigMessage transfer{.kind = ConfigMessage::Kind::kTransfer};
  transfer.digest = "0123456789abcdef";
  transfer.bytes = "text of a configuration";
  const std::string bytes = EncodeConfigMessage(transfer);
  SeededRandom random(9);
  for (int i = 0; i < 20'000; ++i) {
    DecodeConfigMessage(Corrupt(bytes, &random), ByteCount(1000));
  }
  CHECK_FALSE(DecodeConfigMessage(bytes, ByteCount(10)).has_value());
  STRCMP_EQUAL(transfer.bytes.c_str(), DecodeConfigMessage(bytes, ByteCount(1000))->bytes.c_str());
}

TEST_GROUP(SummaryReceived){};

TEST(SummaryReceived, DamagedNeverCrashes) {
  DataCentreSummary summary{DataCentreId("ebro-a"), RegionId("ebro"), WallTime(5), {}};
  summary.services.push_back({ServiceName("portal-ayto"), 9, 81, {{"10.30.0.1", 7000}}});
  const std::string bytes = EncodeSummary(summary);
  CHECK(DecodeSummary(bytes) == summary);
  SeededRandom random(11);
  for (int i = 0; i < 20'000; ++i) {
    DecodeSummary(Corrupt(bytes, &random));
  }
}
