// Tests IdentifyTenant. They guard against a key that reaches a target, a tenant name that a caller
// made up, and requests that run without a known key.
#include "tenant_identity.h"

#include <CppUTest/TestHarness.h>

#include <string>

using endivecleat::HeaderList;
using endivecleat::IdentifyTenant;
using endivecleat::ReplaceKeyByTenant;
using endivecleat::TenantIdentity;
using endivecleat::TenantName;
using endivecleat::TenantTable;

namespace {

constexpr char kTenantHeader[] = "Tenant";

TenantTable OneTenant() {
  TenantTable table;
  table.AddTenant({.name = TenantName("pulo")});
  table.AddKey("secret");
  return table;
}

}  // namespace

TEST_GROUP(TenantIdentity) {
  const TenantTable tenants = OneTenant();

  /// Identifies the tenant and makes the header fields those that a target receives.
  TenantIdentity Identify(bool open, HeaderList& headers) const {
    const TenantIdentity identity = IdentifyTenant(&tenants, open, headers);
    ReplaceKeyByTenant(&tenants, identity.tenant, kTenantHeader, headers);
    return identity;
  }
};

TEST(TenantIdentity, KnownKeyBecomesTheNameOfItsTenant) {
  for (const char* scheme : {"Bearer ", "bearer "}) {
    HeaderList headers = {{"Authorization", std::string(scheme) + "secret"},
                          {"tenant", "made-up"},
                          {"Tenant", "made-up-too"}};
    const TenantIdentity identity = Identify(false, headers);
    CHECK(identity.accepted && identity.tenant != nullptr);
    CHECK(headers == (HeaderList{{"Tenant", "pulo"}}));
  }
}

// A request that a daemon held until it knew a target was identified twice; its key was gone the
// second time, so that it got 401.
TEST(TenantIdentity, LookingUpAKeyTwiceGivesTheSameTenant) {
  const HeaderList headers = {{"Authorization", "Bearer secret"}};
  CHECK(IdentifyTenant(&tenants, false, headers).tenant ==
        IdentifyTenant(&tenants, false, headers).tenant);
}

TEST(TenantIdentity, UnknownKeyIsRefusedAndNoKeyPassedOn) {
  for (const char* value : {"Bearer other", "Bearer ", "Basic secret", "secret", ""}) {
    HeaderList headers = {{"Authorization", value}, {"Tenant", "pulo"}};
    CHECK_FALSE(Identify(false, headers).accepted);
    CHECK(headers.empty());
  }
  HeaderList none;
  CHECK_FALSE(Identify(false, none).accepted);
}

TEST(TenantIdentity, OpenRouteNeedsNoKeyButGetsNoMadeUpTenant) {
  HeaderList headers = {{"Authorization", "Bearer other"}, {"Tenant", "pulo"}};
  const TenantIdentity identity = Identify(true, headers);
  CHECK(identity.accepted && identity.tenant == nullptr);
  CHECK(headers.empty());
}

TEST(TenantIdentity, WithoutTenantsTheFieldBelongsToTheTarget) {
  HeaderList headers = {{"Authorization", "Bearer other"}, {"Tenant", "pulo"}};
  CHECK(IdentifyTenant(nullptr, false, headers).accepted);
  ReplaceKeyByTenant(nullptr, nullptr, kTenantHeader, headers);
  CHECK(headers == (HeaderList{{"Authorization", "Bearer other"}}));
}
