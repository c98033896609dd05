// Priority queues over a counted set of slots. The expected wait is estimated from a moving average
// of service times and the number of requests ahead.
#include "admission.h"

#include <algorithm>
#include <iterator>

#include "errors.h"

namespace endivecleat {
namespace {

// The newest request has a weight of 1/16 in the moving average of service times.
constexpr Duration::rep kServiceTimeDivisor = 16;
// Service times that must remain after the wait. With exactly the average left, about half of the
// requests would finish late.
constexpr double kServiceTimeReserveFactor = 1.25;
// A request with little of its objective left, such as one that was refused before, may still wait
// for this fraction (1/6) of it.
constexpr int kMinWaitDivisor = 6;
// Minimum time that a refused caller needs to back off and try again. With less left, a refusal
// loses the request and the work already done for it.
constexpr Duration kMinTimeToRetry = std::chrono::milliseconds(520);
// A request that cannot be retried may wait for half of its time left; the rest is for its work.
constexpr int kNoRetryWaitDivisor = 2;

}  // namespace

void Admission::Open(TimePoint now) {
  if (state_ != State::kOpen) {
    opened_at_ = now;
  }
  state_ = State::kOpen;
}

std::vector<AdmissionDecision> Admission::Close() {
  state_ = State::kClosed;
  std::vector<AdmissionDecision> decisions;
  for (const auto& [priority, queue] : queues_) {
    for (const QueueEntry& entry : queue) {
      decisions.push_back({entry.request.number, ResultCode::kTargetUnreachable});
    }
  }
  queues_.clear();
  queued_ = 0;
  return decisions;
}

void Admission::Drain(TimePoint now) {
  if (state_ == State::kOpen) {
    state_ = State::kDraining;
    drain_deadline_ = now + kMaxWaitAfterDrain;
    for (auto& [priority, queue] : queues_) {
      for (QueueEntry& entry : queue) {
        entry.expires_at = std::min(entry.expires_at, drain_deadline_);
      }
    }
  }
}

std::vector<AdmissionDecision> Admission::SetPolicy(TimePoint now, const ServicePolicy& policy) {
  policy_ = policy;
  return Tick(now);
}

std::vector<AdmissionDecision> Admission::Submit(TimePoint now, const AdmissionRequest& request) {
  std::vector<AdmissionDecision> decisions = Tick(now);
  if (state_ != State::kOpen) {
    const bool draining = state_ == State::kDraining;
    decisions.push_back(
        {request.number, draining ? ResultCode::kDraining : ResultCode::kTargetUnreachable});
    return decisions;
  }
  if (request.deadline <= now) {
    decisions.push_back({request.number, ResultCode::kDeadlinePassed});
    return decisions;
  }
  const bool free_slot = running() < slots(now) && queued() == 0;
  const bool too_long = ExpectedWait(now, request.priority) > MaxWait(now, request);
  if (!free_slot && (too_long || !MakeRoomFor(request, decisions))) {
    decisions.push_back({request.number, ResultCode::kOverloaded});
    return decisions;
  }
  const TimePoint expires_at = std::min(request.deadline, now + MaxWait(now, request));
  queues_[request.priority].push_back({request, expires_at});
  ++queued_;
  FillSlots(now, decisions);
  return decisions;
}

std::vector<AdmissionDecision> Admission::Finish(TimePoint now, RequestNumber number) {
  const auto found = running_.find(number);
  ENDIVECLEAT_CHECK(found != running_.end(), "a request finished that was not running");
  const Duration service_time = now - found->second;
  running_.erase(found);
  service_time_ = service_time_ == Duration{}
                      ? service_time
                      : service_time_ + (service_time - service_time_) / kServiceTimeDivisor;
  return Tick(now);
}

void Admission::Cancel(RequestNumber number) {
  for (auto it = queues_.begin(); it != queues_.end(); ++it) {
    Queue& queue = it->second;
    const size_t erased = std::erase_if(
        queue, [&](const QueueEntry& entry) { return entry.request.number == number; });
    if (erased > 0) {
      queued_ -= erased;
      if (queue.empty()) {
        queues_.erase(it);
      }
      return;
    }
  }
}

std::vector<AdmissionDecision> Admission::Tick(TimePoint now) {
  std::vector<AdmissionDecision> decisions;
  Expire(now, decisions);
  FillSlots(now, decisions);
  return decisions;
}

TimePoint Admission::next_timer(TimePoint now) const {
  TimePoint next = TimePoint::max();
  for (const auto& [priority, queue] : queues_) {
    for (const QueueEntry& entry : queue) {
      next = std::min(next, entry.expires_at);
    }
  }
  const TimePoint warm_up_end = opened_at_ + policy_.warm_up;
  if (queued() > 0 && now < warm_up_end) {
    // During the warm-up, one more slot opens about every warm_up / slots.
    const auto slot_count = static_cast<int64_t>(std::max<uint64_t>(policy_.slots.value(), 1));
    next = std::min(next, now + policy_.warm_up / slot_count);
  }
  return next;
}

size_t Admission::slots(TimePoint now) const {
  const size_t all_slots = std::min(policy_.slots.value(), policy_.connections.value());
  const Duration age = now - opened_at_;
  if (state_ == State::kClosed) {
    return 0;
  }
  if (age >= policy_.warm_up || all_slots <= 1) {
    return all_slots;
  }
  const auto opened_slots = (all_slots - 1) * static_cast<size_t>(age.count());
  return 1 + opened_slots / static_cast<size_t>(policy_.warm_up.count());
}

size_t Admission::free_slots(TimePoint now) const {
  const size_t limit = state_ == State::kOpen ? slots(now) : 0;
  return limit > running() ? limit - running() : 0;
}

void Admission::Expire(TimePoint now, std::vector<AdmissionDecision>& decisions) {
  for (auto& [priority, queue] : queues_) {
    queued_ -= std::erase_if(queue, [&](const QueueEntry& entry) {
      if (entry.expires_at > now) {
        return false;
      }
      const bool deadline_passed = entry.request.deadline <= now;
      decisions.push_back({entry.request.number, deadline_passed ? ResultCode::kDeadlinePassed
                                                                 : ResultCode::kOverloaded});
      return true;
    });
  }
  std::erase_if(queues_, [](const auto& item) { return item.second.empty(); });
}

void Admission::FillSlots(TimePoint now, std::vector<AdmissionDecision>& decisions) {
  const size_t limit = slots(now);
  while (running() < limit && queued() > 0) {
    Queue& queue = queues_.begin()->second;
    const RequestNumber number = queue.front().request.number;
    queue.pop_front();
    --queued_;
    if (queue.empty()) {
      queues_.erase(queues_.begin());
    }
    ENDIVECLEAT_CHECK(running_.emplace(number, now).second, "duplicate request number");
    decisions.push_back({number, std::nullopt});
  }
}

Duration Admission::MaxWait(TimePoint now, const AdmissionRequest& request) const {
  if (!request.objective_left) {
    return policy_.queue_wait;
  }
  const auto reserve =
      std::chrono::duration_cast<Duration>(service_time_ * kServiceTimeReserveFactor);
  const Duration time_left = request.deadline - now;
  if (time_left < kMinTimeToRetry) {
    return std::max(std::min(time_left - reserve, time_left / kNoRetryWaitDivisor), Duration{});
  }
  return std::max(*request.objective_left - reserve, *request.objective_left / kMinWaitDivisor);
}

// Expected time until a slot is free for a new request of this priority, behind all queued requests
// of the same or a higher priority. 0 while no service time is known.
Duration Admission::ExpectedWait(TimePoint now, Priority priority) const {
  const size_t limit = slots(now);
  if (limit == 0) {
    return Duration{};
  }
  size_t ahead = 0;
  for (const auto& [other, queue] : queues_) {
    ahead += other <= priority ? queue.size() : 0;
  }
  return service_time_ * static_cast<Duration::rep>(ahead + 1) / static_cast<Duration::rep>(limit);
}

// When the queue is full, evicts the newest request of the lowest priority if the new one is more
// urgent. The evicted request has not run, so its caller may retry it on another target.
bool Admission::MakeRoomFor(const AdmissionRequest& request,
                            std::vector<AdmissionDecision>& decisions) {
  if (queued() < policy_.queue_length.value()) {
    return true;
  }
  if (queues_.empty() || queues_.rbegin()->first <= request.priority) {
    return false;
  }
  Queue& queue = queues_.rbegin()->second;
  decisions.push_back({queue.back().request.number, ResultCode::kOverloaded});
  queue.pop_back();
  --queued_;
  if (queue.empty()) {
    queues_.erase(std::prev(queues_.end()));
  }
  return true;
}

}  // namespace endivecleat
