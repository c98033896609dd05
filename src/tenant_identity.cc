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
                              const std::string& tenant_header, HeaderList& headers) {
  if (!tenant_header.empty()) {
    headers.Remove(tenant_header);
  }
  if (tenants == nullptr) {
    return {};
  }
  const Tenant* tenant = tenants->FindByKey(BearerKey(headers));
  headers.Remove(kAuthorizationHeader);
  if (tenant != nullptr && !tenant_header.empty()) {
    headers.Set(tenant_header, tenant->name.value());
  }
  return {.accepted = tenant != nullptr || open_route, .tenant = tenant};
}

}  // namespace endivecleat
