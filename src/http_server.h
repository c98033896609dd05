// HTTP/1.1 server on EventLoop. It delivers each request to a handler once the whole request has
// arrived, or once its head has arrived where a policy asks for that, and the handler may respond
// at any later time. Pipelined requests are processed one at a time, or concurrently where a
// classifier allows it; responses are always sent in order. Framing is done by http_codec.h.
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
#include "ingress_budget.h"
#include "tcp_socket.h"
#include "units.h"

namespace endivecleat {

/// Limits on the connections of a server.
struct HttpServerLimits {
  MessageLimits message;
  size_t connections = 4096;  ///< of this server; further connections are closed at once
  Duration idle_timeout = std::chrono::seconds(60);
  /// Time limit for sending a response, and for receiving a request, without progress.
  Duration transfer_timeout = std::chrono::seconds(30);
  /// Shared by the servers of a process; null: the server has a budget of its own.
  std::shared_ptr<IngressBudget> ingress;
  /// Time limit for receiving a head; 0: that of the ingress budget.
  Duration header_timeout{};
  /// Requests of one connection that are read before the first of them is answered, and their bytes
  /// together with those of responses that wait for an earlier one. No further request is read
  /// while a limit is reached. They apply only where requests may run concurrently.
  size_t concurrent_requests = 16;
  size_t concurrent_bytes = 256U << 10U;
  /// A streamed body that makes no progress for this long, although the server waits for it, ends
  /// its connection.
  Duration body_timeout = std::chrono::seconds(10);
  /// What is read of a streamed body that nobody wants before the connection is closed. A client
  /// that sends little more keeps its connection.
  size_t discarded_body_bytes = 256U << 10U;
};

/// Streamed bodies since the start of the server.
struct UploadCounts {
  uint64_t started = 0;
  uint64_t completed = 0;  ///< received in full
  uint64_t stalled = 0;    ///< ended by body_timeout
};

/// Pipelined requests since the start of the server: read before an earlier request of the same
/// connection was answered.
struct PipeliningCounts {
  uint64_t concurrent = 0;  ///< delivered at once
  uint64_t waited = 0;      ///< not concurrent, so it had to wait for the earlier ones
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
  struct Exchange;  // defined in http_connection.h

  explicit ResponseSink(std::shared_ptr<Exchange> exchange) : exchange_(std::move(exchange)) {}

  std::shared_ptr<Exchange> exchange_;
};

/// Used on the loop's thread. It must be destroyed before the loop, and not from within its own
/// handler.
class HttpServer {
 public:
  using Handler = std::function<void(HttpRequest, ResponseSink)>;
  /// Whether a request may run at the same time as others of its connection.
  using Classifier = std::function<bool(const HttpRequest&)>;

  /// Starts to listen. With port 0 the kernel chooses the port. Throws std::system_error.
  HttpServer(EventLoop& loop, const Address& address, HttpServerLimits limits, Handler handler);

  /// Closes all connections. The clients of requests in flight count as disconnected.
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// The listening address with the actual port.
  const Address& address() const { return listener_.address(); }

  /// Delivers pipelined requests concurrently if the classifier returns true for them. Without this
  /// call, each request waits until those before it are answered.
  void AllowConcurrency(Classifier classifier) { may_run_concurrently_ = std::move(classifier); }

  /// Delivers requests for which the policy returns true before their body is complete, with
  /// HttpRequest::body_stream. Bodies that are known to be small are delivered whole. Applies to
  /// connections that are accepted later.
  void StreamBodies(RequestReader::StreamPolicy policy) { stream_policy_ = std::move(policy); }

  /// Disables keep-alive: the next response that has no request behind it on its connection carries
  /// "Connection: close", and no request is read in addition to those in flight.
  void DisableKeepAlive() { keep_alive_disabled_ = true; }

  void SetIdleTimeout(Duration timeout) { limits_.idle_timeout = timeout; }

  /// Sets the limits on the heads of requests that begin later. Where a value is zero, the limit
  /// given to the constructor applies.
  void SetHeaderLimits(ByteCount bytes, Duration timeout);

  /// Closes the listening socket and the idle connections. Requests in flight still get a response,
  /// the last one of a connection with "Connection: close".
  void StopAccepting();

  /// Number of requests that were read and whose response has not been written in full, including
  /// those that wait for an earlier one.
  size_t in_flight() const { return in_flight_; }

  size_t connections() const { return connections_.size(); }

  const PipeliningCounts& pipelining() const { return pipelining_; }
  const UploadCounts& uploads() const { return uploads_; }

 private:
  class Connection;  // defined in http_connection.h

  Duration header_timeout() const;
  bool draining() const { return stopping_ || keep_alive_disabled_; }
  void Accept(int descriptor, const Address& peer);
  void CheckTimeouts();
  void ScheduleTimeoutCheck();

  EventLoop& loop_;
  const HttpServerLimits initial_limits_;
  HttpServerLimits limits_;
  std::shared_ptr<IngressBudget> ingress_;
  Handler handler_;
  Classifier may_run_concurrently_;
  RequestReader::StreamPolicy stream_policy_;
  TcpListener listener_;
  std::unordered_map<uint64_t, std::shared_ptr<Connection>> connections_;
  uint64_t next_connection_id_ = 1;
  size_t in_flight_ = 0;
  PipeliningCounts pipelining_;
  UploadCounts uploads_;
  bool stopping_ = false;
  bool keep_alive_disabled_ = false;
  TimerId timeout_check_timer_;
};

}  // namespace endivecleat

#endif  // ENDIVECLEAT_HTTP_SERVER_H_
