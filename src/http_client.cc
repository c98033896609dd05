#include "http_client.h"

#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdlib>
#include <optional>
#include <utility>

namespace endivecleat {
namespace {

// A request that is sent as the target closes the idle connection is lost, so reuse ends earlier.
constexpr Duration kReuseMargin = std::chrono::milliseconds(500);

/// How long an idle connection may be reused, by the Keep-Alive field of the answer.
Duration ReuseTime(const HeaderList& headers) {
  constexpr std::string_view kTimeout = "timeout=";
  const std::string value = headers.ValueOr("keep-alive", "");
  const size_t place = value.find(kTimeout);
  if (place == std::string::npos) {
    return std::chrono::hours(
        1);  // the target says nothing; it closes the connection when it likes
  }
  const int64_t seconds = std::strtol(value.c_str() + place + kTimeout.size(), nullptr, 10);
  return std::max(Duration(std::chrono::seconds(seconds)) - kReuseMargin, Duration(0));
}

}  // namespace

struct HttpClient::Call {
  HttpRequest request;
  Callback callback;
  TimerId timer;
  Connection* connection = nullptr;  // null while waiting
};

class HttpClient::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(HttpClient& client, uint64_t id, int descriptor)
      : client_(client), id_(id), descriptor_(descriptor), reader_(client.options_.limits) {
    watch_ =
        client_.loop_.Watch(descriptor_, events_, [this](uint32_t events) { OnEvents(events); });
  }

