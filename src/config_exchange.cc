// Maps the messages of the distribution to requests, responses and one-way messages.
#include "config_exchange.h"

#include <optional>
#include <utility>

#include "byte_codec.h"
#include "errors.h"
#include "log.h"

namespace endivecleat {
namespace {

using Kind = ConfigMessage::Kind;

constexpr ByteCount kMaxMessage{8U << 20U};
// Bounds the memory for peers that have left.
constexpr size_t kMaxPeers = 4096;

bool AsksForAnAnswer(Kind kind) { return kind == Kind::kHello || kind == Kind::kPull; }

}  // namespace

ConfigExchange::ConfigExchange(EventLoop& loop, MeshNode& node, InstanceId self,
                               ConfigExchangeTimes times, Handlers handlers)
    : loop_(loop),
      node_(node),
      self_(std::move(self)),
      times_(times),
      handlers_(std::move(handlers)) {}

void ConfigExchange::Send(const std::vector<PeerMessage>& messages) {
  for (const PeerMessage& message : messages) {
    if (AsksForAnAnswer(message.message.kind)) {
      Request(message);
      continue;
    }
    const std::string bytes = EncodeConfigMessage(message.message);
    const auto waiting = unanswered_.extract(message.to);
    if (waiting.empty() || !waiting.mapped().Respond(bytes)) {
      node_.Send(message.to, PeerChannel::kConfigDistribution, bytes);
    }
  }
}

void ConfigExchange::OnMessage(const InstanceId& from, const std::string& bytes) {
  if (const auto message = DecodeConfigMessage(bytes, kMaxMessage)) {
    handlers_.on_message(from, *message);
  }
}

void ConfigExchange::OnRequest(const std::string& payload, const PeerResponder& responder) {
  InstanceId from;
  std::string bytes;
  try {
    ByteReader reader(payload);
    from = InstanceId(reader.ReadString());
    bytes = reader.ReadString();
    reader.ExpectEnd();
  } catch (const UserError& error) {
    Log(LogLevel::kWarning, "peer_request_malformed", {{"reason", std::string(error.what())}});
    return;
  }
  std::erase_if(unanswered_, [](const auto& item) { return item.second.cancelled(); });
  if (unanswered_.size() < kMaxPeers) {
    unanswered_.insert_or_assign(from, responder);
  }
  OnMessage(from, bytes);
}

void ConfigExchange::Request(const PeerMessage& message) {
  const InstanceId& to = message.to;
  const std::optional<Address> address = node_.FindAddress(to);
  if (!address) {
    return;
  }
  const std::string bytes = EncodeConfigMessage(message.message);
  ByteWriter writer;
  writer.WriteString(self_.value());
  writer.WriteString(bytes);
  const PeerRequestId request = node_.network().Request(
      *address, PeerChannel::kConfigDistribution, writer.Take(), times_.answer,
      [this, to](const PeerOutcome& outcome) { OnOutcome(to, outcome); });
  if (message.message.kind == Kind::kHello && message.message.version == ConfigVersion()) {
    return;  // while there is no version yet, a source leaves such a Hello unanswered
  }
  loop_.RunAfter(times_.link_check,
                 [this, request, to, bytes, alive = std::weak_ptr<bool>(alive_)] {
                   if (!alive.expired()) {
                     CheckLink(request, to, bytes);
                   }
                 });
}

void ConfigExchange::OnOutcome(const InstanceId& to, const PeerOutcome& outcome) {
  switch (outcome.kind) {
    case PeerOutcome::kAnswered:
      if (answered_.size() < kMaxPeers) {
        answered_.insert(to);
      }
      OnMessage(to, outcome.payload);
      return;
    case PeerOutcome::kNotSent:
    case PeerOutcome::kBroken:
      handlers_.on_not_delivered(to);
      return;
    case PeerOutcome::kTimedOut:
      return;  // the replica has given it up before
  }
}

void ConfigExchange::CheckLink(PeerRequestId request, const InstanceId& to,
                               const std::string& bytes) {
  if (!node_.network().ReplaceLinkIfSilent(request)) {
    return;
  }
  if (!answered_.contains(to)) {
    node_.Send(to, PeerChannel::kConfigDistribution, bytes);
  }
}

}  // namespace endivecleat
