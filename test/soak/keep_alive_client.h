// A caller that sends one request after the other on a connection that stays open until the other
// end closes it.
#ifndef ENDIVECLEAT_TEST_SOAK_KEEP_ALIVE_CLIENT_H_
#define ENDIVECLEAT_TEST_SOAK_KEEP_ALIVE_CLIENT_H_

#include <cstdint>
#include <string>

#include "http_message.h"

namespace endivecleat::test {

class KeepAliveClient {
 public:
  explicit KeepAliveClient(uint16_t port) : port_(port) {}
  ~KeepAliveClient() { Disconnect(); }
  KeepAliveClient(KeepAliveClient&& other) noexcept : port_(other.port_), socket_(other.socket_) {
    other.socket_ = -1;
  }
  KeepAliveClient& operator=(KeepAliveClient&&) = delete;

  /// Status 0: no complete answer came within 3 s, or the connection broke.
  HttpResponse Exchange(const HttpRequest& request);

 private:
  bool Connect();
  void Disconnect();
  std::string ReadAnswer();

  uint16_t port_;
  int socket_ = -1;
};

}  // namespace endivecleat::test

#endif  // ENDIVECLEAT_TEST_SOAK_KEEP_ALIVE_CLIENT_H_
