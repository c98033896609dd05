// Fills in the deploy file's templates with the fields of the users' pages and runs its commands.
#include "deployment.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <random>
#include <sstream>
#include <stdexcept>
#include <thread>
#include <utility>

namespace review {
namespace {

constexpr Milliseconds kStep{20};
constexpr Milliseconds kStartTime{15'000};
constexpr Milliseconds kCallTime{1000};
constexpr int kPorts = 8;
constexpr int kMetricsPort = 9102;  // fixed by the templates
constexpr int kMaxRedirects = 2;

std::string ReadFile(const std::string& path) {
  const std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

/// The value of a key in the section of a role of the deploy file, without quotes.
std::string DeployValue(const std::string& deploy, const std::string& role,
                        const std::string& key) {
  const size_t section = deploy.find("[roles." + role + "]");
  const size_t line = deploy.find("\n" + key + " = \"", section);
  const size_t start = deploy.find('"', line) + 1;
  return deploy.substr(start, deploy.find('"', start) - start);
}

std::vector<std::string> SplitWords(const std::string& text) {
  std::istringstream stream(text);
  std::vector<std::string> words;
  for (std::string word; stream >> word;) {
    words.push_back(word);
  }
  return words;
}

std::string Quoted(const std::string& text) { return "\"" + text + "\""; }

}  // namespace

Deployment::Deployment(Record& record, std::string root, std::vector<Machine> machines)
    : record_(record), root_(std::move(root)), machines_(std::move(machines)) {
  std::string pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  if (mkdtemp(pattern.data()) == nullptr) {
    throw std::runtime_error("no temporary folder");
  }
  folder_ = pattern;
  std::random_device random;
  for (int attempt = 0; port_ == 0 && attempt < 50; ++attempt) {
    const std::string network = "127." + std::to_string(20 + random() % 200) + "." +
                                std::to_string(1 + random() % 250) + ".";
    int host = 10;
    for (Machine& machine : machines_) {
      machine.ip = network + std::to_string(host++);
    }
    port_ = static_cast<int>(12'000 + random() % 15'000);
    port_ = PortsAreFree() ? port_ : 0;
  }
  if (port_ == 0) {
    throw std::runtime_error("no free ports");
  }
}

Deployment::~Deployment() {
  servers_.clear();
  for (const auto& [name, pid] : processes_) {
    kill(pid, SIGCONT);
    kill(pid, SIGKILL);
    waitpid(pid, nullptr, 0);
  }
  if (std::getenv("REVIEW_KEEP") == nullptr) {
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
  }
}

bool Deployment::PortsAreFree() const {
  for (const Machine& machine : machines_) {
    for (int offset = 0; offset < kPorts; ++offset) {
      if (!Listen({machine.ip, Port(offset)}).valid()) {
        return false;
      }
    }
    if (!Listen({machine.ip, kMetricsPort}).valid()) {
      return false;
    }
  }
  return true;
}

const Machine& Deployment::Find(const std::string& machine) const {
  for (const Machine& each : machines_) {
    if (each.name == machine) {
      return each;
    }
  }
  throw std::runtime_error("no machine " + machine);
}

Endpoint Deployment::Outbound(const std::string& machine) const {
  return {Find(machine).ip, Port(1)};
}
Endpoint Deployment::Admin(const std::string& machine) const { return {Find(machine).ip, Port(3)}; }

std::string Deployment::Fill(const std::string& text, const Machine& machine) const {
  std::string seeds = "[";
  int count = 0;
  for (const Machine& each : machines_) {
    if (each.service.empty() && count < 3) {
      seeds += (count++ == 0 ? "" : ",") + Quoted(Endpoint{each.ip, Port(3)}.text());
    }
  }
  const std::map<std::string, std::string> fields = {
      {"ip", Quoted(machine.ip)},
      {"region", Quoted(machine.region)},
      {"zone", Quoted(machine.zone)},
      {"service", Quoted(machine.service)},
      {"seeds", seeds + "]"},
      {"bootstrap", bootstrap_ ? "true" : "false"},
      {"faultTolerance.nodes", "1"},
      {"bounds.configMs", "2500"},
      {"bounds.graceS", "6"},
      {"bounds.retryBurst", "62"},
      {"dataDir", Quoted(folder_ + "/" + machine.name + ".data")},
      {"internalPorts.0", std::to_string(Port(4))},
      {"listen.readiness", Quoted(Endpoint{machine.ip, Port(0)}.text())},
      {"listen.outbound", Quoted(Endpoint{machine.ip, Port(1)}.text())},
      {"listen.inbound", Quoted(Endpoint{machine.ip, Port(2)}.text())},
      {"listen.admin", Quoted(Endpoint{machine.ip, Port(3)}.text())},
      {"upstream", Quoted(Endpoint{machine.ip, Port(6)}.text())}};
  std::string filled = text;
  for (size_t open = 0; (open = filled.find("{{", open)) != std::string::npos;) {
    const size_t close = filled.find("}}", open);
    std::string name = filled.substr(open + 2, close - open - 2);
    const size_t bar = name.find('|');
    std::string value = fields.at(name.substr(0, bar));
    if (bar == std::string::npos && value.starts_with('"')) {
      value = value.substr(1, value.size() - 2);
    }
    filled.replace(open, close + 2 - open, value);
    open += value.size();
  }
  return filled;
}

void Deployment::StartProcess(const std::string& name) {
  const Machine& machine = Find(name);
  const std::string deploy = ReadFile(root_ + "/deploy/system.toml");
  const std::string role = machine.service.empty() ? "control" : "daemon";
  const std::string settings = folder_ + "/" + name + ".json";
  std::filesystem::create_directories(folder_ + "/" + name + ".data");
  std::ofstream(settings) << Fill(ReadFile(root_ + "/" + DeployValue(deploy, role, "template")),
                                  machine);
  std::vector<std::string> words = SplitWords(DeployValue(deploy, role, "run"));
  std::vector<char*> arguments;
  arguments.reserve(words.size() + 1);
  for (std::string& word : words) {
    arguments.push_back(word.data());
  }
  arguments.push_back(nullptr);
  const std::string log = folder_ + "/" + name + ".log";
  const pid_t pid = fork();
  if (pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);  // the processes end with the case, however that ends
    const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    setenv("ENDIVECLEAT_SETTINGS", settings.c_str(), 1);
    if (chdir(root_.c_str()) == 0) {
      execv(arguments[0], arguments.data());
    }
    _exit(127);
  }
  processes_[name] = pid;
  record_.Write("platform starts " + name);
}

void Deployment::StartServer(const std::string& name, const std::string& id) {
  const Machine& machine = Find(name);
  servers_.erase(name);  // the old one has to release its address
  record_.Write("server " + id + " starts on " + name);
  servers_[name] = std::make_unique<Server>(record_, ServerOptions{.id = id,
                                                                   .service = machine.service,
                                                                   .zone = machine.zone,
                                                                   .address = {machine.ip, Port(6)},
                                                                   .admin = Admin(name),
                                                                   .crashes_on = crashes_on_});
}

void Deployment::Signal(const std::string& machine, int signal) {
  record_.Write("platform sends signal " + std::to_string(signal) + " to " + machine);
  kill(processes_.at(machine), signal);
}

bool Deployment::Running(const std::string& machine) {
  const auto found = processes_.find(machine);
  if (found == processes_.end()) {
    return false;
  }
  if (waitpid(found->second, nullptr, WNOHANG) == 0) {
    return true;
  }
  processes_.erase(found);
  record_.Write("process of " + machine + " has ended");
  return false;
}

bool Deployment::WaitForEnd(const std::string& machine, Milliseconds timeout) {
  const Clock::time_point until = Clock::now() + timeout;
  while (Running(machine) && Clock::now() < until) {
    std::this_thread::sleep_for(kStep);
  }
  return !processes_.contains(machine);
}

bool Deployment::Ready(const std::string& machine) const {
  const Message request{.method = "GET", .target = "/-/readiness", .headers = {{"Host", "x"}}};
  const auto answer = Exchange({Find(machine).ip, Port(0)}, request, Milliseconds(500));
  return answer && answer->status == 200;
}

bool Deployment::Start(const std::string& resources) {
  for (const Machine& machine : machines_) {
    StartProcess(machine.name);
    if (!machine.service.empty()) {
      StartServer(machine.name, "i-" + machine.name);
    }
  }
  bootstrap_ = false;  // at every later start
  if (Put("00000003", "00000000", resources, kStartTime) != 200) {
    return false;
  }
  const Clock::time_point until = Clock::now() + kStartTime;
  for (const Machine& machine : machines_) {
    while (!machine.service.empty() && !Ready(machine.name)) {
      if (Clock::now() > until) {
        return false;
      }
      std::this_thread::sleep_for(kStep);
    }
  }
  return true;
}

int Deployment::Put(const std::string& version, const std::string& base,
                    const std::string& resources, Milliseconds timeout) {
  Message request{.method = "PUT", .target = "/-/config"};
  request.headers = {{"Host", "control"}, {"Content-Type", "application/json"}};
  request.body = R"({"version":")" + version + R"(","baseVersion":")" + base +
                 R"(","resources":[)" + resources + "]}";
  const Clock::time_point until = Clock::now() + timeout;
  while (Clock::now() < until) {
    for (const Machine& machine : machines_) {
      if (!machine.service.empty()) {
        continue;
      }
      Endpoint to = Admin(machine.name);
      std::optional<Message> answer = Exchange(to, request, kCallTime);
      for (int hop = 0; answer && answer->status == 307 && hop < kMaxRedirects; ++hop) {
        const std::string location = answer->Header("Location");
        const size_t start = location.find("//") + 2;
        to.ip = location.substr(start, location.find(':', start) - start);
        answer = Exchange(to, request, kCallTime);
      }
      if (answer && (answer->status == 200 || answer->status / 100 == 4)) {
        record_.Write("operator puts " + version + " -> " + std::to_string(answer->status));
        return answer->status;
      }
      std::this_thread::sleep_for(kStep * 5);
    }
  }
  return 0;
}

std::string RouteResource(const std::string& name, const std::string& prefix,
                          const std::string& type, const std::string& service, int timeout_ms,
                          const std::string& host) {
  return R"({"type":"routes","metadata":{"name":")" + name + R"("},"spec":{"host":")" + host +
         R"(","pathPrefix":")" + prefix + R"(","routeType":")" + type + R"(","timeoutMs":)" +
         std::to_string(timeout_ms) + R"(,"sloMs":600,"priority":1,"service":")" + service +
         R"(","attempts":2}})";
}

std::string ServiceResource(const std::string& name) {
  return R"({"type":"services","metadata":{"name":")" + name +
         R"("},"spec":{"healthPath":"/healthz","maxConns":130,"protocol":"h1","tls":false}})";
}

std::string LimitsResource() {
  return R"({"type":"limits","metadata":{},"spec":{"maxHeaderBytes":16384,)"
         R"("maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})";
}

Message ClientRequest(const std::string& method, const std::string& target, const std::string& id,
                      int timeout_ms) {
  Message request{.method = method, .target = target};
  request.headers = {
      {"Host", kHost}, {"Request-Id", id}, {"Timeout-Ms", std::to_string(timeout_ms)}};
  return request;
}

}  // namespace review
