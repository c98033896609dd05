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
  descriptor_ = signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
  if (descriptor_ < 0) {
    throw std::system_error(errno, std::generic_category(), "signalfd");
  }
  watch_ = loop_.Watch(descriptor_, EPOLLIN, [this](uint32_t) { Read(); });
}

SignalWatch::~SignalWatch() {
  loop_.Unwatch(watch_);
  close(descriptor_);
}

void SignalWatch::Read() {
  signalfd_siginfo info{};
  while (read(descriptor_, &info, sizeof(info)) == sizeof(info)) {
    handler_(static_cast<int>(info.ssi_signo));
  }
}

}  // namespace endivecleat
