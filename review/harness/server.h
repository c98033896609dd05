// A stand-in for an application server beside a daemon, as the users' pages describe one. A path
// that ends in "work-N" takes N milliseconds; all others take 5.
#ifndef ENDIVECLEAT_REVIEW_HARNESS_SERVER_H_
#define ENDIVECLEAT_REVIEW_HARNESS_SERVER_H_

#include <atomic>
#include <condition_variable>
#include <list>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "net.h"
#include "record.h"

namespace review {

struct ServerOptions {
  std::string id;
  std::string service;
  std::string zone;
  Endpoint address;
  Endpoint admin;  // of the daemon on the same machine
  int slots = 9;
  Milliseconds heartbeat{1500};
  std::string crashes_on;  // the process ends when it begins to run a request with this Host
};

/// A request that the server began to run.
struct Run {
  int64_t at_ms = 0;
  std::string request_id;
  std::string target;
  std::string caller;
};

class Server {
 public:
  Server(Record& record, ServerOptions options);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  const ServerOptions& options() const { return options_; }
  std::vector<Run> runs() const;

  /// The body of a heartbeat with the next sequence number.
  std::string NextHeartbeat(const std::string& state);
  /// Sends a heartbeat and returns whether it was acknowledged.
  bool SendHeartbeat(const std::string& body, const std::string& label) const;
  /// Ends the heartbeats and answers health checks with 503 from now on.
  void BeginToLeave();
  /// Sends DELETE and returns whether it was acknowledged.
  bool SendDelete() const;
  /// Ends all connections as the end of the process does.
  void End();
  bool ended() const { return ended_; }
  /// Number of requests that run now.
  int running() const;

 private:
  void Accept();
  void Serve(const Socket& socket);
  /// Returns nothing if the connection was closed while the request ran.
  std::optional<Message> Answer(const Socket& socket, const Message& request);
  std::optional<Message> RunRequest(const Socket& socket, const Message& request);
  void SendHeartbeats();

  Record& record_;
  const ServerOptions options_;
  const int64_t born_ms_;
  Socket listener_;
  std::atomic<bool> ended_{false};
  std::atomic<bool> leaving_{false};
  std::atomic<int> next_sequence_{1};
  mutable std::mutex mutex_;
  int running_ = 0;
  int queued_ = 0;
  std::vector<Run> runs_;
  std::list<std::thread> connections_;
  std::thread accepting_;
  std::thread beating_;
};

}  // namespace review

#endif  // ENDIVECLEAT_REVIEW_HARNESS_SERVER_H_
