// Runs a control instance or a daemon from its settings file: sets up the log, the event loop and
// the signal handlers. SIGTERM and SIGINT drain the process; SIGHUP or a change of the file reloads
// the settings that can change at run time.
#ifndef ENDIVECLEAT_PROCESS_RUNNER_H_
#define ENDIVECLEAT_PROCESS_RUNNER_H_

#include <csignal>
#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>

#include "errors.h"
#include "event_loop.h"
#include "heap.h"
#include "log.h"
#include "settings.h"
#include "signal_watch.h"
#include "text_file.h"

namespace endivecleat {

inline uint64_t RandomSeed() {
  std::random_device device;
  return (static_cast<uint64_t>(device()) << 32U) | device();
}

/// A process that RunProcess can start and drain.
template <class Process, class Settings>
concept RunnableProcess = requires(EventLoop& loop, Settings settings, Process& process) {
  Process(loop, settings, uint64_t{});
  process.Drain();
};

/// Reloads the settings file of a running process when it changes. Only the level and the target of
/// the log take effect; all other settings need a restart.
template <class Settings>
class SettingsWatcher {
 public:
  using Loader = Settings (*)(const std::string&);

  SettingsWatcher(EventLoop& loop, std::string path, Loader load)
      : loop_(loop), path_(std::move(path)), load_(load), text_(ReadTextFile(path_)) {
    Schedule();
  }
  ~SettingsWatcher() { loop_.Cancel(timer_); }
  SettingsWatcher(const SettingsWatcher&) = delete;
  SettingsWatcher& operator=(const SettingsWatcher&) = delete;

  void Reload() {
    try {
      text_ = ReadTextFile(path_);
      const Settings settings = load_(path_);
      ConfigureLog(settings.common.instance, settings.common.log);
      Log(LogLevel::kInfo, "settings_reloaded");
    } catch (const UserError& error) {
      Log(LogLevel::kError, "settings_not_reloaded", {{"reason", std::string(error.what())}});
    }
  }

 private:
  // The file may be replaced without a SIGHUP. This is the longest delay before the change is seen.
  static constexpr Duration kCheckInterval = std::chrono::seconds(5);

  void Schedule() {
    timer_ = loop_.RunAfter(kCheckInterval, [this] {
      Schedule();
      Check();
    });
  }

  void Check() {
    try {
      if (ReadTextFile(path_) != text_) {
        Reload();
      }
    } catch (const UserError& error) {
      Log(LogLevel::kWarning, "settings_not_checked", {{"reason", std::string(error.what())}});
    }
  }

  EventLoop& loop_;
  std::string path_;
  Loader load_;
  std::string text_;  // content at the last read
  TimerId timer_;
};

/// Runs until the process has drained and returns the exit status. Throws UserError for invalid
/// settings.
template <class Process, class Settings>
requires RunnableProcess<Process, Settings>
int RunProcess(const std::string& path, Settings (*load)(const std::string&)) {
  ConfigureMalloc();
  // A file that reaches its size limit is handled where it is written, like a full disk.
  std::signal(SIGXFSZ, SIG_IGN);
  const Settings settings = load(path);
  ConfigureLog(settings.common.instance, settings.common.log);
  EventLoop loop;
  SettingsWatcher<Settings> watch(loop, path, load);
  std::unique_ptr<Process> process;
  bool draining = false;
  const SignalWatch signals(loop, {SIGTERM, SIGINT, SIGHUP}, [&](int signal) {
    if (signal == SIGHUP) {
      watch.Reload();
    } else if (!draining) {
      draining = true;
      process->Drain();
    }
  });
  process = std::make_unique<Process>(loop, settings, RandomSeed());
  loop.Run();
  Log(LogLevel::kInfo, "stopped");
  return 0;
}

}  // namespace endivecleat

#endif  // ENDIVECLEAT_PROCESS_RUNNER_H_
