// HTTP/1.1 server on EventLoop. It delivers each request to a handler once the whole request has
// arrived, and the handler may respond at any later time. Framing is done by http_codec.h.
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

/// Limits on the connections of a server.
struct HttpServerLimits {
  MessageLimits message;
  size_t connections = 4096;  ///< further connections are closed at once
  Duration idle_timeout = std::chrono::seconds(60);
  /// Time limit for receiving a request, and for sending a response without progress.
  Duration transfer_timeout = std::chrono::seconds(30);
};

/// Sends the response to one request. Copies refer to the same request. It is used on the loop's
/// thread and may outlive the connection and the server; Send() then has no effect.
class ResponseSink {
 public:
  /// Sends the response. Only the first call has an effect.
  void Send(HttpResponse response) const;

  /// Runs the task when the client disconnects before the response is sent; at once if it has
  /// already disconnected. A client that shuts down only its sending side counts as disconnected,
  /// because the server cannot distinguish this from a full close.
  void OnDisconnect(std::function<void()> task) const;

  /// Whether the client disconnected before the response was sent.
  bool disconnected() const;

 private:
  friend class HttpServer;
  struct Exchange;

  explicit ResponseSink(std::shared_ptr<Exchange> exchange) : exchange_(std::move(exchange)) {}

  std::shared_ptr<Exchange> exchange_;
};

/// Used on the loop's thread. It must be destroyed before the loop, and not from within its own
/// handler.
class HttpServer {
 public:
  using Handler = std::function<void(HttpRequest, ResponseSink)>;

  /// Starts to listen. With port 0 the kernel chooses the port. Throws std::system_error.
  HttpServer(EventLoop& loop, const Address& address, HttpServerLimits limits, Handler handler);

  /// Closes all connections. The clients of requests in flight count as disconnected.
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// The listening address with the actual port.
  const Address& address() const { return listener_.address(); }

  /// Disables keep-alive: every later response carries "Connection: close".
  void DisableKeepAlive() { keep_alive_disabled_ = true; }

  void SetIdleTimeout(Duration timeout) { limits_.idle_timeout = timeout; }

  /// Closes the listening socket and the idle connections. Requests in flight still get a response,
  /// with "Connection: close".
  void StopAccepting();

  /// Number of delivered requests whose response has not been written to the socket in full.
  size_t in_flight() const { return in_flight_; }

  size_t connections() const { return connections_.size(); }

 private:
  class Connection;

  void Accept(int descriptor, const Address& peer);
  void CheckTimeouts();
  void ScheduleTimeoutCheck();

  EventLoop& loop_;
  HttpServerLimits limits_;
  Handler handler_;
  TcpListener listener_;
  std::unordered_map<uint64_t, std::shared_ptr<Connection>> connections_;
  uint64_t next_connection_id_ = 1;
  size_t in_flight_ = 0;
  bool stopping_ = false;
  bool keep_alive_disabled_ = false;
  TimerId timeout_check_timer_;
};

}  // namespace endivecleat

#endif  // ENDIVECLEAT_HTTP_SERVER_H_
