// Runs a small deployment of the platform programs on loopback addresses for the cases of the
// review: fills in the deploy templates, starts the programs as child processes, and provides
// stand-ins for servers, clients and the operator. Uses POSIX calls only.
#ifndef ENDIVECLEAT_REVIEW_HARNESS_2_HARNESS_H_
#define ENDIVECLEAT_REVIEW_HARNESS_2_HARNESS_H_

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace review {

/// Exit statuses of a case.
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kNotRun = 2;

using Headers = std::map<std::string, std::string>;  // names in lower case

/// Seconds since the start of the case.
double Elapsed();
void Sleep(double seconds);
std::string Format(const char* format, ...) __attribute__((format(printf, 1, 2)));
/// Sixteen random hexadecimal digits.
std::string RandomId();
/// Whether the case is to bring its disruption about (TROUBLE is not 0).
bool WithTrouble();

/// Writes lines with the time to record.txt.
class Record {
 public:
  explicit Record(const std::filesystem::path& folder);
  void Write(const std::string& line);

 private:
  std::mutex mutex_;
  std::ofstream file_;
};

/// A TCP connection that is closed with the object.
class Socket {
 public:
  explicit Socket(int descriptor = -1) : descriptor_(descriptor) {}
  ~Socket();
  Socket(Socket&& other) noexcept;
  Socket& operator=(Socket&& other) noexcept;
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;

  static Socket Connect(const std::string& ip, uint16_t port);
  bool valid() const { return descriptor_ >= 0; }
  int descriptor() const { return descriptor_; }
  bool Send(const std::string& bytes) const;
  /// Appends what arrives within the time. Returns false at the end of the connection.
  bool Receive(std::string& buffer, double seconds) const;
  void Close();

 private:
  int descriptor_;
};

/// A request or a response as received.
struct Message {
  std::string start_line;
  Headers headers;
  std::string body;

  int status() const;  // of a response
  std::string Header(const std::string& name) const;
};

/// Reads the next message of the connection; nullopt if it ends or the time passes before.
std::optional<Message> ReadMessage(const Socket& socket, std::string& buffer, double seconds);
/// Sends a request on a new connection and returns the response.
std::optional<Message> Exchange(const std::string& ip, uint16_t port, const std::string& request,
                                double seconds);

struct Request {
  std::string method = "POST";
  std::string path;
  std::string id = RandomId();
  std::string timeout = "4000";  // milliseconds
  std::string body;
  std::vector<std::string> fields;  // further header lines

  std::string Text() const;
};

constexpr char kHost[] = "ficu95.example";
constexpr uint16_t kOutboundPort = 8141;
constexpr uint16_t kReadinessPort = 8140;
constexpr uint16_t kAdminPort = 8146;
constexpr uint16_t kServerPort = 8147;
constexpr uint16_t kPeerPort = 7660;
constexpr uint16_t kMetricsPort = 9102;

/// The machines of a deployment, each with a loopback address of its own.
class Deployment {
 public:
  /// Chooses a free block of loopback addresses and a temporary folder.
  explicit Deployment(Record& record);
  ~Deployment();  // kills the processes and removes the folder
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  std::string CoreAddress(int machine) const;
  std::string SidecarAddress(int machine) const;
  static std::string Zone(int machine);

  void StartCore(int machines);
  void StartDaemon(int machine, const std::string& service);
  /// 0 if no process was started on the machine, or it was killed.
  pid_t ProcessId(const std::string& address) const;
  /// Whether the process on the machine with this address runs.
  bool IsRunning(const std::string& address);
  void Signal(const std::string& address, int signal);
  /// Kills the process and waits for its end.
  void Kill(const std::string& address);
  std::string LastOutput(const std::string& address) const;

  /// Submits the configuration to one core machine after the other until one responds. Returns the
  /// status, or 0.
  int Submit(const std::string& configuration, double seconds);
  /// Waits until each daemon says that it is ready. Returns false after the time.
  bool WaitUntilReady(double seconds);

 private:
  std::string FillTemplate(const std::string& role, const std::string& address, int machine,
                           const std::string& service) const;
  void Start(const std::string& role, const std::string& address, int machine,
             const std::string& service);

  Record& record_;
  std::filesystem::path folder_;
  int block_ = 0;
  int core_machines_ = 0;
  std::vector<std::string> daemons_;
  std::map<std::string, pid_t> processes_;
};

struct Route {
  std::string name;
  std::string prefix;
  std::string service;
  std::string type;
  int timeout_ms = 4000;
};

std::string Configuration(uint32_t version, uint32_t base, const std::vector<std::string>& services,
                          const std::vector<Route>& routes);

/// A run of a request at a server.
struct Run {
  double at;
  std::string id;
  std::string path;
  std::string server;
  Headers headers;
};

/// A sound server beside a daemon: rejects what is meant for another server or finds no free slot,
/// stops at the deadline, and reports itself to the daemon.
class Server {
 public:
  /// The work time of a request.
  using WorkTime = std::function<double(const Message& request)>;

  /// Without `reports`, the case sends the server's reports itself.
  Server(const Deployment& deployment, Record& record, int machine, std::string service,
         WorkTime work_time, bool reports = true);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  const std::string& id() const { return id_; }
  std::vector<Run> runs() const;
  /// Runs of requests whose path begins so.
  std::vector<Run> runs(const std::string& prefix) const;
  /// Sends a report with the state. Returns the status of the response, or 0.
  int Report(const std::string& state);
  /// Sets the time of its start, by the clock of its machine.
  void SetBorn(int64_t born_ms);
  /// Ends: its connections end, and it accepts none.
  void GoDown();
  /// Starts again under the same id, and counts its reports anew.
  void Restart(int64_t born_ms);

 private:
  void Accept();
  void Serve(Socket socket);
  void HandleRequest(const Socket& socket, const Message& request);
  void SendReports();

  Record& record_;
  const std::string address_;
  const std::string zone_;
  const std::string service_;
  const std::string id_;
  const WorkTime work_time_;
  std::atomic<bool> stopping_{false};
  std::atomic<bool> down_{false};
  std::atomic<bool> listening_{true};
  std::atomic<int> running_{0};
  mutable std::mutex mutex_;
  std::string state_ = "ready";
  uint64_t sequence_ = 0;
  int64_t born_ms_;
  std::vector<Run> runs_;
  std::set<int> open_;  // descriptors of the connections
  Socket listener_;
  std::vector<std::thread> threads_;
};

/// Milliseconds since 1970.
int64_t WallClockMs();

}  // namespace review

#endif  // ENDIVECLEAT_REVIEW_HARNESS_2_HARNESS_H_
