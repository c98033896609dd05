// Nonblocking TCP and UDP sockets for the event loop: opening, accepting, and an output queue.
#ifndef ENDIVECLEAT_TCP_SOCKET_H_
#define ENDIVECLEAT_TCP_SOCKET_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "event_loop.h"
#include "units.h"

namespace endivecleat {

/// Opens a listening socket; port 0 lets the kernel choose. Throws std::system_error.
int ListenTcp(const Address& address);

/// Opens a UDP socket bound to the address. Throws std::system_error.
int BindUdp(const Address& address);

/// Starts to connect. The socket is writable once the attempt has ended; ConnectError() then tells
/// how. Returns nullopt when the attempt fails at once.
std::optional<int> ConnectTcp(const Address& address);

/// 0 when the connection stands, else an errno.
int ConnectError(int descriptor);

/// The address that a socket is bound to.
Address LocalAddress(int descriptor);

/// The address at the other end of a connection; empty when it is not connected.
Address RemoteAddress(int descriptor);

/// No delay of small writes, and an end to a connection whose data stays unacknowledged for 2.5 s.
void SetStreamOptions(int descriptor);

/// Sends one datagram. False when the kernel does not take it.
bool SendUdp(int descriptor, const Address& to, std::string_view datagram);

/// Receives one datagram of at most capacity bytes; nullopt when there is none.
std::optional<std::string> ReceiveUdp(int descriptor, size_t capacity, Address& from);

enum class SocketStatus {
  kOpen,
  kBlocked,
  kClosed,  // the peer has closed its side in order
  kFailed,  // the connection was reset or timed out
};

inline bool HasEnded(SocketStatus status) {
  return status == SocketStatus::kClosed || status == SocketStatus::kFailed;
}

/// Appends what has arrived to input, up to a bound per call so that one connection does not hold
/// up the others.
SocketStatus ReadAvailable(int descriptor, std::string& input);

/// Bytes that wait until the socket takes them.
class OutputQueue {
 public:
  void Append(std::string bytes);
  /// kOpen when everything was written, kBlocked when the socket takes no more for now.
  SocketStatus Flush(int descriptor);
  void Clear();
  /// Removes and returns the piece appended last. For a queue that has written nothing.
  std::string TakeLast();

  bool empty() const { return size_ == 0; }
  size_t size() const { return size_; }
  /// Bytes the kernel has taken since Clear().
  size_t written() const { return written_; }

 private:
  void Drop(size_t count);

  std::deque<std::string> pieces_;
  size_t offset_ = 0;  // bytes of the first piece that are written
  size_t size_ = 0;
  size_t written_ = 0;
};

/// Accepts connections. The handler owns each descriptor it is given.
class TcpListener {
 public:
  using AcceptHandler = std::function<void(int descriptor, const Address& peer)>;

  TcpListener(EventLoop& loop, const Address& address, AcceptHandler handler);
  ~TcpListener();
  TcpListener(const TcpListener&) = delete;
  TcpListener& operator=(const TcpListener&) = delete;

  const Address& address() const { return address_; }
  /// From now on the kernel refuses connections.
  void Close();

 private:
  void Resume();
  void Accept();

  EventLoop& loop_;
  AcceptHandler handler_;
  int descriptor_;
  Address address_;
  std::optional<WatchId> watch_;
  std::optional<TimerId> pause_;
};

}  // namespace endivecleat

#endif  // ENDIVECLEAT_TCP_SOCKET_H_
