// Socket addresses on 127.0.0.1 for tests and helper programs that use the socket API directly
// instead of EventLoop.
#ifndef ENDIVECLEAT_TEST_LOOPBACK_H_
#define ENDIVECLEAT_TEST_LOOPBACK_H_

#include <arpa/inet.h>
#include <sys/socket.h>

#include <cstdint>

namespace endivecleat::test {

/// The address 127.0.0.1 with the given port.
inline sockaddr_in Loopback(uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

/// Casts the address to the type that bind(), connect() and the like expect.
inline const sockaddr* AsSockaddr(const sockaddr_in& address) {
  return reinterpret_cast<const sockaddr*>(&address);
}

}  // namespace endivecleat::test

#endif  // ENDIVECLEAT_TEST_LOOPBACK_H_
