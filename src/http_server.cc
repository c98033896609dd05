// Accepts connections and periodically closes those that exceed a timeout. http_connection.cc
// handles the requests of one connection.
#include "http_server.h"

#include <unistd.h>

#include <algorithm>
#include <utility>

#include "http_connection.h"

namespace endivecleat {
namespace {

constexpr Duration kTimeoutCheckInterval = std::chrono::seconds(1);

}  // namespace

HttpServer::HttpServer(EventLoop& loop, const Address& address, HttpServerLimits limits,
                       Handler handler)
    : loop_(loop),
      initial_limits_(limits),
      limits_(std::move(limits)),
      ingress_(limits_.ingress ? limits_.ingress
                               : std::make_shared<IngressBudget>(IngressLimits())),
      handler_(std::move(handler)),
      listener_(loop, address,
                [this](int descriptor, const Address& peer) { Accept(descriptor, peer); }) {
  ScheduleTimeoutCheck();
}

HttpServer::~HttpServer() {
  loop_.Cancel(timeout_check_timer_);
  while (!connections_.empty()) {
    connections_.begin()->second->Close();
  }
}

void HttpServer::Accept(int descriptor, const Address& peer) {
  if (connections_.size() >= limits_.connections) {
    close(descriptor);
    return;
  }
  const uint64_t id = next_connection_id_++;
  const auto holder = ingress_->Add(peer.ip, loop_.now(), [this, id](IngressLimit limit) {
    if (const auto found = connections_.find(id); found != connections_.end()) {
      const std::shared_ptr<Connection> connection = found->second;
      connection->Refuse(limit);
    }
  });
  if (!holder) {
    close(descriptor);
    return;
  }
  connections_.emplace(id, std::make_shared<Connection>(*this, id, *holder, descriptor, peer.ip));
}

void HttpServer::SetHeaderLimits(ByteCount bytes, Duration timeout) {
  limits_.message.header = bytes == ByteCount() ? initial_limits_.message.header : bytes;
  limits_.header_timeout = timeout == Duration() ? initial_limits_.header_timeout : timeout;
}

Duration HttpServer::header_timeout() const {
  return limits_.header_timeout == Duration() ? ingress_->limits().header_timeout
                                              : limits_.header_timeout;
}

void HttpServer::StopAccepting() {
  stopping_ = true;
  listener_.Close();
  // Iterates over a copy, because closing a connection removes it from connections_.
  const auto open_connections = connections_;
  for (const auto& [id, connection] : open_connections) {
    connection->CloseIfIdle();
  }
}

void HttpServer::ScheduleTimeoutCheck() {
  const Duration interval =
      std::min({limits_.idle_timeout / 2, limits_.transfer_timeout / 2, kTimeoutCheckInterval});
  timeout_check_timer_ = loop_.RunAfter(std::max<Duration>(interval, std::chrono::milliseconds(1)),
                                        [this] { CheckTimeouts(); });
}

void HttpServer::CheckTimeouts() {
  const TimePoint now = loop_.now();
  const auto open_connections = connections_;
  for (const auto& [id, connection] : open_connections) {
    connection->CheckTimeouts(now);
  }
  ScheduleTimeoutCheck();
}

}  // namespace endivecleat
