// Waiting requests of one priority, served by start-time fair queueing among tenants. The cost of a
// request is its expected service time, corrected when it has ended, so that a tenant with a burst
// or with long requests waits for its own requests and not the others. Admission has one queue per
// priority.
#ifndef ENDIVECLEAT_FAIR_QUEUE_H_
#define ENDIVECLEAT_FAIR_QUEUE_H_

#include <functional>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>

#include "call_types.h"
#include "tenant_table.h"
#include "units.h"

namespace endivecleat {

/// A request that waits for a slot.
struct WaitingRequest {
  RequestNumber number;
  TenantName tenant;     // empty for a request without a tenant
  Duration objective{};  // the route's whole objective
  TimePoint deadline;
  TimePoint expires_at;      // the earlier of the deadline and the end of the longest wait
  bool counts_share = true;  // see ServiceShare; false if it asked for a free slot only
};

/// Tenants have equal weights. Requests without a tenant, which are mostly calls of running
/// requests, are one flow with the weight of all waiting tenants together: a flood of them can take
/// half of the slots from the tenants, and the tenants half from them. Within a flow, requests are
/// served in the order of the time at which they have to start. Without tenants, that is the whole
/// order, and no tags are computed.
class FairQueue {
 public:
  using CostOf = std::function<Duration(Duration objective)>;

  void Add(TimePoint start_by, WaitingRequest request);
  /// Removes and returns the request to serve next; the queue must not be empty. Its tenant is
  /// charged `cost_of(objective)`.
  WaitingRequest Pop(const CostOf& cost_of);
  /// Corrects the charge of an earlier request of the tenant by the difference of its actual cost.
  void Correct(const TenantName& tenant, Duration difference);
  /// Returns whether the request was waiting.
  bool Remove(RequestNumber number);
  /// Removes the requests with `expires_at` not later than `now` and passes each to `expired`.
  void RemoveExpired(TimePoint now, const std::function<void(const WaitingRequest&)>& expired);
  /// Removes and returns the last request of the longest flow.
  WaitingRequest Evict();
  /// Whether Evict would take the request from a flow that stays longer than the tenant's flow is
  /// with one more request.
  bool EvictsInFavourOf(const TenantName& tenant) const;

  /// Service time of the requests that are served before a new one of the tenant.
  Duration WorkAhead(const TenantName& tenant, TimePoint start_by, const CostOf& cost_of) const;
  /// Service time of all requests.
  Duration Work(const CostOf& cost_of) const;
  /// Calls the function with each request.
  void ForEach(const std::function<void(WaitingRequest&)>& function);
  void ForEach(const std::function<void(const WaitingRequest&)>& function) const;

  size_t size() const { return size_; }
  bool empty() const { return size_ == 0; }
  /// Whether a request with a tenant waits.
  bool has_tenants() const { return !ready_.empty(); }

 private:
  using Requests = std::multimap<TimePoint, WaitingRequest>;  // FIFO for equal times
  /// The requests of one tenant. Virtual times grow by the cost divided by the weight.
  struct Flow {
    Requests requests;
    Duration start{};   // virtual time at which the first request is served
    Duration finish{};  // virtual time at which the one served last has ended
  };
  using Flows = std::unordered_map<TenantName, Flow>;
  struct EarlierStart {
    bool operator()(const Flow* one, const Flow* other) const {
      return std::pair(one->start, one) < std::pair(other->start, other);
    }
  };

  void Activate(Flow& flow);
  void Deactivate(Flow& flow);
  bool RemoveFrom(Flow& flow, const std::function<bool(const WaitingRequest&)>& matches);
  void ForgetIdleFlows();
  bool ServesUnnamedNext() const;
  Duration WorkBefore(const Flow& flow, Duration start, Duration::rep weight,
                      const CostOf& cost_of) const;
  Duration::rep unnamed_weight() const {
    return static_cast<Duration::rep>(ready_.empty() ? 1 : ready_.size());
  }
  Flow* LongestTenantFlow() const;

  // Flows without requests are kept for their finish times up to this number.
  static constexpr size_t kMaxIdleFlows = 64;

  Flow unnamed_;                                  // requests without a tenant
  Flows flows_;                                   // by tenant
  std::set<Flow*, EarlierStart> ready_;           // the flows_ with requests
  Duration virtual_time_{};                       // start of the request served last
  TimePoint earliest_expiry_ = TimePoint::max();  // no request expires before
  size_t size_ = 0;
};

}  // namespace endivecleat

#endif  // ENDIVECLEAT_FAIR_QUEUE_H_
