// HTTP/1.1 client with a pool of keep-alive connections to one address. Runs on EventLoop; framing
// is done by http_codec.h. Calls to targets, health probes and the operator commands use it.
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
  /// Header field of the request that the server echoes in its response, such as a request ID. A
  /// response with another value belongs to an earlier request and is discarded. Empty: responses
  /// are matched to requests by their order only.
  std::string echoed_header;
};

/// At most `connections` connections are open or being opened at a time, and each carries one
/// request at a time. Further requests wait in a FIFO queue. Not thread-safe: all calls are made on
/// the loop's thread.
class HttpClient {
 public:
  using Callback = std::function<void(HttpOutcome)>;

  HttpClient(EventLoop& loop, Address target, HttpClientOptions options);
  HttpClient(EventLoop& loop, Address target, size_t connections, MessageLimits limits = {})
      : HttpClient(loop, std::move(target), HttpClientOptions{connections, limits, ""}) {}

  /// Closes the connections. The callbacks of outstanding calls do not run.
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Sends a request. The callback runs exactly once unless the call is cancelled, and never before
  /// Send() returns; it may destroy the client. The timeout includes the wait for a connection.
  CallId Send(HttpRequest request, Duration timeout, Callback callback);

  /// Drops the call: its callback does not run. If the call has been assigned to a connection, the
  /// connection is closed, which tells the target that nobody waits for the response.
  void Cancel(CallId call);

  const Address& target() const { return target_; }
  /// Number of calls that wait for a connection.
  size_t waiting() const { return waiting_.size(); }
  /// Number of unfinished calls, including those that wait for a connection.
  size_t outstanding() const { return calls_.size(); }
  size_t connections() const { return connections_.size(); }

 private:
  class Connection;
  struct Call;

  void DispatchWaitingCalls();
  Connection* TakeIdleConnection();
  void OnTimeout(CallId id);
  std::shared_ptr<Call> RemoveCall(CallId id);
  void Finish(CallId id, HttpOutcome outcome);
  void FinishLater(CallId id, HttpOutcome::Kind kind);

  EventLoop& loop_;
  Address target_;
  HttpClientOptions options_;
  uint64_t next_id_ = 1;
  std::unordered_map<CallId, std::shared_ptr<Call>> calls_;
  std::deque<CallId> waiting_;  // the calls in calls_ without a connection, FIFO
  std::unordered_map<uint64_t, std::shared_ptr<Connection>> connections_;
  std::vector<uint64_t> idle_;  // IDs in connections_; the most recently used is last
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace endivecleat

#endif  // ENDIVECLEAT_HTTP_CLIENT_H_
