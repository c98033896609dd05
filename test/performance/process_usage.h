// Resource usage of the calling process, for the benchmarks: CPU time and resident memory as the
// kernel reports them.
#ifndef ENDIVECLEAT_TEST_PERFORMANCE_PROCESS_USAGE_H_
#define ENDIVECLEAT_TEST_PERFORMANCE_PROCESS_USAGE_H_

#include <malloc.h>
#include <sys/resource.h>
#include <unistd.h>

#include <ctime>
#include <fstream>

namespace endivecleat::test {

/// Returns the user and system CPU time of the process, in seconds.
inline double ProcessCpuSeconds() {
  struct rusage usage {};
  getrusage(RUSAGE_SELF, &usage);
  const auto seconds = [](const timeval& time) {
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / 1e6;
  };
  return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

/// Returns the CPU time of the calling thread, in seconds. Has a finer resolution than getrusage.
inline double ThreadCpuSeconds() {
  struct timespec time {};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) / 1e9;
}

/// Returns the resident set size of the process, in bytes.
inline double ResidentBytes() {
  std::ifstream statm("/proc/self/statm");
  double size = 0;
  double resident = 0;
  statm >> size >> resident;
  return resident * static_cast<double>(sysconf(_SC_PAGESIZE));
}

/// Returns the CPU time that the calling thread spends in one action, in seconds.
template <class Action>
double MeasureCpuSeconds(Action action) {
  const double start = ThreadCpuSeconds();
  action();
  return ThreadCpuSeconds() - start;
}

}  // namespace endivecleat::test

#endif  // ENDIVECLEAT_TEST_PERFORMANCE_PROCESS_USAGE_H_
