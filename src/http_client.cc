// Each Connection owns a socket and carries at most one call. A call that finds no idle connection
// opens a new one or waits. A call is moved to another connection only if no byte of it was
// written.
#include "http_client.h"

#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdlib>
#include <optional>
#include <utility>

#include "body_sender.h"

namespace endivecleat {
namespace {

// Responses to earlier requests that may precede the expected one. A server that sends more does
// not answer at all.
constexpr size_t kMaxDiscardedResponses = 16;
// An idle connection is no longer reused this long before the server's keep-alive timeout expires:
// a request sent while the server closes the connection is lost.
constexpr Duration kKeepAliveMargin = std::chrono::milliseconds(500);

// After its response, a target may read the rest of a body for this long.
constexpr Duration kMaxRestOfBodyTime = std::chrono::seconds(30);

/// How long the connection may be reused once idle, from the Keep-Alive field of the response.
Duration ReuseTime(const HeaderList& headers) {
  constexpr std::string_view kTimeout = "timeout=";
  const std::string value = headers.ValueOr("keep-alive", "");
  const size_t position = value.find(kTimeout);
  if (position == std::string::npos) {
    return std::chrono::hours(1);  // unknown: the server closes the connection at any time
  }
  const int64_t seconds = std::strtol(value.c_str() + position + kTimeout.size(), nullptr, 10);
  return std::max(Duration(std::chrono::seconds(seconds)) - kKeepAliveMargin, Duration(0));
}

}  // namespace

struct HttpClient::Call {
  HttpRequest request;
  Callback callback;
  TimerId timer;
  Connection* connection = nullptr;  // null while the call waits for a connection
};

class HttpClient::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(HttpClient& client, uint64_t id, int descriptor)
      : client_(client), id_(id), descriptor_(descriptor), reader_(client.options_.limits) {
    watch_ =
        client_.loop_.Watch(descriptor_, events_, [this](uint32_t events) { OnEvents(events); });
  }

