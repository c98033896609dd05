// Additive recurrence with the golden ratio, mapped onto the cumulative weights.
#include "split_chooser.h"

#include "errors.h"

namespace endivecleat {
namespace {

// Fractional part of the golden ratio. Its multiples modulo 1 cover [0, 1) more evenly than those
// of any other number.
constexpr double kGoldenRatioStep = 0.6180339887498949;
constexpr uint64_t kStartPositions = 1'000'000;

}  // namespace

const ServiceName& SplitChooser::Choose(const CompiledRoute& route) {
  ENDIVECLEAT_CHECK(!route.shares.empty(), "the route has no service");
  if (route.shares.size() == 1) {
    return route.shares.front().service;
  }
  const double start = static_cast<double>(random_.Below(kStartPositions)) / kStartPositions;
  double& position = positions_.try_emplace(route.name, start).first->second;
  position += kGoldenRatioStep;
  position -= position >= 1 ? 1 : 0;
  double total_weight = 0;
  for (const RouteShare& share : route.shares) {
    total_weight += static_cast<double>(share.weight);
  }
  double cumulative_weight = 0;
  for (const RouteShare& share : route.shares) {
    cumulative_weight += static_cast<double>(share.weight);
    if (position * total_weight < cumulative_weight) {
      return share.service;
    }
  }
  return route.shares.back().service;
}

}  // namespace endivecleat
