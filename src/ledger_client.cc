#include "ledger_client.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "errors.h"
#include "http_message.h"
#include "ledger_message.h"

namespace endivecleat {
namespace {

// Longer than a commit across the regions (60 ms round trip) with a slow disk.
constexpr Duration kCommandTimeout = std::chrono::seconds(1);

int Distance(const Place& from, const Place& to) {
  if (from.data_centre == to.data_centre) {
    return 0;
  }
  return from.region == to.region ? 1 : 2;
}

LedgerOutcome OutcomeOf(LedgerAnswer::Kind kind) {
  switch (kind) {
    case LedgerAnswer::kGranted:
      return LedgerOutcome::kGranted;
    case LedgerAnswer::kRan:
      return LedgerOutcome::kRan;
    case LedgerAnswer::kRefused:
      return LedgerOutcome::kRefused;
    case LedgerAnswer::kInProgress:
      return LedgerOutcome::kInProgress;
    case LedgerAnswer::kDigestMismatch:
      return LedgerOutcome::kDigestMismatch;
    case LedgerAnswer::kDone:
      return LedgerOutcome::kDone;
    case LedgerAnswer::kFull:
      break;
  }
  return LedgerOutcome::kUnreachable;
}

std::optional<LedgerAnswer> AnswerOf(const PeerOutcome& outcome) {
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

struct LedgerClient::Pending {
  std::string request;
  AttemptId attempt;
  Callback callback;
  size_t next = 0;  // position in controls_
};

LedgerClient::LedgerClient(PeerNetwork& network, const CommonSettings& settings)
    : network_(network) {
  std::vector<ControlPeer> peers = settings.control;
  std::stable_sort(peers.begin(), peers.end(), [&](const ControlPeer& one, const ControlPeer& two) {
    return Distance(settings.place, one.place) < Distance(settings.place, two.place);
  });
  for (const ControlPeer& peer : peers) {
    controls_.push_back(peer.peers);
  }
}

void LedgerClient::Send(const LedgerCommand& command, Callback callback) {
  auto pending = std::make_shared<Pending>();
  pending->request = EncodeLedgerRequest({false, command});
  pending->attempt = AttemptId(command.attempt);
  pending->callback = std::move(callback);
  TryNext(pending);
}

void LedgerClient::TryNext(const std::shared_ptr<Pending>& pending) {
  if (pending->next == controls_.size()) {
    pending->callback({pending->attempt, LedgerOutcome::kUnreachable, {}});
    return;
  }
  const Address& control = controls_[pending->next++];
  network_.Request(
      control, PeerChannel::kLedger, pending->request, kCommandTimeout,
      [this, pending](const PeerOutcome& outcome) {
        const std::optional<LedgerAnswer> answer = AnswerOf(outcome);
        if (!answer) {
          TryNext(pending);
          return;
        }
        pending->callback({pending->attempt, OutcomeOf(answer->kind), FromStored(answer->answer)});
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
  return Storable(std::move(stored));
}

TargetAnswer FromStored(const StoredAnswer& stored) {
  TargetAnswer answer;
  answer.status = stored.status;
  answer.body = stored.body;
  answer.too_large = stored.body_dropped;
  answer.replayed = true;
  if (!stored.content_type.empty()) {
    answer.headers.emplace_back("content-type", stored.content_type);
  }
  return answer;
}

}  // namespace endivecleat
