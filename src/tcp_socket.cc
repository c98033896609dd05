// Thin wrappers around the system calls. Reads use one buffer per thread, writes gather the queued
// buffers into one sendmsg() call.
#include "tcp_socket.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <cstring>
#include <system_error>
#include <utility>

namespace endivecleat {
namespace {

constexpr int kListenBacklog = 1024;
constexpr size_t kReadBufferBytes = 65536;
constexpr size_t kMaxBuffersPerWrite = 16;
constexpr int kMaxAcceptsPerEvent = 64;
// Without free descriptors or memory accept4() fails but the listening socket stays readable, which
// would make the loop spin. The listener therefore stops accepting for this long.
constexpr Duration kAcceptPause = std::chrono::milliseconds(50);
// The kernel drops a connection whose data stays unacknowledged for this long, because a host that
// has vanished sends no reset. Until then calls on that connection wait for nothing. The time is
// long enough for TCP to retransmit two consecutive lost packets on a link between regions.
constexpr unsigned kUserTimeoutMilliseconds = 2500;

struct SocketAddress {
  sockaddr_storage storage = {};
  socklen_t size = sizeof(sockaddr_storage);

  sockaddr* get() { return reinterpret_cast<sockaddr*>(&storage); }
  int family() const { return storage.ss_family; }
};

std::optional<SocketAddress> ToSocketAddress(const Address& address) {
  SocketAddress result;
  auto* v4 = reinterpret_cast<sockaddr_in*>(&result.storage);
  auto* v6 = reinterpret_cast<sockaddr_in6*>(&result.storage);
  if (inet_pton(AF_INET, address.ip.c_str(), &v4->sin_addr) == 1) {
    v4->sin_family = AF_INET;
    v4->sin_port = htons(address.port);
    result.size = sizeof(sockaddr_in);
    return result;
  }
  if (inet_pton(AF_INET6, address.ip.c_str(), &v6->sin6_addr) == 1) {
    v6->sin6_family = AF_INET6;
    v6->sin6_port = htons(address.port);
    result.size = sizeof(sockaddr_in6);
    return result;
  }
  return std::nullopt;
}

Address ToAddress(const SocketAddress& from) {
  std::array<char, INET6_ADDRSTRLEN> text = {};
  if (from.family() == AF_INET6) {
    const auto* v6 = reinterpret_cast<const sockaddr_in6*>(&from.storage);
    inet_ntop(AF_INET6, &v6->sin6_addr, text.data(), text.size());
    return {text.data(), ntohs(v6->sin6_port)};
  }
  const auto* v4 = reinterpret_cast<const sockaddr_in*>(&from.storage);
  inet_ntop(AF_INET, &v4->sin_addr, text.data(), text.size());
  return {text.data(), ntohs(v4->sin_port)};
}

[[noreturn]] void ThrowSystemError(int error, const std::string& what) {
  throw std::system_error(error, std::generic_category(), what);
}

int OpenBoundSocket(const Address& address, int type) {
  std::optional<SocketAddress> socket_address = ToSocketAddress(address);
  if (!socket_address) {
    ThrowSystemError(EINVAL, address.ip + " is not an IP address");
  }
  const int descriptor = socket(socket_address->family(), type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (descriptor < 0) {
    ThrowSystemError(errno, "socket");
  }
  const int one = 1;
  if (type == SOCK_STREAM) {
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
  }
  if (bind(descriptor, socket_address->get(), socket_address->size) != 0) {
    const int error = errno;
    close(descriptor);
    ThrowSystemError(error, "cannot bind " + address.text());
  }
  return descriptor;
}

bool WouldBlock(int error) { return error == EAGAIN || error == EWOULDBLOCK; }

}  // namespace

void SetStreamOptions(int descriptor) {
  const int one = 1;
  setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
  setsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &kUserTimeoutMilliseconds,
             sizeof(kUserTimeoutMilliseconds));
}

int ListenTcp(const Address& address) {
  const int descriptor = OpenBoundSocket(address, SOCK_STREAM);
  if (listen(descriptor, kListenBacklog) != 0) {
    const int error = errno;
    close(descriptor);
    ThrowSystemError(error, "cannot listen on " + address.text());
  }
  return descriptor;
}

int BindUdp(const Address& address) { return OpenBoundSocket(address, SOCK_DGRAM); }

std::optional<int> ConnectTcp(const Address& address) {
  std::optional<SocketAddress> socket_address = ToSocketAddress(address);
  if (!socket_address) {
    return std::nullopt;
  }
  const int descriptor =
      socket(socket_address->family(), SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (descriptor < 0) {
    return std::nullopt;
  }
  SetStreamOptions(descriptor);
  if (connect(descriptor, socket_address->get(), socket_address->size) != 0 &&
      errno != EINPROGRESS) {
    close(descriptor);
    return std::nullopt;
  }
  return descriptor;
}

int ConnectError(int descriptor) {
  int error = 0;
  socklen_t size = sizeof(error);
  return getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size) == 0 ? error : errno;
}

Address LocalAddress(int descriptor) {
  SocketAddress local;
  if (getsockname(descriptor, local.get(), &local.size) != 0) {
    ThrowSystemError(errno, "getsockname");
  }
  return ToAddress(local);
}

Address RemoteAddress(int descriptor) {
  SocketAddress remote;
  return getpeername(descriptor, remote.get(), &remote.size) == 0 ? ToAddress(remote) : Address{};
}

bool SendUdp(int descriptor, const Address& to, std::string_view datagram) {
  std::optional<SocketAddress> socket_address = ToSocketAddress(to);
  return socket_address &&
         sendto(descriptor, datagram.data(), datagram.size(), MSG_NOSIGNAL, socket_address->get(),
                socket_address->size) == static_cast<ssize_t>(datagram.size());
}

std::optional<std::string> ReceiveUdp(int descriptor, size_t capacity, Address& from) {
  std::string datagram(capacity, '\0');
  SocketAddress sender;
  const ssize_t count =
      recvfrom(descriptor, datagram.data(), datagram.size(), 0, sender.get(), &sender.size);
  if (count < 0) {
    return std::nullopt;
  }
  datagram.resize(static_cast<size_t>(count));
  from = ToAddress(sender);
  return datagram;
}

SocketStatus ReadAvailable(int descriptor, std::string& input, int max_reads) {
  static thread_local std::array<char, kReadBufferBytes> buffer;
  for (int i = 0; i < max_reads; ++i) {
    const ssize_t count = recv(descriptor, buffer.data(), buffer.size(), 0);
    if (count == 0) {
      return SocketStatus::kClosed;
    }
    if (count < 0 && !WouldBlock(errno) && errno != EINTR) {
      return SocketStatus::kFailed;
    }
    if (count < 0) {
      return SocketStatus::kBlocked;
    }
    input.append(buffer.data(), static_cast<size_t>(count));
    if (static_cast<size_t>(count) < buffer.size()) {
      return SocketStatus::kOpen;  // a close that follows raises another event
    }
  }
  return SocketStatus::kOpen;
}

void OutputQueue::Append(std::string bytes) {
  if (bytes.empty()) {
    return;
  }
  size_ += bytes.size();
  buffers_.push_back(std::move(bytes));
}

void OutputQueue::Clear() {
  buffers_.clear();
  offset_ = 0;
  size_ = 0;
  written_ = 0;
}

std::string OutputQueue::TakeLast() {
  std::string last = std::move(buffers_.back());
  buffers_.pop_back();
  size_ -= last.size();
  return last;
}

SocketStatus OutputQueue::Flush(int descriptor) {
  while (!buffers_.empty()) {
    std::array<iovec, kMaxBuffersPerWrite> vectors = {};
    size_t count = 0;
    for (std::string& buffer : buffers_) {
      if (count == vectors.size()) {
        break;
      }
      const size_t skip = count == 0 ? offset_ : 0;
      vectors[count++] = {buffer.data() + skip, buffer.size() - skip};
    }
    msghdr message = {};
    message.msg_iov = vectors.data();
    message.msg_iovlen = count;
    const ssize_t sent = sendmsg(descriptor, &message, MSG_NOSIGNAL);
    if (sent < 0 && errno == EINTR) {
      continue;
    }
    if (sent < 0) {
      return WouldBlock(errno) ? SocketStatus::kBlocked : SocketStatus::kClosed;
    }
    Consume(static_cast<size_t>(sent));
  }
  return SocketStatus::kOpen;
}

void OutputQueue::Consume(size_t count) {
  written_ += count;
  size_ -= count;
  offset_ += count;
  while (!buffers_.empty() && offset_ >= buffers_.front().size()) {
    offset_ -= buffers_.front().size();
    buffers_.pop_front();
  }
}

TcpListener::TcpListener(EventLoop& loop, const Address& address, AcceptHandler handler)
    : loop_(loop),
      handler_(std::move(handler)),
      descriptor_(ListenTcp(address)),
      address_(LocalAddress(descriptor_)) {
  Resume();
}

TcpListener::~TcpListener() { Close(); }

void TcpListener::Close() {
  if (descriptor_ < 0) {
    return;
  }
  if (watch_) {
    loop_.Unwatch(*watch_);
  }
  if (resume_timer_) {
    loop_.Cancel(*resume_timer_);
  }
  close(std::exchange(descriptor_, -1));
}

void TcpListener::Resume() {
  resume_timer_.reset();
  watch_ = loop_.Watch(descriptor_, EPOLLIN, [this](uint32_t) { Accept(); });
}

void TcpListener::Accept() {
  for (int i = 0; i < kMaxAcceptsPerEvent && descriptor_ >= 0; ++i) {
    SocketAddress peer;
    const int accepted = accept4(descriptor_, peer.get(), &peer.size, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (accepted >= 0) {
      SetStreamOptions(accepted);
      handler_(accepted, ToAddress(peer));
      continue;
    }
    if (errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM) {
      loop_.Unwatch(*watch_);
      watch_.reset();
      resume_timer_ = loop_.RunAfter(kAcceptPause, [this] { Resume(); });
    }
    if (errno != ECONNABORTED && errno != EINTR) {
      return;
    }
  }
}

}  // namespace endivecleat
