// Identifies the tenant of a request by its API key at the daemon that receives it, and replaces
// the key by the tenant's name.
#ifndef ENDIVECLEAT_TENANT_IDENTITY_H_
#define ENDIVECLEAT_TENANT_IDENTITY_H_

#include <string>

#include "http_message.h"
#include "tenant_table.h"

namespace endivecleat {

struct TenantIdentity {
  bool accepted = true;            // false: the route needs a key and the request has no known one
  const Tenant* tenant = nullptr;  // null for a request without a known key; valid as the table
};

/// Looks up the API key ("Authorization: Bearer KEY"). Without tenants (null) every request is
/// accepted.
TenantIdentity IdentifyTenant(const TenantTable* tenants, bool open_route,
                              const HeaderList& headers);

/// Removes the API key from the header fields that a target receives, and sets the field
/// `tenant_header` to the name of the tenant (null: none). A value of that field that the caller
/// sent is always removed. Without tenants "Authorization" is kept, since it then belongs to the
/// target.
void ReplaceKeyByTenant(const TenantTable* tenants, const Tenant* tenant,
                        const std::string& tenant_header, HeaderList& headers);

}  // namespace endivecleat

#endif  // ENDIVECLEAT_TENANT_IDENTITY_H_
