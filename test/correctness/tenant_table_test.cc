// Tests TenantTable and the part of a configuration that holds the tenants. They guard against a
// key that opens the wrong tenant, and against tenants that get lost or stay when a daemon installs
// the next version.
#include "tenant_table.h"

#include <CppUTest/TestHarness.h>

#include <nlohmann/json.hpp>
#include <string>

#include "configuration.h"
#include "document_maker.h"
#include "errors.h"
#include "stored_compiler.h"

using endivecleat::CanonicalText;
using endivecleat::CheckedConfiguration;
using endivecleat::ConfigVersion;
using endivecleat::ParseAndCheck;
using endivecleat::PresetName;
using endivecleat::StoredCompiler;
using endivecleat::Tenant;
using endivecleat::TenantName;
using endivecleat::TenantTable;
using endivecleat::UserError;
using endivecleat::test::LargeDocument;
using Json = nlohmann::json;

namespace {

std::string KeyOf(size_t tenant, size_t key) {
  return "key-" + std::to_string(tenant) + "-" + std::to_string(key);
}

Json DocumentWithTenants(const Json& tenants) {
  Json document = LargeDocument(100, 1);
  document["tenants"] = tenants;
  return document;
}

std::string StoredText(const Json& document) {
  const CheckedConfiguration checked = ParseAndCheck({document.dump()});
  return CanonicalText(checked, PresetName("ordinary"));
}

}  // namespace

TEST_GROUP(TenantTable){};

TEST(TenantTable, FindsEachOfTenThousandKeysAndNoOther) {
  constexpr size_t kTenants = 1000;
  constexpr size_t kKeys = 10;
  TenantTable table;
  for (size_t tenant = 0; tenant < kTenants; ++tenant) {
    CHECK(table.AddTenant({.name = TenantName("tenant-" + std::to_string(tenant))}));
    for (size_t key = 0; key < kKeys; ++key) {
      POINTERS_EQUAL(nullptr, table.AddKey(KeyOf(tenant, key)));
    }
  }
  LONGS_EQUAL(kTenants * kKeys, table.key_count());
  for (size_t tenant = 0; tenant < kTenants; ++tenant) {
    const Tenant* found = table.FindByKey(KeyOf(tenant, tenant % kKeys));
    CHECK(found != nullptr && found->name == TenantName("tenant-" + std::to_string(tenant)));
  }
  POINTERS_EQUAL(nullptr, table.FindByKey(""));
  POINTERS_EQUAL(nullptr, table.FindByKey("key-1"));
  POINTERS_EQUAL(nullptr, table.FindByKey(KeyOf(kTenants, 0)));
}

TEST(TenantTable, KeyOfAnotherTenantStaysWithIt) {
  TenantTable table;
  table.AddTenant({.name = TenantName("first")});
  table.AddKey("key");
  table.AddTenant({.name = TenantName("second")});
  CHECK(table.AddKey("key")->name == TenantName("first"));
  CHECK(table.FindByKey("key")->name == TenantName("first"));
  CHECK_FALSE(table.AddTenant({.name = TenantName("first")}));
}

TEST_GROUP(TenantsOfAConfiguration){};

TEST(TenantsOfAConfiguration, ProblemsNeverQuoteAKey) {
  const Json tenants = {{"a", {{"api_keys", {"secret-key", "other"}}}},
                        {"b", {{"api_keys", {"secret-key"}}, {"secret", 1}}}};
  try {
    ParseAndCheck({DocumentWithTenants(tenants).dump()});
    FAIL("a shared key was accepted");
  } catch (const UserError& error) {
    CHECK_FALSE(error.problems().empty());
    for (const auto& problem : error.problems()) {
      CHECK(problem.message.find("secret-key") == std::string::npos);
    }
  }
}

TEST(TenantsOfAConfiguration, AreThoseOfTheNewestTextWhateverElseChanged) {
  StoredCompiler compiler;
  Json document = DocumentWithTenants({{"a", {{"api_keys", {"one"}}}}});
  const auto first = compiler.Compile(StoredText(document), ConfigVersion(1));
  CHECK(first->tenants()->FindByKey("one") != nullptr);

  document["presets"]["ordinary"]["routes"][3]["path_prefix"] = "/moved";
  const auto moved = compiler.Compile(StoredText(document), ConfigVersion(2));
  CHECK(moved->tenants() == first->tenants());  // shared, not parsed again
  LONGS_EQUAL(1, compiler.work().parsed_routes);

  document["tenants"]["a"]["api_keys"] = {"two"};
  const auto rotated = compiler.Compile(StoredText(document), ConfigVersion(3));
  POINTERS_EQUAL(nullptr, rotated->tenants()->FindByKey("one"));
  CHECK(rotated->tenants()->FindByKey("two") != nullptr);
  LONGS_EQUAL(0, compiler.work().parsed_routes);

  document.erase("tenants");
  CHECK(compiler.Compile(StoredText(document), ConfigVersion(4))->tenants() == nullptr);
}
