#include "admission.h"

#include <algorithm>

#include "errors.h"

namespace endivecleat {

void Admission::Open(TimePoint now) {
  if (state_ != State::kOpen) {
    opened_ = now;
  }
  state_ = State::kOpen;
}

std::vector<AdmissionDecision> Admission::Close() {
  state_ = State::kClosed;
  std::vector<AdmissionDecision> decisions;
  for (Queue* queue : {&once_queue_, &other_queue_}) {
    for (const Waiting& waiting : *queue) {
      decisions.push_back({waiting.request.number, ResultCode::kTargetUnreachable});
    }
    queue->clear();
  }
  return decisions;
}

void Admission::Drain() {
  if (state_ == State::kOpen) {
    state_ = State::kDraining;
  }
}

std::vector<AdmissionDecision> Admission::SetPolicy(TimePoint now, const ServicePolicy& policy) {
  policy_ = policy;
  return Tick(now);
}

std::vector<AdmissionDecision> Admission::Arrive(TimePoint now, const AdmissionRequest& request) {
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
  const bool free_slot = running() < slots(now);
  if (!free_slot && !MakeRoomFor(request, decisions)) {
    decisions.push_back({request.number, ResultCode::kOverloaded});
    return decisions;
  }
  const TimePoint expires = std::min(request.deadline, now + policy_.queue_wait);
  (request.at_most_once ? once_queue_ : other_queue_).push_back({request, expires});
  FillSlots(now, decisions);
  return decisions;
}

std::vector<AdmissionDecision> Admission::Finish(TimePoint now, RequestNumber number) {
  ENDIVECLEAT_CHECK(running_.erase(number) == 1, "a request that does not run has finished");
  return Tick(now);
}

void Admission::Withdraw(RequestNumber number) {
  for (Queue* queue : {&once_queue_, &other_queue_}) {
    std::erase_if(*queue, [&](const Waiting& waiting) { return waiting.request.number == number; });
  }
}

std::vector<AdmissionDecision> Admission::Tick(TimePoint now) {
  std::vector<AdmissionDecision> decisions;
  Expire(now, once_queue_, decisions);
  Expire(now, other_queue_, decisions);
  FillSlots(now, decisions);
  return decisions;
}

TimePoint Admission::next_timer(TimePoint now) const {
  TimePoint next = TimePoint::max();
  for (const Queue* queue : {&once_queue_, &other_queue_}) {
    for (const Waiting& waiting : *queue) {
      next = std::min(next, waiting.expires);
    }
  }
  const TimePoint warm = opened_ + policy_.warm_up;
  if (queued() > 0 && now < warm) {
    // Another slot opens in every such step of the warm-up.
    const auto steps = static_cast<int64_t>(std::max<uint64_t>(policy_.slots.value(), 1));
    next = std::min(next, now + policy_.warm_up / steps);
  }
  return next;
}

size_t Admission::slots(TimePoint now) const {
  const size_t full = std::min(policy_.slots.value(), policy_.connections.value());
  const Duration age = now - opened_;
  if (state_ == State::kClosed) {
    return 0;
  }
  if (age >= policy_.warm_up || full <= 1) {
    return full;
  }
  const auto opened_slots = (full - 1) * static_cast<size_t>(age.count());
  return 1 + opened_slots / static_cast<size_t>(policy_.warm_up.count());
}

size_t Admission::free_slots(TimePoint now) const {
  const size_t limit = state_ == State::kOpen ? slots(now) : 0;
  return limit > running() ? limit - running() : 0;
}

void Admission::Expire(TimePoint now, Queue& queue, std::vector<AdmissionDecision>& decisions) {
  std::erase_if(queue, [&](const Waiting& waiting) {
    if (waiting.expires > now) {
      return false;
    }
    const bool too_late = waiting.request.deadline <= now;
    decisions.push_back(
        {waiting.request.number, too_late ? ResultCode::kDeadlinePassed : ResultCode::kOverloaded});
    return true;
  });
}

void Admission::FillSlots(TimePoint now, std::vector<AdmissionDecision>& decisions) {
  const size_t limit = slots(now);
  while (running() < limit && queued() > 0) {
    Queue& queue = once_queue_.empty() ? other_queue_ : once_queue_;
    const RequestNumber number = queue.front().request.number;
    queue.pop_front();
    ENDIVECLEAT_CHECK(running_.insert(number).second, "a request number is used twice");
    decisions.push_back({number, std::nullopt});
  }
}

// A full queue gives the place of its newest read to an at-most-once request: nothing of the read
// has run, and its caller may send it elsewhere.
bool Admission::MakeRoomFor(const AdmissionRequest& request,
                            std::vector<AdmissionDecision>& decisions) {
  if (queued() < policy_.queue_length.value()) {
    return true;
  }
  if (!request.at_most_once || other_queue_.empty()) {
    return false;
  }
  decisions.push_back({other_queue_.back().request.number, ResultCode::kOverloaded});
  other_queue_.pop_back();
  return true;
}

}  // namespace endivecleat
