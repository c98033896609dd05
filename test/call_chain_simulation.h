// Two services in virtual time, of which the first calls the second while it runs a request. Uses
// the decision objects of the daemons (Call, Balancer, Admission, RetryBudget) and clients that
// come back after a failure. Each daemon has a network link of limited bandwidth, on which messages
// wait for one another.
#ifndef ENDIVECLEAT_TEST_CALL_CHAIN_SIMULATION_H_
#define ENDIVECLEAT_TEST_CALL_CHAIN_SIMULATION_H_

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "admission.h"
#include "balancer.h"
#include "call.h"
#include "call_message.h"
#include "retry_budget.h"
#include "seeded_random.h"
#include "transit_delay.h"
#include "units.h"

namespace endivecleat::test {

/// What happens to the targets of the called service.
struct CalledServiceTrouble {
  size_t slow_targets = 0;        // the first ones
  double slowness = 1;            // factor of their service times
  size_t lost_targets = 0;        // the last ones
  uint64_t rejected_percent = 0;  // requests that a target rejects although it has free slots
  TimePoint begins = TimePoint::max();
  TimePoint ends = TimePoint::max();
};

/// Sums over the requests of clients that arrived after the averages were learnt.
struct CallChainOutcome {
  struct Route {
    int arrived = 0;
    int in_time = 0;  // within the route's objective from the client's first attempt
    int late = 0;
    double served() const { return arrived == 0 ? 1 : 1.0 * (in_time + late) / arrived; }
  };
  Route reads;                          // of the calling service; seven in ten make two calls
  Route updates;                        // of the calling service; make no calls
  Route confirmations;                  // of the called service
  int started_long_after_deadline = 0;  // attempts that began to run half a second after it
  Duration calling_slot_time{};         // of the calling service's targets
  Duration calling_slot_time_failed{};  // of runs that failed
  double wasted_slot_time() const {
    return calling_slot_time == Duration{}
               ? 0
               : 1.0 * static_cast<double>(calling_slot_time_failed.count()) /
                     static_cast<double>(calling_slot_time.count());
  }
};

class CallChainSimulation {
 public:
  /// `link_bytes_per_second`: of each daemon's link, each way.
  CallChainSimulation(uint64_t seed, double link_bytes_per_second,
                      const CalledServiceTrouble& trouble);
  ~CallChainSimulation();

  /// Runs for the given time from the start and returns what has been counted so far.
  CallChainOutcome Run(Duration length);
  /// Counts from zero again.
  void ResetOutcome() { outcome_ = {}; }

 private:
  enum RouteIndex { kRead, kUpdate, kConfirmation, kLookup };
  struct Daemon;
  struct Target;
  struct Client;
  struct Exchange;
  struct RunningRequest;
  using ExchangeId = uint64_t;
  using RunId = uint64_t;
  struct Submitted {
    ExchangeId exchange;
    AttemptId attempt;
    RouteIndex route;
    TimePoint deadline;
  };

  void Arrive(RouteIndex route);
  void StartExchange(RouteIndex route, size_t daemon, Duration timeout,
                     std::function<void(int status, Duration retry_after)> done,
                     std::optional<RunId> parent);
  void SendClient(const std::shared_ptr<Client>& client);
  void ClientAnswered(const std::shared_ptr<Client>& client, int status, Duration retry_after);
  void Execute(ExchangeId id, const CallEffects& effects);
  void Send(ExchangeId id, const SendAttempt& send);
  void CancelSent(ExchangeId id);
  void Decide(size_t target, const std::vector<AdmissionDecision>& decisions);
  void StartRun(size_t target, const Submitted& submitted, RequestNumber number);
  void MakeCalls(RunId id);
  void CallEnded(RunId id, bool succeeded);
  void EndRun(RunId id, int status);
  void Reply(ExchangeId id, const AttemptId& attempt, AttemptResult result,
             const std::function<void()>& then);
  void Finish(ExchangeId id, const FinishCall& finish);
  void ReportLoad();
  TimePoint Transmit(size_t from, size_t to, size_t bytes);
  void At(TimePoint when, std::function<void()> task) { events_.emplace(when, std::move(task)); }
  bool IsCalled(size_t target) const { return target >= kCallingTargets; }
  bool InTrouble() const { return now_ >= trouble_.begins && now_ < trouble_.ends; }
  Duration ServiceTime(RouteIndex route, size_t target);

  static constexpr size_t kCallingTargets = 60;
  static constexpr size_t kCalledTargets = 15;
  static constexpr size_t kTargets = kCallingTargets + kCalledTargets;

  SeededRandom random_;
  double link_bytes_per_second_;
  CalledServiceTrouble trouble_;
  TimePoint now_;
  std::vector<std::unique_ptr<Daemon>> daemons_;  // one beside each target
  std::vector<std::unique_ptr<Target>> targets_;
  std::map<size_t, uint64_t> reported_;
  std::array<TimePoint, kTargets> outbound_free_at_{};  // when a daemon's link has sent all
  std::array<TimePoint, kTargets> inbound_free_at_{};
  std::map<ExchangeId, std::unique_ptr<Exchange>> exchanges_;
  std::map<RunId, std::unique_ptr<RunningRequest>> runs_;
  std::map<RequestNumber, Submitted> numbers_;  // not decided
  std::multimap<TimePoint, std::function<void()>> events_;
  std::array<double, 3> due_{};
  uint64_t last_id_ = 0;
  CallChainOutcome outcome_;
};

}  // namespace endivecleat::test

#endif  // ENDIVECLEAT_TEST_CALL_CHAIN_SIMULATION_H_
