// The tenants of a configuration and their API keys. A daemon looks up the tenant of each request
// by its key; only digests of the keys are kept.
#ifndef ENDIVECLEAT_TENANT_TABLE_H_
#define ENDIVECLEAT_TENANT_TABLE_H_

#include <array>
#include <cstdint>
#include <cstring>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "service_policy.h"
#include "units.h"

namespace endivecleat {

using TenantName = StrongString<struct TenantNameTag>;

/// The requests that a tenant may make over all daemons together: a token bucket.
struct TenantQuota {
  double rate_per_second = 0;  // 0: no limit
  double burst = 0;            // requests

  bool limited() const { return rate_per_second > 0; }
  bool operator==(const TenantQuota&) const = default;
};

struct Tenant {
  TenantName name;
  std::optional<Priority> priority;  // replaces that of the route
  TenantQuota quota;

  bool operator==(const Tenant&) const = default;
};

/// SHA-256 of an API key.
using KeyDigest = std::array<unsigned char, 32>;
KeyDigest DigestOfKey(std::string_view key);

/// Finds tenants by API key in constant time.
class TenantTable {
 public:
  /// Returns false, and leaves the table unchanged, if a tenant of this name exists.
  bool AddTenant(Tenant tenant);
  /// Adds a key to the tenant added last. Returns the tenant that already has this key; null if
  /// the key is new.
  const Tenant* AddKey(std::string_view key);

  /// Returns null for an unknown key. The pointer is valid as long as the table.
  const Tenant* FindByKey(std::string_view key) const;
  const Tenant* FindByName(const TenantName& name) const;

  const std::vector<Tenant>& tenants() const { return tenants_; }
  size_t key_count() const { return by_key_.size(); }
  /// Number of keys of one tenant of this table.
  size_t KeyCountOf(const Tenant& tenant) const;
  bool empty() const { return tenants_.empty(); }

 private:
  struct DigestHash {
    size_t operator()(const KeyDigest& digest) const {
      size_t value = 0;
      std::memcpy(&value, digest.data(), sizeof value);
      return value;
    }
  };

  std::vector<Tenant> tenants_;
  std::unordered_map<KeyDigest, size_t, DigestHash> by_key_;  // positions in tenants_
  std::unordered_map<TenantName, size_t> by_name_;            // positions in tenants_
};

}  // namespace endivecleat

#endif  // ENDIVECLEAT_TENANT_TABLE_H_
