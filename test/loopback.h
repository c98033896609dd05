// Addresses on loopback for tests that speak to real sockets.
#ifndef ENDIVECLEAT_TEST_LOOPBACK_H_
#define ENDIVECLEAT_TEST_LOOPBACK_H_

#include <arpa/inet.h>
#include <sys/socket.h>

#include <cstdint>

namespace endivecleat::test {

inline sockaddr_in Loopback(uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

inline const sockaddr* Generic(const sockaddr_in& address) {
  return reinterpret_cast<const sockaddr*>(&address);
}

}  // namespace endivecleat::test

#endif  // ENDIVECLEAT_TEST_LOOPBACK_H_
