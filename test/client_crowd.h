// Many clients of one port, run by a thread of their own with poll(): each sends a script of bytes
// and then keeps its connection open.
#ifndef ENDIVECLEAT_TEST_CLIENT_CROWD_H_
#define ENDIVECLEAT_TEST_CLIENT_CROWD_H_

#include <atomic>
#include <string>
#include <thread>
#include <vector>

#include "units.h"

namespace endivecleat::test {

/// What each client of a crowd sends: `start`, then `repeated` as often as given, then `end`.
struct ClientScript {
  static constexpr size_t kEndless = SIZE_MAX;

  std::string start;
  std::string repeated;
  size_t repetitions = 0;
  std::string end;
  bool reads = true;  // false: no byte of a response is ever read
  /// Most bytes sent at a time.
  size_t piece_bytes = size_t{64} << 10U;
};

class ClientCrowd {
 public:
  ClientCrowd(const Address& to, size_t clients, ClientScript script);
  /// Closes the connections.
  ~ClientCrowd();
  ClientCrowd(const ClientCrowd&) = delete;
  ClientCrowd& operator=(const ClientCrowd&) = delete;

  /// Waits until each client has sent its script, cannot send more or has been closed by the
  /// server: until no byte was sent for a second, for at most 8 s.
  void WaitUntilSent() const;

 private:
  struct Client {
    int descriptor = -1;
    std::string piece;      // the part of the script that is being sent
    size_t offset = 0;      // sent bytes of the piece
    size_t next_piece = 0;  // 0: start, then the repetitions, then the end
  };

  bool LoadPiece(Client& client) const;
  bool Send(Client& client);
  bool Receive(Client& client) const;
  void Run();

  const ClientScript script_;
  std::vector<Client> clients_;
  std::atomic<bool> stop_ = false;
  std::atomic<size_t> sent_bytes_ = 0;
  std::thread thread_;
};

}  // namespace endivecleat::test

#endif  // ENDIVECLEAT_TEST_CLIENT_CROWD_H_
