// Each Connection owns a socket and processes one request at a time, so pipelined requests get
// their responses in order. A periodic check closes the connections that exceed a timeout.
#include "http_server.h"

#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

namespace endivecleat {
namespace {

// Reading pauses while this many received bytes wait for the current request to finish.
constexpr size_t kMaxBufferedInputBytes = 256U << 10U;
// The next pipelined request is not processed while more bytes of responses are unsent.
constexpr size_t kMaxBufferedOutputBytes = 256U << 10U;
// Duration of the lingering close: input is discarded for this long after the connection was shut
// down for writing. Closing at once could send a reset, which can make the client lose the
// response.
constexpr Duration kLingerTime = std::chrono::seconds(1);

HttpResponse ErrorResponse(int status) {
  HttpResponse response;
  response.status = status;
  response.headers.Add("Content-Type", "text/plain");
  response.body = "bad request\n";
  switch (status) {
    case 408:
      response.body = "the request did not arrive in time\n";
      break;
    case 411:
      response.body = "a body needs Content-Length or chunked coding\n";
      break;
    case 413:
      response.body = "the body exceeds the limit\n";
      break;
    case 431:
      response.body = "the header exceeds the limit\n";
      break;
    case 501:
      response.body = "the method or transfer coding is not supported\n";
      break;
    default:
      break;
  }
  return response;
}

}  // namespace

struct ResponseSink::Exchange {
  std::function<void(HttpResponse)> send;  // empty once responded or disconnected
  std::function<void()> on_disconnect;
  bool disconnected = false;
};

void ResponseSink::Send(HttpResponse response) const {
  if (auto send = std::exchange(exchange_->send, nullptr)) {
    exchange_->on_disconnect = nullptr;
    send(std::move(response));
  }
}

void ResponseSink::OnDisconnect(std::function<void()> task) const {
  if (exchange_->disconnected) {
    task();
  } else if (exchange_->send) {
    exchange_->on_disconnect = std::move(task);
  }
}

bool ResponseSink::disconnected() const { return exchange_->disconnected; }

class HttpServer::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(HttpServer& server, uint64_t id, int descriptor, std::string peer_ip)
      : server_(server),
        id_(id),
        descriptor_(descriptor),
        peer_ip_(std::move(peer_ip)),
        reader_(server.limits_.message) {
    last_progress_ = server_.loop_.now();
    watch_ =
        server_.loop_.Watch(descriptor_, events_, [this](uint32_t events) { OnEvents(events); });
  }

