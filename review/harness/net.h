// Blocking sockets and a small HTTP/1.1 reader and writer for the stand-ins of the review cases.
#ifndef ENDIVECLEAT_REVIEW_HARNESS_NET_H_
#define ENDIVECLEAT_REVIEW_HARNESS_NET_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

struct Endpoint {
  std::string ip;
  uint16_t port = 0;

  std::string text() const { return ip + ":" + std::to_string(port); }
};

/// A request or a response. For a request, `status` is 0.
struct Message {
  std::string method;
  std::string target;
  int status = 0;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;

  /// The value of the first field with this name, without regard to case; empty if there is none.
  std::string Header(const std::string& name) const;
};

/// A TCP socket that is closed with the object.
class Socket {
 public:
  Socket() = default;
  explicit Socket(int descriptor) : descriptor_(descriptor) {}
  ~Socket() { Close(); }
  Socket(Socket&& other) noexcept : descriptor_(std::exchange(other.descriptor_, -1)) {}
  Socket& operator=(Socket&& other) noexcept;
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;

  bool valid() const { return descriptor_ >= 0; }
  int descriptor() const { return descriptor_; }
  void Close();
  /// Ends the connection with a reset.
  void Reset();
  bool Send(const std::string& bytes) const;
  /// Whether the peer has closed the connection; reads nothing.
  bool PeerClosed() const;

 private:
  int descriptor_ = -1;
};

Socket Connect(const Endpoint& to, Milliseconds timeout);
Socket Listen(const Endpoint& at);

enum class ReadResult { kMessage, kClosed, kReset, kTimeout, kMalformed };

/// Reads one message. `buffer` holds what was received beyond it. A response without a length ends
/// with its connection.
ReadResult ReadMessage(const Socket& socket, std::string& buffer, Clock::time_point until,
                       Message& message);

std::string Serialize(const Message& message);

/// Sends one request on a new connection; nullopt without a whole response in time.
std::optional<Message> Exchange(const Endpoint& to, const Message& request, Milliseconds timeout);

}  // namespace review

#endif  // ENDIVECLEAT_REVIEW_HARNESS_NET_H_
