// A control instance and settings of the platform for tests that run it with daemons in one process
// over loopback.
#ifndef ENDIVECLEAT_TEST_PLATFORM_FIXTURE_H_
#define ENDIVECLEAT_TEST_PLATFORM_FIXTURE_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>

#include "event_loop.h"
#include "operator_adapter.h"

namespace endivecleat::test {

inline nlohmann::json Settings(const std::string& ip, uint16_t port, const std::string& seed) {
  return {{"instance", ip},
          {"region", "cantabrico"},
          {"data_centre", "cant-a"},
          {"closed_network", true},
          {"discovery", {{"seeds", {seed}}, {"bootstrap", true}, {"tolerated_losses", 0}}},
          {"log", {{"level", "error"}, {"target", "stdout"}}},
          {"in_force_within", "2500ms"},
          {"listen", {{"peers", ip + ":" + std::to_string(port + 2)}}}};
}

/// A configuration with the service ruta-cuadrilla and one route to it.
inline std::string Configuration() {
  const nlohmann::json service = {
      {"type", "services"},
      {"metadata", {{"name", "ruta-cuadrilla"}}},
      {"spec",
       {{"healthPath", "/healthz"}, {"maxConns", 130}, {"protocol", "h1"}, {"tls", false}}}};
  const nlohmann::json route = {{"type", "routes"},
                                {"metadata", {{"name", "r-1"}}},
                                {"spec",
                                 {{"host", "ficu95.example"},
                                  {"pathPrefix", "/"},
                                  {"routeType", "idempotent"},
                                  {"timeoutMs", 1500},
                                  {"sloMs", 600},
                                  {"priority", 1},
                                  {"service", "ruta-cuadrilla"},
                                  {"attempts", 2}}}};
  const nlohmann::json limits = {{"type", "limits"},
                                 {"metadata", nlohmann::json::object()},
                                 {"spec",
                                  {{"maxHeaderBytes", 16384},
                                   {"maxBodyBytes", 67108864},
                                   {"headerTimeoutMs", 3000},
                                   {"idleTimeoutMs", 15000}}}};
  return nlohmann::json{
      {"version", "00000003"}, {"baseVersion", "00000000"}, {"resources", {route, service, limits}}}
      .dump();
}

/// Runs a control instance. It has a loop and a thread of its own, since RunUntil() replaces the
/// hook that it sets on its loop.
class ControlThread {
 public:
  explicit ControlThread(const ControlSettings& settings)
      : control_(loop_, settings, 1), thread_([this] { loop_.Run(); }) {}
  ~ControlThread() {
    loop_.Stop();
    thread_.join();
  }
  ControlThread(const ControlThread&) = delete;
  ControlThread& operator=(const ControlThread&) = delete;

 private:
  EventLoop loop_;
  platform::PlatformControl control_;
  std::thread thread_;
};

}  // namespace endivecleat::test

#endif  // ENDIVECLEAT_TEST_PLATFORM_FIXTURE_H_
