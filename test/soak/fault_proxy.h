// TCP proxy on loopback that injects network faults into the connections it forwards: delay, reset,
// and loss of one or both directions. The soak test places it between daemons and their callers or
// targets, so that the programs under test need no fault hooks.
#ifndef ENDIVECLEAT_TEST_SOAK_FAULT_PROXY_H_
#define ENDIVECLEAT_TEST_SOAK_FAULT_PROXY_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace endivecleat::test {

enum class LinkFault {
  kNone,
  kDelay,            // data is forwarded 80 ms late
  kReset,            // existing and new connections are reset (RST)
  kCutToUpstream,    // no data is forwarded to the upstream
  kCutFromUpstream,  // no data is forwarded from the upstream
  kBlackhole,        // no data in either direction; connections stay open
};

class FaultProxy {
 public:
  /// Listens on a loopback port that the kernel chooses, and forwards to the port `upstream`.
  explicit FaultProxy(uint16_t upstream);
  ~FaultProxy();
  FaultProxy(const FaultProxy&) = delete;
  FaultProxy& operator=(const FaultProxy&) = delete;

  uint16_t port() const { return port_; }
  /// Applies to all connections, existing and new. Data that a fault held back is forwarded when
  /// the fault ends, except after a reset.
  void SetFault(LinkFault fault) { fault_ = fault; }

 private:
  using Clock = std::chrono::steady_clock;
  struct Chunk {
    std::string bytes;  // empty: the sender closed its side
    Clock::time_point due;
  };
  struct Direction {
    int from = -1;
    int to = -1;
    bool close_forwarded = false;
    std::deque<Chunk> chunks;
  };
  struct Connection {
    Direction to_upstream;
    Direction from_upstream;
  };

  void Run();
  void Accept();
  bool Read(Direction& direction);
  bool Write(Direction& direction, bool blocked);
  void Close(Connection& connection, bool reset);

  uint16_t upstream_;
  uint16_t port_ = 0;
  int listener_ = -1;
  std::atomic<LinkFault> fault_ = LinkFault::kNone;
  std::atomic<bool> stop_ = false;
  std::vector<std::unique_ptr<Connection>> connections_;  // used only by thread_
  std::thread thread_;
};

}  // namespace endivecleat::test

#endif  // ENDIVECLEAT_TEST_SOAK_FAULT_PROXY_H_
