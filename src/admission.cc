// A fair queue per priority over a counted set of slots. The expected wait is estimated from moving
// averages of service times and the requests ahead.
#include "admission.h"

#include <algorithm>
#include <cmath>
#include <iterator>

#include "errors.h"

namespace endivecleat {
namespace {

// Average service times that must remain after the wait at least. With exactly the average left,
// about half of the requests would finish late.
constexpr double kMinServiceTimeReserve = 1.25;
// A request with little of its objective left, such as one that was refused before, may still wait
// for this fraction (1/6) of it.
constexpr int kMinWaitDivisor = 6;
// A request that cannot be retried may wait for half of its time left; the rest is for its work.
constexpr int kNoRetryWaitDivisor = 2;
constexpr Duration kLoadAveragingTime = std::chrono::seconds(1);

}  // namespace

void Admission::Open(TimePoint now) {
  if (state_ != State::kOpen) {
    opened_at_ = now;
    concurrency_limit_.Reset(now);
  }
  state_ = State::kOpen;
}

std::vector<AdmissionDecision> Admission::Close() {
  state_ = State::kClosed;
  std::vector<AdmissionDecision> decisions;
  for (const auto& [priority, queue] : queues_) {
    queue.ForEach([&](const WaitingRequest& request) {
      decisions.push_back({request.number, ResultCode::kTargetUnreachable});
    });
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
      queue.ForEach([&](WaitingRequest& request) {
        request.expires_at = std::min(request.expires_at, drain_deadline_);
      });
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
  const bool free_slot = TakenFor(request.priority) < slots(now) && !WaitsBefore(request.priority);
  if (free_slot && queued() == 0) {
    queues_.clear();  // nobody waits, so what tenants have used cost no one anything
  }
  const bool counts_share = !request.tenant.empty() && request.max_wait != Duration{};
  if (counts_share) {
    share_.Offered(now, request.priority);
  }
  const Duration max_wait = MaxWait(now, request);
  const bool too_long = max_wait == Duration{} || ExpectedWait(now, request) > max_wait;
  if (!free_slot && (too_long || !MakeRoomFor(now, request, decisions))) {
    decisions.push_back({request.number, ResultCode::kOverloaded});
    return decisions;
  }
  const TimePoint expires_at = std::min(request.deadline, now + max_wait);
  queues_[request.priority].Add(
      StartBy(now, request), {request.number, request.tenant, request.objective, request.deadline,
                              expires_at, counts_share});
  ++queued_;
  FillSlots(now, decisions);
  return decisions;
}

std::vector<AdmissionDecision> Admission::SendsResponse(TimePoint now, RequestNumber number) {
  const auto found = running_.find(number);
  if (found == running_.end()) {
    return {};
  }
  found->second.sends_response = true;
  return Tick(now);
}

std::vector<AdmissionDecision> Admission::Finish(TimePoint now, RequestNumber number) {
  const auto found = running_.find(number);
  ENDIVECLEAT_CHECK(found != running_.end(), "a request finished that was not running");
  const Running& ended = found->second;
  service_times_.Add(ended.objective, now - ended.started);
  if (const auto queue = queues_.find(ended.priority);
      !ended.tenant.empty() && queue != queues_.end()) {
    queue->second.Correct(ended.tenant, now - ended.started - ended.charged);
  }
  UpdateLoad(now);
  running_.erase(found);
  return Tick(now);
}

void Admission::Answered(TimePoint now, RequestNumber number, bool refused) {
  const auto found = running_.find(number);
  if (!adaptive_limit_ || found == running_.end()) {
    return;
  }
  const Running& answered = found->second;
  if (refused) {
    concurrency_limit_.Refused(now, policy_slots(now));
    return;
  }
  const auto at_both_ends = static_cast<double>(answered.concurrency + running());
  concurrency_limit_.Answered(now, policy_slots(now), answered.objective, now - answered.started,
                              at_both_ends / 2);
}

void Admission::Reported(TimePoint now, const LoadField& load) {
  if (adaptive_limit_) {
    concurrency_limit_.Reported(now, policy_slots(now), load);
  }
}

void Admission::Cancel(RequestNumber number) {
  for (auto& [priority, queue] : queues_) {
    if (queue.Remove(number)) {
      --queued_;
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
    queue.ForEach(
        [&](const WaitingRequest& request) { next = std::min(next, request.expires_at); });
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
  const size_t limit = policy_slots(now);
  return adaptive_limit_ && limit > 1 ? concurrency_limit_.limit(now, limit) : limit;
}

Duration Admission::ServiceTime(Duration objective) const {
  return adaptive_limit_ ? concurrency_limit_.ServiceTime(objective) : Duration{};
}

size_t Admission::policy_slots(TimePoint now) const {
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
    if (queue.empty()) {
      continue;
    }
    const size_t before = queue.size();
    queue.RemoveExpired(now, [&](const WaitingRequest& request) {
      const bool deadline_passed = request.deadline <= now;
      decisions.push_back({request.number, deadline_passed ? ResultCode::kDeadlinePassed
                                                           : ResultCode::kOverloaded});
    });
    queued_ -= before - queue.size();
  }
}

void Admission::FillSlots(TimePoint now, std::vector<AdmissionDecision>& decisions) {
  UpdateLoad(now);
  const auto cost_of = [this](Duration objective) { return Cost(objective); };
  for (auto next = NextQueue(now); next != queues_.end(); next = NextQueue(now)) {
    const Priority priority = next->first;
    const WaitingRequest request = next->second.Pop(cost_of);
    --queued_;
    if (!request.tenant.empty()) {
      if (!request.counts_share) {
        share_.Offered(now, priority);
      }
      share_.Served(now, priority);
    }
    const bool added =
        running_
            .emplace(request.number, Running{now, request.objective, priority, request.tenant,
                                             Cost(request.objective), running() + 1})
            .second;
    ENDIVECLEAT_CHECK(added, "duplicate request number");
    decisions.push_back({request.number, std::nullopt});
  }
}

// The most urgent queue, or a less urgent one whose tenants' share of what is served is due.
Admission::Queues::iterator Admission::NextQueue(TimePoint now) {
  const size_t limit = slots(now);
  auto next = queues_.end();
  for (auto queue = queues_.begin(); queue != queues_.end(); ++queue) {
    if (queue->second.empty() || TakenFor(queue->first) >= limit) {
      continue;
    }
    const bool due = queue->second.has_tenants() && IsDue(now, queue->first);
    if (next == queues_.end() || due) {
      next = queue;
    }
  }
  return next;
}

size_t Admission::TakenFor(Priority priority) const {
  return static_cast<size_t>(
      std::count_if(running_.begin(), running_.end(), [&](const auto& entry) {
        return !entry.second.sends_response || entry.second.priority <= priority;
      }));
}

bool Admission::WaitsBefore(Priority priority) const {
  return std::any_of(queues_.begin(), queues_.end(), [&](const auto& entry) {
    return entry.first <= priority && !entry.second.empty();
  });
}

bool Admission::IsDue(TimePoint now, Priority priority) const {
  return share_.IsDue(now, priority);
}

double Admission::mean_load(TimePoint now) const {
  const double elapsed = std::chrono::duration<double>(now - load_updated_at_).count();
  const double constant = std::chrono::duration<double>(kLoadAveragingTime).count();
  const auto load = static_cast<double>(running() + queued());
  return load + (mean_load_ - load) * std::exp(-elapsed / constant);
}

// Must be called before the load changes. The load has been constant since the latest call.
void Admission::UpdateLoad(TimePoint now) {
  mean_load_ = mean_load(now);
  load_updated_at_ = now;
}

// Time to keep for the service. While more requests come than can be served, all wait up to the
// limit: a reserve that half of the service times exceed would make half of the answers late.
Duration Admission::Reserve(const AdmissionRequest& request) const {
  const auto least = std::chrono::duration_cast<Duration>(service_times_.Of(request.objective) *
                                                          kMinServiceTimeReserve);
  return std::max(least, service_times_.UpperBound(request.objective));
}

// The latest start with which the request can meet its objective.
TimePoint Admission::StartBy(TimePoint now, const AdmissionRequest& request) const {
  return now +
         (request.objective_left ? *request.objective_left - Reserve(request) : policy_.queue_wait);
}

Duration Admission::MaxWait(TimePoint now, const AdmissionRequest& request) const {
  const Duration limit = request.max_wait.value_or(Duration::max());
  if (!request.objective_left) {
    return std::min(policy_.queue_wait, limit);
  }
  const Duration reserve = Reserve(request);
  const Duration time_left = request.deadline - now;
  const Duration wait =
      time_left < kMinTimeToRetry
          ? std::max(std::min(time_left - reserve, time_left / kNoRetryWaitDivisor), Duration{})
          : std::max(*request.objective_left - reserve, *request.objective_left / kMinWaitDivisor);
  return std::min(wait, limit);
}

Duration Admission::TimeUntilRoom(TimePoint now, AdmissionRequest request) const {
  request.max_wait.reset();
  return std::max(ExpectedWait(now, request) - MaxWait(now, request), Duration{});
}

// Expected time until a slot is free for a new request, behind all queued requests that are served
// before it. 0 while no service time is known.
Duration Admission::ExpectedWait(TimePoint now, const AdmissionRequest& request) const {
  const size_t limit = slots(now);
  if (limit == 0) {
    return Duration{};
  }
  const auto cost_of = [this](Duration objective) { return Cost(objective); };
  const auto own = queues_.find(request.priority);
  const bool own_waits = own != queues_.end() && !own->second.empty();
  Duration ahead = service_times_.mean();  // until one of the running requests ends
  const bool next = !request.tenant.empty() && !own_waits && IsDue(now, request.priority);
  for (auto queue = queues_.begin(); !next && queue != queues_.end(); ++queue) {
    if (queue->first > request.priority) {
      break;
    }
    ahead += queue == own ? queue->second.WorkAhead(request.tenant, StartBy(now, request), cost_of)
                          : queue->second.Work(cost_of);
  }
  return ahead / static_cast<Duration::rep>(limit);
}

// When the queue is full, evicts a request of the lowest priority if the new one is more urgent, or
// of the tenant with the longest queue if they are equally urgent. The only request of a priority
// that is due stays. The evicted request has not run, so its caller may retry it on another target.
bool Admission::MakeRoomFor(TimePoint now, const AdmissionRequest& request,
                            std::vector<AdmissionDecision>& decisions) {
  if (queued() < policy_.queue_length.value()) {
    return true;
  }
  const auto own = queues_.find(request.priority);
  const bool own_waits = own != queues_.end() && !own->second.empty();
  const bool is_due = !request.tenant.empty() && !own_waits && IsDue(now, request.priority);
  for (auto queue = queues_.rbegin(); queue != queues_.rend(); ++queue) {
    FairQueue& waiting = queue->second;
    const bool keeps_place =
        waiting.size() == 1 && waiting.has_tenants() && IsDue(now, queue->first);
    if (waiting.empty() || keeps_place) {
      continue;
    }
    const bool yields =
        is_due || queue->first > request.priority ||
        (queue->first == request.priority && waiting.EvictsInFavourOf(request.tenant));
    if (!yields) {
      return false;
    }
    const WaitingRequest evicted = waiting.Evict();
    --queued_;
    decisions.push_back({evicted.number, ResultCode::kOverloaded});
    return true;
  }
  return false;
}

}  // namespace endivecleat
