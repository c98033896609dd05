// Sends a streamed body over an HTTP connection: with the length that its head announces, or in
// chunked coding. Used by HttpClient.
#ifndef ENDIVECLEAT_BODY_SENDER_H_
#define ENDIVECLEAT_BODY_SENDER_H_

#include <array>
#include <cstdio>
#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "body_stream.h"
#include "tcp_socket.h"

namespace endivecleat {

/// The body of one request; inactive once it has been put into the output in full.
class BodySender {
 public:
  void Set(std::shared_ptr<BodyStream> stream) { stream_ = std::move(stream); }

  bool active() const { return stream_ != nullptr; }
  bool cancelled() const { return stream_ && stream_->cancelled(); }
  bool opened() const { return stream_ && stream_->opened(); }

  void Open(std::function<void()> on_readable) {
    stream_->SetReaderListener(std::move(on_readable));
    stream_->Open();
  }

  /// Appends the next piece of the body. Returns false if there is none for now, or nothing to
  /// append any more.
  bool Fill(OutputQueue& output) {
    if (!stream_ || stream_->cancelled()) {
      return false;
    }
    const std::shared_ptr<BodyStream> stream = stream_;
    std::string bytes = stream->Read(kPieceBytes);
    bool appended = !bytes.empty();
    if (stream->length()) {
      output.Append(std::move(bytes));
    } else if (appended) {
      std::array<char, 20> size{};
      std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
      output.Append(size.data() + bytes.append("\r\n"));
    }
    if (stream->finished()) {
      if (!stream->length()) {
        output.Append("0\r\n\r\n");
        appended = true;
      }
      Forget();
    }
    return appended;
  }

  /// Leaves the stream to another sender.
  void Forget() {
    if (stream_) {
      stream_->SetReaderListener(nullptr);
      stream_ = nullptr;
    }
  }

  /// The rest of an opened body is not sent. A body that was not opened may go to another target.
  void Cancel() {
    const std::shared_ptr<BodyStream> stream = stream_;
    Forget();
    if (stream && stream->opened()) {
      stream->Cancel();
    }
  }

 private:
  static constexpr size_t kPieceBytes = 32U << 10U;

  std::shared_ptr<BodyStream> stream_;
};

}  // namespace endivecleat

#endif  // ENDIVECLEAT_BODY_SENDER_H_
