// Tests IdentifyTenant. They guard against a key that reaches a target, a tenant name that a caller
// made up, and requests that run without a known key.
#include "tenant_identity.h"

#include <CppUTest/TestHarness.h>

#include <string>

using endivecleat::HeaderList;
using endivecleat::IdentifyTenant;
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

  TenantIdentity Identify(bool open, HeaderList& headers) const {
    return IdentifyTenant(&tenants, open, kTenantHeader, headers);
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
  CHECK(IdentifyTenant(nullptr, false, kTenantHeader, headers).accepted);
  CHECK(headers == (HeaderList{{"Authorization", "Bearer other"}}));
}
