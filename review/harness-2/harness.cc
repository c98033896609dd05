// Implements the deployment and the stand-ins with blocking sockets and a thread for each
// connection.
#include "harness.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cerrno>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <random>
#include <sstream>
#include <utility>

namespace review {
namespace {

using Clock = std::chrono::steady_clock;

constexpr int kSlots = 9;
constexpr double kReportInterval = 1.5;  // "heartbeatMs" of the example settings
constexpr double kPollInterval = 0.02;
constexpr char kBinary[] = "target/endivecleat";

Clock::time_point StartOfCase() {
  static const Clock::time_point start = Clock::now();
  return start;
}

std::mt19937_64& Generator() {
  static std::mt19937_64 generator{std::random_device{}()};
  return generator;
}

sockaddr_in SocketAddress(const std::string& ip, uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

int Listen(const std::string& ip, uint16_t port) {
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in address = SocketAddress(ip, port);
  constexpr int kBacklog = 128;
  if (bind(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0 ||
      listen(descriptor, kBacklog) != 0) {
    close(descriptor);
    return -1;
  }
  return descriptor;
}

bool IsFree(const std::string& ip, uint16_t port) {
  const Socket listener(Listen(ip, port));
  return listener.valid();
}

std::string Replace(std::string text, const std::string& from, const std::string& to) {
  for (size_t at = text.find(from); at != std::string::npos; at = text.find(from, at + to.size())) {
    text.replace(at, from.size(), to);
  }
  return text;
}

std::string Quoted(const std::string& text) { return "\"" + text + "\""; }

std::string ReadFile(const std::filesystem::path& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

std::string Trim(const std::string& text) {
  const size_t first = text.find_first_not_of(" \t");
  const size_t last = text.find_last_not_of(" \t");
  return first == std::string::npos ? "" : text.substr(first, last - first + 1);
}

Message ParseHead(const std::string& head) {
  Message message;
  std::istringstream lines(head);
  std::string line;
  while (std::getline(lines, line)) {
    if (!line.empty() && line.back() == '\r') {
      line.pop_back();
    }
    const size_t colon = line.find(':');
    if (message.start_line.empty()) {
      message.start_line = line;
    } else if (colon != std::string::npos) {
      std::string name = line.substr(0, colon);
      std::transform(name.begin(), name.end(), name.begin(),
                     [](unsigned char character) { return std::tolower(character); });
      message.headers[name] = Trim(line.substr(colon + 1));
    }
  }
  return message;
}

}  // namespace

double Elapsed() { return std::chrono::duration<double>(Clock::now() - StartOfCase()).count(); }

void Sleep(double seconds) {
  std::this_thread::sleep_for(std::chrono::duration<double>(std::max(seconds, 0.0)));
}

std::string Format(const char* format, ...) {
  std::array<char, 4096> text{};
  va_list arguments;
  va_start(arguments, format);
  std::vsnprintf(text.data(), text.size(), format, arguments);
  va_end(arguments);
  return text.data();
}

std::string RandomId() {
  static std::mutex mutex;
  const std::lock_guard<std::mutex> lock(mutex);
  std::ostringstream text;
  text.width(16);
  text.fill('0');
  text << std::hex << Generator()();
  return text.str();
}

bool WithTrouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

int64_t WallClockMs() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

Record::Record(const std::filesystem::path& folder) : file_(folder / "record.txt") {
  StartOfCase();
}

void Record::Write(const std::string& line) {
  const std::lock_guard<std::mutex> lock(mutex_);
  file_ << Format("%8.3f ", Elapsed()) << line << std::endl;
}

Socket::~Socket() { Close(); }

Socket::Socket(Socket&& other) noexcept : descriptor_(std::exchange(other.descriptor_, -1)) {}

Socket& Socket::operator=(Socket&& other) noexcept {
  Close();
  descriptor_ = std::exchange(other.descriptor_, -1);
  return *this;
}

Socket Socket::Connect(const std::string& ip, uint16_t port) {
  Socket result(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const sockaddr_in address = SocketAddress(ip, port);
  const int on = 1;
  setsockopt(result.descriptor_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  if (connect(result.descriptor_, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) !=
      0) {
    result.Close();
  }
  return result;
}

bool Socket::Send(const std::string& bytes) const {
  size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t count = send(descriptor_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<size_t>(count);
  }
  return true;
}

bool Socket::Receive(std::string& buffer, double seconds) const {
  pollfd wanted{descriptor_, POLLIN, 0};
  if (poll(&wanted, 1, static_cast<int>(seconds * 1000)) == 0) {
    return true;
  }
  std::array<char, 16384> bytes{};
  const ssize_t count = recv(descriptor_, bytes.data(), bytes.size(), 0);
  buffer.append(bytes.data(), count > 0 ? static_cast<size_t>(count) : 0);
  return count > 0;
}

void Socket::Close() {
  if (descriptor_ >= 0) {
    close(std::exchange(descriptor_, -1));
  }
}

int Message::status() const {
  const size_t space = start_line.find(' ');
  return space == std::string::npos ? 0 : std::atoi(start_line.c_str() + space);
}

std::string Message::Header(const std::string& name) const {
  const auto found = headers.find(name);
  return found == headers.end() ? "" : found->second;
}

std::optional<Message> ReadMessage(const Socket& socket, std::string& buffer, double seconds) {
  const double until = Elapsed() + seconds;
  while (true) {
    if (const size_t end = buffer.find("\r\n\r\n"); end != std::string::npos) {
      Message message = ParseHead(buffer.substr(0, end));
      const size_t length = std::strtoul(message.Header("content-length").c_str(), nullptr, 10);
      const size_t start = end + 4;
      if (buffer.size() - start >= length) {
        message.body = buffer.substr(start, length);
        buffer.erase(0, start + length);
        return message;
      }
    }
    const double left = until - Elapsed();
    if (left <= 0 || !socket.Receive(buffer, left)) {
      return std::nullopt;
    }
  }
}

std::optional<Message> Exchange(const std::string& ip, uint16_t port, const std::string& request,
                                double seconds) {
  const Socket socket = Socket::Connect(ip, port);
  std::string buffer;
  if (!socket.valid() || !socket.Send(request)) {
    return std::nullopt;
  }
  return ReadMessage(socket, buffer, seconds);
}

std::string Request::Text() const {
  std::string text = method + " " + path + " HTTP/1.1\r\nHost: " + kHost + "\r\nRequest-Id: " + id +
                     "\r\nTimeout-Ms: " + timeout + "\r\n";
  for (const std::string& field : fields) {
    text += field + "\r\n";
  }
  if (!body.empty() || method != "GET") {
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  return text + "\r\n" + body;
}

Deployment::Deployment(Record& record) : record_(record) {
  std::string name = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  folder_ = mkdtemp(name.data());
  std::uniform_int_distribution<int> blocks(2, 250);
  do {
    block_ = blocks(Generator());
  } while (!IsFree(CoreAddress(0), kAdminPort) || !IsFree(SidecarAddress(0), kAdminPort) ||
           !IsFree(CoreAddress(0), kPeerPort) || !IsFree(SidecarAddress(0), kPeerPort) ||
           !IsFree(CoreAddress(0), kMetricsPort) || !IsFree(SidecarAddress(0), kOutboundPort));
}

Deployment::~Deployment() {
  for (const auto& [address, pid] : processes_) {
    kill(pid, SIGKILL);
  }
  for (const auto& [address, pid] : processes_) {
    waitpid(pid, nullptr, 0);
  }
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

std::string Deployment::CoreAddress(int machine) const {
  return Format("127.%d.0.%d", block_, machine + 1);
}

std::string Deployment::SidecarAddress(int machine) const {
  return Format("127.%d.1.%d", block_, machine + 1);
}

std::string Deployment::Zone(int machine) {
  constexpr std::array<const char*, 4> kZones = {"cant-a", "ebro-a", "cant-b", "ebro-b"};
  return kZones.at(static_cast<size_t>(machine) % kZones.size());
}

// The fields of the settings as the platform fills them in, for the placeholders of the templates.
std::string Deployment::FillTemplate(const std::string& role, const std::string& address,
                                     int machine, const std::string& service) const {
  std::string seeds = "[";
  for (int seed = 0; seed < std::min(core_machines_, 3); ++seed) {
    seeds.append(seed == 0 ? "" : ",")
        .append(Quoted(CoreAddress(seed) + ":" + std::to_string(kAdminPort)));
  }
  const auto listen = [&](uint16_t port) { return Quoted(address + ":" + std::to_string(port)); };
  const std::string zone = Zone(machine);
  const std::map<std::string, std::string> fields = {
      {"ip", address},
      {"ip|json", Quoted(address)},
      {"region|json", Quoted(zone.substr(0, 4) == "cant" ? "cantabrico" : "ebro")},
      {"zone|json", Quoted(zone)},
      {"seeds|json", seeds + "]"},
      {"bootstrap|json", "true"},
      {"faultTolerance.nodes|json", core_machines_ >= 3 ? "1" : "0"},
      {"bounds.configMs", "2500"},
      {"bounds.graceS|json", "6"},
      {"bounds.retryBurst|json", "62"},
      {"internalPorts.0", std::to_string(kPeerPort)},
      {"service|json", Quoted(service)},
      {"listen.outbound|json", listen(kOutboundPort)},
      {"listen.admin|json", listen(kAdminPort)},
      {"listen.readiness|json", listen(kReadinessPort)},
      {"upstream|json", listen(kServerPort)},
      {"dataDir|json", Quoted((folder_ / ("data-" + address)).string())}};
  std::string text = ReadFile("deploy/" + role + ".json.template");
  for (const auto& [name, value] : fields) {
    const std::string placeholder = Format("{{%s}}", name.c_str());
    text = Replace(std::move(text), placeholder, value);
  }
  return text;
}

void Deployment::Start(const std::string& role, const std::string& address, int machine,
                       const std::string& service) {
  const std::filesystem::path settings = folder_ / (role + "-" + address + ".json");
  std::ofstream(settings) << FillTemplate(role, address, machine, service);
  const std::string output = (folder_ / (address + ".log")).string();
  const std::string command = "platform-" + role;
  const std::string variable = "ENDIVECLEAT_SETTINGS=" + settings.string();
  const pid_t pid = fork();
  if (pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);  // ends with the case, however that ends
    const int file = open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(file, STDOUT_FILENO);
    dup2(file, STDERR_FILENO);
    std::array<char*, 2> environment = {const_cast<char*>(variable.c_str()), nullptr};
    execle(kBinary, kBinary, command.c_str(), nullptr, environment.data());
    _exit(127);
  }
  processes_[address] = pid;
  record_.Write("started " + std::string(kBinary) + " " + command + " at " + address);
}

void Deployment::StartCore(int machines) {
  core_machines_ = machines;
  for (int machine = 0; machine < machines; ++machine) {
    Start("control", CoreAddress(machine), machine, "");
  }
}

void Deployment::StartDaemon(int machine, const std::string& service) {
  const std::string address = SidecarAddress(machine);
  if (std::find(daemons_.begin(), daemons_.end(), address) == daemons_.end()) {
    daemons_.push_back(address);
  }
  Start("daemon", address, machine, service);
}

pid_t Deployment::ProcessId(const std::string& address) const {
  const auto found = processes_.find(address);
  return found == processes_.end() ? 0 : found->second;
}

bool Deployment::IsRunning(const std::string& address) {
  const auto found = processes_.find(address);
  if (found == processes_.end()) {
    return false;
  }
  int status = 0;
  if (waitpid(found->second, &status, WNOHANG) == 0) {
    return true;
  }
  record_.Write(Format("the process at %s has ended: %s %d", address.c_str(),
                       WIFSIGNALED(status) ? "signal" : "exit status",
                       WIFSIGNALED(status) ? WTERMSIG(status) : WEXITSTATUS(status)));
  processes_.erase(found);
  return false;
}

void Deployment::Signal(const std::string& address, int signal) {
  if (const auto found = processes_.find(address); found != processes_.end()) {
    kill(found->second, signal);
    record_.Write(Format("signal %d to the process at %s", signal, address.c_str()));
  }
}

void Deployment::Kill(const std::string& address) {
  Signal(address, SIGKILL);
  if (const auto found = processes_.find(address); found != processes_.end()) {
    waitpid(found->second, nullptr, 0);
    processes_.erase(found);
  }
}

std::string Deployment::LastOutput(const std::string& address) const {
  const std::string text = ReadFile(folder_ / (address + ".log"));
  const size_t end = text.find_last_not_of('\n');
  const size_t start = end == std::string::npos ? std::string::npos : text.rfind('\n', end);
  return end == std::string::npos ? ""
                                  : text.substr(start == std::string::npos ? 0 : start + 1,
                                                end - (start == std::string::npos ? 0 : start));
}

int Deployment::Submit(const std::string& configuration, double seconds) {
  const std::string request =
      "PUT /-/config HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\n"
      "Connection: close\r\nContent-Length: " +
      std::to_string(configuration.size()) + "\r\n\r\n" + configuration;
  const double until = Elapsed() + seconds;
  for (int machine = 0; Elapsed() < until; machine = (machine + 1) % core_machines_) {
    std::string address = CoreAddress(machine);
    std::optional<Message> response = Exchange(address, kAdminPort, request, 1);
    if (response && response->status() == 307) {
      const std::string location = response->Header("location");
      const size_t start = location.find("//") + 2;
      address = location.substr(start, location.find(':', start) - start);
      response = Exchange(address, kAdminPort, request, 1);
    }
    const int status = response ? response->status() : 0;
    if (status == 200 || (status >= 400 && status < 500)) {
      record_.Write(Format("configuration: %d from %s", status, address.c_str()));
      return status;
    }
    Sleep(0.2);
  }
  return 0;
}

bool Deployment::WaitUntilReady(double seconds) {
  const double until = Elapsed() + seconds;
  const auto is_ready = [](const std::string& address) {
    const std::optional<Message> response =
        Exchange(address, kReadinessPort,
                 "GET /-/readiness HTTP/1.1\r\nHost: daemon\r\nConnection: close\r\n\r\n", 1);
    return response && response->status() == 200;
  };
  while (!std::all_of(daemons_.begin(), daemons_.end(), is_ready)) {
    if (Elapsed() >= until) {
      return false;
    }
    Sleep(0.1);
  }
  return true;
}

std::string Configuration(uint32_t version, uint32_t base, const std::vector<std::string>& services,
                          const std::vector<Route>& routes) {
  std::string text =
      Format(R"({"version":"%08x","baseVersion":"%08x","resources":[)", version, base);
  for (const Route& route : routes) {
    text += Format(
        R"({"type":"routes","metadata":{"name":"%s"},"spec":{"host":"%s","pathPrefix":"%s",)"
        R"("routeType":"%s","timeoutMs":%d,"sloMs":600,"priority":1,"service":"%s","attempts":2}},)",
        route.name.c_str(), kHost, route.prefix.c_str(), route.type.c_str(), route.timeout_ms,
        route.service.c_str());
  }
  for (const std::string& service : services) {
    text += Format(R"({"type":"services","metadata":{"name":"%s"},"spec":{"healthPath":"/healthz",)"
                   R"("maxConns":130,"protocol":"h1","tls":false}},)",
                   service.c_str());
  }
  return text +
         R"({"type":"limits","metadata":{},"spec":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,)"
         R"("headerTimeoutMs":3000,"idleTimeoutMs":15000}}]})";
}

Server::Server(const Deployment& deployment, Record& record, int machine, std::string service,
               WorkTime work_time, bool reports)
    : record_(record),
      address_(deployment.SidecarAddress(machine)),
      zone_(Deployment::Zone(machine)),
      service_(std::move(service)),
      id_("i-" + RandomId().substr(0, 8)),
      work_time_(std::move(work_time)),
      born_ms_(WallClockMs()),
      listener_(Listen(address_, kServerPort)) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    threads_.emplace_back([this] { Accept(); });
  }
  if (reports) {
    const std::lock_guard<std::mutex> lock(mutex_);
    threads_.emplace_back([this] { SendReports(); });
  }
}

Server::~Server() {
  stopping_ = true;
  shutdown(listener_.descriptor(), SHUT_RDWR);
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const int descriptor : open_) {
      shutdown(descriptor, SHUT_RDWR);
    }
  }
  std::vector<std::thread> threads;
  threads_.front().join();  // no more threads are added after this one
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    threads = std::move(threads_);
  }
  for (size_t index = 1; index < threads.size(); ++index) {
    threads[index].join();
  }
}

std::vector<Run> Server::runs() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return runs_;
}

std::vector<Run> Server::runs(const std::string& prefix) const {
  std::vector<Run> matching = runs();
  std::erase_if(matching,
                [&](const Run& run) { return run.path.substr(0, prefix.size()) != prefix; });
  return matching;
}

void Server::Accept() {
  while (!stopping_) {
    if (down_) {
      listener_.Close();
      listening_ = false;
      while (down_ && !stopping_) {
        Sleep(0.001);
      }
      listener_ = Socket(Listen(address_, kServerPort));
      listening_ = true;
      continue;
    }
    const int descriptor = accept4(listener_.descriptor(), nullptr, nullptr, SOCK_CLOEXEC);
    if (descriptor < 0) {
      continue;
    }
    const int on = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    const std::lock_guard<std::mutex> lock(mutex_);
    if (stopping_) {
      close(descriptor);
      return;
    }
    open_.insert(descriptor);
    threads_.emplace_back([this, descriptor] { Serve(Socket(descriptor)); });
  }
}

void Server::Serve(Socket socket) {
  constexpr double kIdleTimeout = 10;
  std::string buffer;
  while (!stopping_) {
    const std::optional<Message> request = ReadMessage(socket, buffer, kIdleTimeout);
    if (!request) {
      break;
    }
    HandleRequest(socket, *request);
  }
  const std::lock_guard<std::mutex> lock(mutex_);
  open_.erase(socket.descriptor());
}

void Server::HandleRequest(const Socket& socket, const Message& request) {
  const std::string load = Format("Server-Load: %d,0,%d\r\n", running_.load(), kSlots);
  const std::string id = request.Header("request-id");
  const size_t first = request.start_line.find(' ');
  const std::string path =
      request.start_line.substr(first + 1, request.start_line.rfind(' ') - first - 1);
  if (path == "/healthz") {
    std::unique_lock<std::mutex> lock(mutex_);
    const bool healthy = state_ == "ready";
    lock.unlock();
    socket.Send(Format("HTTP/1.1 %s\r\nInstance-Id: %s\r\n%sContent-Length: 0\r\n\r\n",
                       healthy ? "200 OK" : "503 Leaving", id_.c_str(), load.c_str()));
    return;
  }
  const auto reject = [&](const char* status) {
    record_.Write("server " + id_ + " rejects " + id + " " + path + ": " + status);
    const std::string echo = id.empty() ? "" : "Request-Id: " + id + "\r\n";
    socket.Send(Format("HTTP/1.1 %s\r\nNot-Executed: 1\r\n", status) + echo + load +
                "Content-Length: 0\r\n\r\n");
  };
  const std::string target = request.Header("target-instance");
  if (id.empty()) {
    reject("400 Bad Request");
    return;
  }
  if (!target.empty() && target != id_) {
    reject("421 Misdirected Request");
    return;
  }
  if (running_.fetch_add(1) >= kSlots) {
    --running_;
    reject("503 Full");
    return;
  }
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    runs_.push_back({Elapsed(), id, path, id_, request.headers});
  }
  record_.Write("server " + id_ + " of " + service_ + " runs " + id + " " + path +
                " caller=" + request.Header("caller") + " timeout=" + request.Header("timeout-ms"));
  const double deadline = std::strtod(request.Header("timeout-ms").c_str(), nullptr) / 1000;
  const double work = work_time_(request);
  Sleep(std::min(work, deadline));
  --running_;
  const std::string body = work <= deadline ? "done " + id : "";
  socket.Send(
      Format("HTTP/1.1 %s\r\nRequest-Id: %s\r\nResponse-Stamp: stamp.%s\r\n%s"
             "Content-Length: %zu\r\n\r\n%s",
             work <= deadline ? "200 OK" : "504 Deadline", id.c_str(), id.c_str(), load.c_str(),
             body.size(), body.c_str()));
  record_.Write(
      Format("server %s ends %s: %s", id_.c_str(), id.c_str(), work <= deadline ? "200" : "504"));
}