  ~Connection() { CloseSocket(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  /// Closes the connection and runs the disconnect task of the request in flight.
  void Close() {
    const std::shared_ptr<Connection> self = shared_from_this();
    CloseSocket();
    server_.connections_.erase(id_);
    if (const auto exchange = std::exchange(exchange_, nullptr)) {
      exchange->send = nullptr;
      exchange->disconnected = true;
      if (const auto on_disconnect = std::exchange(exchange->on_disconnect, nullptr)) {
        on_disconnect();
      }
    }
  }

  /// Closes the connection unless it has a request in flight. Reads from the socket first, because
  /// a request may already be in the receive buffer of the kernel.
  void CloseIfIdle() {
    const std::shared_ptr<Connection> self = shared_from_this();
    if (!IsIdle()) {
      return;
    }
    OnReadable();
    if (descriptor_ >= 0 && IsIdle()) {
      Close();
    }
  }

  /// Enforces the timeout that applies to the current state of the connection.
  void CheckTimeouts(TimePoint now) {
    const HttpServerLimits& limits = server_.limits_;
    if (lingering_since_) {
      if (now - *lingering_since_ >= kLingerTime) {
        Close();
      }
    } else if (!output_.empty()) {
      if (now - last_progress_ >= limits.transfer_timeout) {
        Close();
      }
    } else if (exchange_) {
      last_progress_ = now;
    } else if (reader_.started()) {
      if (now - request_started_at_ >= limits.transfer_timeout) {
        Reject(408);
      }
    } else if (now - last_progress_ >= limits.idle_timeout) {
      Close();
    }
  }

 private:
  bool IsIdle() const {
    return !exchange_ && output_.empty() && input_.empty() && !reader_.started();
  }

  void CloseSocket() {
    if (descriptor_ < 0) {
      return;
    }
    server_.loop_.Unwatch(watch_);
    close(std::exchange(descriptor_, -1));
    server_.in_flight_ -= unsent_responses_ + (exchange_ ? 1 : 0);
    unsent_responses_ = 0;
  }

  void OnEvents(uint32_t events) {
    const std::shared_ptr<Connection> self = shared_from_this();
    const bool reading = (events_ & EPOLLIN) != 0;
    if ((events & EPOLLERR) != 0 || (!reading && (events & (EPOLLRDHUP | EPOLLHUP)) != 0)) {
      Close();
      return;
    }
    if ((events & EPOLLOUT) != 0) {
      ProcessRequests();  // a blocked response may have delayed the next request
    }
    if (descriptor_ >= 0 && (events & (EPOLLIN | EPOLLRDHUP | EPOLLHUP)) != 0) {
      OnReadable();
    }
  }

  void OnReadable() {
    const SocketStatus status = ReadAvailable(descriptor_, input_);
    if (HasEnded(status)) {
      Close();
      return;
    }
    if (lingering_since_) {
      input_.clear();
      return;
    }
    ProcessRequests();
  }

  /// Delivers complete requests to the handler and writes queued responses.
  void ProcessRequests() {
    if (processing_) {
      return;  // called from a handler that responded synchronously; the loop below continues
    }
    processing_ = true;
    bool more = true;
    while (more) {
      more = ReadRequest();
      if (descriptor_ >= 0 && !more) {
        more = FlushResponses();
      }
    }
    processing_ = false;
    UpdateWatch();
  }

  /// Returns true when a request was delivered, so that another one may follow.
  bool ReadRequest() {
    if (descriptor_ < 0 || exchange_ || close_after_response_ ||
        output_.size() > kMaxBufferedOutputBytes) {
      return false;
    }
    const bool was_started = reader_.started();
    const ReadStatus status = reader_.Feed(input_);
    if (!was_started && reader_.started()) {
      request_started_at_ = server_.loop_.now();
    }
    if (reader_.TakeExpectContinue()) {
      output_.Append("HTTP/1.1 100 Continue\r\n\r\n");
    }
    if (status == ReadStatus::kError) {
      request_is_head_ = false;
      QueueResponse(ErrorResponse(reader_.error_status()), false);
      return false;
    }
    if (status == ReadStatus::kNeedMore) {
      return false;
    }
    Deliver(reader_.Take());
    return true;
  }

  void Deliver(HttpRequest request) {
    request.peer_ip = peer_ip_;
    request_is_head_ = request.method == "HEAD";
    exchange_ = std::make_shared<ResponseSink::Exchange>();
    exchange_->send = [weak = weak_from_this()](HttpResponse response) {
      if (const auto connection = weak.lock()) {
        connection->SendResponse(std::move(response));
      }
    };
    ++server_.in_flight_;
    server_.handler_(std::move(request), ResponseSink(exchange_));
  }

  void SendResponse(HttpResponse response) {
    if (!exchange_ || descriptor_ < 0) {
      return;
    }
    exchange_.reset();
    ++unsent_responses_;
    QueueResponse(std::move(response),
                  reader_.keep_alive() && !server_.stopping_ && !server_.keep_alive_disabled_);
    ProcessRequests();
  }

  void QueueResponse(HttpResponse response, bool keep_alive) {
    if (output_.empty()) {
      last_progress_ = server_.loop_.now();
    }
    output_.Append(SerializeResponseHead(response, request_is_head_, keep_alive));
    if (ResponseHasBody(response.status, request_is_head_)) {
      output_.Append(std::move(response.body));
    }
    close_after_response_ = !keep_alive;
  }

  void Reject(int status) {
    request_is_head_ = false;
    QueueResponse(ErrorResponse(status), false);
    ProcessRequests();
  }

  /// Returns true when the output was drained and pipelined input can be processed again.
  bool FlushResponses() {
    if (output_.empty()) {
      return false;
    }
    const size_t before = output_.size();
    const SocketStatus status = output_.Flush(descriptor_);
    if (status == SocketStatus::kClosed) {
      Close();
      return false;
    }
    if (output_.size() != before) {
      last_progress_ = server_.loop_.now();
    }
    if (status == SocketStatus::kBlocked) {
      return false;
    }
    server_.in_flight_ -= std::exchange(unsent_responses_, 0);
    if (close_after_response_) {
      StartLingeringClose();
      return false;
    }
    return !exchange_ && !input_.empty() && before > kMaxBufferedOutputBytes;
  }

  void StartLingeringClose() {
    shutdown(descriptor_, SHUT_WR);
    lingering_since_ = server_.loop_.now();
    input_.clear();
  }

  void UpdateWatch() {
    if (descriptor_ < 0) {
      return;
    }
    uint32_t wanted = EPOLLRDHUP;
    if (lingering_since_ || input_.size() < kMaxBufferedInputBytes) {
      wanted |= EPOLLIN;
    }
    if (!output_.empty()) {
      wanted |= EPOLLOUT;
    }
    if (wanted != events_) {
      events_ = wanted;
      server_.loop_.ModifyWatch(watch_, events_);
    }
  }

  HttpServer& server_;
  const uint64_t id_;
  int descriptor_;  // -1 once closed
  const std::string peer_ip_;
  WatchId watch_;
  uint32_t events_ = EPOLLIN | EPOLLRDHUP;

  RequestReader reader_;
  std::string input_;
  OutputQueue output_;
  std::shared_ptr<ResponseSink::Exchange> exchange_;  // set while a request awaits its response
  size_t unsent_responses_ = 0;                       // responses with bytes in output_
  bool request_is_head_ = false;
  bool close_after_response_ = false;  // no request is read after the response in output_
  bool processing_ = false;
  std::optional<TimePoint> lingering_since_;
  TimePoint last_progress_;  // last successful write, or last check with a request in flight
  TimePoint request_started_at_;
};

HttpServer::HttpServer(EventLoop& loop, const Address& address, HttpServerLimits limits,
                       Handler handler)
    : loop_(loop),
      limits_(limits),
      handler_(std::move(handler)),
      listener_(loop, address,
                [this](int descriptor, const Address& peer) { Accept(descriptor, peer); }) {
  ScheduleTimeoutCheck();
}

HttpServer::~HttpServer() {
  loop_.Cancel(timeout_check_timer_);
  while (!connections_.empty()) {
    connections_.begin()->second->Close();
  }
}

void HttpServer::Accept(int descriptor, const Address& peer) {
  if (connections_.size() >= limits_.connections) {
    close(descriptor);
    return;
  }
  const uint64_t id = next_connection_id_++;
  connections_.emplace(id, std::make_shared<Connection>(*this, id, descriptor, peer.ip));
}

void HttpServer::StopAccepting() {
  stopping_ = true;
  listener_.Close();
  // Iterates over a copy, because closing a connection removes it from connections_.
  const auto open_connections = connections_;
  for (const auto& [id, connection] : open_connections) {
    connection->CloseIfIdle();
  }
}

void HttpServer::ScheduleTimeoutCheck() {
  const Duration interval =
      std::min({limits_.idle_timeout / 2, limits_.transfer_timeout / 2, kLingerTime});
  timeout_check_timer_ = loop_.RunAfter(std::max<Duration>(interval, std::chrono::milliseconds(1)),
                                        [this] { CheckTimeouts(); });
}

void HttpServer::CheckTimeouts() {
  const TimePoint now = loop_.now();
  const auto open_connections = connections_;
  for (const auto& [id, connection] : open_connections) {
    connection->CheckTimeouts(now);
  }
  ScheduleTimeoutCheck();
}

}  // namespace endivecleat
