// Starts the processes with posix_spawn, and observes them over HTTP and JSON-RPC with blocking
// sockets, and through their log and journal files.
#include "process_cluster.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <thread>

#include "errors.h"
#include "loopback.h"

namespace endivecleat::test {
namespace {

constexpr std::chrono::seconds kWaitLimit(60);
constexpr std::chrono::milliseconds kPollInterval(20);
constexpr int kReceiveTimeoutS = 10;
constexpr uint16_t kFirstPort = 22000;
constexpr uint16_t kPortCount = 2000;
constexpr char kToken[] = "0123456789abcdef0123456789abcdef";

bool CanBind(uint16_t port, int type) {
  const int socket = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
  const sockaddr_in address = Loopback(port);
  const bool bound = ::bind(socket, AsSockaddr(address), sizeof(address)) == 0;
  ::close(socket);
  return bound;
}

}  // namespace

// Allocates ports in ascending order through the whole range, so that a test does not reuse ports
// that sockets of the previous test still occupy.
uint16_t FreePort() {
  static uint16_t next = static_cast<uint16_t>(::getpid() * 100 % kPortCount);
  for (int attempt = 0; attempt < kPortCount; ++attempt) {
    const auto port = static_cast<uint16_t>(kFirstPort + next);
    next = static_cast<uint16_t>((next + 1) % kPortCount);
    if (CanBind(port, SOCK_STREAM) && CanBind(port, SOCK_DGRAM)) {
      return port;
    }
  }
  throw InternalError("no free port for a test process");
}

std::string RequestText(const HttpRequest& request, bool keep_alive) {
  std::string text = request.method + " " + request.path + " HTTP/1.1\r\nHost: mesh\r\n";
  for (const Header& header : request.headers) {
    text += header.name + ": " + header.value + "\r\n";
  }
  text += keep_alive ? "" : "Connection: close\r\n";
  return text + "Content-Length: " + std::to_string(request.body.size()) + "\r\n\r\n" +
         request.body;
}

HttpResponse ParseResponse(const std::string& text) {
  HttpResponse response;
  const size_t head_end = text.find("\r\n\r\n");
  if (head_end == std::string::npos || text.size() < 12) {
    return response;
  }
  std::istringstream head(text.substr(0, head_end));
  std::string line;
  std::getline(head, line);
  const int status = std::atoi(line.substr(9, 3).c_str());
  while (std::getline(head, line)) {
    const size_t colon = line.find(':');
    std::string value = colon == std::string::npos ? "" : line.substr(colon + 1);
    value.erase(0, value.find_first_not_of(' '));
    value.erase(value.find_last_not_of("\r ") + 1);
    response.headers.Add(line.substr(0, colon), value);
  }
  response.body = text.substr(head_end + 4);
  const std::string length = response.headers.ValueOr("content-length", "0");
  const bool complete = response.body.size() >= std::strtoull(length.c_str(), nullptr, 10);
  response.status = complete ? status : 0;
  return response;
}

namespace {

std::string ReadFile(const std::filesystem::path& path) {
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

std::string LoopbackAddress(uint16_t port) { return "127.0.0.1:" + std::to_string(port); }

}  // namespace

std::filesystem::path CreateTemporaryFolder() {
  std::string name = (std::filesystem::temp_directory_path() / "endivecleat-XXXXXX").string();
  ENDIVECLEAT_CHECK(::mkdtemp(name.data()) != nullptr, "cannot create a temporary folder");
  return name;
}

pid_t Spawn(const std::vector<std::string>& command, const std::filesystem::path& output) {
  std::vector<char*> arguments;
  arguments.reserve(command.size() + 1);
  for (const std::string& argument : command) {
    arguments.push_back(const_cast<char*>(argument.c_str()));
  }
  arguments.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, output.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  pid_t pid = 0;
  const int failed =
      ::posix_spawn(&pid, arguments[0], &actions, nullptr, arguments.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  ENDIVECLEAT_CHECK(failed == 0, "cannot start " + command[0]);
  return pid;
}

double PeakMemoryKb(pid_t pid) {
  constexpr std::string_view kField = "VmHWM:";
  const std::string status = ReadFile("/proc/" + std::to_string(pid) + "/status");
  const size_t field = status.find(kField);
  ENDIVECLEAT_CHECK(field != std::string::npos, "the process does not run");
  return std::strtod(status.c_str() + field + kField.size(), nullptr);
}

bool WaitFor(const std::function<bool()>& condition) {
  const auto limit = std::chrono::steady_clock::now() + kWaitLimit;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > limit) {
      return false;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
}

HttpResponse Exchange(uint16_t port, const HttpRequest& request) {
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const timeval limit{kReceiveTimeoutS, 0};
  ::setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
  const sockaddr_in address = Loopback(port);
  const std::string text = RequestText(request, false);
  std::string answer;
  const bool sent =
      ::connect(socket, AsSockaddr(address), sizeof(address)) == 0 &&
      ::send(socket, text.data(), text.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(text.size());
  std::array<char, 65536> buffer{};
  ssize_t count = sent ? 1 : 0;
  while (count > 0) {
    count = ::recv(socket, buffer.data(), buffer.size(), 0);
    answer.append(buffer.data(), count > 0 ? static_cast<size_t>(count) : 0);
  }
  ::close(socket);
  return ParseResponse(answer);
}

HttpRequest GetRequest(const std::string& path) {
  HttpRequest request;
  request.method = "GET";
  request.path = path;
  return request;
}

HttpRequest PostRequest(const std::string& path, const std::string& key) {
  HttpRequest request;
  request.method = "POST";
  request.path = path;
  request.headers.Add("Idempotency-Key", key);
  request.body = "body of " + key;
  return request;
}

int ResultOf(const HttpResponse& response) {
  return std::atoi(response.headers.ValueOr("endivecleat-result", "-1").c_str());
}

ProcessCluster::ProcessCluster(const AnnouncedPort& announced_port)
    : announced_port_(announced_port), folder_(CreateTemporaryFolder()) {
  for (const char* token : {"mesh", "operator", "announce"}) {
    std::ofstream(folder_ / (std::string(token) + ".token")) << kToken;
  }
  for (int number = 1; number <= kControls; ++number) {
    controls_[number] = {FreePort(), FreePort(), 0, 0};
  }
  for (int number = 1; number <= kDaemons; ++number) {
    daemons_[number] = {FreePort(), FreePort(), FreePort(), FreePort()};
  }
  for (int number = 1; number <= kControls; ++number) {
    AddControl(number);
  }
  for (int number = 1; number <= kDaemons; ++number) {
    AddDaemon(number);
  }
}

ProcessCluster::~ProcessCluster() {
  for (const auto& [name, process] : processes_) {
    Kill(name);
  }
  if (!keep_folder_ && std::getenv("ENDIVECLEAT_KEEP_FOLDER") == nullptr) {
    std::filesystem::remove_all(folder_);
  }
}

bool ProcessCluster::Start() {
  if (!StartControls()) {
    return false;
  }
  for (int number = 1; number <= kDaemons; ++number) {
    Launch(Daemon(number));
    Launch(Target(number));
  }
  return SubmitUntilKnown("first", 0, Document(1)).code == 0 &&
         WaitFor([&] { return AllServing(); });
}

bool ProcessCluster::StartControls() {
  for (int number = 1; number <= kControls; ++number) {
    const std::string settings = (folder_ / (Control(number) + ".json")).string();
    const pid_t pid =
        Spawn({ENDIVECLEAT_BINARY, "init", "--settings", settings}, folder_ / "init.out");
    int status = 0;
    ::waitpid(pid, &status, 0);
    Launch(Control(number));
  }
  int leader = 0;
  return WaitForLeader(&leader);
}

void ProcessCluster::Launch(const std::string& name) {
  Process& process = processes_.at(name);
  if (process.pid == 0) {
    process.pid = Spawn(process.command, folder_ / (name + ".out"));
  }
}

void ProcessCluster::SendSignal(const std::string& name, int signal) {
  const Process& process = processes_.at(name);
  if (process.pid != 0) {
    ::kill(process.pid, signal);
  }
}

void ProcessCluster::FillDisk(const std::string& name) {
  const rlimit full = {.rlim_cur = 1, .rlim_max = RLIM_INFINITY};
  ENDIVECLEAT_CHECK(::prlimit(processes_.at(name).pid, RLIMIT_FSIZE, &full, nullptr) == 0,
                    "cannot limit the size of files");
}

void ProcessCluster::EmptyDisk(const std::string& name) {
  const rlimit unlimited = {.rlim_cur = RLIM_INFINITY, .rlim_max = RLIM_INFINITY};
  ENDIVECLEAT_CHECK(::prlimit(processes_.at(name).pid, RLIMIT_FSIZE, &unlimited, nullptr) == 0,
                    "cannot end the limit of the size of files");
}

void ProcessCluster::Kill(const std::string& name) {
  Process& process = processes_.at(name);
  if (process.pid != 0) {
    ::kill(process.pid, SIGKILL);
    int status = 0;
    ::waitpid(process.pid, &status, 0);
    process.pid = 0;
  }
}

bool ProcessCluster::WaitForEnd(const std::string& name) {
  return WaitFor([&] { return !IsRunning(name); });
}

bool ProcessCluster::IsRunning(const std::string& name) {
  Process& process = processes_.at(name);
  int status = 0;
  if (process.pid != 0 && ::waitpid(process.pid, &status, WNOHANG) == process.pid) {
    process.pid = 0;
  }
  return process.pid != 0;
}

double ProcessCluster::PeakMemoryKb(const std::string& name) const {
  return test::PeakMemoryKb(processes_.at(name).pid);
}

void ProcessCluster::DeleteData(const std::string& control) {
  std::filesystem::remove_all(folder_ / (control + ".data"));
}

RpcAnswer ProcessCluster::Rpc(int control, const std::string& method,
                              const nlohmann::json& parameters) const {
  HttpRequest request;
  request.method = "POST";
  request.path = "/rpc";
  request.headers.Add("Authorization", std::string("Bearer ") + kToken);
  request.body =
      nlohmann::json{{"jsonrpc", "2.0"}, {"id", 1}, {"method", method}, {"params", parameters}}
          .dump();
  const HttpResponse response = Exchange(controls_.at(control).clients, request);
  const nlohmann::json body = nlohmann::json::parse(response.body, nullptr, false);
  RpcAnswer answer;
  answer.answered = response.status == 200 && body.is_object();
  if (answer.answered && body.contains("error")) {
    answer.code = body["error"].value("code", -1);
    answer.result = body["error"].value("data", nlohmann::json());
  } else if (answer.answered) {
    answer.result = body.value("result", nlohmann::json());
  }
  return answer;
}

RpcAnswer ProcessCluster::Submit(int control, const std::string& operation, uint64_t base,
                                 const std::string& document) const {
  return Rpc(
      control, "submit",
      {{"operation", operation}, {"base", base}, {"author", "test"}, {"document", document}});
}

nlohmann::json ProcessCluster::Show(int control) const {
  const RpcAnswer answer = Rpc(control, "show", nlohmann::json::object());
  return answer.answered && answer.code == 0 ? answer.result : nlohmann::json();
}

int ProcessCluster::Leader() const {
  for (const auto& [number, ports] : controls_) {
    const auto found = processes_.find(Control(number));
    const nlohmann::json shown = found->second.pid == 0 ? nlohmann::json() : Show(number);
    if (shown.is_object() && shown["role"] == "leader" && shown["confirmed"] == true) {
      return number;
    }
  }
  return 0;
}

bool ProcessCluster::WaitForLeader(int* leader) const {
  return WaitFor([&] { return (*leader = Leader()) != 0; });
}

RpcAnswer ProcessCluster::SubmitUntilKnown(const std::string& operation, uint64_t base,
                                           const std::string& document, int excluded) const {
  RpcAnswer answer;
  WaitFor([&] {
    for (int control = 1; control <= kControls; ++control) {
      if (control == excluded) {
        continue;
      }
      answer = Submit(control, operation, base, document);
      if (answer.answered && answer.code != 302 && answer.code != 303) {
        return true;
      }
    }
    return false;
  });
  return answer;
}

std::map<uint64_t, std::string> ProcessCluster::History(int control) const {
  std::map<uint64_t, std::string> history;
  const RpcAnswer answer = Rpc(control, "history", {{"after", 0}});
  if (answer.answered && answer.code == 0) {
    for (const auto& entry : answer.result["history"]) {
      history[entry["version"].get<uint64_t>()] = entry["operation"].get<std::string>();
    }
  }
  return history;
}

HttpResponse ProcessCluster::Call(int daemon, const HttpRequest& request) const {
  return Exchange(daemons_.at(daemon).clients, request);
}

nlohmann::json ProcessCluster::Health(int daemon) const {
  const HttpResponse response = Exchange(daemons_.at(daemon).local, GetRequest("/healthz"));
  const nlohmann::json body = nlohmann::json::parse(response.body, nullptr, false);
  return body.is_object() ? body : nlohmann::json();
}

uint64_t ProcessCluster::Version(int daemon) const {
  const nlohmann::json health = Health(daemon);
  return health.is_object() ? health.value("version", uint64_t{0}) : 0;
}

bool ProcessCluster::TargetReady(int daemon) const {
  const nlohmann::json health = Health(daemon);
  return health.is_object() && health["target"] == "ready";
}

bool ProcessCluster::TargetListed(int target) const {
  for (const auto& [number, ports] : controls_) {
    const nlohmann::json shown = Show(number);
    for (const auto& member : shown.is_object() ? shown["members"] : nlohmann::json::array()) {
      const bool works = member["state"] == "ready" || member["state"] == "warming";
      if (works && member["target"] == Target(target)) {
        return true;
      }
    }
  }
  return false;
}

double ProcessCluster::Metric(int control, const std::string& name) const {
  const std::string text = Exchange(controls_.at(control).clients, GetRequest("/metrics")).body;
  const size_t line = text.find("\n" + name + " ");
  return line == std::string::npos ? -1
                                   : std::strtod(text.c_str() + line + name.size() + 2, nullptr);
}

std::vector<std::string> ProcessCluster::Journal(int target) const {
  std::ifstream file(folder_ / (Target(target) + ".journal"));
  std::vector<std::string> keys;
  for (std::string key; std::getline(file, key);) {
    keys.push_back(key);
  }
  return keys;
}

std::string ProcessCluster::LogText(const std::string& name) const {
  return ReadFile(folder_ / (name + ".log"));
}

std::string ProcessCluster::Document(int number) {
  using nlohmann::json;
  const auto route = [](const std::string& path, const std::string& method, bool idempotent) {
    return json{{"name", path.substr(1)},   {"path_prefix", path},
                {"methods", {method}},      {"service", "portal"},
                {"idempotent", idempotent}, {"at_most_once", !idempotent}};
  };
  const json service = {{"targets", {"target-*"}},     {"slots", 9},           {"connections", 130},
                        {"queue_length", 50 + number}, {"queue_wait_ms", 500}, {"timeout_ms", 2000},
                        {"warm_up_ms", 100},           {"retry_percent", 100}};
  const json preset = {{"services", {{"portal", service}}},
                       {"routes",
                        {route("/bins", "GET", true), route("/slow", "GET", true),
                         route("/crash", "GET", true), route("/invoices", "POST", false)}}};
  return json{{"preset_in_force", "ordinary"}, {"presets", {{"ordinary", preset}}}}.dump();
}

bool ProcessCluster::InEast(const std::string& kind, int number) {
  return kind == "control" ? number <= 2 : number <= kDaemons / 2;
}

void ProcessCluster::AddControl(int number) {
  const std::string name = Control(number);
  const Ports& ports = controls_.at(number);
  WriteSettings(
      name,
      {{"instance", name},
       {"data_folder", name + ".data"},
       {"listen",
        {{"operators", LoopbackAddress(ports.clients)}, {"peers", LoopbackAddress(ports.peers)}}},
       {"operator_token_file", "operator.token"},
       {"heartbeat", "100ms"},
       {"election_timeout", "400ms"}},
      InEast("control", number));
  processes_[name].command = {ENDIVECLEAT_BINARY, "control", "--settings",
                              (folder_ / (name + ".json")).string()};
}

void ProcessCluster::AddDaemon(int number) {
  const std::string name = Daemon(number);
  const Ports& ports = daemons_.at(number);
  WriteSettings(name,
                {{"instance", name},
                 {"listen",
                  {{"callers", LoopbackAddress(ports.clients)},
                   {"peers", LoopbackAddress(ports.peers)},
                   {"local", LoopbackAddress(ports.local)}}},
                 {"neighbours",
                  {LoopbackAddress(daemons_.at(number % 2 == 1 ? number + 1 : number - 1).peers)}},
                 {"announce_token_file", "announce.token"}},
                InEast("daemon", number));
  processes_[name].command = {ENDIVECLEAT_BINARY, "daemon", "--settings",
                              (folder_ / (name + ".json")).string()};
  processes_[Target(number)].command = {STANDIN_BINARY,
                                        "--listen",
                                        LoopbackAddress(ports.target),
                                        "--daemon",
                                        LoopbackAddress(ports.local),
                                        "--service",
                                        "portal",
                                        "--target",
                                        Target(number),
                                        "--token-file",
                                        (folder_ / "announce.token").string(),
                                        "--journal",
                                        (folder_ / (Target(number) + ".journal")).string()};
  if (announced_port_) {
    std::vector<std::string>& command = processes_[Target(number)].command;
    command.insert(command.end(), {"--announce", LoopbackAddress(announced_port_(ports.target))});
  }
}

void ProcessCluster::WriteSettings(const std::string& name, nlohmann::json settings,
                                   bool east) const {
  settings["region"] = east ? "east" : "west";
  settings["data_centre"] = east ? "east-a" : "west-a";
  settings["control"] = ControlList();
  settings["mesh_token_file"] = "mesh.token";
  settings["log"] = {{"level", "info"}, {"target", name + ".log"}};
  std::ofstream(folder_ / (name + ".json")) << settings.dump(2);
}

nlohmann::json ProcessCluster::ControlList() const {
  nlohmann::json list = nlohmann::json::array();
  for (const auto& [number, ports] : controls_) {
    const bool east = InEast("control", number);
    list.push_back({{"instance", Control(number)},
                    {"region", east ? "east" : "west"},
                    {"data_centre", east ? "east-a" : "west-a"},
                    {"peers", LoopbackAddress(ports.peers)},
                    {"operators", LoopbackAddress(ports.clients)}});
  }
  return list;
}

bool ProcessCluster::AllServing() const {
  for (int number = 1; number <= kDaemons; ++number) {
    if (Version(number) == 0 || !TargetReady(number) || !TargetListed(number)) {
      return false;
    }
  }
  return true;
}

}  // namespace endivecleat::test
