// The record of a case: what was sent, answered and run, one line each with the milliseconds since
// its start.
#ifndef ENDIVECLEAT_REVIEW_HARNESS_RECORD_H_
#define ENDIVECLEAT_REVIEW_HARNESS_RECORD_H_

#include <fstream>
#include <mutex>
#include <string>

#include "net.h"

namespace review {

class Record {
 public:
  explicit Record(const std::string& path) : file_(path, std::ios::trunc) {}

  void Write(const std::string& line) {
    const std::lock_guard<std::mutex> lock(mutex_);
    file_ << ElapsedMs() << " " << line << std::endl;
  }
  int64_t ElapsedMs() const {
    return std::chrono::duration_cast<Milliseconds>(Clock::now() - start_).count();
  }

 private:
  std::mutex mutex_;
  std::ofstream file_;
  const Clock::time_point start_ = Clock::now();
};

}  // namespace review

#endif  // ENDIVECLEAT_REVIEW_HARNESS_RECORD_H_
