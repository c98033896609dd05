// A target that answers each request with given bytes and then repeats others without end.
#ifndef ENDIVECLEAT_TEST_ENDLESS_TARGET_H_
#define ENDIVECLEAT_TEST_ENDLESS_TARGET_H_

#include <poll.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "errors.h"
#include "loopback.h"

namespace endivecleat::test {

/// A target on a port of its own. It passes health checks; to any other request it sends `start`
/// and then `repeated` until the connection ends.
class EndlessTarget {
 public:
  EndlessTarget(std::string start, std::string repeated, std::chrono::milliseconds pause)
      : start_(std::move(start)),
        repeated_(std::move(repeated)),
        pause_(pause),
        listener_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    sockaddr_in address = Loopback(0);
    socklen_t size = sizeof(address);
    ENDIVECLEAT_CHECK(::bind(listener_, AsSockaddr(address), size) == 0, "cannot bind");
    ENDIVECLEAT_CHECK(::listen(listener_, kBacklog) == 0, "cannot listen");
    ::getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size);
    port_ = ntohs(address.sin_port);
    acceptor_ = std::thread([this] { Accept(); });
  }
  ~EndlessTarget() {
    stop_ = true;
    acceptor_.join();
    for (std::thread& server : servers_) {
      server.join();
    }
    ::close(listener_);
  }
  EndlessTarget(const EndlessTarget&) = delete;
  EndlessTarget& operator=(const EndlessTarget&) = delete;

  uint16_t port() const { return port_; }
  int requests() const { return requests_; }

 private:
  static constexpr int kPollMs = 20;
  static constexpr int kBacklog = 64;

  bool Ready(int socket, int16_t events) const {
    pollfd entry{socket, events, 0};
    return ::poll(&entry, 1, kPollMs) == 1;
  }

  void Accept() {
    while (!stop_) {
      if (Ready(listener_, POLLIN)) {
        const int socket = ::accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        servers_.emplace_back([this, socket] { Serve(socket); });
      }
    }
  }

  void Serve(int socket) {
    std::string received;
    std::array<char, 4096> buffer{};
    bool open = true;
    while (!stop_ && open) {
      if (!Ready(socket, POLLIN)) {
        continue;
      }
      const ssize_t count = ::recv(socket, buffer.data(), buffer.size(), 0);
      open = count > 0;
      received.append(buffer.data(), open ? static_cast<size_t>(count) : 0);
      if (received.find("\r\n\r\n") == std::string::npos) {
        continue;
      }
      if (received.starts_with("GET /healthz")) {
        open = Send(socket, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
      } else {
        ++requests_;
        open = Send(socket, start_);
        while (open && !stop_) {
          open = Send(socket, repeated_);
          std::this_thread::sleep_for(pause_);
        }
      }
      received.clear();
    }
    ::close(socket);
  }

  bool Send(int socket, const std::string& bytes) const {
    size_t sent = 0;
    while (sent < bytes.size() && !stop_) {
      const ssize_t count = ::send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
      if (count < 0 && errno != EAGAIN) {
        return false;
      }
      sent += count > 0 ? static_cast<size_t>(count) : 0;
      if (count < 0) {
        Ready(socket, POLLOUT);
      }
    }
    return true;
  }

  const std::string start_;
  const std::string repeated_;
  const std::chrono::milliseconds pause_;  // between two parts
  int listener_;
  uint16_t port_ = 0;
  std::atomic<bool> stop_ = false;
  std::atomic<int> requests_ = 0;
  std::thread acceptor_;
  std::vector<std::thread> servers_;
};

}  // namespace endivecleat::test

#endif  // ENDIVECLEAT_TEST_ENDLESS_TARGET_H_
