// An HTTP/1.1 server on the event loop. Requests are delivered whole; answers may come at any later
// time.
#ifndef ENDIVECLEAT_HTTP_SERVER_H_
#define ENDIVECLEAT_HTTP_SERVER_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "event_loop.h"
#include "http_codec.h"
#include "http_message.h"
#include "tcp_socket.h"
#include "units.h"

namespace endivecleat {

struct HttpServerLimits {
  MessageLimits message;
  size_t connections = 4096;  ///< a connection beyond this number is closed unanswered
  Duration idle_timeout = std::chrono::seconds(60);
  Duration transfer_timeout = std::chrono::seconds(30);  ///< for one request or answer to pass
};

/// The way back to the caller of one request. Copies share it. It is used on the loop's thread, and
/// it may outlive the connection and the server; Send() then has no effect.
class ResponseSink {
 public:
  /// Answers the request. Only the first call has an effect.
  void Send(HttpResponse response) const;

  /// Runs the task when the caller goes away before the request is answered, at once when it has
  /// gone already. A caller that closes only its sending side counts as gone: it cannot be told
  /// from one that has closed altogether.
  void OnGone(std::function<void()> task) const;

  /// Whether an answer would reach nobody.
  bool gone() const;

 private:
  friend class HttpServer;
  struct Exchange;

  explicit ResponseSink(std::shared_ptr<Exchange> exchange) : exchange_(std::move(exchange)) {}

  std::shared_ptr<Exchange> exchange_;
};

/// Used on the loop's thread; destroyed before the loop and not from within its handler.
class HttpServer {
 public:
  using Handler = std::function<void(HttpRequest, ResponseSink)>;

  /// Listens at once; port 0 lets the kernel choose. Throws std::system_error.
  HttpServer(EventLoop& loop, const Address& address, HttpServerLimits limits, Handler handler);

  /// Closes every connection; callers in flight count as gone.
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// The address with the port in use.
  const Address& address() const { return listener_.address(); }

  /// From now on each answer asks its caller to close the connection.
  void CloseConnectionsAfterAnswers() { closing_connections_ = true; }

  void SetIdleTimeout(Duration timeout) { limits_.idle_timeout = timeout; }

  /// Closes the listening socket and the idle connections. Requests in flight are answered, with
  /// "Connection: close".
  void StopAccepting();

  /// Requests delivered whose answer the kernel has not taken in full.
  size_t in_flight() const { return in_flight_; }

  size_t connections() const { return connections_.size(); }

 private:
  class Connection;

  void Accept(int descriptor, const Address& peer);
  void Sweep();
  void ScheduleSweep();

  EventLoop& loop_;
  HttpServerLimits limits_;
  Handler handler_;
  TcpListener listener_;
  std::unordered_map<uint64_t, std::shared_ptr<Connection>> connections_;
  uint64_t next_connection_ = 1;
  size_t in_flight_ = 0;
  bool stopping_ = false;
  bool closing_connections_ = false;
  TimerId sweep_;
};

}  // namespace endivecleat

#endif  // ENDIVECLEAT_HTTP_SERVER_H_
