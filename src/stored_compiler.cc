// Builds small documents of the routes that are new and puts their results together with the routes
// of the configuration before. What holds between routes is checked over all of them.
#include "stored_compiler.h"

#include <xxhash.h>

#include <algorithm>
#include <map>
#include <optional>
#include <span>
#include <unordered_map>
#include <unordered_set>
#include <utility>

namespace endivecleat {
namespace {

constexpr size_t kRoutesParsedTogether = 64;

bool NameIsUnique(const std::vector<CompiledRoute>& routes) {
  std::unordered_set<std::string_view> names;
  return std::all_of(routes.begin(), routes.end(), [&](const CompiledRoute& route) {
    return names.insert(route.name.value()).second;
  });
}

bool ServicesExist(const std::vector<CompiledRoute>& routes,
                   const std::vector<CompiledService>& services) {
  std::unordered_set<std::string_view> names;
  for (const CompiledService& service : services) {
    names.insert(service.name.value());
  }
  return std::all_of(routes.begin(), routes.end(), [&](const CompiledRoute& route) {
    return std::all_of(route.shares.begin(), route.shares.end(), [&](const RouteShare& share) {
      return names.contains(share.service.value());
    });
  });
}

bool AcceptSameMethod(const CompiledRoute& one, const CompiledRoute& other) {
  return one.methods.empty() || other.methods.empty() ||
         std::any_of(one.methods.begin(), one.methods.end(), [&](const std::string& method) {
           return std::find(other.methods.begin(), other.methods.end(), method) !=
                  other.methods.end();
         });
}

/// Whether no two routes have the same host and prefix and a method in common.
bool MatchIsUnique(const std::vector<CompiledRoute>& routes) {
  std::unordered_multimap<std::string_view, const CompiledRoute*> by_prefix;
  by_prefix.reserve(routes.size());
  for (const CompiledRoute& route : routes) {
    const auto [first, last] = by_prefix.equal_range(route.path_prefix);
    const bool unique = std::none_of(first, last, [&](const auto& entry) {
      return entry.second->host == route.host && AcceptSameMethod(*entry.second, route);
    });
    if (!unique) {
      return false;
    }
    by_prefix.emplace(route.path_prefix, &route);
  }
  return true;
}

}  // namespace

std::shared_ptr<const CompiledConfiguration> StoredCompiler::Compile(const std::string& text,
                                                                     ConfigVersion version) {
  work_ = {};
  std::shared_ptr<const CompiledConfiguration> compiled;
  if (const std::optional<StoredTextParts> parts = SplitStoredText(text);
      parts && text.size() <= kMaxDocumentBytes) {
    compiled = CompileParts(*parts, text, version);
  }
  if (!compiled) {
    // Either the text is invalid, and this reports its problems, or it is not in the stored form.
    compiled = CompileStored(text, version);
    work_ = {.parsed_routes = compiled->routes().size(), .reused_routes = 0};
    routes_.clear();
    checked_presets_.clear();
    tenants_ = {};
  }
  compiled_ = compiled;
  return compiled;
}

std::shared_ptr<const CompiledConfiguration> StoredCompiler::CompileParts(
    const StoredTextParts& parts, const std::string& text, ConfigVersion version) {
  Routes routes = ReuseRoutes(parts);
  std::optional<CheckedConfiguration> checked;
  try {
    checked = ParseChanged(parts, routes);
  } catch (const UserError&) {
    return nullptr;  // the whole text has the problem as well, and its place there is reported
  }
  if (!checked) {
    return nullptr;
  }
  CheckedPreset& preset = checked->presets.front();
  if (!NameIsUnique(routes.compiled) || !ServicesExist(routes.compiled, preset.services) ||
      !MatchIsUnique(routes.compiled)) {
    return nullptr;
  }
  work_ = {.parsed_routes = routes.changed.size(),
           .reused_routes = routes.compiled.size() - routes.changed.size()};
  preset.routes = std::move(routes.compiled);
  tenants_ = DigestOf(parts.tenants);
  routes_ = std::move(routes.digests);
  checked_presets_.clear();
  for (const StoredTextParts::Preset& other : parts.other_presets) {
    checked_presets_.insert(DigestOf(other));
  }
  return CompileChecked(std::move(*checked), version, text);
}

StoredCompiler::Routes StoredCompiler::ReuseRoutes(const StoredTextParts& parts) const {
  struct DigestHash {
    size_t operator()(const Digest& digest) const { return digest[0]; }
  };
  std::unordered_map<Digest, size_t, DigestHash> positions;  // in compiled_->routes()
  for (size_t position = 0; position < routes_.size(); ++position) {
    positions.emplace(routes_[position], position);
  }
  Routes routes;
  routes.compiled.resize(parts.routes.size());
  for (size_t position = 0; position < parts.routes.size(); ++position) {
    routes.digests.push_back(DigestOf(parts.routes[position]));
    if (const auto known = positions.find(routes.digests.back()); known != positions.end()) {
      routes.compiled[position] = compiled_->routes()[known->second];
    } else {
      routes.changed.push_back(position);
    }
  }
  return routes;
}

std::optional<CheckedConfiguration> StoredCompiler::ParseChanged(const StoredTextParts& parts,
                                                                 Routes& routes) const {
  std::optional<CheckedConfiguration> checked;
  std::vector<StoredTextParts::Preset> presets = UncheckedPresets(parts);
  const bool same_tenants = compiled_ != nullptr && tenants_ == DigestOf(parts.tenants);
  std::shared_ptr<const TenantTable> tenants =
      same_tenants ? compiled_->tenants() : std::shared_ptr<const TenantTable>();
  size_t done = 0;
  do {  // once at least, for what is not a route
    const auto together =
        std::span(routes.changed)
            .subspan(done, std::min(routes.changed.size() - done, kRoutesParsedTogether));
    std::vector<std::string_view> texts;
    for (const size_t position : together) {
      texts.push_back(parts.routes[position]);
    }
    const bool with_tenants = done == 0 && !same_tenants;
    checked =
        ParseAndCheck({JoinStoredText(parts, texts, std::exchange(presets, {}), with_tenants)});
    if (with_tenants) {
      tenants = checked->tenants;
    }
    const auto preset = std::find_if(
        checked->presets.begin(), checked->presets.end(),
        [&](const CheckedPreset& each) { return each.name == checked->preset_in_force; });
    if (preset == checked->presets.end() || preset->routes.size() != together.size()) {
      return std::nullopt;
    }
    for (size_t index = 0; index < together.size(); ++index) {
      routes.compiled[together[index]] = std::move(preset->routes[index]);
    }
    checked->presets = {std::move(*preset)};
    done += together.size();
  } while (done < routes.changed.size());
  checked->tenants = std::move(tenants);
  return checked;
}

StoredCompiler::Digest StoredCompiler::DigestOf(std::string_view text) {
  const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
  return {hash.low64, hash.high64};
}

StoredCompiler::Digest StoredCompiler::DigestOf(const StoredTextParts::Preset& preset) {
  return DigestOf(std::string(preset.name).append("\"").append(preset.text));
}

std::vector<StoredTextParts::Preset> StoredCompiler::UncheckedPresets(
    const StoredTextParts& parts) const {
  std::vector<StoredTextParts::Preset> unchecked;
  for (const StoredTextParts::Preset& preset : parts.other_presets) {
    if (!checked_presets_.contains(DigestOf(preset))) {
      unchecked.push_back(preset);
    }
  }
  return unchecked;
}

}  // namespace endivecleat
