// Writes lines to a descriptor without ever waiting for its reader. What the reader does not take
// is held up to a bound; further lines are dropped and counted.
#ifndef ENDIVECLEAT_LINE_WRITER_H_
#define ENDIVECLEAT_LINE_WRITER_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace endivecleat {

class LineWriter {
 public:
  /// Some seconds of a busy process; more would not help a reader that has stopped.
  static constexpr size_t kMostWaitingBytes = size_t{128} << 10;
  /// A pipe that is writable takes this many bytes without blocking (POSIX PIPE_BUF on Linux).
  static constexpr size_t kMostBytesPerWrite = 4096;

  /// The descriptor stays the caller's.
  explicit LineWriter(int descriptor) : descriptor_(descriptor) {}

  /// Adds a line with its line break and writes what the reader takes now.
  void Write(std::string_view line);
  uint64_t dropped() const { return dropped_; }
  size_t waiting_bytes() const { return waiting_.size(); }

 private:
  void Flush();

  int descriptor_;
  std::string waiting_;  // whole lines, but the first may be written in part
  uint64_t dropped_ = 0;
};

}  // namespace endivecleat

#endif  // ENDIVECLEAT_LINE_WRITER_H_
