// Tests what a tenant gets from its quota while nothing fails, and the encoding of the messages.
// Guards against refusals of tenants below their limits, also after a start and after a new
// configuration, and against hot tenants that get much less than their limits.
#include <CppUTest/TestHarness.h>

#include "errors.h"
#include "quota_client.h"
#include "quota_mesh.h"
#include "quota_message.h"
#include "quota_owner.h"

using namespace endivecleat;        // NOLINT(google-build-using-namespace)
using namespace endivecleat::test;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr double kUsualPart = 1.6;

// Two large and ten small tenants on 30 daemons, whose requests arrive mostly at one daemon each.
QuotaMeshSettings Mesh() {
  QuotaMeshSettings settings;
  settings.daemons = 30;
  settings.controls = 2;
  settings.network = {.min_delay = milliseconds(1), .max_delay = milliseconds(30)};
  for (int tenant = 0; tenant < 12; ++tenant) {
    const double rate = tenant < 2 ? 200 : 16;
    settings.quotas.push_back({rate, rate / 2});
  }
  return settings;
}

void UsualLoad(QuotaMesh& mesh) {
  for (size_t tenant = 0; tenant < Mesh().quotas.size(); ++tenant) {
    mesh.SetLoad(tenant, Mesh().quotas[tenant].rate_per_second / kUsualPart);
  }
}

}  // namespace

TEST_GROUP(QuotaInCalm){};

TEST(QuotaInCalm, RefusesNothingFromTheStartOn) {
  for (const double skew : {0.0, 0.5, 0.95}) {
    QuotaMesh mesh(Mesh(), 1);
    mesh.SetSkew(skew);
    UsualLoad(mesh);
    mesh.Run(seconds(20));
    CHECK_EQUAL(uint64_t{0}, mesh.total().refused);
    CHECK(mesh.total().sent > 5000);
  }
}

TEST(QuotaInCalm, NewConfigurationWithOtherLimitsCostsOtherTenantsNothing) {
  QuotaMesh mesh(Mesh(), 2);
  UsualLoad(mesh);
  mesh.Run(seconds(10));
  for (int change = 0; change < 5; ++change) {
    mesh.SetQuota(11, {static_cast<double>(5 + change), 5}, milliseconds(500));
    mesh.Run(seconds(1));
  }
  uint64_t refused = 0;
  for (size_t tenant = 0; tenant < 11; ++tenant) {
    refused += mesh.counts(tenant).refused;
  }
  CHECK_EQUAL(uint64_t{0}, refused);
}

TEST(QuotaInCalm, HotTenantGetsNearlyItsLimitAndOthersLoseNothing) {
  for (const size_t hot : {size_t{0}, size_t{11}}) {
    QuotaMesh mesh(Mesh(), 3);
    UsualLoad(mesh);
    mesh.Run(seconds(10));
    const uint64_t before = mesh.counts(hot).ran;
    const double rate = Mesh().quotas[hot].rate_per_second;
    mesh.SetLoad(hot, rate / kUsualPart * 7.5);
    mesh.Run(milliseconds(6500));
    const auto ran = static_cast<double>(mesh.counts(hot).ran - before);
    CHECK(ran >= 0.95 * 6.5 * rate);
    CHECK(static_cast<double>(mesh.MostInWindow(hot)) <= QuotaMesh::Bound(Mesh().quotas[hot]));
    CHECK_EQUAL(uint64_t{0}, mesh.total().refused - mesh.counts(hot).refused);
  }
}

TEST_GROUP(QuotaClientAlone) {
  const InstanceId self{"d"};
  const InstanceId control{"c"};
  const TenantId tenant = TenantIdOf(TenantName("t"));
  TimePoint now = TimePoint{} + seconds(1000);
  QuotaOwner owner{7, now};
  QuotaClient client{self, 9};

  void SetQuota(TenantQuota quota, uint64_t version) {
    TenantTable table;
    table.AddTenant({TenantName("t"), std::nullopt, quota});
    client.SetTenants(now, ConfigVersion(version), &table);
  }
  void setup() override {
    owner.SetMembers(now, {self});
    SetQuota({100, 100}, 1);
    client.SetOwners(now, {control});
    Talk();
  }
  void Talk() {
    while (const auto outgoing = client.NextRequest(now)) {
      client.Received(now, outgoing->request.sequence, owner.Receive(now, outgoing->request));
    }
  }
  void Pass(Duration time) {
    for (Duration passed{}; passed < time; passed += milliseconds(100)) {
      now += milliseconds(100);
      Talk();
    }
  }
  QuotaVerdict Take() {
    return client.Take(now, tenant, RequestNumber(++last), now + seconds(2)).verdict;
  }
  uint64_t last = 0;
};

TEST(QuotaClientAlone, FirstRequestFindsATokenInStock) {
  Pass(milliseconds(200));
  CHECK(Take() == QuotaVerdict::kGranted);
}

TEST(QuotaClientAlone, ReturnedTokenCanBeTakenAgain) {
  Pass(milliseconds(200));
  const QuotaAnswer answer = client.Take(now, tenant, RequestNumber(1), now + seconds(1));
  CHECK(answer.verdict == QuotaVerdict::kGranted);
  const uint64_t taken = client.counts().taken;
  client.Return(now, answer.token);
  CHECK_EQUAL(uint64_t{1}, client.counts().returned);
  CHECK(Take() == QuotaVerdict::kGranted);
  CHECK_EQUAL(taken + 1, client.counts().taken);
}

