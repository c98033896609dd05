// Blocking socket I/O with a receive timeout; the Content-Length header delimits a response.
#include "keep_alive_client.h"

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cstdlib>

#include "loopback.h"
#include "process_cluster.h"

namespace endivecleat::test {
namespace {

constexpr int kReceiveTimeoutS = 3;  // exceeds the timeout of the service (2 s)

// Returns the length of the complete response at the start of the text, or 0 if it is incomplete.
size_t CompleteResponseLength(const std::string& text) {
  const size_t head = text.find("\r\n\r\n");
  if (head == std::string::npos) {
    return 0;
  }
  size_t length = 0;
  for (const char* name : {"Content-Length: ", "content-length: "}) {
    const size_t header = text.find(name);
    if (header < head) {
      length = std::strtoull(text.c_str() + header + 16, nullptr, 10);
    }
  }
  return text.size() >= head + 4 + length ? head + 4 + length : 0;
}

}  // namespace

HttpResponse KeepAliveClient::Exchange(const HttpRequest& request) {
  if (socket_ < 0 && !Connect()) {
    return {};
  }
  const std::string text = RequestText(request, true);
  const bool sent =
      ::send(socket_, text.data(), text.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(text.size());
  const std::string answer = sent ? ReadResponse() : "";
  if (answer.empty()) {
    Disconnect();
    return {};
  }
  HttpResponse response = ParseResponse(answer);
  if (response.headers.ValueOr("connection", "") == "close") {
    Disconnect();
  }
  return response;
}

bool KeepAliveClient::Connect() {
  socket_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const timeval receive_timeout{kReceiveTimeoutS, 0};
  ::setsockopt(socket_, SOL_SOCKET, SO_RCVTIMEO, &receive_timeout, sizeof(receive_timeout));
  const sockaddr_in address = Loopback(port_);
  if (::connect(socket_, AsSockaddr(address), sizeof(address)) != 0) {
    Disconnect();
  }
  return socket_ >= 0;
}

void KeepAliveClient::Disconnect() {
  if (socket_ >= 0) {
    ::close(socket_);
    socket_ = -1;
  }
}

// Returns an empty string when the connection closes or times out before the response is complete.
std::string KeepAliveClient::ReadResponse() {
  std::string answer;
  std::array<char, 16384> buffer{};
  while (CompleteResponseLength(answer) == 0) {
    const ssize_t count = ::recv(socket_, buffer.data(), buffer.size(), 0);
    if (count <= 0) {
      return "";
    }
    answer.append(buffer.data(), static_cast<size_t>(count));
  }
  return answer;
}

}  // namespace endivecleat::test
