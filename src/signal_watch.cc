// Reads pending signals from a signalfd that the event loop watches.
#include "signal_watch.h"

#include <sys/epoll.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <system_error>
#include <utility>

namespace endivecleat {

SignalWatch::SignalWatch(EventLoop& loop, const std::vector<int>& signals,
                         std::function<void(int signal)> handler)
    : loop_(loop), handler_(std::move(handler)) {
  sigset_t set;
  sigemptyset(&set);
  for (const int signal : signals) {
    sigaddset(&set, signal);
  }
  sigprocmask(SIG_BLOCK, &set, nullptr);
  signal_fd_ = signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
  if (signal_fd_ < 0) {
    throw std::system_error(errno, std::generic_category(), "signalfd");
  }
  watch_ = loop_.Watch(signal_fd_, EPOLLIN, [this](uint32_t) { ReadSignals(); });
}

SignalWatch::~SignalWatch() {
  loop_.Unwatch(watch_);
  close(signal_fd_);
}

void SignalWatch::ReadSignals() {
  signalfd_siginfo info{};
  while (read(signal_fd_, &info, sizeof(info)) == sizeof(info)) {
    handler_(static_cast<int>(info.ssi_signo));
  }
}

}  // namespace endivecleat