int Server::Report(const std::string& state) {
  std::string body;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    state_ = state;
    body = Format(
        R"({"service":"%s","address":"%s:%d","zone":"%s","version":"v1","slots":%d,"state":"%s",)"
        R"("coldLeftMs":0,"seq":%llu,"born":%lld})",
        service_.c_str(), address_.c_str(), int{kServerPort}, zone_.c_str(), kSlots, state.c_str(),
        static_cast<unsigned long long>(++sequence_), static_cast<long long>(born_ms_));  // NOLINT
  }
  const std::optional<Message> response =
      Exchange(address_, kAdminPort,
               "PUT /-/instances/" + id_ +
                   " HTTP/1.1\r\nHost: daemon\r\nContent-Type: application/json\r\n"
                   "Connection: close\r\nContent-Length: " +
                   std::to_string(body.size()) + "\r\n\r\n" + body,
               1);
  const int status = response ? response->status() : 0;
  record_.Write("server " + id_ + " reports " + body + " -> " + std::to_string(status));
  return status;
}

void Server::GoDown() {
  record_.Write("server " + id_ + " ends");
  down_ = true;
  shutdown(listener_.descriptor(), SHUT_RDWR);
  const std::lock_guard<std::mutex> lock(mutex_);
  for (const int descriptor : open_) {
    shutdown(descriptor, SHUT_RDWR);
  }
}

void Server::Restart(int64_t born_ms) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    born_ms_ = born_ms;
    sequence_ = 0;
    state_ = "ready";
  }
  down_ = false;
  while (!listening_) {
    Sleep(0.001);
  }
  record_.Write("server " + id_ + " starts again");
}

void Server::SetBorn(int64_t born_ms) {
  const std::lock_guard<std::mutex> lock(mutex_);
  born_ms_ = born_ms;
}

void Server::SendReports() {
  while (!stopping_) {
    std::unique_lock<std::mutex> lock(mutex_);
    const std::string state = state_;
    lock.unlock();
    Report(state);
    const double next = Elapsed() + kReportInterval;
    while (!stopping_ && Elapsed() < next) {
      Sleep(kPollInterval);
    }
  }
}

}  // namespace review
