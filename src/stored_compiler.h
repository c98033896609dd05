// Compiles the successive texts that one process installs. Routes that are the same in the text
// before are not parsed again, so that the time of an installation depends on what a change
// touches and not on the size of the configuration. The routes that are parsed are parsed a few at
// a time, which bounds the memory that it takes.
#ifndef ENDIVECLEAT_STORED_COMPILER_H_
#define ENDIVECLEAT_STORED_COMPILER_H_

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "configuration.h"
#include "stored_text.h"

namespace endivecleat {

/// Compiles texts in the order of their versions.
class StoredCompiler {
 public:
  /// What the last Compile did with the routes of the preset in force.
  struct Work {
    size_t parsed_routes = 0;
    size_t reused_routes = 0;
  };

  /// Returns and throws the same as CompileStored.
  std::shared_ptr<const CompiledConfiguration> Compile(const std::string& text,
                                                       ConfigVersion version);
  const Work& work() const { return work_; }

 private:
  using Digest = std::array<uint64_t, 2>;  // XXH3-128 of a part of a text

  // The routes of a text; all vectors but `changed` are parallel to StoredTextParts::routes.
  struct Routes {
    std::vector<Digest> digests;
    std::vector<CompiledRoute> compiled;
    std::vector<size_t> changed;  // positions of routes that the text before did not have
  };

  static Digest DigestOf(std::string_view text);
  static Digest DigestOf(const StoredTextParts::Preset& preset);
  /// Returns null when the text has to be compiled as a whole.
  std::shared_ptr<const CompiledConfiguration> CompileParts(const StoredTextParts& parts,
                                                            const std::string& text,
                                                            ConfigVersion version);
  Routes ReuseRoutes(const StoredTextParts& parts) const;
  /// Fills in the changed routes. Returns the rest of the configuration with the preset in force
  /// alone, without its routes; nullopt when the parts are not what they seem. Throws UserError.
  std::optional<CheckedConfiguration> ParseChanged(const StoredTextParts& parts,
                                                   Routes& routes) const;
  /// The presets not in force that the text before did not have.
  std::vector<StoredTextParts::Preset> UncheckedPresets(const StoredTextParts& parts) const;

  std::shared_ptr<const CompiledConfiguration> compiled_;  // the result of the last Compile
  std::vector<Digest> routes_;        // of the routes of compiled_, in their order
  std::set<Digest> checked_presets_;  // presets of the last text that were not in force
  Digest tenants_{};                  // of the text of the tenants of compiled_
  Work work_;
};

}  // namespace endivecleat

#endif  // ENDIVECLEAT_STORED_COMPILER_H_
