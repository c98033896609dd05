// How long a request of the configuration distribution waits. Apart from config_exchange.h, which
// belongs to the processes, since the times follow from those of the decisions.
#ifndef ENDIVECLEAT_CONFIG_EXCHANGE_TIMES_H_
#define ENDIVECLEAT_CONFIG_EXCHANGE_TIMES_H_

#include "units.h"

namespace endivecleat {

struct ConfigExchangeTimes {
  /// A request without an answer for this long has its link replaced if nothing else arrived on it.
  Duration link_check;
  /// An answer that comes later is dropped. Longer than the replica waits for a pull, since a late
  /// transfer is still of use.
  Duration answer;
};

}  // namespace endivecleat

#endif  // ENDIVECLEAT_CONFIG_EXCHANGE_TIMES_H_
