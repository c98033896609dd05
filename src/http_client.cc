#include "http_client.h"

#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <optional>
#include <utility>

namespace endivecleat {

struct HttpClient::Call {
  HttpRequest request;
  Callback callback;
  TimerId timer;
  Connection* connection = nullptr;  // null while waiting
};

class HttpClient::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(HttpClient& client, uint64_t id, int descriptor)
      : client_(client), id_(id), descriptor_(descriptor), reader_(client.limits_) {
    watch_ =
        client_.loop_.Watch(descriptor_, events_, [this](uint32_t events) { OnEvents(events); });
  }

  ~Connection() { Release(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  /// Whether the target has closed this idle connection, or sent what nobody asked for.
  bool IsStale() const {
    char byte = 0;
    const ssize_t count = recv(descriptor_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
  }

  /// Binds a call to this connection. False when the connection failed before it took a byte.
  bool Assign(CallId id, Call& call) {
    call_ = id;
    call.connection = this;
    output_.Clear();
    reader_.Expect(call.request.method);
    output_.Append(RequestHead(call.request, client_.target_.text()));
    has_body_ = !call.request.body.empty();
    output_.Append(std::move(call.request.body));
    if (connecting_) {
      return true;
    }
    const SocketStatus status = output_.Flush(descriptor_);
    UpdateWatch();
    return status != SocketStatus::kClosed || output_.written() > 0;
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
    if ((events & EPOLLOUT) != 0 && output_.Flush(descriptor_) == SocketStatus::kClosed &&
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
    if (output_.Flush(descriptor_) == SocketStatus::kClosed) {
      Fail();
      return;
    }
    UpdateWatch();
  }

  void OnReadable() {
    const SocketStatus status = ReadAvailable(descriptor_, input_);
    switch (reader_.Feed(input_)) {
      case ReadStatus::kComplete:
        Complete(status);
        return;
      case ReadStatus::kBad:
        Fail();
        return;
      case ReadStatus::kNeedMore:
        break;
    }
    if (status == SocketStatus::kClosed) {
      Fail();
      return;
    }
    UpdateWatch();
  }

  void Complete(SocketStatus status) {
    HttpOutcome outcome{HttpOutcome::kAnswered, reader_.Take()};
    const CallId id = *std::exchange(call_, std::nullopt);
    const bool reusable = status != SocketStatus::kClosed && reader_.keep_alive() &&
                          output_.empty() && input_.empty();
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
};

HttpClient::HttpClient(EventLoop& loop, Address target, size_t connections, MessageLimits limits)
    : loop_(loop),
      target_(std::move(target)),
      max_connections_(std::max<size_t>(connections, 1)),
      limits_(limits) {}

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
    if (connections_.size() >= max_connections_) {
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
