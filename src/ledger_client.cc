// Tries the control instances one after the other. One that does not answer is tried last for a
// short time, so that later commands do not wait for its timeout as well.
#include "ledger_client.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "errors.h"
#include "http_message.h"
#include "ledger_message.h"

namespace endivecleat {
namespace {

// Longer than a commit across regions (60 ms round trip) with a slow disk.
constexpr Duration kCommandTimeout = std::chrono::seconds(1);
// Without this, a hung control instance would delay every command by kCommandTimeout.
constexpr Duration kAvoidPeriod = std::chrono::seconds(2);

int Distance(const Location& from, const Location& to) {
  if (from.data_centre == to.data_centre) {
    return 0;
  }
  return from.region == to.region ? 1 : 2;
}

LedgerOutcome ToOutcome(LedgerResult::Kind kind) {
  switch (kind) {
    case LedgerResult::kGranted:
      return LedgerOutcome::kGranted;
    case LedgerResult::kRan:
      return LedgerOutcome::kRan;
    case LedgerResult::kRefused:
      return LedgerOutcome::kRefused;
    case LedgerResult::kInProgress:
      return LedgerOutcome::kInProgress;
    case LedgerResult::kDigestMismatch:
      return LedgerOutcome::kDigestMismatch;
    case LedgerResult::kDone:
      return LedgerOutcome::kDone;
    case LedgerResult::kFull:
      break;
  }
  return LedgerOutcome::kUnreachable;
}

std::optional<LedgerResult> DecodeAnswer(const PeerOutcome& outcome) {
  if (outcome.kind != PeerOutcome::kAnswered) {
    return std::nullopt;
  }
  try {
    return DecodeLedgerReply(outcome.payload);
  } catch (const UserError&) {
    return std::nullopt;
  }
}

}  // namespace

struct LedgerClient::PendingCommand {
  std::string request;
  AttemptId attempt;
  Callback callback;
  std::vector<size_t> order;  // indices into endpoints_
  size_t next = 0;            // index into order
};

LedgerClient::LedgerClient(EventLoop& loop, PeerNetwork& network, const CommonSettings& settings)
    : loop_(loop), network_(network) {
  std::vector<ControlPeer> peers = settings.control_peers;
  std::stable_sort(peers.begin(), peers.end(), [&](const ControlPeer& one, const ControlPeer& two) {
    return Distance(settings.location, one.location) < Distance(settings.location, two.location);
  });
  for (const ControlPeer& peer : peers) {
    endpoints_.push_back({.address = peer.peer_address});
  }
}

void LedgerClient::Send(const LedgerCommand& command, Callback callback) {
  auto pending = std::make_shared<PendingCommand>();
  pending->request = EncodeLedgerRequest({false, command});
  pending->attempt = AttemptId(command.attempt);
  pending->callback = std::move(callback);
  pending->order = PreferenceOrder();
  TryNext(pending);
}

std::vector<size_t> LedgerClient::PreferenceOrder() const {
  std::vector<size_t> order;
  for (size_t index = 0; index < endpoints_.size(); ++index) {
    order.push_back(index);
  }
  const TimePoint now = loop_.now();
  std::stable_partition(order.begin(), order.end(),
                        [&](size_t index) { return endpoints_[index].avoid_until <= now; });
  return order;
}

void LedgerClient::TryNext(const std::shared_ptr<PendingCommand>& pending) {
  if (pending->next == pending->order.size()) {
    pending->callback({pending->attempt, LedgerOutcome::kUnreachable, {}});
    return;
  }
  const size_t index = pending->order[pending->next++];
  network_.Request(
      endpoints_[index].address, PeerChannel::kOnceLedger, pending->request, kCommandTimeout,
      [this, pending, index](const PeerOutcome& outcome) {
        const std::optional<LedgerResult> answer = DecodeAnswer(outcome);
        if (!answer) {
          endpoints_[index].avoid_until = loop_.now() + kAvoidPeriod;
          TryNext(pending);
          return;
        }
        pending->callback({pending->attempt, ToOutcome(answer->kind), FromStored(answer->answer)});
      });
}

StoredAnswer ToStored(const TargetAnswer& answer) {
  StoredAnswer stored;
  stored.status = answer.status;
  stored.body = answer.body;
  for (const auto& [name, value] : answer.headers) {
    if (EqualIgnoringCase(name, "content-type")) {
      stored.content_type = value;
    }
  }
  return DropOversizedBody(std::move(stored));
}

TargetAnswer FromStored(const StoredAnswer& stored) {
  TargetAnswer answer;
  answer.status = stored.status;
  answer.body = stored.body;
  answer.too_large_to_replay = stored.body_dropped;
  answer.replayed = true;
  if (!stored.content_type.empty()) {
    answer.headers.emplace_back("content-type", stored.content_type);
  }
  return answer;
}

}  // namespace endivecleat
