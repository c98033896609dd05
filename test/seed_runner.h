// Runs a randomised test once per seed. The environment variable ENDIVECLEAT_SEED replays a single
// seed, and ENDIVECLEAT_SEEDS sets the number of seeds.
#ifndef ENDIVECLEAT_TEST_SEED_RUNNER_H_
#define ENDIVECLEAT_TEST_SEED_RUNNER_H_

#include <CppUTest/TestHarness.h>

#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <string>

namespace endivecleat::test {

inline uint64_t NumberFromEnvironment(const char* name, uint64_t default_value) {
  const char* text = std::getenv(name);
  return text == nullptr ? default_value : std::strtoull(text, nullptr, 10);
}

/// Calls `run` with each seed. It returns a description of the first violation, or an empty string;
/// a violation fails the test with the seed for a replay.
template <class Run>
void ForEachSeed(uint64_t default_count, Run run) {
  const uint64_t count = NumberFromEnvironment("ENDIVECLEAT_SEEDS", default_count);
  const uint64_t single = NumberFromEnvironment("ENDIVECLEAT_SEED", 0);
  const uint64_t first = single == 0 ? 1 : single;
  const uint64_t last = single == 0 ? count : single;
  for (uint64_t seed = first; seed <= last; ++seed) {
    const std::string violation = run(seed);
    if (!violation.empty()) {
      const std::string text = violation + "; replay with ENDIVECLEAT_SEED=" + std::to_string(seed);
      FAIL(text.c_str());
    }
  }
}

}  // namespace endivecleat::test

#endif  // ENDIVECLEAT_TEST_SEED_RUNNER_H_
