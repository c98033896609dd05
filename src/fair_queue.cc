// Each flow with requests has the virtual start time of its first one; the earliest start is served
// next. A flow that was idle starts at the present virtual time, so that it saves up no claim.
#include "fair_queue.h"

#include <algorithm>
#include <iterator>

#include "errors.h"

namespace endivecleat {
namespace {

// A request of unknown cost still has to move its flow behind the others.
constexpr Duration kMinCost = std::chrono::milliseconds(1);

}  // namespace

void FairQueue::Add(TimePoint start_by, WaitingRequest request) {
  const bool named = !request.tenant.empty();
  Flow& flow = named ? flows_[request.tenant] : unnamed_;
  const bool was_idle = flow.requests.empty();
  earliest_expiry_ = std::min(earliest_expiry_, request.expires_at);
  flow.requests.emplace(start_by, std::move(request));
  ++size_;
  if (was_idle) {
    flow.start = std::max(virtual_time_, flow.finish);
    if (named) {
      Activate(flow);
    }
  }
}

WaitingRequest FairQueue::Pop(const CostOf& cost_of) {
  ENDIVECLEAT_CHECK(!empty(), "no request waits");
  const bool unnamed = ServesUnnamedNext();
  Flow& flow = unnamed ? unnamed_ : **ready_.begin();
  const auto first = flow.requests.begin();
  WaitingRequest request = std::move(first->second);
  if (unnamed && ready_.empty()) {
    flow.requests.erase(first);
    --size_;
    return request;
  }
  const Duration::rep weight = unnamed ? unnamed_weight() : 1;
  if (!unnamed) {
    Deactivate(flow);
  }
  flow.requests.erase(first);
  --size_;
  virtual_time_ = flow.start;
  flow.finish = flow.start + std::max(cost_of(request.objective), kMinCost) / weight;
  flow.start = flow.finish;
  if (!unnamed && !flow.requests.empty()) {
    Activate(flow);
  }
  ForgetIdleFlows();
  return request;
}

void FairQueue::Correct(const TenantName& tenant, Duration difference) {
  const auto found = flows_.find(tenant);
  if (found == flows_.end()) {
    return;
  }
  Flow& flow = found->second;
  const bool active = !flow.requests.empty();
  if (active) {
    Deactivate(flow);
  }
  flow.finish = std::max(flow.finish + difference, Duration{});
  if (active) {
    flow.start = std::max(flow.start + difference, virtual_time_);
    Activate(flow);
  }
}

bool FairQueue::Remove(RequestNumber number) {
  const auto matches = [&](const WaitingRequest& request) { return request.number == number; };
  if (RemoveFrom(unnamed_, matches)) {
    return true;
  }
  return std::any_of(flows_.begin(), flows_.end(),
                     [&](auto& entry) { return RemoveFrom(entry.second, matches); });
}

void FairQueue::RemoveExpired(TimePoint now,
                              const std::function<void(const WaitingRequest&)>& expired) {
  const auto matches = [&](const WaitingRequest& request) {
    if (request.expires_at > now) {
      return false;
    }
    expired(request);
    return true;
  };
  if (now < earliest_expiry_) {
    return;
  }
  RemoveFrom(unnamed_, matches);
  for (auto flow = ready_.begin(); flow != ready_.end();) {
    RemoveFrom(**flow++, matches);
  }
  earliest_expiry_ = TimePoint::max();
  std::as_const(*this).ForEach([&](const WaitingRequest& request) {
    earliest_expiry_ = std::min(earliest_expiry_, request.expires_at);
  });
}

WaitingRequest FairQueue::Evict() {
  ENDIVECLEAT_CHECK(!empty(), "no request waits");
  Flow* longest = LongestTenantFlow();
  const bool unnamed =
      longest == nullptr || unnamed_.requests.size() > longest->requests.size() * ready_.size();
  Flow& flow = unnamed ? unnamed_ : *longest;
  const auto last = std::prev(flow.requests.end());
  WaitingRequest request = std::move(last->second);
  flow.requests.erase(last);
  --size_;
  if (!unnamed && flow.requests.empty()) {
    Deactivate(flow);
  }
  return request;
}

// Requests without a tenant never displace one another: the one that came first stays.
bool FairQueue::EvictsInFavourOf(const TenantName& tenant) const {
  const Flow* longest = LongestTenantFlow();
  const size_t unnamed = unnamed_.requests.size() / static_cast<size_t>(unnamed_weight());
  if (tenant.empty()) {
    return longest != nullptr && longest->requests.size() > unnamed + 1;
  }
  const auto found = flows_.find(tenant);
  const size_t own = found == flows_.end() ? 0 : found->second.requests.size();
  return std::max(longest == nullptr ? 0 : longest->requests.size(), unnamed) > own + 1;
}

Duration FairQueue::WorkAhead(const TenantName& tenant, TimePoint start_by,
                              const CostOf& cost_of) const {
  const Flow* own = &unnamed_;
  if (!tenant.empty()) {
    const auto found = flows_.find(tenant);
    own = found == flows_.end() ? nullptr : &found->second;
  }
  Duration own_work{};
  if (own != nullptr) {
    const auto end = own->requests.upper_bound(start_by);
    for (auto entry = own->requests.begin(); entry != end; ++entry) {
      own_work += cost_of(entry->second.objective);
    }
  }
  if (tenant.empty() && ready_.empty()) {
    return own_work;
  }
  Duration first = virtual_time_;
  if (own != nullptr) {
    first = own->requests.empty() ? std::max(virtual_time_, own->finish) : own->start;
  }
  const Duration start = first + own_work / (tenant.empty() ? unnamed_weight() : 1);
  Duration ahead = own_work;
  if (own != &unnamed_) {
    ahead += WorkBefore(unnamed_, start, unnamed_weight(), cost_of);
  }
  for (const Flow* flow : ready_) {
    if (flow->start > start) {
      break;
    }
    if (flow != own) {
      ahead += WorkBefore(*flow, start, 1, cost_of);
    }
  }
  return ahead;
}

Duration FairQueue::Work(const CostOf& cost_of) const {
  Duration work{};
  ForEach([&](const WaitingRequest& request) { work += cost_of(request.objective); });
  return work;
}

void FairQueue::ForEach(const std::function<void(WaitingRequest&)>& function) {
  earliest_expiry_ = TimePoint::min();  // the function may change it
  for (auto& [start_by, request] : unnamed_.requests) {
    function(request);
  }
  for (Flow* flow : ready_) {
    for (auto& [start_by, request] : flow->requests) {
      function(request);
    }
  }
}

void FairQueue::ForEach(const std::function<void(const WaitingRequest&)>& function) const {
  for (const auto& [start_by, request] : unnamed_.requests) {
    function(request);
  }
  for (const Flow* flow : ready_) {
    for (const auto& [start_by, request] : flow->requests) {
      function(request);
    }
  }
}

void FairQueue::Activate(Flow& flow) { ready_.insert(&flow); }

// Must be called before the start of the flow changes, which is its place in ready_.
void FairQueue::Deactivate(Flow& flow) { ready_.erase(&flow); }

bool FairQueue::RemoveFrom(Flow& flow, const std::function<bool(const WaitingRequest&)>& matches) {
  if (flow.requests.empty()) {
    return false;
  }
  const size_t erased =
      std::erase_if(flow.requests, [&](const auto& entry) { return matches(entry.second); });
  size_ -= erased;
  if (&flow != &unnamed_ && flow.requests.empty()) {
    Deactivate(flow);
  }
  return erased > 0;
}

void FairQueue::ForgetIdleFlows() {
  if (flows_.size() <= ready_.size() + kMaxIdleFlows) {
    return;
  }
  std::erase_if(flows_, [&](const auto& entry) {
    return entry.second.requests.empty() && entry.second.finish <= virtual_time_;
  });
}

// With equal starts, the request that has to start first.
bool FairQueue::ServesUnnamedNext() const {
  if (ready_.empty() || unnamed_.requests.empty()) {
    return ready_.empty();
  }
  const Flow& named = **ready_.begin();
  return unnamed_.start != named.start
             ? unnamed_.start < named.start
             : unnamed_.requests.begin()->first <= named.requests.begin()->first;
}

Duration FairQueue::WorkBefore(const Flow& flow, Duration start, Duration::rep weight,
                               const CostOf& cost_of) const {
  Duration work{};
  Duration next = flow.start;
  for (auto entry = flow.requests.begin(); entry != flow.requests.end() && next <= start; ++entry) {
    const Duration cost = cost_of(entry->second.objective);
    work += cost;
    next += std::max(cost, kMinCost) / weight;
  }
  return work;
}

FairQueue::Flow* FairQueue::LongestTenantFlow() const {
  const auto longest =
      std::max_element(ready_.begin(), ready_.end(), [](const Flow* one, const Flow* other) {
        return one->requests.size() < other->requests.size();
      });
  return longest == ready_.end() ? nullptr : *longest;
}

}  // namespace endivecleat
