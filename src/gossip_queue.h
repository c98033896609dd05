// Queue of gossip items that Membership piggybacks on its datagrams. Each item is sent a limited
// number of times. Urgent items go first, then those with the most transmits left, then the newest.
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
    size_t urgent_updates = 24;  // status changes; a partition causes many at once
    size_t other_updates = 12;   // load changes; 24 would double the steady traffic
    size_t bytes = 1100;
  };

  /// Adds an item to be sent `transmits` times, or replaces the one with the same kind and key.
  void Push(Kind kind, uint64_t key, bool urgent, uint32_t transmits, std::string bytes);
  void Erase(Kind kind, uint64_t key);
  void Clear() { items_.clear(); }
  bool empty() const { return items_.empty(); }

  /// Appends the items that fit within the limits to a datagram and counts one transmit of each.
  void Fill(const Limits& limits, std::string* datagram);

 private:
  struct Item {
    Kind kind;
    uint64_t key;
    bool urgent;
    uint32_t remaining_transmits;
    uint64_t sequence;
    std::string bytes;
  };
  std::vector<Item> items_;
  uint64_t next_sequence_ = 0;
};

}  // namespace endivecleat

#endif  // ENDIVECLEAT_GOSSIP_QUEUE_H_
