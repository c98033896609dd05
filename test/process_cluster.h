// Runs a small deployment of the real binaries on loopback: control instances, daemons and
// stand-in targets, each a child process that is stopped by its pid. Settings, logs, data folders
// and journals are in a temporary folder, which is kept if ENDIVECLEAT_KEEP_FOLDER is set.
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

/// A loopback port that no socket occupies.
uint16_t FreePort();

/// Starts a child process that appends its output to the file. Returns its pid.
pid_t Spawn(const std::vector<std::string>& command, const std::filesystem::path& output);

/// Creates an empty folder for the files of a test.
std::filesystem::path CreateTemporaryFolder();

/// Largest resident memory of the process so far, in KiB.
double PeakMemoryKb(pid_t pid);

/// Polls until the condition holds. Returns false after 60 s; the limit only stops a hanging test.
bool WaitFor(const std::function<bool()>& condition);

/// Sends one request on a new connection. Returns status 0 when the connection breaks or no data
/// arrives for 10 s before the response is complete.
HttpResponse Exchange(uint16_t port, const HttpRequest& request);

/// Serializes an HTTP/1.1 request, with "Connection: close" unless `keep_alive`.
std::string RequestText(const HttpRequest& request, bool keep_alive);
/// Returns status 0 when the text is not a complete response.
HttpResponse ParseResponse(const std::string& text);

HttpRequest GetRequest(const std::string& path);
HttpRequest PostRequest(const std::string& path, const std::string& key);

/// Returns the result code in the header endivecleat-result, or -1 without one.
int ResultOf(const HttpResponse& response);

/// The outcome of one JSON-RPC call to a control instance.
struct RpcAnswer {
  bool answered = false;
  int code = 0;           // error code, or 0 for a result
  nlohmann::json result;  // or the data of the error
};

/// Three control instances (control-1 and control-2 in data centre east-a, control-3 in west-a) and
/// four daemons with one target each (daemon-1 and daemon-2 in east-a, the others in west-a).
class ProcessCluster {
 public:
  static constexpr int kControls = 3;
  static constexpr int kDaemons = 4;

  /// Maps the port on which a target listens to the port that it announces, such as that of a
  /// proxy.
  using AnnouncedPort = std::function<uint16_t(uint16_t port)>;

  explicit ProcessCluster(const AnnouncedPort& announced_port = nullptr);
  /// Kills all running processes and removes the folder unless it is to be kept.
  ~ProcessCluster();
  ProcessCluster(const ProcessCluster&) = delete;
  ProcessCluster& operator=(const ProcessCluster&) = delete;

  /// Keeps the folder with settings, logs and journals after destruction.
  void KeepFolder() { keep_folder_ = true; }
  const std::filesystem::path& folder() const { return folder_; }
  uint16_t CallerPort(int daemon) const { return daemons_.at(daemon).clients; }

  /// Starts all processes, submits the first configuration, and waits until every daemon has it and
  /// every target is ready and listed by a control instance. Returns false on timeout.
  bool Start();
  /// Starts only the control instances and waits for a leader. Returns false on timeout.
  bool StartControls();

  static std::string Control(int number) { return "control-" + std::to_string(number); }
  static std::string Daemon(int number) { return "daemon-" + std::to_string(number); }
  static std::string Target(int number) { return "target-" + std::to_string(number); }

  /// Starts a process, given its name from one of the functions above; no effect if it runs.
  void Launch(const std::string& name);
  void SendSignal(const std::string& name, int signal);
  /// Limits the size of each file that the process writes, like a disk that is full, or ends the
  /// limit.
  void FillDisk(const std::string& name);
  void EmptyDisk(const std::string& name);
  /// Sends SIGKILL and waits for the process to exit.
  void Kill(const std::string& name);
  /// Waits for a process to exit. Returns false after 60 s.
  bool WaitForEnd(const std::string& name);
  /// Returns whether the process runs, and reaps it if it has exited.
  bool IsRunning(const std::string& name);
  void DeleteData(const std::string& control);
  /// Largest resident memory of a running process so far, in KiB.
  double PeakMemoryKb(const std::string& name) const;

  RpcAnswer Rpc(int control, const std::string& method, const nlohmann::json& parameters) const;
  RpcAnswer Submit(int control, const std::string& operation, uint64_t base,
                   const std::string& document) const;
  nlohmann::json Show(int control) const;  // null without a response
  /// Returns the control instance that is leader and has confirmed its leadership, or 0.
  int Leader() const;
  bool WaitForLeader(int* leader) const;
  /// Submits to the control instances in turn, except `excluded`, under the same operation id until
  /// the outcome is known.
  RpcAnswer SubmitUntilKnown(const std::string& operation, uint64_t base,
                             const std::string& document, int excluded = 0) const;
  /// Returns the accepted operations by version, as the given control instance reports them.
  std::map<uint64_t, std::string> History(int control) const;

  HttpResponse Call(int daemon, const HttpRequest& request) const;
  nlohmann::json Health(int daemon) const;  // null without a response
  uint64_t Version(int daemon) const;       // in force; 0 without one or without a response
  bool TargetReady(int daemon) const;
  /// Returns whether any control instance lists the target as ready or warming.
  bool TargetListed(int target) const;
  double Metric(int control,
                const std::string& name) const;  // -1 without a response or such a metric
  std::vector<std::string> Journal(int target) const;
  std::string LogText(const std::string& name) const;

  /// Returns a configuration with one service; documents with different numbers differ.
  static std::string Document(int number);

 private:
  struct Process {
    std::vector<std::string> command;
    pid_t pid = 0;  // 0: not running
  };
  struct Ports {
    uint16_t clients = 0;  // of operators or callers
    uint16_t peers = 0;
    uint16_t local = 0;
    uint16_t target = 0;
  };

  static bool InEast(const std::string& kind, int number);
  void AddControl(int number);
  void AddDaemon(int number);
  void WriteSettings(const std::string& name, nlohmann::json settings, bool east) const;
  nlohmann::json ControlList() const;
  bool AllServing() const;

  AnnouncedPort announced_port_;
  bool keep_folder_ = false;
  std::filesystem::path folder_;
  std::map<int, Ports> controls_;
  std::map<int, Ports> daemons_;
  std::map<std::string, Process> processes_;
};

}  // namespace endivecleat::test

#endif  // ENDIVECLEAT_TEST_PROCESS_CLUSTER_H_
