// Provides the seed of a randomised test that runs with one seed. The environment variable
// ENDIVECLEAT_SEED replaces it; the test prints its seed when it fails.
#ifndef ENDIVECLEAT_TEST_TEST_SEED_H_
#define ENDIVECLEAT_TEST_TEST_SEED_H_

#include <cstdint>
#include <cstdlib>
#include <optional>
#include <string>

namespace endivecleat::test {

/// The value of ENDIVECLEAT_SEED; nullopt when it is not set.
inline std::optional<uint64_t> ReplayedSeed() {
  const char* text = std::getenv("ENDIVECLEAT_SEED");
  return text == nullptr ? std::nullopt : std::optional(std::strtoull(text, nullptr, 10));
}

inline uint64_t TestSeed(uint64_t default_seed) { return ReplayedSeed().value_or(default_seed); }

}  // namespace endivecleat::test

#endif  // ENDIVECLEAT_TEST_TEST_SEED_H_
