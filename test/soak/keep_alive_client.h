// Blocking HTTP client of the soak test that reuses one keep-alive connection until the peer closes
// it, so that faults hit connections in use. Exchange() of process_cluster.h opens one per request.
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

  /// Sends a request and waits for its response, reconnecting first if needed. Returns status 0
  /// when the connection breaks or no data arrives for 3 s before the response is complete.
  HttpResponse Exchange(const HttpRequest& request);

 private:
  bool Connect();
  void Disconnect();
  std::string ReadResponse();

  uint16_t port_;
  int socket_ = -1;
};

}  // namespace endivecleat::test

#endif  // ENDIVECLEAT_TEST_SOAK_KEEP_ALIVE_CLIENT_H_