  ~Connection() { CloseSocket(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  /// Whether this idle connection must not be reused: its keep-alive time is over, the server has
  /// closed it, or it holds unsolicited bytes.
  bool IsStale() const {
    if (client_.loop_.now() >= reusable_until_) {
      return true;
    }
    char byte = 0;
    const ssize_t count = recv(descriptor_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
  }

  /// Assigns a call to this connection and starts to send it. Returns false when the connection
  /// failed before any byte was written.
  bool Assign(CallId id, Call& call) {
    call_ = id;
    call.connection = this;
    output_.Clear();
    method_ = call.request.method;
    const std::string& echoed = client_.options_.echoed_header;
    expected_echo_ = echoed.empty() ? "" : call.request.headers.ValueOr(echoed, "");
    desynchronized_ = false;
    discarded_responses_ = 0;
    reader_.ResetFor(method_);
    output_.Append(SerializeRequestHead(call.request, client_.target_.text()));
    has_body_ = !call.request.body.empty();
    body_.Set(call.request.body_stream);
    streamed_ = body_.active();
    sending_rest_ = false;
    output_.Append(std::move(call.request.body));
    if (connecting_) {
      return true;
    }
    const SocketStatus status = Flush();
    UpdateWatch();
    return !HasEnded(status) || output_.written() > 0;
  }

  /// Reverts an Assign() that returned false, so that the call can use another connection.
  void Unassign(Call& call) {
    call.connection = nullptr;
    call_.reset();
    body_.Forget();
    if (has_body_) {
      call.request.body = output_.TakeLast();
    }
  }

  /// Closes the connection and removes it from the pool.
  void Remove() {
    const std::shared_ptr<Connection> self = shared_from_this();
    CloseSocket();
    body_.Cancel();
    std::erase(client_.idle_, id_);
    client_.connections_.erase(id_);
  }

  bool HasWritten() const { return output_.written() > 0; }
  uint64_t id() const { return id_; }

 private:
  void CloseSocket() {
    if (descriptor_ >= 0) {
      client_.loop_.Unwatch(watch_);
      close(std::exchange(descriptor_, -1));
    }
  }

  void OnEvents(uint32_t events) {
    const std::shared_ptr<Connection> self = shared_from_this();
    if (connecting_) {
      OnConnected();
      return;
    }
    if (!call_) {
      if (sending_rest_ && (events & ~static_cast<uint32_t>(EPOLLOUT)) == 0) {
        ContinueBody();
        return;
      }
      Remove();  // any other event on an idle connection is a close or unsolicited data
      return;
    }
    if ((events & EPOLLOUT) != 0 && HasEnded(Flush()) && (events & (EPOLLIN | EPOLLRDHUP)) == 0) {
      Fail();
      return;
    }
    if ((events & (EPOLLIN | EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0) {
      OnReadable();
    } else {
      UpdateWatch();
    }
  }

  void OnConnected() {
    if (ConnectError(descriptor_) != 0) {
      Fail();
      return;
    }
    connecting_ = false;
    if (HasEnded(Flush())) {
      Fail();
      return;
    }
    UpdateWatch();
  }

  void OnReadable() {
    const SocketStatus status = ReadAvailable(descriptor_, input_);
    if (std::optional<HttpResponse> response = TakeMatchingResponse(status)) {
      Complete(status, std::move(*response));
    } else if (malformed_ || HasEnded(status)) {
      Fail();
    } else {
      UpdateWatch();
    }
  }

  /// Which call a response belongs to.
  enum class Match { kCurrent, kOther, kUnknown };

  /// Returns the response to the current call once it is complete. Discards responses to others.
  std::optional<HttpResponse> TakeMatchingResponse(SocketStatus status) {
    ReadStatus read = reader_.Feed(input_);
    while (read == ReadStatus::kComplete) {
      HttpResponse response = reader_.Take();
      const Match match = MatchCall(response);
      if (match == Match::kCurrent) {
        return response;
      }
      desynchronized_ = true;
      if (match == Match::kUnknown || ++discarded_responses_ > kMaxDiscardedResponses) {
        malformed_ = true;
        return std::nullopt;
      }
      reader_.ResetFor(method_);
      read = reader_.Feed(input_);
    }
    malformed_ = read == ReadStatus::kError;
    const bool delimited_by_close = read == ReadStatus::kNeedMore &&
                                    status == SocketStatus::kClosed &&
                                    reader_.FeedEof() == ReadStatus::kComplete;
    if (!delimited_by_close) {
      return std::nullopt;
    }
    HttpResponse response = reader_.Take();
    return MatchCall(response) == Match::kCurrent ? std::optional(std::move(response))
                                                  : std::nullopt;
  }

  /// Only a response with a status below 300 must carry the echoed header: a server may reject a
  /// request before it has read its header. On a connection that has served another call, a
  /// rejection without the header may be a repetition of an earlier one, and the current request
  /// may run: it proves nothing.
  Match MatchCall(const HttpResponse& response) const {
    if (expected_echo_.empty()) {
      return Match::kCurrent;
    }
    if (const auto echo = response.headers.Find(client_.options_.echoed_header)) {
      return *echo == expected_echo_ ? Match::kCurrent : Match::kOther;
    }
    if (response.status < 300) {
      return Match::kOther;
    }
    return has_served_ ? Match::kUnknown : Match::kCurrent;
  }

  void Complete(SocketStatus status, HttpResponse response) {
    // A target that responds early still gets the rest of a streamed body.
    sending_rest_ = streamed_ && (body_.active() || !output_.empty());
    const bool reusable = !HasEnded(status) && reader_.keep_alive() &&
                          (output_.empty() || sending_rest_) && input_.empty() && !desynchronized_;
    reusable_until_ = client_.loop_.now() + ReuseTime(response.headers);
    HttpOutcome outcome{HttpOutcome::kAnswered, std::move(response)};
    has_served_ = true;
    ++served_calls_;
    const CallId id = *std::exchange(call_, std::nullopt);
    if (reusable && sending_rest_) {
      UpdateWatch();
      LimitRestOfBody();
    } else if (reusable) {
      UpdateWatch();
      client_.idle_.push_back(id_);
    } else {
      Remove();
    }
    client_.Finish(id, std::move(outcome));
  }

  /// Finishes the current call after the connection failed.
  void Fail() {
    const CallId id = *std::exchange(call_, std::nullopt);
    const bool written = HasWritten();
    Remove();
    HttpOutcome outcome;
    outcome.kind = written ? HttpOutcome::kBroken : HttpOutcome::kNotSent;
    client_.Finish(id, std::move(outcome));
  }

  /// Writes what the socket accepts, and fills the output with the streamed body meanwhile.
  SocketStatus Flush() {
    SocketStatus status = output_.Flush(descriptor_);
    while (status == SocketStatus::kOpen && output_.written() > 0 && body_.active()) {
      if (!body_.opened()) {
        body_.Open([weak = weak_from_this()] {
          if (const auto connection = weak.lock()) {
            connection->OnBodyReadable();
          }
        });
      }
      if (body_.cancelled()) {
        OnBodyReadable();  // it was cancelled before it was opened
      }
      if (!body_.Fill(output_)) {
        break;
      }
      status = output_.Flush(descriptor_);
    }
    return status;
  }

  /// The stream has more of the body, or has ended or was cancelled. Posted, since the stream may
  /// be in use by its writer.
  void OnBodyReadable() {
    if (std::exchange(body_event_posted_, true)) {
      return;
    }
    client_.loop_.Post([weak = weak_from_this()] {
      const auto connection = weak.lock();
      if (!connection || connection->descriptor_ < 0) {
        return;
      }
      connection->body_event_posted_ = false;
      if (connection->body_.cancelled() && connection->call_) {
        connection->Fail();
      } else if (connection->body_.cancelled()) {
        connection->Remove();
      } else if (connection->call_) {
        if (HasEnded(connection->Flush())) {
          connection->OnReadable();  // the target may have responded before it closed
        } else {
          connection->UpdateWatch();
        }
      } else if (connection->sending_rest_) {
        connection->ContinueBody();
      }
    });
  }

  /// Sends more of the body after the response has arrived.
  void ContinueBody() {
    if (HasEnded(Flush())) {
      Remove();
      return;
    }
    UpdateWatch();
    if (!body_.active() && output_.empty()) {
      sending_rest_ = false;
      client_.idle_.push_back(id_);
      client_.DispatchWaitingCalls();
    }
  }

  /// A target that has responded must read the rest of the body within a time limit.
  void LimitRestOfBody() {
    client_.loop_.RunAfter(kMaxRestOfBodyTime, [weak = weak_from_this(), served = served_calls_] {
      const auto connection = weak.lock();
      if (connection && connection->descriptor_ >= 0 && connection->served_calls_ == served &&
          connection->sending_rest_) {
        connection->Remove();
      }
    });
  }

  void UpdateWatch() {
    const uint32_t wanted =
        EPOLLIN | EPOLLRDHUP | (output_.empty() ? 0U : static_cast<uint32_t>(EPOLLOUT));
    if (wanted != events_) {
      events_ = wanted;
      client_.loop_.ModifyWatch(watch_, events_);
    }
  }

  HttpClient& client_;
  const uint64_t id_;
  int descriptor_;  // -1 once closed
  WatchId watch_;
  uint32_t events_ = EPOLLOUT;  // EPOLLOUT alone until connected
  bool connecting_ = true;
  ResponseReader reader_;
  std::string input_;
  OutputQueue output_;  // bytes of the current call only
  bool has_body_ = false;
  BodySender body_;            // of the current call, or the rest of the body of the last one
  bool streamed_ = false;      // the body of the current or last call is streamed
  bool sending_rest_ = false;  // the response has arrived, and the rest of the body is being sent
  bool body_event_posted_ = false;
  uint64_t served_calls_ = 0;
  std::optional<CallId> call_;
  std::string method_;              // of the current call
  std::string expected_echo_;       // expected value of the echoed header; empty: not checked
  bool has_served_ = false;         // a call has been answered on this connection
  bool desynchronized_ = false;     // a response to another call has arrived
  size_t discarded_responses_ = 0;  // responses to other calls during the current one
  bool malformed_ = false;          // the received bytes are not a valid response
  TimePoint reusable_until_ = TimePoint::max();
};

HttpClient::HttpClient(EventLoop& loop, Address target, HttpClientOptions options)
    : loop_(loop), target_(std::move(target)), options_(std::move(options)) {
  options_.connections = std::max<size_t>(options_.connections, 1);
}

HttpClient::~HttpClient() {
  for (const auto& [id, call] : calls_) {
    loop_.Cancel(call->timer);
  }
}

CallId HttpClient::Send(HttpRequest request, Duration timeout, Callback callback) {
  const CallId id(next_id_++);
  auto call = std::make_shared<Call>();
  call->request = std::move(request);
  call->callback = std::move(callback);
  call->timer = loop_.RunAfter(timeout, [this, id] { OnTimeout(id); });
  const bool serializable = IsSerializable(call->request);
  calls_.emplace(id, std::move(call));
  if (!serializable) {
    FinishLater(id, HttpOutcome::kNotSent);
    return id;
  }
  waiting_.push_back(id);
  DispatchWaitingCalls();
  return id;
}

void HttpClient::Cancel(CallId id) {
  const std::shared_ptr<Call> call = RemoveCall(id);
  if (call && call->connection != nullptr) {
    call->connection->Remove();
    DispatchWaitingCalls();
  }
}

void HttpClient::OnTimeout(CallId id) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) {
    return;
  }
  Connection* connection = found->second->connection;
  HttpOutcome outcome;
  outcome.kind = HttpOutcome::kNotSent;
  if (connection != nullptr) {
    if (connection->HasWritten()) {
      outcome.kind = HttpOutcome::kTimedOut;
    }
    connection->Remove();
  }
  Finish(id, std::move(outcome));
}

/// Assigns waiting calls to idle connections, and to new ones up to the limit.
void HttpClient::DispatchWaitingCalls() {
  while (!waiting_.empty()) {
    const CallId id = waiting_.front();
    const std::shared_ptr<Call> call = calls_.at(id);
    if (Connection* idle = TakeIdleConnection(); idle != nullptr) {
      if (idle->Assign(id, *call)) {
        waiting_.pop_front();
      } else {
        idle->Unassign(*call);
        idle->Remove();
      }
      continue;
    }
    if (connections_.size() >= options_.connections) {
      return;
    }
    waiting_.pop_front();
    const std::optional<int> descriptor = ConnectTcp(target_);
    if (!descriptor) {
      FinishLater(id, HttpOutcome::kNotSent);
      continue;
    }
    const uint64_t connection_id = next_id_++;
    auto connection = std::make_shared<Connection>(*this, connection_id, *descriptor);
    connection->Assign(id, *call);
    connections_.emplace(connection_id, std::move(connection));
  }
}

HttpClient::Connection* HttpClient::TakeIdleConnection() {
  while (!idle_.empty()) {
    Connection* connection = connections_.at(idle_.back()).get();
    idle_.pop_back();
    if (!connection->IsStale()) {
      return connection;
    }
    connection->Remove();
  }
  return nullptr;
}

std::shared_ptr<HttpClient::Call> HttpClient::RemoveCall(CallId id) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) {
    return nullptr;
  }
  std::shared_ptr<Call> call = std::move(found->second);
  calls_.erase(found);
  if (call->connection == nullptr) {
    std::erase(waiting_, id);
  }
  loop_.Cancel(call->timer);
  return call;
}

void HttpClient::Finish(CallId id, HttpOutcome outcome) {
  const std::shared_ptr<Call> call = RemoveCall(id);
  DispatchWaitingCalls();
  if (call) {
    call->callback(std::move(outcome));  // last, because it may destroy this client
  }
}

void HttpClient::FinishLater(CallId id, HttpOutcome::Kind kind) {
  loop_.Post([this, id, kind, alive = std::weak_ptr<bool>(alive_)] {
    if (!alive.expired()) {
      Finish(id, HttpOutcome{kind, {}});
    }
  });
}

}  // namespace endivecleat
