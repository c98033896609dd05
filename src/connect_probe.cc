// A non-blocking connect whose result is read when the socket becomes writable.
#include "connect_probe.h"

#include <sys/epoll.h>
#include <unistd.h>

#include <utility>

#include "tcp_socket.h"

namespace endivecleat {

ConnectProbe::ConnectProbe(EventLoop& loop, const Address& address, Duration timeout,
                           std::function<void(ConnectResult)> callback)
    : loop_(loop), callback_(std::move(callback)) {
  const std::optional<int> descriptor = ConnectTcp(address);
  if (!descriptor) {
    timer_ = loop_.RunAfter(Duration(0), [this] { Finish(ConnectResult::kRefused); });
    return;
  }
  descriptor_ = *descriptor;
  watch_ = loop_.Watch(descriptor_, EPOLLOUT, [this](uint32_t) {
    Finish(ConnectError(descriptor_) == 0 ? ConnectResult::kAccepted : ConnectResult::kRefused);
  });
  timer_ = loop_.RunAfter(timeout, [this] { Finish(ConnectResult::kTimedOut); });
}

ConnectProbe::~ConnectProbe() { Close(); }

void ConnectProbe::Close() {
  loop_.Cancel(timer_);
  if (descriptor_ >= 0) {
    loop_.Unwatch(watch_);
    close(std::exchange(descriptor_, -1));
  }
}

void ConnectProbe::Finish(ConnectResult result) {
  Close();
  const auto callback = std::exchange(callback_, nullptr);
  callback(result);
}

}  // namespace endivecleat
