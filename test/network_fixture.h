// Helpers for tests of the HTTP code and the peer network over real sockets on 127.0.0.1: running
// the event loop with a time limit, and connections and listeners that send and record raw bytes.
#ifndef ENDIVECLEAT_TEST_NETWORK_FIXTURE_H_
#define ENDIVECLEAT_TEST_NETWORK_FIXTURE_H_

#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "event_loop.h"
#include "http_client.h"
#include "http_server.h"
#include "tcp_socket.h"

namespace endivecleat::test {

const Address kAnyLocalPort = {"127.0.0.1", 0};
constexpr Duration kTestTimeout = std::chrono::seconds(20);
constexpr Duration kLongTimeout = std::chrono::seconds(15);

/// Runs the loop until the condition holds. Returns false when kTestTimeout expires first.
inline bool RunUntil(EventLoop& loop, std::function<bool()> condition) {
  bool satisfied = false;
  loop.SetAfterBatchHook([&] {
    if (condition()) {
      satisfied = true;
      loop.Stop();
    }
  });
  const TimerId timeout = loop.RunAfter(kTestTimeout, [&] { loop.Stop(); });
  loop.Run();
  loop.Cancel(timeout);
  loop.SetAfterBatchHook(nullptr);
  return satisfied;
}

/// Runs the loop for the given time, for checks that something does not happen.
inline void RunFor(EventLoop& loop, Duration time) {
  bool passed = false;
  loop.RunAfter(time, [&] { passed = true; });
  RunUntil(loop, [&] { return passed; });
}

/// One end of a TCP connection that sends raw bytes and records the bytes received.
class RawConnection {
 public:
  RawConnection(EventLoop& loop, int descriptor) : loop_(loop), descriptor_(descriptor) {
    watch_ = loop_.Watch(descriptor_, EPOLLIN | EPOLLOUT, [this](uint32_t) { OnEvents(); });
  }
  RawConnection(EventLoop& loop, const Address& to) : RawConnection(loop, *ConnectTcp(to)) {}
  ~RawConnection() { Close(); }
  RawConnection(const RawConnection&) = delete;
  RawConnection& operator=(const RawConnection&) = delete;

  void Send(std::string bytes) {
    output_.Append(std::move(bytes));
    if (descriptor_ >= 0) {
      loop_.ModifyWatch(watch_, EPOLLIN | EPOLLOUT);
    }
  }

  /// Closes the connection once all bytes passed to Send() are written.
  void CloseAfterSending() {
    close_after_sending_ = true;
    Send("");
  }

  /// Aborts the connection with a TCP reset.
  void Reset() {
    const linger no_linger = {.l_onoff = 1, .l_linger = 0};
    setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &no_linger, sizeof(no_linger));
    Close();
  }

  void Close() {
    if (descriptor_ >= 0) {
      loop_.Unwatch(watch_);
      close(std::exchange(descriptor_, -1));
    }
  }

  size_t unsent() const { return output_.size(); }
  bool ended() const { return descriptor_ < 0; }

  std::string received;
  bool closed_by_peer = false;  // the peer has closed the connection

 private:
  void OnEvents() {
    if (output_.Flush(descriptor_) == SocketStatus::kOpen) {
      loop_.ModifyWatch(watch_, EPOLLIN);
      if (close_after_sending_) {
        Close();
        return;
      }
    }
    const SocketStatus status = ReadAvailable(descriptor_, received);
    if (status == SocketStatus::kClosed || status == SocketStatus::kFailed) {
      closed_by_peer = true;
      Close();
    }
  }

  EventLoop& loop_;
  int descriptor_;
  WatchId watch_;
  OutputQueue output_;
  bool close_after_sending_ = false;
};

/// Accepts connections and keeps them as RawConnections in the order of acceptance.
class RawListener {
 public:
  explicit RawListener(EventLoop& loop, const Address& address = kAnyLocalPort)
      : listener(loop, address, [this, &loop](int descriptor, const Address&) {
          connections.push_back(std::make_unique<RawConnection>(loop, descriptor));
        }) {}

  const Address& address() const { return listener.address(); }
  size_t size() const { return connections.size(); }
  bool HasReceived(size_t index, const std::string& text) const {
    return index < size() && connections[index]->received.find(text) != std::string::npos;
  }

  TcpListener listener;
  std::vector<std::unique_ptr<RawConnection>> connections;
};

/// Number of occurrences of part in text.
inline size_t CountOccurrences(const std::string& text, const std::string& part) {
  size_t count = 0;
  for (size_t position = text.find(part); position != std::string::npos;
       position = text.find(part, position + 1)) {
    ++count;
  }
  return count;
}

/// Sends one request, runs the loop until it is finished and returns the outcome.
inline HttpOutcome Call(EventLoop& loop, HttpClient& client, HttpRequest request) {
  HttpOutcome result;
  bool done = false;
  client.Send(std::move(request), kLongTimeout, [&](HttpOutcome outcome) {
    result = std::move(outcome);
    done = true;
  });
  RunUntil(loop, [&] { return done; });
  return result;
}

}  // namespace endivecleat::test

#endif  // ENDIVECLEAT_TEST_NETWORK_FIXTURE_H_
