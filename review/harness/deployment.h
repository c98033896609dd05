// A small deployment on loopback addresses: one address a machine, the programs with the commands
// of the deploy file, settings from its templates, and the platform's operator.
#ifndef ENDIVECLEAT_REVIEW_HARNESS_DEPLOYMENT_H_
#define ENDIVECLEAT_REVIEW_HARNESS_DEPLOYMENT_H_

#include <sys/types.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "net.h"
#include "record.h"
#include "server.h"

namespace review {

struct Machine {
  std::string name;
  std::string zone;
  std::string region;
  std::string service;  // empty: a core machine
  std::string ip;       // set by the deployment
};

class Deployment {
 public:
  /// `root` is the repository. Starts nothing yet.
  Deployment(Record& record, std::string root, std::vector<Machine> machines);
  /// Kills the processes and removes the temporary folder.
  ~Deployment();
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  /// Starts all processes and servers, puts the configuration and waits until all daemons are
  /// ready. Returns false if that takes too long.
  bool Start(const std::string& resources);
  /// Puts a configuration; returns the status of the final answer, 0 without one.
  int Put(const std::string& version, const std::string& base, const std::string& resources,
          Milliseconds timeout);

  void StartProcess(const std::string& machine);
  /// Starts the machine's server, in place of one that has ended.
  void StartServer(const std::string& machine, const std::string& id);
  void Signal(const std::string& machine, int signal);
  /// Waits for the end of the process; returns false if it runs on.
  bool WaitForEnd(const std::string& machine, Milliseconds timeout);
  bool Running(const std::string& machine);
  bool Ready(const std::string& machine) const;

  /// Servers that are started from now on end when they begin to run a request with this Host.
  void SetCrashesOn(std::string host) { crashes_on_ = std::move(host); }

  Server& server(const std::string& machine) { return *servers_.at(machine); }
  Endpoint Outbound(const std::string& machine) const;
  Endpoint Admin(const std::string& machine) const;
  const std::string& folder() const { return folder_; }

 private:
  const Machine& Find(const std::string& machine) const;
  std::string Fill(const std::string& text, const Machine& machine) const;
  uint16_t Port(int offset) const { return static_cast<uint16_t>(port_ + offset); }
  bool PortsAreFree() const;

  Record& record_;
  const std::string root_;
  std::vector<Machine> machines_;
  std::string folder_;
  std::string crashes_on_;
  int port_ = 0;
  bool bootstrap_ = true;
  std::map<std::string, pid_t> processes_;
  std::map<std::string, std::unique_ptr<Server>> servers_;
};

/// Resources of a configuration, as the operator writes them.
constexpr char kHost[] = "ficu95.example";
std::string RouteResource(const std::string& name, const std::string& prefix,
                          const std::string& type, const std::string& service, int timeout_ms,
                          const std::string& host = kHost);
std::string ServiceResource(const std::string& name);
std::string LimitsResource();

/// A request of a client for kHost.
Message ClientRequest(const std::string& method, const std::string& target, const std::string& id,
                      int timeout_ms);

}  // namespace review

#endif  // ENDIVECLEAT_REVIEW_HARNESS_DEPLOYMENT_H_
