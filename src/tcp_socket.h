// Nonblocking TCP and UDP sockets for EventLoop: functions to open, read and write them, an output
// queue, and a listener that accepts connections. All descriptors are close-on-exec.
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

/// Opens a listening socket. With port 0 the kernel chooses the port. Throws std::system_error.
int ListenTcp(const Address& address);

/// Opens a UDP socket bound to the address. Throws std::system_error.
int BindUdp(const Address& address);

/// Starts a nonblocking connect. The socket becomes writable when the attempt ends, and
/// ConnectError() then returns its result. Returns nullopt when the attempt fails immediately.
std::optional<int> ConnectTcp(const Address& address);

/// Result of a nonblocking connect: 0 on success, else an errno value.
int ConnectError(int descriptor);

/// The address that a socket is bound to. Throws std::system_error.
Address LocalAddress(int descriptor);

/// The address of the peer; empty when the socket is not connected.
Address RemoteAddress(int descriptor);

/// Sets TCP_NODELAY, and TCP_USER_TIMEOUT so that the kernel drops a connection whose data stays
/// unacknowledged for 2.5 s.
void SetStreamOptions(int descriptor);

/// Sends one datagram. Returns false when the kernel does not accept it.
bool SendUdp(int descriptor, const Address& to, std::string_view datagram);

/// Receives one datagram and sets from to its sender. A datagram of more than capacity bytes is
/// truncated. Returns nullopt when none is available.
std::optional<std::string> ReceiveUdp(int descriptor, size_t capacity, Address& from);

/// Result of reading from or writing to a socket.
enum class SocketStatus {
  kOpen,
  kBlocked,  // the operation would block
  kClosed,   // the peer has closed its side in an orderly way
  kFailed,   // the connection was reset or timed out
};

inline bool HasEnded(SocketStatus status) {
  return status == SocketStatus::kClosed || status == SocketStatus::kFailed;
}

/// Appends the available bytes to input. Reads at most max_reads times 64 KiB per call, so that one
/// connection cannot starve the others.
SocketStatus ReadAvailable(int descriptor, std::string& input, int max_reads = 4);

/// Bytes to be written to a socket, in the buffers in which they were appended.
class OutputQueue {
 public:
  void Append(std::string bytes);
  /// Writes as much as the socket accepts. Returns kOpen when the queue is empty, kBlocked when the
  /// socket accepts no more for now, and kClosed on any error.
  SocketStatus Flush(int descriptor);
  void Clear();
  /// Removes and returns the buffer appended last. Requires that nothing was written since Clear().
  std::string TakeLast();

  bool empty() const { return size_ == 0; }
  size_t size() const { return size_; }
  /// Number of bytes written to the socket since Clear().
  size_t written() const { return written_; }

 private:
  void Consume(size_t count);

  std::deque<std::string> buffers_;
  size_t offset_ = 0;  // bytes of the first buffer that are already written
  size_t size_ = 0;
  size_t written_ = 0;
};

/// Accepts connections and passes each to the handler, which takes ownership of the descriptor.
class TcpListener {
 public:
  using AcceptHandler = std::function<void(int descriptor, const Address& peer)>;

  TcpListener(EventLoop& loop, const Address& address, AcceptHandler handler);
  ~TcpListener();
  TcpListener(const TcpListener&) = delete;
  TcpListener& operator=(const TcpListener&) = delete;

  const Address& address() const { return address_; }
  /// Closes the listening socket, so that the kernel refuses further connections.
  void Close();

 private:
  void Resume();
  void Accept();

  EventLoop& loop_;
  AcceptHandler handler_;
  int descriptor_;
  Address address_;
  std::optional<WatchId> watch_;
  std::optional<TimerId> resume_timer_;
};

}  // namespace endivecleat

#endif  // ENDIVECLEAT_TCP_SOCKET_H_
