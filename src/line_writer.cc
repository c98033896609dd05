// Polls the descriptor before each write, because it may be a blocking descriptor.
#include "line_writer.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>

namespace endivecleat {

void LineWriter::Write(std::string_view line) {
  if (waiting_.size() + line.size() + 1 > kMostWaitingBytes) {
    Flush();
  }
  if (waiting_.size() + line.size() + 1 > kMostWaitingBytes) {
    ++dropped_;
    return;
  }
  waiting_.append(line).push_back('\n');
  Flush();
}

void LineWriter::Flush() {
  while (!waiting_.empty()) {
    pollfd ready = {.fd = descriptor_, .events = POLLOUT, .revents = 0};
    if (poll(&ready, 1, 0) <= 0 || (ready.revents & POLLOUT) == 0) {
      return;
    }
    const ssize_t written =
        write(descriptor_, waiting_.data(), std::min(waiting_.size(), kMostBytesPerWrite));
    if (written <= 0) {
      return;  // the reader has closed or a signal arrived; the next call tries again
    }
    waiting_.erase(0, static_cast<size_t>(written));
  }
}

}  // namespace endivecleat
