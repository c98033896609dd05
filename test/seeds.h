// Provides the seeds of a randomised test as a list. The environment variable ENDIVECLEAT_SEED
// replays a single seed, and ENDIVECLEAT_SEEDS sets the number of seeds.
#ifndef ENDIVECLEAT_TEST_SEEDS_H_
#define ENDIVECLEAT_TEST_SEEDS_H_

#include <CppUTest/TestHarness.h>

#include <cstdint>
#include <cstdlib>
#include <string>
#include <vector>

namespace endivecleat::test {

/// The seeds from 1 to the configured number or `default_count`, or the seed to replay.
inline std::vector<uint64_t> Seeds(uint64_t default_count) {
  if (const char* one = std::getenv("ENDIVECLEAT_SEED")) {
    return {std::stoull(one)};
  }
  const char* count = std::getenv("ENDIVECLEAT_SEEDS");
  std::vector<uint64_t> seeds;
  for (uint64_t seed = 1; seed <= (count ? std::stoull(count) : default_count); ++seed) {
    seeds.push_back(seed);
  }
  return seeds;
}

/// Fails the test with a message that contains the seed for a replay.
inline void FailWithSeed(uint64_t seed, const std::string& message) {
  FAIL(("ENDIVECLEAT_SEED=" + std::to_string(seed) + ": " + message).c_str());
}

}  // namespace endivecleat::test

#endif  // ENDIVECLEAT_TEST_SEEDS_H_
