// Deterministic pseudo-random number generator (SplitMix64). All randomised decisions use it,
// seeded by the process or by a test, so that a run can be reproduced from its seed.
#ifndef ENDIVECLEAT_SEEDED_RANDOM_H_
#define ENDIVECLEAT_SEEDED_RANDOM_H_

#include <cstdint>

namespace endivecleat {

class SeededRandom {
 public:
  explicit SeededRandom(uint64_t seed) : state_(seed) {}

  uint64_t Next() {
    state_ += 0x9E3779B97F4A7C15ULL;
    uint64_t mixed = state_;
    mixed = (mixed ^ (mixed >> 30)) * 0xBF58476D1CE4E5B9ULL;
    mixed = (mixed ^ (mixed >> 27)) * 0x94D049BB133111EBULL;
    return mixed ^ (mixed >> 31);
  }

  /// Returns a number in [0, bound), or 0 if bound is 0.
  uint64_t Below(uint64_t bound) { return bound == 0 ? 0 : Next() % bound; }

  /// Returns true with the given probability in percent.
  bool Chance(uint64_t percent) { return Below(100) < percent; }

 private:
  uint64_t state_;
};

}  // namespace endivecleat

#endif  // ENDIVECLEAT_SEEDED_RANDOM_H_
