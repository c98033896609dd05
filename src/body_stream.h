// The body of an upload while it passes through a process: the side that receives it writes, the
// side that passes it on reads. It holds a bounded part of the body, and does no I/O itself.
#ifndef ENDIVECLEAT_BODY_STREAM_H_
#define ENDIVECLEAT_BODY_STREAM_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace endivecleat {

/// Shared by its two sides, on the loop's thread. The reader opens it when the body can be passed
/// on; until then nothing is lost from it, so that the request may be offered to another target.
class BodyStream {
 public:
  /// The writer stops while this much is buffered.
  static constexpr size_t kWindowBytes = 128U << 10U;

  /// `length` is nullopt for a body of unknown length (chunked coding).
  explicit BodyStream(std::optional<uint64_t> length) : length_(length) {}
  BodyStream(const BodyStream&) = delete;
  BodyStream& operator=(const BodyStream&) = delete;

  std::optional<uint64_t> length() const { return length_; }

  // For the writer.

  /// Dropped if the stream has been cancelled.
  void Write(std::string_view bytes);
  /// The body is complete.
  void End();
  /// Ends the stream for both sides: the body cannot be received, or nobody wants the rest of it.
  void Cancel();
  /// Whether the writer should go on: there is room, or the rest is to be dropped.
  bool has_room() const { return cancelled_ || buffer_.size() < kWindowBytes; }
  size_t buffered() const { return buffer_.size(); }
  bool opened() const { return opened_; }
  bool ended() const { return ended_; }
  /// Bytes dropped since the stream was cancelled.
  uint64_t dropped() const { return dropped_; }
  /// Runs when the reader opens the stream, has read from it, or the stream is cancelled.
  void SetWriterListener(std::function<void()> listener) { on_room_ = std::move(listener); }

  // For the reader.

  /// The reader is ready. The request must not be offered to another target from now on.
  void Open();
  /// Removes and returns up to `limit` bytes. Requires opened().
  std::string Read(size_t limit);
  /// Whether the body was complete and has been read to its end.
  bool finished() const { return ended_ && buffer_.empty(); }
  bool cancelled() const { return cancelled_; }
  /// Runs when there is something to read, or the stream has ended or is cancelled.
  void SetReaderListener(std::function<void()> listener) { on_readable_ = std::move(listener); }

 private:
  static void Notify(const std::function<void()>& listener);

  std::optional<uint64_t> length_;
  std::string buffer_;
  bool opened_ = false;
  bool ended_ = false;
  bool cancelled_ = false;
  uint64_t dropped_ = 0;
  std::function<void()> on_room_;
  std::function<void()> on_readable_;
};

}  // namespace endivecleat

#endif  // ENDIVECLEAT_BODY_STREAM_H_
