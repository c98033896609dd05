// Reads and writes the handshake's header fields with the libwebsockets API.
#include "peer_link.h"

#include <libwebsockets.h>
#include <openssl/crypto.h>
#include <openssl/sha.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <string_view>
#include <system_error>

#include "log.h"
#include "tcp_socket.h"

namespace endivecleat {
namespace {

constexpr char kEpochField[] = "endivecleat-epoch:";
constexpr char kListenField[] = "endivecleat-listen:";
constexpr char kAcknowledgesField[] = "endivecleat-acknowledges:";
constexpr std::string_view kBearerPrefix = "Bearer ";
constexpr size_t kMaxFieldBytes = 1024;
constexpr Duration kInitialBackoff = std::chrono::milliseconds(100);
// Processes that restart together start up to 0.4 s apart. A longer delay would keep a daemon from
// connecting to a control instance that already listens; a refused attempt costs only one packet
// each way.
constexpr Duration kMaxBackoff = std::chrono::milliseconds(300);

const unsigned char* AsBytes(const char* text) {
  return reinterpret_cast<const unsigned char*>(text);
}

bool AddField(lws* wsi, const char* name, const std::string& value, unsigned char** position,
              unsigned char* end) {
  return lws_add_http_header_by_name(wsi, AsBytes(name), AsBytes(value.c_str()),
                                     static_cast<int>(value.size()), position, end) == 0;
}

std::optional<std::string> CustomField(lws* wsi, std::string_view name) {
  std::array<char, kMaxFieldBytes> value = {};
  const int length = lws_hdr_custom_copy(wsi, value.data(), static_cast<int>(value.size()),
                                         name.data(), static_cast<int>(name.size()));
  return length < 0 ? std::nullopt : std::optional<std::string>(value.data());
}

template <class Number>
std::optional<Number> ParseNumber(std::string_view text) {
  Number number = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return number;
}

std::optional<Address> ParseAddress(const std::string& text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string::npos) {
    return std::nullopt;
  }
  const auto port = ParseNumber<uint16_t>(std::string_view(text).substr(colon + 1));
  return port ? std::optional<Address>({text.substr(0, colon), *port}) : std::nullopt;
}

}  // namespace

bool WriteHandshake(lws* wsi, const PeerHandshake& handshake, unsigned char** position,
                    unsigned char* end) {
  return AddField(wsi, "authorization:", std::string(kBearerPrefix) + handshake.token, position,
                  end) &&
         AddField(wsi, kEpochField, std::to_string(handshake.epoch), position, end) &&
         AddField(wsi, kListenField, handshake.listen.text(), position, end) &&
         (!handshake.acknowledges || AddField(wsi, kAcknowledgesField, "1", position, end));
}

std::optional<PeerHandshake> ReadHandshake(lws* wsi) {
  std::array<char, kMaxFieldBytes> value = {};
  const int length =
      lws_hdr_copy(wsi, value.data(), static_cast<int>(value.size()), WSI_TOKEN_HTTP_AUTHORIZATION);
  const std::string authorization(value.data(), static_cast<size_t>(std::max(length, 0)));
  const std::optional<std::string> epoch_text = CustomField(wsi, kEpochField);
  const std::optional<std::string> listen_text = CustomField(wsi, kListenField);
  if (!authorization.starts_with(kBearerPrefix) || !epoch_text || !listen_text) {
    return std::nullopt;
  }
  const std::optional<uint32_t> epoch = ParseNumber<uint32_t>(*epoch_text);
  std::optional<Address> listen = ParseAddress(*listen_text);
  if (!epoch || !listen) {
    return std::nullopt;
  }
  if (listen->ip == "0.0.0.0" || listen->ip == "::") {
    listen->ip = RemoteAddress(lws_get_socket_fd(wsi)).ip;
  }
  const bool acknowledges = CustomField(wsi, kAcknowledgesField) == "1";
  return PeerHandshake{authorization.substr(kBearerPrefix.size()), *epoch, *listen, acknowledges};
}

bool TokensEqual(const std::string& left, const std::string& right) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> left_digest = {};
  std::array<unsigned char, SHA256_DIGEST_LENGTH> right_digest = {};
  SHA256(AsBytes(left.data()), left.size(), left_digest.data());
  SHA256(AsBytes(right.data()), right.size(), right_digest.data());
  return CRYPTO_memcmp(left_digest.data(), right_digest.data(), left_digest.size()) == 0;
}

Duration BackoffDelay(unsigned failures, SeededRandom& random) {
  Duration delay = kInitialBackoff;
  for (unsigned i = 1; i < failures && delay < kMaxBackoff; ++i) {
    delay *= 2;
  }
  delay = std::min(delay, kMaxBackoff);
  const auto half = static_cast<uint64_t>(delay.count() / 2);
  return delay - Duration(static_cast<int64_t>(random.Below(half + 1)));
}

void CancelRequest(PeerResponder::State& state) {
  state.send = nullptr;
  state.cancelled = true;
  if (const auto on_cancel = std::exchange(state.on_cancel, nullptr)) {
    on_cancel();
  }
}

namespace {

void LogLink(const char* event, const PeerLink& link, TimePoint now) {
  const auto milliseconds_since = [now](TimePoint then) {
    return static_cast<int64_t>((now - then).count() / 1000);
  };
  Log(LogLevel::kInfo, event,
      {{"peer", link.peer.text()},
       {"opened_by", std::string(link.outbound ? "this" : "peer")},
       {"sent_ms_ago", milliseconds_since(link.last_sent_at)},
       {"received_ms_ago", milliseconds_since(link.last_received_at)},
       {"unsent_bytes", static_cast<uint64_t>(link.send_queue.queued_bytes())},
       {"unanswered", static_cast<uint64_t>(link.sent_requests.size())}});
}

}  // namespace

void LogLostLink(const PeerLink& link, TimePoint now) {
  LogLink(link.open ? "peer_link_lost" : "peer_link_not_opened", link, now);
}

void LogSilentLink(const PeerLink& link, TimePoint now) { LogLink("peer_link_silent", link, now); }

}  // namespace endivecleat
