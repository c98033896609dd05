// The seed of a randomised test: ENDIVECLEAT_SEED replays one seed, and a failing test prints its
// own.
#ifndef ENDIVECLEAT_TEST_TEST_SEED_H_
#define ENDIVECLEAT_TEST_TEST_SEED_H_

#include <cstdint>
#include <cstdlib>
#include <optional>
#include <string>

namespace endivecleat::test {

inline std::optional<uint64_t> ReplayedSeed() {
  const char* text = std::getenv("ENDIVECLEAT_SEED");
  return text == nullptr ? std::nullopt : std::optional(std::strtoull(text, nullptr, 10));
}

inline uint64_t TestSeed(uint64_t usual) { return ReplayedSeed().value_or(usual); }

}  // namespace endivecleat::test

#endif  // ENDIVECLEAT_TEST_TEST_SEED_H_
