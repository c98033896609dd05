// What ConfigReplica and ConfigSource decided, in a form that the processes log and count. Both
// collect events; the caller takes them after each call.
#ifndef ENDIVECLEAT_CONFIG_EVENT_H_
#define ENDIVECLEAT_CONFIG_EVENT_H_

#include <vector>

#include "units.h"

namespace endivecleat {

struct ConfigEvent {
  enum class Kind {
    // of a replica; `waited` is the time since the pull was sent
    kPullAnswered,      // a transfer arrived
    kPullBusy,          // the source told the replica to retry later
    kPullTimedOut,      // no answer arrived in time
    kPullNotDelivered,  // it could not be sent, or its link closed
    // of a replica, at the first word of a version newer than any before; `waited` is the time
    // since
    // the last message of a control instance
    kVersionNoticed,   // from the peer itself
    kVersionGossiped,  // from the membership's record of the peer
    // of a source; `waited` is the time that the pull was queued
    kTransferSent,
    kTransferExpired,  // not acknowledged in time; `waited` is the time since it was sent
    kBusySent,
  };
  Kind kind;
  InstanceId peer;
  ConfigVersion version;  // that the peer offered, or that was sent to it
  ConfigVersion base;     // of a delta; 0 for a snapshot
  ByteCount bytes;        // of the encoded transfer
  Duration waited{};
};

using ConfigEvents = std::vector<ConfigEvent>;

}  // namespace endivecleat

#endif  // ENDIVECLEAT_CONFIG_EVENT_H_
