// Uses poll() for all time limits, so that a peer that does not answer cannot stall a stand-in.
#include "net.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cerrno>
#include <cstdlib>

namespace review {
namespace {

bool EqualIgnoringCase(const std::string& left, const std::string& right) {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](char a, char b) {
    return std::tolower(static_cast<unsigned char>(a)) ==
           std::tolower(static_cast<unsigned char>(b));
  });
}

sockaddr_in ToSocketAddress(const Endpoint& endpoint) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(endpoint.port);
  inet_pton(AF_INET, endpoint.ip.c_str(), &address.sin_addr);
  return address;
}

int LeftMs(Clock::time_point until) {
  const auto left = std::chrono::duration_cast<Milliseconds>(until - Clock::now()).count();
  return static_cast<int>(std::clamp<int64_t>(left, 0, 600'000));
}

/// Appends what arrives to the buffer.
ReadResult ReadMore(const Socket& socket, std::string& buffer, Clock::time_point until) {
  pollfd readable{socket.descriptor(), POLLIN, 0};
  if (poll(&readable, 1, LeftMs(until)) <= 0) {
    return ReadResult::kTimeout;
  }
  std::array<char, 65536> bytes{};
  const ssize_t count = recv(socket.descriptor(), bytes.data(), bytes.size(), 0);
  if (count > 0) {
    buffer.append(bytes.data(), static_cast<size_t>(count));
    return ReadResult::kMessage;
  }
  return count == 0 ? ReadResult::kClosed : ReadResult::kReset;
}

bool ParseHead(const std::string& head, Message& message) {
  size_t line_end = head.find("\r\n");
  const std::string first = head.substr(0, line_end);
  const size_t space = first.find(' ');
  if (space == std::string::npos) {
    return false;
  }
  message = {};
  if (first.starts_with("HTTP/1.")) {
    message.status = std::atoi(first.c_str() + space + 1);
  } else {
    const size_t second = first.find(' ', space + 1);
    if (second == std::string::npos) {
      return false;
    }
    message.method = first.substr(0, space);
    message.target = first.substr(space + 1, second - space - 1);
  }
  while (line_end != std::string::npos && line_end + 2 < head.size()) {
    const size_t start = line_end + 2;
    line_end = head.find("\r\n", start);
    const std::string line = head.substr(start, line_end - start);
    const size_t colon = line.find(':');
    if (colon == std::string::npos) {
      continue;
    }
    const size_t value = line.find_first_not_of(" \t", colon + 1);
    message.headers.emplace_back(line.substr(0, colon),
                                 value == std::string::npos ? "" : line.substr(value));
  }
  return true;
}

}  // namespace

std::string Message::Header(const std::string& name) const {
  for (const auto& [key, value] : headers) {
    if (EqualIgnoringCase(key, name)) {
      return value;
    }
  }
  return "";
}

Socket& Socket::operator=(Socket&& other) noexcept {
  if (this != &other) {
    Close();
    descriptor_ = std::exchange(other.descriptor_, -1);
  }
  return *this;
}

void Socket::Close() {
  if (descriptor_ >= 0) {
    close(std::exchange(descriptor_, -1));
  }
}

void Socket::Reset() {
  const linger now{1, 0};
  setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
  Close();
}

bool Socket::Send(const std::string& bytes) const {
  size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t count = send(descriptor_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<size_t>(count);
  }
  return true;
}

bool Socket::PeerClosed() const {
  char byte = 0;
  const ssize_t count = recv(descriptor_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

Socket Connect(const Endpoint& to, Milliseconds timeout) {
  Socket connection(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
  const sockaddr_in address = ToSocketAddress(to);
  const int result = connect(connection.descriptor(), reinterpret_cast<const sockaddr*>(&address),
                             sizeof(address));
  if (result != 0 && errno != EINPROGRESS) {
    return {};
  }
  pollfd writable{connection.descriptor(), POLLOUT, 0};
  if (poll(&writable, 1, static_cast<int>(timeout.count())) != 1) {
    return {};
  }
  int error = 0;
  socklen_t size = sizeof(error);
  getsockopt(connection.descriptor(), SOL_SOCKET, SO_ERROR, &error, &size);
  if (error != 0) {
    return {};
  }
  const int one = 1;
  setsockopt(connection.descriptor(), IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
  fcntl(connection.descriptor(), F_SETFL, 0);  // blocking from here on
  return connection;
}

Socket Listen(const Endpoint& at) {
  Socket listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const int one = 1;
  setsockopt(listener.descriptor(), SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
  const sockaddr_in address = ToSocketAddress(at);
  if (bind(listener.descriptor(), reinterpret_cast<const sockaddr*>(&address), sizeof(address)) !=
          0 ||
      listen(listener.descriptor(), 256) != 0) {
    return {};
  }
  return listener;
}

ReadResult ReadMessage(const Socket& socket, std::string& buffer, Clock::time_point until,
                       Message& message) {
  size_t head_end = 0;
  while ((head_end = buffer.find("\r\n\r\n")) == std::string::npos) {
    if (const ReadResult read = ReadMore(socket, buffer, until); read != ReadResult::kMessage) {
      return read == ReadResult::kClosed && !buffer.empty() ? ReadResult::kMalformed : read;
    }
  }
  if (!ParseHead(buffer.substr(0, head_end), message)) {
    return ReadResult::kMalformed;
  }
  buffer.erase(0, head_end + 4);
  const std::string length_text = message.Header("content-length");
  const bool has_body = message.status != 204 && message.status != 304;
  if (length_text.empty() && message.status != 0 && has_body) {
    ReadResult read = ReadResult::kMessage;
    while (read == ReadResult::kMessage) {
      read = ReadMore(socket, buffer, until);
    }
    message.body = std::exchange(buffer, "");
    return read == ReadResult::kClosed ? ReadResult::kMessage : read;
  }
  const size_t length = std::strtoull(length_text.c_str(), nullptr, 10);
  while (buffer.size() < length) {
    if (const ReadResult read = ReadMore(socket, buffer, until); read != ReadResult::kMessage) {
      return read == ReadResult::kClosed ? ReadResult::kMalformed : read;
    }
  }
  message.body = buffer.substr(0, length);
  buffer.erase(0, length);
  return ReadResult::kMessage;
}

std::string Serialize(const Message& message) {
  std::string text = message.status == 0 ? message.method + " " + message.target + " HTTP/1.1\r\n"
                                         : "HTTP/1.1 " + std::to_string(message.status) + " -\r\n";
  for (const auto& [name, value] : message.headers) {
    text.append(name).append(": ").append(value).append("\r\n");
  }
  if (message.status != 0 || !message.body.empty() || message.method != "GET") {
    text.append("Content-Length: ").append(std::to_string(message.body.size())).append("\r\n");
  }
  return text.append("\r\n").append(message.body);
}

std::optional<Message> Exchange(const Endpoint& to, const Message& request, Milliseconds timeout) {
  const Clock::time_point until = Clock::now() + timeout;
  const Socket socket = Connect(to, timeout);
  std::string buffer;
  Message response;
  const bool answered = socket.valid() && socket.Send(Serialize(request)) &&
                        ReadMessage(socket, buffer, until, response) == ReadResult::kMessage;
  return answered ? std::optional(response) : std::nullopt;
}

}  // namespace review
