// The times of the configuration distribution that depend on how soon a version must be in force.
// A replica and the sources that it pulls from run in different processes, so both take them from
// here.
#ifndef ENDIVECLEAT_CONFIG_TIMING_H_
#define ENDIVECLEAT_CONFIG_TIMING_H_

#include "config_exchange_times.h"
#include "config_replica.h"
#include "config_source.h"

namespace endivecleat {

/// Shortens the times, where they are longer, so that a version can be in force within
/// `in_force_within` although one pull of it is lost. A source answers each pull before the replica
/// gives it up.
void LimitTimes(Duration in_force_within, ConfigSourceSettings& source);
/// The same for a replica and its own source.
void LimitTimes(Duration in_force_within, ConfigReplicaSettings& replica);

/// How long a request of the distribution waits, in a daemon or a control instance.
ConfigExchangeTimes ExchangeTimes(Duration in_force_within);

}  // namespace endivecleat

#endif  // ENDIVECLEAT_CONFIG_TIMING_H_
