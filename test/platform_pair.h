// Runs a control instance and a daemon of the platform with a stand-in target, as child processes
// on loopback addresses, for tests of their client ports.
#ifndef ENDIVECLEAT_TEST_PLATFORM_PAIR_H_
#define ENDIVECLEAT_TEST_PLATFORM_PAIR_H_

#include <sys/types.h>

#include <cstdint>
#include <filesystem>
#include <nlohmann/json.hpp>
#include <string>

#include "http_message.h"
#include "units.h"

namespace endivecleat::test {

/// Sends one request on a new connection. Returns status 0 when the connection breaks or no data
/// arrives for 10 s before the response is complete.
HttpResponse ExchangeWith(const Address& address, const HttpRequest& request);

class PlatformPair {
 public:
  /// The settings become the member "ingress" of both processes; null leaves it out. With a port,
  /// the stand-in announces that port of 127.0.0.1, where the test listens, as the target's own.
  explicit PlatformPair(const nlohmann::json& ingress, uint16_t announced_port = 0);
  /// Kills the processes and removes the folder.
  ~PlatformPair();
  PlatformPair(const PlatformPair&) = delete;
  PlatformPair& operator=(const PlatformPair&) = delete;

  /// Starts the processes, submits a configuration and waits until a call reaches the target.
  bool Start();

  pid_t daemon() const { return daemon_; }
  pid_t control() const { return control_; }
  const Address& callers() const { return callers_; }
  const Address& announcements() const { return announcements_; }
  const Address& operators() const { return operators_; }

  /// An operator's document with one service, a route for each method, and padding routes that make
  /// it about this large.
  static std::string Document(uint64_t version, uint64_t base, size_t bytes);

 private:
  void WriteSettings(const std::string& name, nlohmann::json settings) const;

  std::filesystem::path folder_;
  nlohmann::json ingress_;
  uint16_t announced_port_;
  uint16_t peer_port_;
  Address callers_;
  Address announcements_;
  Address operators_;
  Address local_;
  Address target_;
  pid_t control_ = 0;
  pid_t daemon_ = 0;
  pid_t standin_ = 0;
};

/// Whether the child process still runs.
bool IsAlive(pid_t pid);
/// Number of open descriptors of the process.
size_t OpenDescriptors(pid_t pid);

}  // namespace endivecleat::test

#endif  // ENDIVECLEAT_TEST_PLATFORM_PAIR_H_
