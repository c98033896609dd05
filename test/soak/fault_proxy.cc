// A single thread polls all sockets and queues the received data per direction, each chunk with the
// time at which it is due; a blocked direction keeps its queue.
#include "fault_proxy.h"

#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>

#include "errors.h"
#include "loopback.h"

namespace endivecleat::test {
namespace {

constexpr std::chrono::milliseconds kDelay(80);
constexpr int kPollMilliseconds = 5;
constexpr size_t kMostPieces = 64;  // queued per direction; reading pauses at this limit

}  // namespace

FaultProxy::FaultProxy(uint16_t upstream) : upstream_(upstream) {
  listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  sockaddr_in address = Loopback(0);
  socklen_t length = sizeof(address);
  const bool listens =
      ::bind(listener_, Generic(address), sizeof(address)) == 0 &&
      ::listen(listener_, SOMAXCONN) == 0 &&
      ::getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &length) == 0;
  ENDIVECLEAT_CHECK(listens, "the proxy cannot listen");
  port_ = ntohs(address.sin_port);
  thread_ = std::thread([this] { Run(); });
}

FaultProxy::~FaultProxy() {
  stop_ = true;
  thread_.join();
  for (const auto& connection : connections_) {
    Close(*connection, false);
  }
  ::close(listener_);
}

void FaultProxy::Run() {
  while (!stop_) {
    std::vector<pollfd> watched = {{listener_, POLLIN, 0}};
    for (const auto& connection : connections_) {
      for (const Direction* direction : {&connection->there, &connection->back}) {
        const bool full = direction->pieces.size() >= kMostPieces;
        const decltype(pollfd::events) events = full ? 0 : POLLIN;
        watched.push_back({direction->from, events, 0});
      }
    }
    ::poll(watched.data(), watched.size(), kPollMilliseconds);
    const LinkFault fault = fault_;
    std::erase_if(connections_, [&](const std::unique_ptr<Connection>& connection) {
      const bool cut_there = fault == LinkFault::kCutThere || fault == LinkFault::kSilence;
      const bool cut_back = fault == LinkFault::kCutBack || fault == LinkFault::kSilence;
      const bool alive = fault != LinkFault::kReset && Read(connection->there) &&
                         Read(connection->back) && Write(connection->there, cut_there) &&
                         Write(connection->back, cut_back) &&
                         !(connection->there.ended && connection->back.ended);
      if (!alive) {
        Close(*connection, fault == LinkFault::kReset);
      }
      return !alive;
    });
    Accept();
  }
}

void FaultProxy::Accept() {
  const int caller = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
  if (caller < 0) {
    return;
  }
  const int upstream = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = Loopback(upstream_);
  if (::connect(upstream, Generic(address), sizeof(address)) != 0) {
    ::close(upstream);
    ::close(caller);
    return;
  }
  ::fcntl(upstream, F_SETFL, O_NONBLOCK);
  connections_.push_back(std::make_unique<Connection>());
  connections_.back()->there = {.from = caller, .to = upstream};
  connections_.back()->back = {.from = upstream, .to = caller};
}

// Returns false when the connection is broken.
bool FaultProxy::Read(Direction& direction) {
  std::array<char, 16384> buffer{};
  const bool closed = !direction.pieces.empty() && direction.pieces.back().bytes.empty();
  if (closed || direction.ended || direction.pieces.size() >= kMostPieces) {
    return true;
  }
  const ssize_t count = ::recv(direction.from, buffer.data(), buffer.size(), 0);
  if (count < 0) {
    return errno == EAGAIN || errno == EINTR;
  }
  const auto delay = fault_ == LinkFault::kDelay ? kDelay : std::chrono::milliseconds(0);
  direction.pieces.push_back(
      {std::string(buffer.data(), static_cast<size_t>(count)), Clock::now() + delay});
  return true;
}

bool FaultProxy::Write(Direction& direction, bool cut) {
  while (!cut && !direction.pieces.empty() && direction.pieces.front().due <= Clock::now()) {
    Piece& piece = direction.pieces.front();
    if (piece.bytes.empty()) {
      ::shutdown(direction.to, SHUT_WR);
      direction.ended = true;
      direction.pieces.pop_front();
      return true;
    }
    const ssize_t count =
        ::send(direction.to, piece.bytes.data(), piece.bytes.size(), MSG_NOSIGNAL);
    if (count < 0) {
      return errno == EAGAIN || errno == EINTR;
    }
    piece.bytes.erase(0, static_cast<size_t>(count));
    if (!piece.bytes.empty()) {
      return true;
    }
    direction.pieces.pop_front();
  }
  return true;
}

void FaultProxy::Close(Connection& connection, bool reset) {
  for (const int socket : {connection.there.from, connection.there.to}) {
    if (reset) {
      const linger at_once{1, 0};
      ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
    }
    ::close(socket);
  }
}

}  // namespace endivecleat::test
