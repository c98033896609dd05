// Two hash tables over a vector of tenants.
#include "tenant_table.h"

#include <openssl/evp.h>

#include <algorithm>
#include <utility>

#include "errors.h"

namespace endivecleat {

KeyDigest DigestOfKey(std::string_view key) {
  KeyDigest digest{};
  const int done =
      EVP_Digest(key.data(), key.size(), digest.data(), nullptr, EVP_sha256(), nullptr);
  ENDIVECLEAT_CHECK(done == 1, "SHA-256 is not available");
  return digest;
}

bool TenantTable::AddTenant(Tenant tenant) {
  if (!by_name_.emplace(tenant.name, tenants_.size()).second) {
    return false;
  }
  tenants_.push_back(std::move(tenant));
  return true;
}

const Tenant* TenantTable::AddKey(std::string_view key) {
  const auto [entry, added] = by_key_.emplace(DigestOfKey(key), tenants_.size() - 1);
  return added ? nullptr : &tenants_[entry->second];
}

const Tenant* TenantTable::FindByKey(std::string_view key) const {
  const auto found = by_key_.find(DigestOfKey(key));
  return found == by_key_.end() ? nullptr : &tenants_[found->second];
}

const Tenant* TenantTable::FindByName(const TenantName& name) const {
  const auto found = by_name_.find(name);
  return found == by_name_.end() ? nullptr : &tenants_[found->second];
}

size_t TenantTable::KeyCountOf(const Tenant& tenant) const {
  return static_cast<size_t>(std::count_if(by_key_.begin(), by_key_.end(), [&](const auto& entry) {
    return &tenants_[entry.second] == &tenant;
  }));
}

}  // namespace endivecleat