  ~Connection() { Release(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  /// Whether the target has closed this idle connection, is about to, or sent what nobody asked
  /// for.
  bool IsStale() const {
    if (client_.loop_.now() >= reusable_until_) {
      return true;
    }
    char byte = 0;
    const ssize_t count = recv(descriptor_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
  }

  /// Binds a call to this connection. False when the connection failed before it took a byte.
  bool Assign(CallId id, Call& call) {
    call_ = id;
    call.connection = this;
    output_.Clear();
    method_ = call.request.method;
    const std::string& echoed = client_.options_.echoed_header;
    expected_echo_ = echoed.empty() ? "" : call.request.headers.ValueOr(echoed, "");
    out_of_step_ = false;
    reader_.Expect(method_);
    output_.Append(RequestHead(call.request, client_.target_.text()));
    has_body_ = !call.request.body.empty();
    output_.Append(std::move(call.request.body));
    if (connecting_) {
      return true;
    }
    const SocketStatus status = output_.Flush(descriptor_);
    UpdateWatch();
    return !HasEnded(status) || output_.written() > 0;
  }

  /// Undoes Assign() after it has failed, so that the call can go to another connection.
  void Unassign(Call& call) {
    call.connection = nullptr;
    call_.reset();
    if (has_body_) {
      call.request.body = output_.TakeLast();
    }
  }

  /// Closes the descriptor and leaves the pool.
  void Remove() {
    const std::shared_ptr<Connection> self = shared_from_this();
    Release();
    std::erase(client_.idle_, id_);
    client_.connections_.erase(id_);
  }

  bool HasWritten() const { return output_.written() > 0; }
  uint64_t id() const { return id_; }

 private:
  void Release() {
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
      Remove();  // an idle connection has nothing to say: it was closed or is out of step
      return;
    }
    if ((events & EPOLLOUT) != 0 && HasEnded(output_.Flush(descriptor_)) &&
        (events & (EPOLLIN | EPOLLRDHUP)) == 0) {
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
    if (HasEnded(output_.Flush(descriptor_))) {
      Fail();
      return;
    }
    UpdateWatch();
  }

  void OnReadable() {
    const SocketStatus status = ReadAvailable(descriptor_, input_);
    if (std::optional<HttpResponse> own = TakeOwnAnswer(status)) {
      Complete(status, std::move(*own));
    } else if (broken_ || HasEnded(status)) {
      Fail();
    } else {
      UpdateWatch();
    }
  }

  /// The answer to the current call, once it is complete. Answers to others are passed over.
  std::optional<HttpResponse> TakeOwnAnswer(SocketStatus status) {
    ReadStatus read = reader_.Feed(input_);
    while (read == ReadStatus::kComplete) {
      HttpResponse response = reader_.Take();
      if (BelongsToCall(response)) {
        return response;
      }
      out_of_step_ = true;
      reader_.Expect(method_);
      read = reader_.Feed(input_);
    }
    broken_ = read == ReadStatus::kBad;
    const bool ends_here = read == ReadStatus::kNeedMore && status == SocketStatus::kClosed &&
                           reader_.FeedEnd() == ReadStatus::kComplete;
    if (!ends_here) {
      return std::nullopt;
    }
    HttpResponse response = reader_.Take();
    return BelongsToCall(response) ? std::optional(std::move(response)) : std::nullopt;
  }

  /// A refusal may come before the target has read the header, so only a success has to name its
  /// request.
  bool BelongsToCall(const HttpResponse& response) const {
    if (expected_echo_.empty()) {
      return true;
    }
    const auto echo = response.headers.Find(client_.options_.echoed_header);
    return echo ? *echo == expected_echo_ : response.status >= 300;
  }

  void Complete(SocketStatus status, HttpResponse response) {
    const bool reusable = !HasEnded(status) && reader_.keep_alive() && output_.empty() &&
                          input_.empty() && !out_of_step_;
    reusable_until_ = client_.loop_.now() + ReuseTime(response.headers);
    HttpOutcome outcome{HttpOutcome::kAnswered, std::move(response)};
    const CallId id = *std::exchange(call_, std::nullopt);
    if (reusable) {
      UpdateWatch();
      client_.idle_.push_back(id_);
    } else {
      Remove();
    }
    client_.Finish(id, std::move(outcome));
  }

  /// The connection failed under a call.
  void Fail() {
    const CallId id = *std::exchange(call_, std::nullopt);
    const bool written = HasWritten();
    Remove();
    HttpOutcome outcome;
    outcome.kind = written ? HttpOutcome::kBroken : HttpOutcome::kNotSent;
    client_.Finish(id, std::move(outcome));
  }

  void UpdateWatch() {
    const uint32_t wanted =
        EPOLLIN | EPOLLRDHUP | (output_.empty() ? 0U : static_cast<uint32_t>(EPOLLOUT));
    if (wanted != events_) {
      events_ = wanted;
      client_.loop_.ChangeWatch(watch_, events_);
    }
  }

  HttpClient& client_;
  const uint64_t id_;
  int descriptor_;  // -1 once closed
  WatchId watch_;
  uint32_t events_ = EPOLLOUT;  // until connected
  bool connecting_ = true;
  ResponseReader reader_;
  std::string input_;
  OutputQueue output_;  // of the current call only
  bool has_body_ = false;
  std::optional<CallId> call_;
  std::string method_;         // of the current call
  std::string expected_echo_;  // value of the echoed header; empty when it is not checked
  bool out_of_step_ = false;   // an answer that nobody waited for has come
  bool broken_ = false;        // what came is no response
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
  call->timer = loop_.After(timeout, [this, id] { OnTimeout(id); });
  const bool writable = IsWritable(call->request);
  calls_.emplace(id, std::move(call));
  if (!writable) {
    FinishLater(id, HttpOutcome::kNotSent);
    return id;
  }
  waiting_.push_back(id);
  Pump();
  return id;
}

void HttpClient::Cancel(CallId id) {
  const std::shared_ptr<Call> call = TakeCall(id);
  if (call && call->connection != nullptr) {
    call->connection->Remove();
    Pump();
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

/// Gives waiting calls to idle connections and to new ones.
void HttpClient::Pump() {
  while (!waiting_.empty()) {
    const CallId id = waiting_.front();
    const std::shared_ptr<Call> call = calls_.at(id);
    if (Connection* idle = TakeIdle(); idle != nullptr) {
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
    const uint64_t number = next_id_++;
    auto connection = std::make_shared<Connection>(*this, number, *descriptor);
    connection->Assign(id, *call);
    connections_.emplace(number, std::move(connection));
  }
}

HttpClient::Connection* HttpClient::TakeIdle() {
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

std::shared_ptr<HttpClient::Call> HttpClient::TakeCall(CallId id) {
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
  const std::shared_ptr<Call> call = TakeCall(id);
  Pump();
  if (call) {
    call->callback(std::move(outcome));  // last, since it may destroy this client
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
