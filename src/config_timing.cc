// Each time is a part of the time allowed.
#include "config_timing.h"

#include <algorithm>

namespace endivecleat {
namespace {

// A pull that is lost, the time that its source is avoided, and a second pull take three quarters.
constexpr int kPullDivisor = 4;
// Half of a pull's time is left for the transfer.
constexpr int kQueueDivisor = 8;
constexpr int kMaxRetryDivisor = 10;
constexpr int kMinRetryDivisor = 50;
constexpr int kHelloDivisor = 8;
constexpr int kStartJitterDivisor = 25;

// Asking for the newest version, a link that has to be replaced, and asking again take less than
// half, so that a pull fits in as well.
constexpr int kConfirmDivisor = 5;
constexpr int kLinkCheckDivisor = 6;

void Limit(Duration& time, Duration longest) { time = std::min(time, longest); }

}  // namespace

void LimitTimes(Duration in_force_within, ConfigSourceSettings& source) {
  Limit(source.queue_wait, in_force_within / kQueueDivisor);
  Limit(source.transfer_time, in_force_within / kPullDivisor);
  Limit(source.retry_min, in_force_within / kMinRetryDivisor);
  Limit(source.retry_max, in_force_within / kMaxRetryDivisor);
}

void LimitTimes(Duration in_force_within, ConfigReplicaSettings& replica) {
  LimitTimes(in_force_within, replica.source);
  Limit(replica.pull_timeout, in_force_within / kPullDivisor);
  Limit(replica.avoid_after_timeout, in_force_within / kPullDivisor);
  Limit(replica.confirm_interval, in_force_within / kConfirmDivisor);
  Limit(replica.confirm_timeout, in_force_within / kConfirmDivisor);
  Limit(replica.hello_wait, in_force_within / kHelloDivisor);
  Limit(replica.start_jitter, in_force_within / kStartJitterDivisor);
}

ConfigExchangeTimes ExchangeTimes(Duration in_force_within) {
  return {.link_check = in_force_within / kLinkCheckDivisor, .answer = in_force_within};
}

}  // namespace endivecleat
