// Writes lines to a file descriptor without ever blocking on its reader, so that a stalled log
// reader does not stall the process. Unwritten lines are buffered up to a limit; further lines are
// dropped and counted. Used by log.cc.
#ifndef ENDIVECLEAT_LINE_WRITER_H_
#define ENDIVECLEAT_LINE_WRITER_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace endivecleat {

/// Buffers and writes lines. It has no thread: buffered lines are written by later calls of Write.
class LineWriter {
 public:
  /// Holds some seconds of a busy process's log; a larger buffer would not help a stopped reader.
  static constexpr size_t kMaxBufferedBytes = size_t{128} << 10;
  /// A pipe that poll reports as writable accepts this many bytes without blocking (PIPE_BUF on
  /// Linux).
  static constexpr size_t kMaxBytesPerWrite = 4096;

  /// Does not take ownership of the descriptor.
  explicit LineWriter(int descriptor) : descriptor_(descriptor) {}

  /// Buffers the line with a line break and writes as much of the buffer as does not block.
  void Write(std::string_view line);
  /// Number of lines dropped because the buffer was full.
  uint64_t dropped() const { return dropped_; }
  size_t buffered_bytes() const { return buffer_.size(); }

 private:
  void Flush();

  int descriptor_;
  std::string buffer_;  // whole lines, except that the first may be partly written
  uint64_t dropped_ = 0;
};

}  // namespace endivecleat

#endif  // ENDIVECLEAT_LINE_WRITER_H_
