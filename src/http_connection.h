// One connection of HttpServer: reads its requests, delivers them to the handler, and writes the
// responses in the order of the requests. Included by http_server.cc and http_connection.cc only.
#ifndef ENDIVECLEAT_HTTP_CONNECTION_H_
#define ENDIVECLEAT_HTTP_CONNECTION_H_

#include <sys/epoll.h>

#include <deque>
#include <memory>
#include <optional>
#include <string>

#include "http_server.h"

namespace endivecleat {

struct ResponseSink::Exchange {
  std::function<void(HttpResponse)> send;  // empty once responded or disconnected
  std::function<void()> on_disconnect;
  bool disconnected = false;
};

/// Owns the socket. Requests that the classifier allows to run concurrently are delivered at once;
/// any other request waits until those before it are answered, and nothing behind it is read.
class HttpServer::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(HttpServer& server, uint64_t id, IngressBudget::HolderId holder, int descriptor,
             std::string peer_ip);
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  /// Closes the connection and runs the disconnect tasks of its requests.
  void Close();

  /// Closes the connection unless it has requests in flight. Reads from the socket first, because
  /// a request may already be in the receive buffer of the kernel.
  void CloseIfIdle();

  /// Called by the ingress budget: closes the connection, or answers the request that is being read
  /// with 503 and drops what has arrived of it.
  void Refuse(IngressLimit limit);

  /// Enforces the timeout that applies to the current state of the connection.
  void CheckTimeouts(TimePoint now);

 private:
  /// A request that was read, until its response is in output_.
  struct Pending {
    std::shared_ptr<ResponseSink::Exchange> exchange;  // null if the request was rejected
    std::optional<HttpRequest> undelivered;            // waits for the requests before it
    std::optional<HttpResponse> response;              // waits for the responses before it
    bool concurrent = false;                           // others may run at the same time
    bool is_head = false;
    bool keep_alive = false;
    size_t bytes = 0;   // of the request, and of the response while it waits
    size_t charge = 0;  // estimated memory of the request while it runs
  };

  /// Bytes of the input that had arrived by a time.
  struct Arrival {
    uint64_t end;  // position in the input of the whole connection
    TimePoint time;
  };

  bool IsIdle() const;
  bool MayRead() const;
  void CloseSocket();
  void CancelPending();
  static void Disconnect(ResponseSink::Exchange& exchange);
  void OnEvents(uint32_t events);
  void OnReadable();
  void RecordArrival(size_t bytes);
  TimePoint TakeArrivalTime();
  void ProcessRequests();
  bool DeliverWaiting();
  bool ReadRequest();
  void CountRejection();
  void AddStreamed(TimePoint arrived);
  bool OnBodyRead(ReadStatus status);
  void RejectStreamed(int status);
  std::shared_ptr<BodyStream> ReleaseBody();
  bool WaitsForBody() const;
  void SendContinue();
  void AddRequest(HttpRequest request, size_t bytes, bool keep_alive);
  void Deliver(Pending& pending, HttpRequest request);
  void SendResponse(const std::weak_ptr<ResponseSink::Exchange>& exchange, HttpResponse response);
  void QueueReadyResponses();
  void QueueResponse(Pending pending, bool keep_alive);
  void AddRejection(int status);
  void RejectReading(int status);
  void RejectForLimit(int status, IngressLimit limit);
  void LogRefusal(IngressLimit limit);
  void CheckRequestTimeouts(TimePoint now);
  bool ReadingPaused() const;
  void ReleaseInput();
  void UpdateBudget();
  bool FlushResponses();
  void StartLingeringClose();
  void UpdateWatch();

  HttpServer& server_;
  const uint64_t id_;
  const IngressBudget::HolderId holder_;
  int descriptor_;  // -1 once closed
  const std::string peer_ip_;
  WatchId watch_;
  uint32_t events_ = EPOLLIN | EPOLLRDHUP;

  RequestReader reader_;
  std::string input_;
  uint64_t received_bytes_ = 0;   // since the connection was opened
  std::deque<Arrival> arrivals_;  // of the bytes in input_
  uint64_t request_begin_ = 0;    // position in the input of the request being read
  OutputQueue output_;
  std::deque<Pending> pending_;   // in the order of the requests
  size_t pending_bytes_ = 0;      // sum over pending_
  size_t pending_charge_ = 0;     // sum over pending_
  bool input_refused_ = false;    // a request was rejected; nothing behind it is read
  uint64_t written_bytes_ = 0;    // since the connection was opened
  uint64_t exchanged_bytes_ = 0;  // read and written, at the last update of the budget
  size_t unanswered_ = 0;         // entries of pending_ that were not rejected
  size_t unsent_responses_ = 0;   // responses with bytes in output_
  // The body being received, from when its request is read until the body ends; null otherwise. The
  // response may be sent before that.
  std::shared_ptr<BodyStream> body_;
  TimePoint body_progress_;
  bool body_outlives_response_ = false;  // counted in the server's in_flight_
  bool continue_held_ = false;           // "100 Continue" is due after the responses before it
  bool close_after_response_ = false;    // no request is read after the response in output_
  bool processing_ = false;
  std::optional<TimePoint> lingering_since_;
  TimePoint last_progress_;  // last successful write, or last check with a request in flight
  TimePoint request_started_at_;
  // The rate of a body is measured from this time on, when this many bytes had arrived.
  std::optional<TimePoint> rate_from_;
  uint64_t rate_from_bytes_ = 0;
};

}  // namespace endivecleat

#endif  // ENDIVECLEAT_HTTP_CONNECTION_H_
