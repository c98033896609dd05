// Reads the field "Authorization" and looks its key up.
#include "tenant_identity.h"

#include <string_view>

namespace endivecleat {
namespace {

constexpr char kAuthorizationHeader[] = "authorization";
constexpr std::string_view kBearerScheme = "bearer ";

/// The key of a field "Authorization: Bearer KEY"; empty if there is none.
std::string_view BearerKey(const HeaderList& headers) {
  const std::string_view value = headers.Find(kAuthorizationHeader).value_or("");
  const bool bearer = value.size() > kBearerScheme.size() &&
                      EqualIgnoringCase(value.substr(0, kBearerScheme.size()), kBearerScheme);
  return bearer ? value.substr(kBearerScheme.size()) : std::string_view();
}

}  // namespace

TenantIdentity IdentifyTenant(const TenantTable* tenants, bool open_route,
                              const HeaderList& headers) {
  if (tenants == nullptr) {
    return {};
  }
  const Tenant* tenant = tenants->FindByKey(BearerKey(headers));
  return {.accepted = tenant != nullptr || open_route, .tenant = tenant};
}

void ReplaceKeyByTenant(const TenantTable* tenants, const Tenant* tenant,
                        const std::string& tenant_header, HeaderList& headers) {
  if (tenants != nullptr) {
    headers.Remove(kAuthorizationHeader);
  }
  if (tenant_header.empty()) {
    return;
  }
  headers.Remove(tenant_header);
  if (tenant != nullptr) {
    headers.Add(tenant_header, tenant->name.value());
  }
}

}  // namespace endivecleat
