// Maps each kind of event to a log line and to its metrics.
#include "config_log.h"

#include <chrono>
#include <string>
#include <utility>

#include "log.h"

namespace endivecleat {
namespace {

using Kind = ConfigEvent::Kind;

struct EventText {
  const char* event;       // name of the log line
  const char* result;      // label of the counter
  const char* waited_for;  // name of the histogram of ConfigEvent::waited; null: none
};

EventText TextOf(Kind kind) {
  switch (kind) {
    case Kind::kPullAnswered:
      return {"config_pull_answered", "answered", "endivecleat_config_pull_seconds"};
    case Kind::kPullBusy:
      return {"config_pull_busy", "busy", nullptr};
    case Kind::kPullTimedOut:
      return {"config_pull_timed_out", "timed_out", nullptr};
    case Kind::kPullNotDelivered:
      return {"config_pull_not_delivered", "not_delivered", nullptr};
    case Kind::kVersionNoticed:
      return {"config_version_noticed", "noticed", nullptr};
    case Kind::kVersionGossiped:
      return {"config_version_gossiped", "gossiped", nullptr};
    case Kind::kTransferSent:
      return {"config_transfer_sent", "sent", "endivecleat_config_queue_seconds"};
    case Kind::kTransferExpired:
      return {"config_transfer_expired", "expired", nullptr};
    case Kind::kBusySent:
      break;
  }
  return {"config_busy_sent", "busy_sent", nullptr};
}

int64_t ToMilliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

double ToSeconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

}  // namespace

void RecordConfigEvents(const ConfigEvents& events, Metrics& metrics) {
  for (const ConfigEvent& event : events) {
    const EventText text = TextOf(event.kind);
    Log(LogLevel::kInfo, text.event,
        {{"peer", event.peer.value()},
         {"version", event.version.value()},
         {"base", event.base.value()},
         {"bytes", event.bytes.value()},
         {"waited_ms", ToMilliseconds(event.waited)}});
    metrics
        .Counter("endivecleat_config_distribution_total",
                 "Versions learned of, pulls and transfers of configurations by result",
                 {{"result", text.result}})
        .Increment();
    if (text.waited_for != nullptr) {
      metrics.DurationHistogram(text.waited_for, "Time that a pull waited")
          .Observe(ToSeconds(event.waited));
    }
  }
}

void RecordInstallation(Duration taken, Metrics& metrics) {
  metrics
      .DurationHistogram("endivecleat_config_install_seconds",
                         "Time that the installation of a version occupied the event loop")
      .Observe(ToSeconds(taken));
}

TransferCodec MakeMeasuredCodec(TransferCodec codec, Metrics& metrics) {
  codec.encode = [encode = std::move(codec.encode), &metrics](const ConfigText* base,
                                                              const ConfigText& next) {
    const auto start = std::chrono::steady_clock::now();
    EncodedTransfer transfer = encode(base, next);
    const std::chrono::duration<double> taken = std::chrono::steady_clock::now() - start;
    metrics
        .DurationHistogram("endivecleat_config_encode_seconds", "Time to encode one transfer",
                           {{"kind", base == nullptr ? "snapshot" : "delta"}})
        .Observe(taken.count());
    return transfer;
  };
  return codec;
}

}  // namespace endivecleat
