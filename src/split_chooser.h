// Chooses the service of a request on a route that splits its requests between services by weight.
// The weights must hold over a few hundred requests although daemons choose independently: each
// follows a low-discrepancy sequence, so the shares converge fast, and starts it at a random point,
// so that the daemons do not choose in lockstep.
#ifndef ENDIVECLEAT_SPLIT_CHOOSER_H_
#define ENDIVECLEAT_SPLIT_CHOOSER_H_

#include <string>
#include <unordered_map>

#include "route_table.h"
#include "seeded_random.h"
#include "units.h"

namespace endivecleat {

/// Weighted choice with one sequence per split route.
class SplitChooser {
 public:
  explicit SplitChooser(uint64_t seed) : random_(seed) {}

  /// The route must have a share with a positive weight. The result refers into the route.
  const ServiceName& Choose(const CompiledRoute& route);

 private:
  SeededRandom random_;
  std::unordered_map<RouteName, double> positions_;  // in [0, 1), of each split route
};

}  // namespace endivecleat

#endif  // ENDIVECLEAT_SPLIT_CHOOSER_H_
