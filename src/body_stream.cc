// Listeners are copied before they run, since they may replace themselves.
#include "body_stream.h"

namespace endivecleat {

void BodyStream::Write(std::string_view bytes) {
  if (cancelled_) {
    dropped_ += bytes.size();
    return;
  }
  buffer_.append(bytes);
  if (!bytes.empty()) {
    Notify(on_readable_);
  }
}

void BodyStream::End() {
  if (!cancelled_) {
    ended_ = true;
    Notify(on_readable_);
  }
}

void BodyStream::Cancel() {
  if (cancelled_ || finished()) {
    return;
  }
  cancelled_ = true;
  dropped_ += buffer_.size();
  std::string().swap(buffer_);
  Notify(on_readable_);
  Notify(on_room_);
}

void BodyStream::Open() {
  if (!opened_) {
    opened_ = true;
    Notify(on_room_);
  }
}

std::string BodyStream::Read(size_t limit) {
  std::string bytes;
  if (limit >= buffer_.size()) {
    bytes.swap(buffer_);
  } else {
    bytes = buffer_.substr(0, limit);
    buffer_.erase(0, limit);
  }
  if (!bytes.empty()) {
    Notify(on_room_);
  }
  return bytes;
}

void BodyStream::Notify(const std::function<void()>& listener) {
  if (const std::function<void()> current = listener) {
    current();
  }
}

}  // namespace endivecleat
