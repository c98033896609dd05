// The control instance runs on 127.0.0.1 and the daemon on 127.0.0.2, because instances with
// discovery are named by their address and share one peer port.
#include "platform_pair.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <vector>

#include "process_cluster.h"

namespace endivecleat::test {
namespace {

constexpr char kControlIp[] = "127.0.0.1";
constexpr char kDaemonIp[] = "127.0.0.2";
// The token that "closed_network" sets.
constexpr char kToken[] = "closed-network-without-secrets";
constexpr int kReceiveTimeoutS = 10;

sockaddr_in SocketAddress(const Address& address) {
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(address.port);
  inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
  return result;
}

void Stop(pid_t pid) {
  if (pid != 0) {
    ::kill(pid, SIGKILL);
    int status = 0;
    ::waitpid(pid, &status, 0);
  }
}

nlohmann::json Route(const std::string& name, const std::string& prefix, const char* type) {
  return {{"type", "routes"},
          {"metadata", {{"name", name}}},
          {"spec",
           {{"host", "mesh"},
            {"pathPrefix", prefix},
            {"routeType", type},
            {"timeoutMs", 5000},
            {"sloMs", 600},
            {"priority", 1},
            {"service", "portal"},
            {"attempts", 2}}}};
}

std::string VersionText(uint64_t version) {
  std::array<char, 17> text{};
  std::snprintf(text.data(), text.size(), "%08llx", static_cast<unsigned long long>(version));
  return text.data();
}

}  // namespace

HttpResponse ExchangeWith(const Address& address, const HttpRequest& request) {
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const timeval limit{kReceiveTimeoutS, 0};
  ::setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
  ::setsockopt(socket, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
  const sockaddr_in to = SocketAddress(address);
  const std::string text = RequestText(request, false);
  std::string answer;
  const bool sent =
      ::connect(socket, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) == 0 &&
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

PlatformPair::PlatformPair(const nlohmann::json& ingress, uint16_t announced_port)
    : folder_(CreateTemporaryFolder()),
      ingress_(ingress),
      announced_port_(announced_port),
      peer_port_(FreePort()),
      callers_{kDaemonIp, FreePort()},
      announcements_{kDaemonIp, FreePort()},
      operators_{kControlIp, FreePort()},
      local_{kDaemonIp, FreePort()},
      target_{kDaemonIp, FreePort()} {
  std::ofstream(folder_ / "announce.token") << kToken;
  WriteSettings("control", {{"instance", kControlIp},
                            {"data_folder", "control.data"},
                            {"ledger", false},
                            {"heartbeat", "100ms"},
                            {"election_timeout", "400ms"},
                            {"listen",
                             {{"operators", Address{kControlIp, FreePort()}.text()},
                              {"peers", Address{kControlIp, peer_port_}.text()}}},
                            {"adapter", {{"operators", operators_.text()}, {"grace_s", 10}}}});
  WriteSettings("daemon", {{"instance", kDaemonIp},
                           {"service", "portal"},
                           {"listen",
                            {{"callers", callers_.text()},
                             {"local", local_.text()},
                             {"peers", Address{kDaemonIp, peer_port_}.text()}}},
                           {"adapter",
                            {{"announcements", announcements_.text()},
                             {"readiness", Address{kDaemonIp, FreePort()}.text()},
                             {"target", target_.text()},
                             {"grace_s", 10}}}});
}

PlatformPair::~PlatformPair() {
  Stop(standin_);
  Stop(daemon_);
  Stop(control_);
  if (std::getenv("ENDIVECLEAT_KEEP_FOLDER") == nullptr) {
    std::filesystem::remove_all(folder_);
  }
}

void PlatformPair::WriteSettings(const std::string& name, nlohmann::json settings) const {
  settings["region"] = "east";
  settings["data_centre"] = "east-a";
  settings["closed_network"] = true;
  settings["discovery"] = {{"seeds", {Address{kControlIp, peer_port_}.text()}},
                           {"bootstrap", true},
                           {"tolerated_losses", 0}};
  settings["log"] = {{"level", "info"}, {"target", name + ".log"}};
  settings["in_force_within"] = "2500ms";
  if (!ingress_.is_null()) {
    settings["ingress"] = ingress_;
  }
  std::ofstream(folder_ / (name + ".json")) << settings.dump(2);
}

bool PlatformPair::Start() {
  control_ = Spawn(
      {ENDIVECLEAT_BINARY, "platform-control", "--settings", (folder_ / "control.json").string()},
      folder_ / "control.out");
  daemon_ = Spawn(
      {ENDIVECLEAT_BINARY, "platform-daemon", "--settings", (folder_ / "daemon.json").string()},
      folder_ / "daemon.out");
  std::vector<std::string> target = {STANDIN_BINARY,
                                     "--listen",
                                     target_.text(),
                                     "--daemon",
                                     local_.text(),
                                     "--service",
                                     "portal",
                                     "--target",
                                     "target-1",
                                     "--token-file",
                                     (folder_ / "announce.token").string()};
  if (announced_port_ != 0) {
    target.insert(target.end(), {"--announce", Address{kControlIp, announced_port_}.text()});
  }
  standin_ = Spawn(target, folder_ / "target.out");
  HttpRequest submit;
  submit.method = "PUT";
  submit.path = "/-/config";
  submit.body = Document(1, 0, 0);
  return WaitFor([&] { return ExchangeWith(operators_, submit).status == 200; }) && WaitFor([&] {
           const int status = ExchangeWith(callers_, GetRequest("/bins")).status;
           return announced_port_ == 0 ? status == 200 : status != 0 && status != 503;
         });
}

std::string PlatformPair::Document(uint64_t version, uint64_t base, size_t bytes) {
  nlohmann::json resources = {
      {{"type", "services"},
       {"metadata", {{"name", "portal"}}},
       {"spec",
        {{"healthPath", "/healthz"}, {"maxConns", 130}, {"protocol", "h1"}, {"tls", false}}}},
      {{"type", "limits"},
       {"metadata", nlohmann::json::object()},
       {"spec",
        {{"maxHeaderBytes", 16384},
         {"maxBodyBytes", 67108864},
         {"headerTimeoutMs", 3000},
         {"idleTimeoutMs", 15000}}}},
      Route("bins", "/bins", "idempotent"),
      Route("invoices", "/invoices", "non_idempotent")};
  const size_t route_bytes = Route("padding-00000", "/padding-00000/", "idempotent").dump().size();
  for (size_t route = 0; route * route_bytes < bytes; ++route) {
    const std::string name = "padding-" + VersionText(route);
    resources.push_back(Route(name, "/" + name + "/", "idempotent"));
  }
  return nlohmann::json{{"version", VersionText(version)},
                        {"baseVersion", VersionText(base)},
                        {"resources", resources}}
      .dump();
}

bool IsAlive(pid_t pid) {
  int status = 0;
  return ::waitpid(pid, &status, WNOHANG) == 0;
}

size_t OpenDescriptors(pid_t pid) {
  const std::filesystem::directory_iterator entries("/proc/" + std::to_string(pid) + "/fd");
  return static_cast<size_t>(std::distance(begin(entries), end(entries)));
}

}  // namespace endivecleat::test
