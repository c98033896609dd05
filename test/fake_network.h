// A seeded network with faults between objects under test: it delays, reorders, drops and
// duplicates messages, and cuts links in one or both directions. The test owns the nodes and the
// clock.
#ifndef ENDIVECLEAT_TEST_FAKE_NETWORK_H_
#define ENDIVECLEAT_TEST_FAKE_NETWORK_H_

#include <algorithm>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "seeded_random.h"
#include "units.h"

namespace endivecleat::test {

struct NetworkFaults {
  uint64_t drop_percent = 0;
  uint64_t duplicate_percent = 0;
  Duration min_delay = std::chrono::microseconds(500);
  Duration max_delay = std::chrono::milliseconds(5);  // a wide range reorders messages
};

template <class Message>
class FakeNetwork {
 public:
  struct Delivery {
    TimePoint at;
    uint64_t sequence;  // breaks ties, so that the seed alone determines a run
    InstanceId from;
    InstanceId to;
    Message message;
  };

  FakeNetwork(uint64_t seed, NetworkFaults faults) : random_(seed), faults_(faults) {}

  void Send(TimePoint now, const InstanceId& from, const InstanceId& to, const Message& message) {
    if (cuts_.contains({from, to}) || random_.Chance(faults_.drop_percent)) {
      return;
    }
    Enqueue(now, from, to, message);
    if (random_.Chance(faults_.duplicate_percent)) {
      Enqueue(now, from, to, message);
    }
  }

  /// Removes and returns the messages that are due, in order of arrival. Drops those whose link was
  /// cut while they were in transit.
  std::vector<Delivery> TakeDue(TimePoint now) {
    std::vector<Delivery> due;
    std::vector<Delivery> later;
    for (Delivery& delivery : pending_) {
      const bool arrived = delivery.at <= now;
      if (arrived && cuts_.contains({delivery.from, delivery.to})) {
        continue;
      }
      (arrived ? due : later).push_back(std::move(delivery));
    }
    pending_ = std::move(later);
    std::sort(due.begin(), due.end(), [](const Delivery& left, const Delivery& right) {
      return std::pair(left.at, left.sequence) < std::pair(right.at, right.sequence);
    });
    return due;
  }

  void CutOneWay(const InstanceId& from, const InstanceId& to) { cuts_.insert({from, to}); }
  void CutBothWays(const InstanceId& one, const InstanceId& other) {
    CutOneWay(one, other);
    CutOneWay(other, one);
  }
  void HealAll() { cuts_.clear(); }
  bool Connected(const InstanceId& from, const InstanceId& to) const {
    return !cuts_.contains({from, to});
  }
  void SetFaults(NetworkFaults faults) { faults_ = faults; }
  /// Adds a delay to the messages that an instance sends from now on, as a full network link does.
  void DelayMessagesFrom(const InstanceId& from, Duration delay) { added_delays_[from] = delay; }

  /// Drops the messages in transit to an instance, as when it crashes.
  void DropMessagesTo(const InstanceId& to) {
    std::erase_if(pending_, [&](const Delivery& delivery) { return delivery.to == to; });
  }

 private:
  void Enqueue(TimePoint now, const InstanceId& from, const InstanceId& to,
               const Message& message) {
    const auto spread = static_cast<uint64_t>((faults_.max_delay - faults_.min_delay).count());
    const auto added = added_delays_.find(from);
    const Duration delay = faults_.min_delay +
                           Duration(static_cast<int64_t>(random_.Below(spread + 1))) +
                           (added == added_delays_.end() ? Duration{} : added->second);
    pending_.push_back({now + delay, next_sequence_++, from, to, message});
  }

  SeededRandom random_;
  NetworkFaults faults_;
  std::vector<Delivery> pending_;
  std::set<std::pair<InstanceId, InstanceId>> cuts_;
  std::map<InstanceId, Duration> added_delays_;  // by sender
  uint64_t next_sequence_ = 0;
};

}  // namespace endivecleat::test

#endif  // ENDIVECLEAT_TEST_FAKE_NETWORK_H_
