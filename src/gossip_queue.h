// News waiting to be attached to datagrams. Each item is sent a limited number of times, urgent
// items first and among them those sent least often.
#ifndef ENDIVECLEAT_GOSSIP_QUEUE_H_
#define ENDIVECLEAT_GOSSIP_QUEUE_H_

#include <cstdint>
#include <string>
#include <vector>

namespace endivecleat {

class GossipQueue {
 public:
  enum class Kind : uint8_t { kRecord, kUpdate, kOther };
  struct Limits {
    size_t records = 8;
    size_t urgent_updates = 24;  // changes of status: a partition makes many at once
    size_t other_updates = 12;   // changes of load: 24 of them would double the steady traffic
    size_t bytes = 1100;
  };

  /// Adds an item or replaces the one of the same kind and key.
  void Push(Kind kind, uint64_t key, bool urgent, uint32_t transmits, std::string bytes);
  void Erase(Kind kind, uint64_t key);
  void Clear() { items_.clear(); }
  bool empty() const { return items_.empty(); }

  /// Appends items to a datagram while it stays within the limits, and counts them as sent.
  void Fill(const Limits& limits, std::string* datagram);

 private:
  struct Item {
    Kind kind;
    uint64_t key;
    bool urgent;
    uint32_t left;
    uint64_t order;
    std::string bytes;
  };
  std::vector<Item> items_;
  uint64_t next_order_ = 0;
};

}  // namespace endivecleat

#endif  // ENDIVECLEAT_GOSSIP_QUEUE_H_
