// The requests of a connection wait in pending_ until their responses can be written in order.
#include "http_connection.h"

#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <utility>

#include "log.h"

namespace endivecleat {
namespace {

// Reading pauses while this many received bytes wait for earlier requests to finish.
constexpr size_t kMaxBufferedInputBytes = 256U << 10U;
// The same for a body whose stream is full.
constexpr size_t kMaxBufferedBodyInputBytes = 16U << 10U;
// The next pipelined request is not processed while more bytes of responses are unsent.
constexpr size_t kMaxBufferedOutputBytes = 256U << 10U;
// Duration of the lingering close: input is discarded for this long after the connection was shut
// down for writing. Closing at once could send a reset, which can make the client lose the
// response.
constexpr Duration kLingerTime = std::chrono::seconds(1);
// Bytes that wait to be parsed and arrived within this time count as arrived together, which bounds
// the number of recorded arrival times.
constexpr Duration kArrivalInterval = std::chrono::milliseconds(10);

// Reads of 64 KiB per event: beside connections that send without end, an ordinary request is read
// after at most one such read of each.
constexpr int kReadsPerEvent = 1;
// An input buffer that is mostly free is released if it is larger than this.
constexpr size_t kKeptInputBytes = 4U << 10U;
// A request that runs is held by the server, and once more by what forwards it.
constexpr size_t kCopiesOfRunningRequest = 2;
constexpr size_t kFieldBytes = 128;  // estimated memory of a header field

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
    case 503:
      response.body = "too much is being received; the request has not run\n";
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

HttpServer::Connection::Connection(HttpServer& server, uint64_t id, IngressBudget::HolderId holder,
                                   int descriptor, std::string peer_ip)
    : server_(server),
      id_(id),
      holder_(holder),
      descriptor_(descriptor),
      peer_ip_(std::move(peer_ip)),
      reader_(server.limits_.message) {
  if (server_.stream_policy_) {
    reader_.SetStreamPolicy(server_.stream_policy_);
  }
  last_progress_ = server_.loop_.now();
  watch_ = server_.loop_.Watch(descriptor_, events_, [this](uint32_t events) { OnEvents(events); });
}

HttpServer::Connection::~Connection() { CloseSocket(); }

void HttpServer::Connection::Close() {
  const std::shared_ptr<Connection> self = shared_from_this();
  CloseSocket();
  server_.connections_.erase(id_);
  CancelPending();
  if (const auto body = ReleaseBody()) {
    body->Cancel();
  }
}

void HttpServer::Connection::CloseIfIdle() {
  const std::shared_ptr<Connection> self = shared_from_this();
  if (!IsIdle()) {
    return;
  }
  OnReadable();
  if (descriptor_ >= 0 && IsIdle()) {
    Close();
  }
}

void HttpServer::Connection::CheckTimeouts(TimePoint now) {
  const HttpServerLimits& limits = server_.limits_;
  const bool waits_for_client = MayRead() && !ReadingPaused() && !continue_held_;
  if (!waits_for_client) {
    request_started_at_ = now;
    rate_from_.reset();
  }
  if (lingering_since_) {
    if (now - *lingering_since_ >= kLingerTime) {
      Close();
    }
  } else if (WaitsForBody() && now - body_progress_ >= limits.body_timeout) {
    ++server_.uploads_.stalled;
    Log(LogLevel::kWarning, "upload_stalled",
        {{"client", peer_ip_}, {"answered", pending_.empty()}, {"opened", body_->opened()}});
    Close();
  } else if (!output_.empty()) {
    if (now - last_progress_ >= limits.transfer_timeout) {
      server_.ingress_->CountRefusal(IngressLimit::kUnreadResponse);
      LogRefusal(IngressLimit::kUnreadResponse);
      Close();
    }
  } else if (body_) {
    last_progress_ = now;
    if (WaitsForBody()) {
      CheckRequestTimeouts(now);
    } else {
      rate_from_.reset();
    }
  } else if (reader_.started()) {
    last_progress_ = now;
    CheckRequestTimeouts(now);
  } else if (!pending_.empty()) {
    last_progress_ = now;
  } else if (now - last_progress_ >= limits.idle_timeout) {
    Close();
  }
}

bool HttpServer::Connection::IsIdle() const {
  return pending_.empty() && output_.empty() && input_.empty() && !reader_.started();
}

/// Whether the next request may be read now. A request counts as read by the server once it is in
/// pending_: from then on it is answered, unless the client disconnects.
bool HttpServer::Connection::MayRead() const {
  if (descriptor_ < 0 || lingering_since_) {
    return false;
  }
  if (body_) {
    return body_->has_room();
  }
  if (close_after_response_ || input_refused_ || output_.size() > kMaxBufferedOutputBytes) {
    return false;
  }
  if (pending_.empty()) {
    return true;
  }
  const HttpServerLimits& limits = server_.limits_;
  return pending_.back().concurrent && pending_.back().keep_alive && !server_.draining() &&
         pending_.size() < limits.concurrent_requests && pending_bytes_ < limits.concurrent_bytes;
}

void HttpServer::Connection::CloseSocket() {
  if (descriptor_ < 0) {
    return;
  }
  server_.loop_.Unwatch(watch_);
  close(std::exchange(descriptor_, -1));
  server_.ingress_->Remove(holder_);
  server_.in_flight_ -= std::exchange(unsent_responses_, 0) + std::exchange(unanswered_, 0);
}

/// Drops the pending requests and runs their disconnect tasks.
void HttpServer::Connection::CancelPending() {
  server_.in_flight_ -= std::exchange(unanswered_, 0);
  pending_bytes_ = 0;
  pending_charge_ = 0;
  const std::deque<Pending> cancelled = std::exchange(pending_, {});
  for (const Pending& pending : cancelled) {
    if (pending.exchange) {
      Disconnect(*pending.exchange);
    }
  }
}

/// Marks the client as disconnected from the request and runs its task.
void HttpServer::Connection::Disconnect(ResponseSink::Exchange& exchange) {
  exchange.send = nullptr;
  exchange.disconnected = true;
  if (const auto on_disconnect = std::exchange(exchange.on_disconnect, nullptr)) {
    on_disconnect();
  }
}

void HttpServer::Connection::OnEvents(uint32_t events) {
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

void HttpServer::Connection::OnReadable() {
  const size_t before = input_.size();
  const SocketStatus status = ReadAvailable(descriptor_, input_, kReadsPerEvent);
  if (HasEnded(status)) {
    Close();
    return;
  }
  if (lingering_since_) {
    std::string().swap(input_);
    return;
  }
  RecordArrival(input_.size() - before);
  ProcessRequests();
}

void HttpServer::Connection::RecordArrival(size_t bytes) {
  const TimePoint now = server_.loop_.now();
  received_bytes_ += bytes;
  if (!arrivals_.empty() && now - arrivals_.back().time < kArrivalInterval) {
    arrivals_.back().end = received_bytes_;
  } else if (bytes > 0) {
    arrivals_.push_back({received_bytes_, now});
  }
}

/// Returns when the last byte of the input parsed so far arrived.
TimePoint HttpServer::Connection::TakeArrivalTime() {
  const uint64_t parsed = received_bytes_ - input_.size();
  TimePoint time = server_.loop_.now();
  while (!arrivals_.empty()) {
    time = arrivals_.front().time;
    if (arrivals_.front().end > parsed) {
      break;
    }
    const bool last_byte = arrivals_.front().end == parsed;
    arrivals_.pop_front();
    if (last_byte) {
      break;
    }
  }
  return time;
}

/// Delivers complete requests to the handler and writes queued responses.
void HttpServer::Connection::ProcessRequests() {
  if (processing_) {
    return;  // called from a handler that responded synchronously; the loop below continues
  }
  processing_ = true;
  bool more = true;
  while (more) {
    QueueReadyResponses();
    more = DeliverWaiting() || ReadRequest();
    if (descriptor_ >= 0 && !more) {
      more = FlushResponses();
    }
  }
  processing_ = false;
  if (input_.capacity() > kKeptInputBytes && input_.size() <= input_.capacity() / 2) {
    input_.shrink_to_fit();
  }
  UpdateWatch();
  UpdateBudget();
}

/// Delivers the first request if it had to wait for those before it. Returns true if it did.
bool HttpServer::Connection::DeliverWaiting() {
  if (descriptor_ < 0 || pending_.empty() || !pending_.front().undelivered ||
      output_.size() > kMaxBufferedOutputBytes) {
    return false;
  }
  HttpRequest request = std::move(*pending_.front().undelivered);
  pending_.front().undelivered.reset();
  Deliver(pending_.front(), std::move(request));
  return true;
}

/// Returns true when a request or a rejection was added, so that another one may follow.
bool HttpServer::Connection::ReadRequest() {
  if (!MayRead() || ReadingPaused()) {
    return false;
  }
  const bool was_started = reader_.started();
  if (!was_started) {
    reader_.SetLimits(server_.limits_.message);
    rate_from_.reset();
    request_begin_ = received_bytes_ - input_.size();
  }
  const ReadStatus status = reader_.Feed(input_);
  const TimePoint arrived = TakeArrivalTime();
  if (!was_started && reader_.started()) {
    request_started_at_ = server_.loop_.now();
  }
  SendContinue();
  if (body_) {
    return OnBodyRead(status);
  }
  if (reader_.streamed() && status != ReadStatus::kError) {
    AddStreamed(arrived);
    return body_ != nullptr && OnBodyRead(status);
  }
  if (status == ReadStatus::kError) {
    CountRejection();
    ReleaseInput();
    AddRejection(reader_.error_status());
    return true;
  }
  if (status == ReadStatus::kNeedMore) {
    return false;
  }
  continue_held_ = false;  // the client did not wait for it
  HttpRequest request = reader_.Take();
  request.received_at = arrived;
  AddRequest(std::move(request), received_bytes_ - input_.size() - request_begin_,
             reader_.keep_alive());
  return true;
}

/// Ends a request whose body is malformed or too large. It may be running, but callers do not
/// repeat requests that are rejected for their body.
void HttpServer::Connection::RejectStreamed(int status) {
  input_refused_ = true;
  ReleaseInput();
  ReleaseBody()->Cancel();
  if (pending_.empty() || !pending_.back().exchange || pending_.back().response) {
    close_after_response_ = true;
    return;
  }
  Pending& pending = pending_.back();
  const auto exchange = std::exchange(pending.exchange, nullptr);
  pending.undelivered.reset();
  pending.response = ErrorResponse(status);
  pending.keep_alive = false;
  --unanswered_;
  --server_.in_flight_;
  Disconnect(*exchange);
}

/// An interim response follows the responses to the requests before it.
void HttpServer::Connection::SendContinue() {
  continue_held_ = reader_.TakeExpectContinue() || continue_held_;
  // A streamed request precedes its body in pending_.
  if (continue_held_ && pending_.size() <= (body_ ? 1 : 0)) {
    continue_held_ = false;
    body_progress_ = server_.loop_.now();
    output_.Append("HTTP/1.1 100 Continue\r\n\r\n");
  }
}

void HttpServer::Connection::AddRequest(HttpRequest request, size_t bytes, bool keep_alive) {
  request.peer_ip = peer_ip_;
  Pending pending;
  pending.concurrent = !request.body_stream && server_.may_run_concurrently_ &&
                       server_.may_run_concurrently_(request);
  pending.is_head = request.method == "HEAD";
  pending.keep_alive = keep_alive;
  pending.bytes = bytes;
  pending.exchange = std::make_shared<ResponseSink::Exchange>();
  pending.exchange->send = [weak = weak_from_this(),
                            exchange = std::weak_ptr(pending.exchange)](HttpResponse response) {
    if (const auto connection = weak.lock()) {
      connection->SendResponse(exchange, std::move(response));
    }
  };
  pending.charge = kCopiesOfRunningRequest * bytes + kFieldBytes * request.headers.size();
  pending_bytes_ += bytes;
  pending_charge_ += pending.charge;
  ++unanswered_;
  ++server_.in_flight_;
  const bool first = pending_.empty();
  const bool deliver = first || pending.concurrent;
  if (!first) {
    ++(deliver ? server_.pipelining_.concurrent : server_.pipelining_.waited);
  }
  pending_.push_back(std::move(pending));
  if (deliver) {
    Deliver(pending_.back(), std::move(request));
  } else {
    pending_.back().undelivered = std::move(request);
  }
}

void HttpServer::Connection::Deliver(Pending& pending, HttpRequest request) {
  // The sink is copied first: the handler may respond, which removes the entry.
  const ResponseSink sink(pending.exchange);
  server_.handler_(std::move(request), sink);
}

void HttpServer::Connection::SendResponse(const std::weak_ptr<ResponseSink::Exchange>& exchange,
                                          HttpResponse response) {
  const auto responded = exchange.lock();
  const auto found = std::find_if(pending_.begin(), pending_.end(), [&](const Pending& pending) {
    return pending.exchange == responded;
  });
  if (!responded || found == pending_.end() || descriptor_ < 0) {
    return;
  }
  found->bytes += response.body.size();
  found->charge += response.body.size();
  pending_charge_ += response.body.size();
  pending_bytes_ += response.body.size();
  found->response = std::move(response);
  ProcessRequests();
}

/// Moves responses to output_ as far as all earlier ones are there. While the server drains, the
/// response to the last request that was read closes the connection.
void HttpServer::Connection::QueueReadyResponses() {
  while (descriptor_ >= 0 && !close_after_response_ && !pending_.empty() &&
         pending_.front().response) {
    Pending pending = std::move(pending_.front());
    pending_.pop_front();
    pending_bytes_ -= pending.bytes;
    pending_charge_ -= pending.charge;
    if (pending.exchange) {
      --unanswered_;
      ++unsent_responses_;
    }
    const bool last = pending_.empty();
    if (last && body_ && !body_outlives_response_) {
      body_outlives_response_ = true;
      ++server_.in_flight_;
    }
    const bool keep_alive = pending.keep_alive && !(last && server_.draining());
    QueueResponse(std::move(pending), keep_alive);
    if (!keep_alive) {
      CancelPending();
    }
  }
}

void HttpServer::Connection::QueueResponse(Pending pending, bool keep_alive) {
  if (output_.empty()) {
    last_progress_ = server_.loop_.now();
  }
  HttpResponse& response = *pending.response;
  output_.Append(SerializeResponseHead(response, pending.is_head, keep_alive));
  if (ResponseHasBody(response.status, pending.is_head)) {
    output_.Append(std::move(response.body));
  }
  close_after_response_ = !keep_alive;
}

/// Adds an error response behind the requests that were read; the connection closes after it.
void HttpServer::Connection::AddRejection(int status) {
  input_refused_ = true;
  Pending rejected;
  rejected.response = ErrorResponse(status);
  pending_.push_back(std::move(rejected));
}

/// Returns true when the output was drained and pipelined input can be processed again.
bool HttpServer::Connection::FlushResponses() {
  if (output_.empty()) {
    if (close_after_response_ && !body_ && pending_.empty() && !lingering_since_) {
      StartLingeringClose();  // the response was sent before the body had ended
    }
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
    written_bytes_ += before - output_.size();
  }
  if (status == SocketStatus::kBlocked) {
    return false;
  }
  server_.in_flight_ -= std::exchange(unsent_responses_, 0);
  if (close_after_response_ && !body_) {
    StartLingeringClose();
    return false;
  }
  return before > kMaxBufferedOutputBytes;
}

void HttpServer::Connection::StartLingeringClose() {
  shutdown(descriptor_, SHUT_WR);
  lingering_since_ = server_.loop_.now();
  ReleaseInput();
}

void HttpServer::Connection::UpdateWatch() {
  if (descriptor_ < 0) {
    return;
  }
  uint32_t wanted = EPOLLRDHUP;
  const size_t max_input = body_ ? kMaxBufferedBodyInputBytes : kMaxBufferedInputBytes;
  if (lingering_since_ || (!input_refused_ && input_.size() < max_input)) {
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

}  // namespace endivecleat
