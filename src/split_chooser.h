// Chooses the service of a request on a route whose requests are split between services. The
// pattern that it answers: weights that must hold over a few hundred requests although many daemons
// choose independently of each other. Each follows an evenly spread sequence from a start of its
// own, so that the shares are close after a few requests and the daemons do not move in step.
#ifndef ENDIVECLEAT_SPLIT_CHOOSER_H_
#define ENDIVECLEAT_SPLIT_CHOOSER_H_

#include <string>
#include <unordered_map>

#include "route_table.h"
#include "seeded_random.h"
#include "units.h"

namespace endivecleat {

class SplitChooser {
 public:
  explicit SplitChooser(uint64_t seed) : random_(seed) {}

  /// The route has at least one share with a positive weight.
  const ServiceName& Choose(const CompiledRoute& route);

 private:
  SeededRandom random_;
  std::unordered_map<RouteName, double> positions_;  // in [0, 1), of the routes that are split
};

}  // namespace endivecleat

#endif  // ENDIVECLEAT_SPLIT_CHOOSER_H_
