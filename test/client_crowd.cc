// Clients send in turn, so that all of them make progress at the same time.
#include "client_crowd.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <utility>

#include "errors.h"
#include "tcp_socket.h"

namespace endivecleat::test {
namespace {

constexpr int kPollMs = 20;
constexpr std::chrono::milliseconds kQuietTime(1000);
constexpr std::chrono::milliseconds kMaxSendTime(8000);
// Keeps what the kernel of a client that does not read takes in for it small.
constexpr int kReceiveBufferBytes = 4096;

bool WouldBlock() { return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR; }

}  // namespace

ClientCrowd::ClientCrowd(const Address& to, size_t clients, ClientScript script)
    : script_(std::move(script)) {
  for (size_t client = 0; client < clients; ++client) {
    const std::optional<int> descriptor = ConnectTcp(to);
    ENDIVECLEAT_CHECK(descriptor.has_value(), "cannot connect");
    // A client keeps its connection however long the server does not read from it.
    const unsigned no_timeout = 0;
    setsockopt(*descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &no_timeout, sizeof(no_timeout));
    if (!script_.reads) {
      setsockopt(*descriptor, SOL_SOCKET, SO_RCVBUF, &kReceiveBufferBytes,
                 sizeof(kReceiveBufferBytes));
    }
    clients_.push_back({.descriptor = *descriptor});
  }
  thread_ = std::thread([this] { Run(); });
}

ClientCrowd::~ClientCrowd() {
  stop_ = true;
  thread_.join();
  for (const Client& client : clients_) {
    if (client.descriptor >= 0) {
      ::close(client.descriptor);
    }
  }
}

void ClientCrowd::WaitUntilSent() const {
  const auto start = std::chrono::steady_clock::now();
  auto last_change = start;
  size_t before = sent_bytes_;
  while (true) {
    std::this_thread::sleep_for(std::chrono::milliseconds(kPollMs));
    const auto now = std::chrono::steady_clock::now();
    if (const size_t sent = sent_bytes_; sent != before) {
      before = sent;
      last_change = now;
    }
    if (now - last_change > kQuietTime || now - start > kMaxSendTime) {
      return;
    }
  }
}

/// Returns false when the script is sent.
bool ClientCrowd::LoadPiece(Client& client) const {
  while (client.offset == client.piece.size()) {
    const bool endless = script_.repetitions == ClientScript::kEndless;
    const size_t last = endless ? SIZE_MAX : script_.repetitions + 1;
    if (client.next_piece > last) {
      return false;
    }
    const bool is_end = !endless && client.next_piece == last;
    client.piece = client.next_piece == 0 ? script_.start : is_end ? script_.end : script_.repeated;
    client.offset = 0;
    ++client.next_piece;
  }
  return true;
}

/// Returns false when the connection has ended.
bool ClientCrowd::Send(Client& client) {
  if (!LoadPiece(client)) {
    return true;
  }
  const size_t size = std::min(script_.piece_bytes, client.piece.size() - client.offset);
  const ssize_t count =
      ::send(client.descriptor, client.piece.data() + client.offset, size, MSG_NOSIGNAL);
  if (count < 0) {
    return WouldBlock();
  }
  client.offset += static_cast<size_t>(count);
  sent_bytes_ += static_cast<size_t>(count);
  return true;
}

/// Discards what the server sends. Returns false when the connection has ended.
bool ClientCrowd::Receive(Client& client) const {
  std::array<char, 16384> buffer{};
  const ssize_t count = ::recv(client.descriptor, buffer.data(), buffer.size(), 0);
  return count > 0 || (count < 0 && WouldBlock());
}

void ClientCrowd::Run() {
  std::vector<pollfd> entries(clients_.size());
  while (!stop_) {
    for (size_t index = 0; index < clients_.size(); ++index) {
      Client& client = clients_[index];
      const bool sending = client.descriptor >= 0 && LoadPiece(client);
      entries[index] = {
          client.descriptor,
          static_cast<int16_t>((script_.reads ? POLLIN : 0) | (sending ? POLLOUT : 0)), 0};
    }
    ::poll(entries.data(), entries.size(), kPollMs);
    for (size_t index = 0; index < clients_.size(); ++index) {
      Client& client = clients_[index];
      const int16_t events = entries[index].revents;
      bool open = client.descriptor >= 0;
      if (open && (events & POLLIN) != 0) {
        open = Receive(client);
      }
      if (open && (events & POLLOUT) != 0) {
        open = Send(client);
      }
      if (client.descriptor >= 0 && (!open || (events & (POLLERR | POLLHUP)) != 0)) {
        ::close(std::exchange(client.descriptor, -1));
      }
    }
  }
}

}  // namespace endivecleat::test
