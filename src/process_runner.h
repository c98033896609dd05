// Runs a process of the system from its settings file: log, event loop, signals. SIGTERM and SIGINT
// drain it; SIGHUP, or a file that has changed, reloads what can change at run time.
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

/// A process that the runner can start and stop.
template <class Process, class Settings>
concept RunnableProcess = requires(EventLoop& loop, Settings settings, Process& process) {
  Process(loop, settings, uint64_t{});
  process.Drain();
};

/// Watches the settings file of a running process. Only the log's level and target are taken up;
/// everything else needs a restart.
template <class Settings>
class SettingsWatch {
 public:
  using Loader = Settings (*)(const std::string&);

  SettingsWatch(EventLoop& loop, std::string path, Loader load)
      : loop_(loop), path_(std::move(path)), load_(load), text_(ReadTextFile(path_)) {
    Schedule();
  }
  ~SettingsWatch() { loop_.Cancel(timer_); }
  SettingsWatch(const SettingsWatch&) = delete;
  SettingsWatch& operator=(const SettingsWatch&) = delete;

  void Reload() {
    try {
      text_ = ReadTextFile(path_);
      const Settings settings = load_(path_);
      StartLog(settings.common.instance, settings.common.log);
      Log(LogLevel::kInfo, "settings_reloaded");
    } catch (const UserError& error) {
      Log(LogLevel::kError, "settings_not_reloaded", {{"reason", std::string(error.what())}});
    }
  }

 private:
  // A file may be replaced without a signal; a change of the log's level may wait this long.
  static constexpr Duration kCheckInterval = std::chrono::seconds(5);

  void Schedule() {
    timer_ = loop_.After(kCheckInterval, [this] {
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
  std::string text_;  // as read last
  TimerId timer_;
};

/// Returns the exit status once the process has drained. Throws UserError for faulty settings.
template <class Process, class Settings>
requires RunnableProcess<Process, Settings>
int RunProcess(const std::string& path, Settings (*load)(const std::string&)) {
  LimitHeapGrowth();
  const Settings settings = load(path);
  StartLog(settings.common.instance, settings.common.log);
  EventLoop loop;
  SettingsWatch<Settings> watch(loop, path, load);
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
