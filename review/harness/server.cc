// One thread a connection; a request waits for one of the slots and ends when its connection does.
#include "server.h"

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cstdlib>
#include <string_view>
#include <utility>

namespace review {
namespace {

constexpr Milliseconds kStep{5};
constexpr Milliseconds kIdleTime{10'000};
constexpr Milliseconds kDefaultWork{5};
constexpr int kMaxQueued = 36;

int64_t WallClockMs() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<Milliseconds>(now).count();
}

Milliseconds WorkOf(const std::string& target) {
  constexpr std::string_view kMark = "work-";
  const size_t found = target.rfind(kMark);
  return found == std::string::npos
             ? kDefaultWork
             : Milliseconds(std::atoi(target.c_str() + found + kMark.size()));
}

}  // namespace

Server::Server(Record& record, ServerOptions options)
    : record_(record),
      options_(std::move(options)),
      born_ms_(WallClockMs()),
      listener_(Listen(options_.address)) {
  accepting_ = std::thread([this] { Accept(); });
  beating_ = std::thread([this] { SendHeartbeats(); });
}

Server::~Server() {
  End();
  accepting_.join();
  beating_.join();
  for (std::thread& each : connections_) {
    each.join();
  }
}

std::vector<Run> Server::runs() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return runs_;
}

int Server::running() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return running_;
}

std::string Server::NextHeartbeat(const std::string& state) {
  return R"({"service":")" + options_.service + R"(","address":")" + options_.address.text() +
         R"(","zone":")" + options_.zone + R"(","version":"v1","slots":)" +
         std::to_string(options_.slots) + R"(,"state":")" + state + R"(","coldLeftMs":0,"born":)" +
         std::to_string(born_ms_) + R"(,"seq":)" + std::to_string(next_sequence_++) + "}";
}

bool Server::SendHeartbeat(const std::string& body, const std::string& label) const {
  Message request{.method = "PUT", .target = "/-/instances/" + options_.id};
  request.headers = {{"Host", options_.admin.text()}, {"Content-Type", "application/json"}};
  request.body = body;
  const auto answer = Exchange(options_.admin, request, Milliseconds(1000));
  const bool acknowledged = answer && answer->status / 100 == 2;
  if (!label.empty()) {
    record_.Write(options_.id + " " + label + " " + body + " -> " +
                  (answer ? std::to_string(answer->status) : "no answer"));
  }
  return acknowledged;
}

void Server::BeginToLeave() { leaving_ = true; }

bool Server::SendDelete() const {
  Message request{.method = "DELETE", .target = "/-/instances/" + options_.id};
  request.headers = {{"Host", options_.admin.text()}};
  const auto answer = Exchange(options_.admin, request, Milliseconds(1000));
  record_.Write(options_.id + " DELETE -> " +
                (answer ? std::to_string(answer->status) : "no answer"));
  return answer && answer->status / 100 == 2;
}

void Server::End() {
  if (!ended_.exchange(true)) {
    record_.Write(options_.id + " ends");
  }
}

void Server::SendHeartbeats() {
  Clock::time_point due = Clock::now();
  while (!ended_ && !leaving_) {
    if (Clock::now() >= due) {
      due = Clock::now() +
            (SendHeartbeat(NextHeartbeat("ready"), "") ? options_.heartbeat : Milliseconds(300));
    }
    std::this_thread::sleep_for(kStep);
  }
}

void Server::Accept() {
  while (!ended_) {
    pollfd readable{listener_.descriptor(), POLLIN, 0};
    if (poll(&readable, 1, static_cast<int>(kStep.count())) != 1) {
      continue;
    }
    const int accepted = accept4(listener_.descriptor(), nullptr, nullptr, SOCK_CLOEXEC);
    if (accepted >= 0) {
      connections_.emplace_back([this, accepted] { Serve(Socket(accepted)); });
    }
  }
  listener_.Close();
}

void Server::Serve(const Socket& socket) {
  std::string buffer;
  Clock::time_point idle_since = Clock::now();
  while (!ended_ && Clock::now() - idle_since < kIdleTime) {
    pollfd readable{socket.descriptor(), POLLIN, 0};
    if (buffer.empty() && poll(&readable, 1, static_cast<int>(kStep.count())) != 1) {
      continue;
    }
    Message request;
    if (ReadMessage(socket, buffer, Clock::now() + kIdleTime, request) != ReadResult::kMessage) {
      return;
    }
    std::optional<Message> answer = Answer(socket, request);
    if (!answer || ended_) {
      return;
    }
    answer->headers.emplace_back("Keep-Alive", "timeout=10");
    if (!socket.Send(Serialize(*answer))) {
      return;
    }
    idle_since = Clock::now();
  }
}

std::optional<Message> Server::Answer(const Socket& socket, const Message& request) {
  if (request.target == "/healthz") {
    const std::lock_guard<std::mutex> lock(mutex_);
    return Message{
        .status = leaving_ ? 503 : 200,
        .headers = {{"Instance-Id", options_.id},
                    {"Server-Load", std::to_string(running_) + "," + std::to_string(queued_) + "," +
                                        std::to_string(options_.slots)}}};
  }
  const std::string id = request.Header("Request-Id");
  const std::string named = request.Header("Target-Instance");
  int refusal = id.empty() ? 400 : !named.empty() && named != options_.id ? 421 : 0;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (refusal == 0 && running_ >= options_.slots && queued_ >= kMaxQueued) {
      refusal = 503;
    }
    queued_ += refusal == 0 ? 1 : 0;
  }
  if (refusal != 0) {
    record_.Write(options_.id + " refuses " + id + " with " + std::to_string(refusal));
    return Message{.status = refusal, .headers = {{"Request-Id", id}, {"Not-Executed", "1"}}};
  }
  return RunRequest(socket, request);
}

std::optional<Message> Server::RunRequest(const Socket& socket, const Message& request) {
  const std::string id = request.Header("Request-Id");
  while (true) {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      if (running_ < options_.slots) {
        ++running_;
        --queued_;
        runs_.push_back({record_.ElapsedMs(), id, request.target, request.Header("Caller")});
        break;
      }
      if (ended_ || socket.PeerClosed()) {
        --queued_;
        return std::nullopt;
      }
    }
    std::this_thread::sleep_for(kStep);
  }
  record_.Write(options_.id + " runs " + id + " " + request.method + " " + request.target);
  if (!options_.crashes_on.empty() && request.Header("Host") == options_.crashes_on) {
    End();
    return std::nullopt;
  }
  const std::string timeout = request.Header("Timeout-Ms");
  const Clock::time_point start = Clock::now();
  const Milliseconds work = WorkOf(request.target);
  const Milliseconds limit(timeout.empty() ? 600'000 : std::atoi(timeout.c_str()));
  bool dropped = false;
  while (!dropped && Clock::now() - start < std::min(work, limit)) {
    std::this_thread::sleep_for(kStep);
    dropped = ended_ || socket.PeerClosed();
  }
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    --running_;
  }
  record_.Write(options_.id + (dropped ? " drops " : " finishes ") + id);
  if (dropped) {
    return std::nullopt;
  }
  return Message{.status = work <= limit ? 200 : 504,
                 .headers = {{"Request-Id", id}, {"Response-Stamp", options_.id + "." + id}},
                 .body = "done by " + options_.id};
}

}  // namespace review
