// Runs a small deployment of the real binaries on loopback: control instances, daemons and
// stand-in targets, each started with posix_spawn and stopped by its pid. Settings, logs, data
// folders and journals live in a temporary folder; ENDIVECLEAT_KEEP_FOLDER=1 keeps it.
#ifndef ENDIVECLEAT_TEST_PROCESS_CLUSTER_H_
#define ENDIVECLEAT_TEST_PROCESS_CLUSTER_H_

#include <sys/types.h>

#include <cstdint>
#include <filesystem>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "http_message.h"

namespace endivecleat::test {

/// Waits until the condition holds; false after 60 s, which only bounds a test that hangs.
bool WaitFor(const std::function<bool()>& condition);

/// Sends one request on a connection of its own. Status 0: no complete answer came within 10 s.
HttpResponse Exchange(uint16_t port, const HttpRequest& request);

/// An HTTP/1.1 request as it goes over a connection, which it asks to close unless `keep_alive`.
std::string RequestText(const HttpRequest& request, bool keep_alive);
/// Status 0: the text is no complete answer.
HttpResponse ParseResponse(const std::string& text);

HttpRequest GetRequest(const std::string& path);
HttpRequest PostRequest(const std::string& path, const std::string& key);

/// The number in the header endivecleat-result, or -1 without one.
int ResultOf(const HttpResponse& response);

/// The outcome of one JSON-RPC call to a control instance.
struct RpcAnswer {
  bool answered = false;
  int code = 0;           // of an error; 0 for a result
  nlohmann::json result;  // or the data of an error
};

/// Three control instances (control-1 and control-2 in data centre east-a, control-3 in west-a) and
/// four daemons with a target each (daemon-1 and daemon-2 in east-a, the others in west-a).
class ProcessCluster {
 public:
  static constexpr int kControls = 3;
  static constexpr int kDaemons = 4;

  /// Gives the port that a target announces in place of the one on which it listens.
  using TargetFront = std::function<uint16_t(uint16_t port)>;

  explicit ProcessCluster(const TargetFront& front = nullptr);
  /// Kills every process that still runs and removes the folder.
  ~ProcessCluster();
  ProcessCluster(const ProcessCluster&) = delete;
  ProcessCluster& operator=(const ProcessCluster&) = delete;

  /// Leaves settings, logs and journals behind.
  void KeepFolder() { keep_folder_ = true; }
  const std::filesystem::path& folder() const { return folder_; }
  uint16_t CallerPort(int daemon) const { return daemons_.at(daemon).first; }

  /// Starts everything, submits the first configuration, and waits until every daemon has it and
  /// knows the targets of both data centres. False when that does not come about.
  bool Start();
  bool StartControls();

  static std::string Control(int number) { return "control-" + std::to_string(number); }
  static std::string Daemon(int number) { return "daemon-" + std::to_string(number); }
  static std::string Target(int number) { return "target-" + std::to_string(number); }

  /// Starts a process that does not run, by the name that one of the functions above returns.
  void Launch(const std::string& name);
  void Signal(const std::string& name, int signal);
  /// Sends SIGKILL and waits for the end.
  void Kill(const std::string& name);
  /// Waits for the end of a process; false after 60 s.
  bool WaitForEnd(const std::string& name);
  /// Whether the process runs; collects it if it ended.
  bool Runs(const std::string& name);
  void DeleteData(const std::string& control);

  RpcAnswer Rpc(int control, const std::string& method, const nlohmann::json& parameters) const;
  RpcAnswer Submit(int control, const std::string& operation, uint64_t base,
                   const std::string& document) const;
  nlohmann::json Show(int control) const;  // null without an answer
  /// The control instance that leads and confirms it, or 0.
  int Leader() const;
  bool WaitForLeader(int* leader) const;
  /// Submits under an operation id to any control instance but `except` until it has an outcome.
  RpcAnswer SubmitUntilKnown(const std::string& operation, uint64_t base,
                             const std::string& document, int except = 0) const;
  /// The operations of the accepted changes by version, as one control instance has them.
  std::map<uint64_t, std::string> History(int control) const;

  HttpResponse Call(int daemon, const HttpRequest& request) const;
  nlohmann::json Health(int daemon) const;  // null without an answer
  uint64_t Version(int daemon) const;       // in force, 0 when there is none or no answer
  bool TargetReady(int daemon) const;
  /// Whether some control instance lists the target as one that takes work.
  bool Listed(int target) const;
  double Metric(int control, const std::string& name) const;  // -1 without an answer
  std::vector<std::string> Journal(int target) const;
  std::string LogOf(const std::string& name) const;

  /// A configuration with one service; documents of different numbers differ.
  static std::string Document(int number);

 private:
  struct Process {
    std::vector<std::string> command;
    pid_t pid = 0;  // 0: not running
  };
  struct Ports {
    uint16_t first = 0;   // operators or callers
    uint16_t second = 0;  // peers
    uint16_t third = 0;   // local
    uint16_t fourth = 0;  // target
  };

  static bool InEast(const std::string& kind, int number);
  void AddControl(int number);
  void AddDaemon(int number);
  void WriteSettings(const std::string& name, nlohmann::json settings, bool east) const;
  nlohmann::json ControlList() const;
  bool Settled() const;

  TargetFront front_;
  bool keep_folder_ = false;
  std::filesystem::path folder_;
  std::map<int, Ports> controls_;
  std::map<int, Ports> daemons_;
  std::map<std::string, Process> processes_;
};

}  // namespace endivecleat::test

#endif  // ENDIVECLEAT_TEST_PROCESS_CLUSTER_H_
