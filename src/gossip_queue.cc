// Sorts the items by priority for each datagram and appends them greedily.
#include "gossip_queue.h"

#include <algorithm>
#include <numeric>
#include <tuple>
#include <utility>

namespace endivecleat {

void GossipQueue::Push(Kind kind, uint64_t key, bool urgent, uint32_t transmits,
                       std::string bytes) {
  Erase(kind, key);
  items_.push_back({kind, key, urgent, transmits, next_sequence_++, std::move(bytes)});
}

void GossipQueue::Erase(Kind kind, uint64_t key) {
  std::erase_if(items_, [&](const Item& item) { return item.key == key && item.kind == kind; });
}

void GossipQueue::Fill(const Limits& limits, std::string* datagram) {
  std::vector<size_t> order(items_.size());
  std::iota(order.begin(), order.end(), size_t{0});
  std::sort(order.begin(), order.end(), [this](size_t left, size_t right) {
    const Item& one = items_[left];
    const Item& other = items_[right];
    return std::tuple(!one.urgent, other.remaining_transmits, other.sequence) <
           std::tuple(!other.urgent, one.remaining_transmits, one.sequence);
  });
  size_t records = 0;
  size_t updates = 0;
  for (const size_t index : order) {
    Item& item = items_[index];
    const size_t max_updates = item.urgent ? limits.urgent_updates : limits.other_updates;
    const bool full = (item.kind == Kind::kUpdate && updates >= max_updates) ||
                      (item.kind != Kind::kUpdate && records >= limits.records);
    if (full || datagram->size() + item.bytes.size() > limits.bytes) {
      continue;
    }
    ++(item.kind == Kind::kUpdate ? updates : records);
    datagram->append(item.bytes);
    --item.remaining_transmits;
  }
  std::erase_if(items_, [](const Item& item) { return item.remaining_transmits == 0; });
}

}  // namespace endivecleat
