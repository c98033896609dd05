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
constexpr int kPollTimeoutMs = 5;
constexpr size_t kMaxQueuedChunks = 64;  // queued per direction; reading pauses at this limit

}  // namespace

FaultProxy::FaultProxy(uint16_t upstream) : upstream_(upstream) {
  listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  sockaddr_in address = Loopback(0);
  socklen_t length = sizeof(address);
  const bool listening =
      ::bind(listener_, AsSockaddr(address), sizeof(address)) == 0 &&
      ::listen(listener_, SOMAXCONN) == 0 &&
      ::getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &length) == 0;
  ENDIVECLEAT_CHECK(listening, "the fault proxy cannot listen on loopback");
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
    std::vector<pollfd> poll_set = {{listener_, POLLIN, 0}};
    for (const auto& connection : connections_) {
      for (const Direction* direction : {&connection->to_upstream, &connection->from_upstream}) {
        const bool full = direction->chunks.size() >= kMaxQueuedChunks;
        const decltype(pollfd::events) events = full ? 0 : POLLIN;
        poll_set.push_back({direction->from, events, 0});
      }
    }
    ::poll(poll_set.data(), poll_set.size(), kPollTimeoutMs);
    const LinkFault fault = fault_;
    std::erase_if(connections_, [&](const std::unique_ptr<Connection>& connection) {
      const bool block_to_upstream =
          fault == LinkFault::kCutToUpstream || fault == LinkFault::kBlackhole;
      const bool block_from_upstream =
          fault == LinkFault::kCutFromUpstream || fault == LinkFault::kBlackhole;
      const bool alive =
          fault != LinkFault::kReset && Read(connection->to_upstream) &&
          Read(connection->from_upstream) && Write(connection->to_upstream, block_to_upstream) &&
          Write(connection->from_upstream, block_from_upstream) &&
          !(connection->to_upstream.close_forwarded && connection->from_upstream.close_forwarded);
      if (!alive) {
        Close(*connection, fault == LinkFault::kReset);
      }
      return !alive;
    });
    Accept();
  }
}

void FaultProxy::Accept() {
  const int client = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
  if (client < 0) {
    return;
  }
  const int upstream = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = Loopback(upstream_);
  if (::connect(upstream, AsSockaddr(address), sizeof(address)) != 0) {
    ::close(upstream);
    ::close(client);
    return;
  }
  ::fcntl(upstream, F_SETFL, O_NONBLOCK);
  connections_.push_back(std::make_unique<Connection>());
  connections_.back()->to_upstream = {.from = client, .to = upstream};
  connections_.back()->from_upstream = {.from = upstream, .to = client};
}

// Returns false when the connection is broken.
bool FaultProxy::Read(Direction& direction) {
  std::array<char, 16384> buffer{};
  const bool closed = !direction.chunks.empty() && direction.chunks.back().bytes.empty();
  if (closed || direction.close_forwarded || direction.chunks.size() >= kMaxQueuedChunks) {
    return true;
  }
  const ssize_t count = ::recv(direction.from, buffer.data(), buffer.size(), 0);
  if (count < 0) {
    return errno == EAGAIN || errno == EINTR;
  }
  const auto delay = fault_ == LinkFault::kDelay ? kDelay : std::chrono::milliseconds(0);
  direction.chunks.push_back(
      {std::string(buffer.data(), static_cast<size_t>(count)), Clock::now() + delay});
  return true;
}

bool FaultProxy::Write(Direction& direction, bool blocked) {
  while (!blocked && !direction.chunks.empty() && direction.chunks.front().due <= Clock::now()) {
    Chunk& chunk = direction.chunks.front();
    if (chunk.bytes.empty()) {
      ::shutdown(direction.to, SHUT_WR);
      direction.close_forwarded = true;
      direction.chunks.pop_front();
      return true;
    }
    const ssize_t count =
        ::send(direction.to, chunk.bytes.data(), chunk.bytes.size(), MSG_NOSIGNAL);
    if (count < 0) {
      return errno == EAGAIN || errno == EINTR;
    }
    chunk.bytes.erase(0, static_cast<size_t>(count));
    if (!chunk.bytes.empty()) {
      return true;
    }
    direction.chunks.pop_front();
  }
  return true;
}

void FaultProxy::Close(Connection& connection, bool reset) {
  for (const int socket : {connection.to_upstream.from, connection.to_upstream.to}) {
    if (reset) {
      const linger abortive{1, 0};
      ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &abortive, sizeof(abortive));
    }
    ::close(socket);
  }
}

}  // namespace endivecleat::test
