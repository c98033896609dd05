// Guards against a process that blocks on the reader of its log, and against a log buffer that
// grows without limit while the reader is stopped.
#include "line_writer.h"

#include <CppUTest/TestHarness.h>
#include <unistd.h>

#include <array>
#include <string>

using endivecleat::LineWriter;

TEST_GROUP(LineWriterOnAStalledPipe) {
  int pipe_fds[2] = {-1, -1};
  void setup() override { LONGS_EQUAL(0, pipe(pipe_fds)); }
  void teardown() override {
    close(pipe_fds[0]);
    close(pipe_fds[1]);
  }

  /// Reads up to 64 KiB from the pipe.
  std::string Read() {
    std::array<char, 65536> buffer{};
    const ssize_t count = read(pipe_fds[0], buffer.data(), buffer.size());
    return {buffer.data(), static_cast<size_t>(count)};
  }
};

TEST(LineWriterOnAStalledPipe, NeitherBlocksNorBuffersMoreThanItsLimit) {
  LineWriter writer(pipe_fds[1]);
  const std::string line(1000, 'x');
  for (int count = 0; count < 1000; ++count) {
    writer.Write(line);
  }
  CHECK(writer.buffered_bytes() <= LineWriter::kMaxBufferedBytes);
  CHECK(writer.dropped() > 700);
}

TEST(LineWriterOnAStalledPipe, WritesWholeLinesInOrderOnceTheReaderResumes) {
  LineWriter writer(pipe_fds[1]);
  for (int count = 0; count < 1000; ++count) {
    writer.Write(std::to_string(count) + std::string(100, 'x'));
  }
  std::string text = Read();
  while (writer.buffered_bytes() > 0) {
    writer.Write("end");
    text += Read();
  }
  size_t expected = 0;
  for (size_t start = 0; start < text.size();) {
    const size_t end = text.find('\n', start);
    if (end == std::string::npos || text.compare(start, 3, "end") == 0) {
      break;
    }
    STRCMP_EQUAL((std::to_string(expected) + std::string(100, 'x')).c_str(),
                 text.substr(start, end - start).c_str());
    ++expected;
    start = end + 1;
  }
  CHECK(expected > 500);
}
