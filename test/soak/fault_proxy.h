// A TCP proxy on loopback that harms the connections it carries: it delays, resets, cuts one way or
// silences them for a while. It stands between the processes of the soak and their callers or
// targets, so that faults come from outside of the programs.
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
  kDelay,     // each piece is passed on 80 ms later
  kReset,     // existing and new connections are reset
  kCutThere,  // nothing more reaches the upstream side
  kCutBack,   // nothing more comes back from it
  kSilence,   // neither; connections stay open
};

class FaultProxy {
 public:
  /// Listens at once on a port that the kernel chooses.
  explicit FaultProxy(uint16_t upstream);
  ~FaultProxy();
  FaultProxy(const FaultProxy&) = delete;
  FaultProxy& operator=(const FaultProxy&) = delete;

  uint16_t port() const { return port_; }
  /// What is held up by a cut is passed on when the fault ends.
  void SetFault(LinkFault fault) { fault_ = fault; }

 private:
  using Clock = std::chrono::steady_clock;
  struct Piece {
    std::string bytes;  // empty: the sender has closed its side
    Clock::time_point due;
  };
  struct Direction {
    int from = -1;
    int to = -1;
    bool ended = false;  // the end was passed on
    std::deque<Piece> pieces;
  };
  struct Connection {
    Direction there;
    Direction back;
  };

  void Run();
  void Accept();
  bool Read(Direction& direction);
  bool Write(Direction& direction, bool cut);
  void Close(Connection& connection, bool reset);

  uint16_t upstream_;
  uint16_t port_ = 0;
  int listener_ = -1;
  std::atomic<LinkFault> fault_ = LinkFault::kNone;
  std::atomic<bool> stop_ = false;
  std::vector<std::unique_ptr<Connection>> connections_;  // of the thread only
  std::thread thread_;
};

}  // namespace endivecleat::test

#endif  // ENDIVECLEAT_TEST_SOAK_FAULT_PROXY_H_
