// Shared by the benchmarks: prints measurements as one JSON object per line, and measures elapsed
// wall-clock time.
#ifndef ENDIVECLEAT_TEST_PERFORMANCE_BENCHMARK_OUTPUT_H_
#define ENDIVECLEAT_TEST_PERFORMANCE_BENCHMARK_OUTPUT_H_

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <iostream>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace endivecleat::test {

/// Prints one measurement. `n` is the size of the input, such as the number of services.
inline void PrintMeasurement(const std::string& name, double value, const std::string& unit,
                             uint64_t n, uint64_t seed) {
  const nlohmann::json line = {
      {"name", name}, {"value", value}, {"unit", unit}, {"n", n}, {"seed", seed}};
  std::cout << line.dump() << std::endl;
}

/// Returns the elapsed time of one action, in seconds.
template <class Action>
double MeasureElapsedSeconds(Action action) {
  const auto start = std::chrono::steady_clock::now();
  action();
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}

/// Returns the median elapsed time over `rounds` runs of the action, in seconds.
template <class Action>
double MedianSeconds(int rounds, Action action) {
  std::vector<double> seconds;
  seconds.reserve(static_cast<size_t>(rounds));
  for (int round = 0; round < rounds; ++round) {
    seconds.push_back(MeasureElapsedSeconds(action));
  }
  std::sort(seconds.begin(), seconds.end());
  return seconds[seconds.size() / 2];
}

}  // namespace endivecleat::test

#endif  // ENDIVECLEAT_TEST_PERFORMANCE_BENCHMARK_OUTPUT_H_
