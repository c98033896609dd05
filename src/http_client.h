// A pool of keep-alive HTTP/1.1 connections to one address.
#ifndef ENDIVECLEAT_HTTP_CLIENT_H_
#define ENDIVECLEAT_HTTP_CLIENT_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "event_loop.h"
#include "http_codec.h"
#include "http_message.h"
#include "tcp_socket.h"
#include "units.h"

namespace endivecleat {

using CallId = StrongNumber<struct CallIdTag>;

struct HttpClientOptions {
  size_t connections = 1;
  MessageLimits limits;
  /// Header field of a request that its answer repeats. An answer with another value belongs to an
  /// earlier request and is passed over. Empty: answers are matched by their order only.
  std::string echoed_header;
};

/// At most `connections` connections are open at a time, connecting ones included, with one request
/// on each; further requests wait in order of sending. Used on the loop's thread.
class HttpClient {
 public:
  using Callback = std::function<void(HttpOutcome)>;

  HttpClient(EventLoop& loop, Address target, HttpClientOptions options);
  HttpClient(EventLoop& loop, Address target, size_t connections, MessageLimits limits = {})
      : HttpClient(loop, std::move(target), HttpClientOptions{connections, limits, ""}) {}

  /// Closes the connections; outstanding callbacks do not run.
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Calls back exactly once unless cancelled, and never inside this call. The timeout covers the
  /// wait for a connection. The callback may destroy the client.
  CallId Send(HttpRequest request, Duration timeout, Callback callback);

  /// Forgets the call: its callback does not run. A connection that has carried part of it is
  /// closed, which tells the target.
  void Cancel(CallId call);

  const Address& target() const { return target_; }
  /// Calls that wait for a connection.
  size_t waiting() const { return waiting_.size(); }
  /// Calls that are not finished, waiting ones included.
  size_t outstanding() const { return calls_.size(); }
  size_t connections() const { return connections_.size(); }

 private:
  class Connection;
  struct Call;

  void Pump();
  Connection* TakeIdle();
  void OnTimeout(CallId id);
  std::shared_ptr<Call> TakeCall(CallId id);
  void Finish(CallId id, HttpOutcome outcome);
  void FinishLater(CallId id, HttpOutcome::Kind kind);

  EventLoop& loop_;
  Address target_;
  HttpClientOptions options_;
  uint64_t next_id_ = 1;
  std::unordered_map<CallId, std::shared_ptr<Call>> calls_;
  std::deque<CallId> waiting_;  // a subset of calls_, none of them on a connection
  std::unordered_map<uint64_t, std::shared_ptr<Connection>> connections_;
  std::vector<uint64_t> idle_;  // a subset of connections_; the last one used is the last
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace endivecleat

#endif  // ENDIVECLEAT_HTTP_CLIENT_H_