TEST(QuotaClientAlone, RequestWaitsNoLongerThanItsDeadline) {
  QuotaClient lonely(self, 3);
  TenantTable table;
  table.AddTenant({TenantName("t"), std::nullopt, {100, 100}});
  lonely.SetTenants(now, ConfigVersion(1), &table);
  const TimePoint deadline = now + milliseconds(40);
  CHECK(lonely.Take(now, tenant, RequestNumber(1), deadline).verdict == QuotaVerdict::kWait);
  CHECK(lonely.next_timer() <= deadline);
  const auto decisions = lonely.TakeDecisions(deadline);
  CHECK_EQUAL(size_t{1}, decisions.size());
  CHECK(decisions[0].answer.verdict == QuotaVerdict::kRefused);
  CHECK(decisions[0].answer.retry_after > Duration{});
}

TEST(QuotaClientAlone, StateOfATenantWithTheSameLimitSurvivesANewConfiguration) {
  Pass(milliseconds(200));
  SetQuota({100, 100}, 2);
  CHECK(Take() == QuotaVerdict::kGranted);
}

TEST(QuotaClientAlone, TokensOfALowerLimitAreGivenBack) {
  Pass(milliseconds(200));
  SetQuota({1, 1}, 2);
  CHECK(Take() == QuotaVerdict::kWait);
}

TEST(QuotaClientAlone, WaitingRequestRunsWhenItsTenantHasNoLimitAnyLonger) {
  SetQuota({1, 1}, 2);
  CHECK(Take() == QuotaVerdict::kWait);
  client.SetTenants(now, ConfigVersion(3), nullptr);
  const auto decisions = client.TakeDecisions(now);
  CHECK_EQUAL(size_t{1}, decisions.size());
  CHECK(decisions[0].answer.verdict == QuotaVerdict::kGranted);
}

// The share must be free for another owner only when the promise to the first has ended.
TEST(QuotaClientAlone, ShareIsNotLentToAnotherOwnerBeforeThePromiseEnds) {
  Pass(seconds(2));
  const InstanceId other("e");
  QuotaOwner second(8, now);
  second.SetMembers(now, {self});
  client.SetOwners(now, {other});
  const TimePoint silent_since = now;
  while (second.daemons() == 0 && now < silent_since + seconds(20)) {
    now += milliseconds(50);
    owner.Tick(now);
    while (const auto outgoing = client.NextRequest(now)) {
      if (outgoing->to == other) {
        client.Received(now, outgoing->request.sequence, second.Receive(now, outgoing->request));
      } else {
        client.Failed(now, outgoing->request.sequence);
      }
    }
  }
  CHECK_EQUAL(size_t{1}, second.daemons());
  CHECK_EQUAL(size_t{0}, owner.daemons());
}

TEST(QuotaClientAlone, RequestWaitsWhileTheReplyOfItsOwnerIsLate) {
  Pass(seconds(2));
  while (Take() == QuotaVerdict::kGranted) {
  }
  const auto outgoing = client.NextRequest(now);
  CHECK(outgoing.has_value());
  now += milliseconds(300);
  CHECK(client.TakeDecisions(now).empty());
  client.Received(now, outgoing->request.sequence, owner.Receive(now, outgoing->request));
  const auto decisions = client.TakeDecisions(now);
  CHECK_EQUAL(size_t{1}, decisions.size());
  CHECK(decisions[0].answer.verdict == QuotaVerdict::kGranted);
}

// An owner that has started while most daemons were cut off must not take each of the others for a
// large part of the mesh.
TEST(QuotaClientAlone, OwnerThatKnowsFewerDaemonsGivesOutOnlyTheSharesItHolds) {
  Pass(seconds(10));
  client.SetKnownMembers(10);
  Pass(seconds(10));
  const uint64_t before = client.counts().taken;
  for (int step = 0; step < 490; ++step) {
    now += milliseconds(10);
    Take();
    Talk();
    client.TakeDecisions(now);
  }
  const uint64_t taken = client.counts().taken - before;
  CHECK(taken >= 30);
  CHECK(static_cast<double>(taken) <= QuotaMesh::Bound({100, 100}) / 10);
}

TEST_GROUP(QuotaMessages){};

TEST(QuotaMessages, DecodeToWhatWasEncoded) {
  QuotaRequest request;
  request.from = InstanceId("10.0.0.1");
  request.run = ~0ULL;
  request.sequence = 3;
  request.purpose = QuotaPurpose::kChangeOwner;
  request.owner_run = 17;
  request.stamp = TimePoint{} + seconds(12345);
  request.lent_for = milliseconds(777);
  request.members = 90;
  request.version = ConfigVersion(12);
  request.entries = {{TenantIdOf(TenantName("a")), {12.5, 30}, 99, {1, 0, 7}, 2, 3, 4, 5}};
  CHECK(request == DecodeQuotaRequest(EncodeQuotaRequest(request)));
  QuotaReply reply;
  reply.owner_run = 17;
  reply.stamp = request.stamp;
  reply.released = true;
  reply.members = 91;
  reply.lease = seconds(12);
  reply.grants = {{TenantIdOf(TenantName("b")), 7, milliseconds(120)}};
  CHECK(reply == DecodeQuotaReply(EncodeQuotaReply(reply)));
}

TEST(QuotaMessages, TruncatedMessagesAreRejected) {
  QuotaRequest request;
  request.entries.resize(3);
  const std::string bytes = EncodeQuotaRequest(request);
  for (size_t length = 0; length < bytes.size(); ++length) {
    CHECK_THROWS(UserError, DecodeQuotaRequest(bytes.substr(0, length)));
  }
  const std::string reply = EncodeQuotaReply({});
  for (size_t length = 0; length < reply.size(); ++length) {
    CHECK_THROWS(UserError, DecodeQuotaReply(reply.substr(0, length)));
  }
}
