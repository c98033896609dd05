// Polls the descriptor before each write, because it may be a blocking descriptor.
#include "line_writer.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>

namespace endivecleat {

void LineWriter::Write(std::string_view line) {
  if (buffer_.size() + line.size() + 1 > kMaxBufferedBytes) {
    Flush();
  }
  if (buffer_.size() + line.size() + 1 > kMaxBufferedBytes) {
    ++dropped_;
    return;
  }
  buffer_.append(line).push_back('\n');
  Flush();
}

void LineWriter::Flush() {
  while (!buffer_.empty()) {
    pollfd ready = {.fd = descriptor_, .events = POLLOUT, .revents = 0};
    if (poll(&ready, 1, 0) <= 0 || (ready.revents & POLLOUT) == 0) {
      return;
    }
    const ssize_t written =
        write(descriptor_, buffer_.data(), std::min(buffer_.size(), kMaxBytesPerWrite));
    if (written <= 0) {
      return;  // the reader has closed or a signal arrived; the next call tries again
    }
    buffer_.erase(0, static_cast<size_t>(written));
  }
}

}  // namespace endivecleat
