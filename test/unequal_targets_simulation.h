// One service whose targets differ in speed, in virtual time. Uses the decision objects of the
// daemons (Call, Balancer, Admission, RetryBudget) as CallerTask and TargetTask do, with and
// without the adaptive limit.
#ifndef ENDIVECLEAT_TEST_UNEQUAL_TARGETS_SIMULATION_H_
#define ENDIVECLEAT_TEST_UNEQUAL_TARGETS_SIMULATION_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "admission.h"
#include "balancer.h"
#include "call.h"
#include "seeded_random.h"

namespace endivecleat::test {

class UnequalTargetsSimulation {
 public:
  /// A target that runs one request `speed` times as fast as the mean, and up to `cores` of them at
  /// that speed; further ones share it.
  struct Kind {
    double speed = 1;
    double cores = 4;
  };
  struct Options {
    std::vector<Kind> kinds;
    size_t targets = 20;  // with a daemon each; the kinds take turns
    int percent = 80;     // of the capacity of all targets
    bool adaptive = false;
    bool states_pace = false;  // the answers have a load field with the pace
    // Requests without a chance are refused at the caller's daemon, as CallerTask does.
    bool refuse_early = false;
    uint64_t deferrable_percent = 0;  // of the requests have a lower priority
    uint64_t seed = 1;
    // Multiplies the time of all work at the first target for a while.
    double spell = 1;
    TimePoint spell_start{};
    TimePoint spell_end{};
  };
  struct Outcome {
    int in_time = 0;
    int late = 0;
    int refused = 0;
    int refused_early = 0;  // of the refused
    int sent = 0;           // attempts
    int urgent_in_time = 0;
    int deferrable_in_time = 0;
    std::vector<Duration> times;
    double share_in_time() const { return 1.0 * in_time / (in_time + late + refused); }
    Duration Percentile(double share) const;
  };

  explicit UnequalTargetsSimulation(const Options& options);
  Outcome Run(Duration length);

  static constexpr size_t kSlots = 4;
  static constexpr Duration kObjective = std::chrono::milliseconds(300);
  static constexpr int64_t kWorkMs = 90;

 private:
  struct Daemon {
    explicit Daemon(uint64_t seed) : balancer(seed), budget(Percent(10)) {}
    Balancer balancer;
    RetryBudget budget;
  };
  struct Work {
    double left_ms = 0;
    uint64_t request = 0;
  };
  struct Target {
    Kind kind;
    Admission admission{ServicePolicy{
        .slots = SlotCount(kSlots), .queue_length = QueueLength(40), .warm_up = Duration{}}};
    std::map<RequestNumber, Work> running;
    uint64_t reported_busy = 0;
  };
  struct Request {
    size_t daemon = 0;
    std::unique_ptr<Call> call;
    TimePoint arrived;
    Priority priority{1};
    size_t target = 0;
    TimePoint sent_at;
    AttemptId attempt;
    AdmissionRequest admission;
  };

  static InstanceId Instance(size_t number) { return InstanceId(std::to_string(number)); }
  void ReportLoad();
  void RunTarget(size_t number);
  double Pace(size_t number) const;
  void Arrive(size_t daemon);
  void Execute(uint64_t id, const CallEffects& effects);
  void Send(uint64_t id, const SendAttempt& send);
  void Decide(size_t target, const std::vector<AdmissionDecision>& decisions);
  void Reply(uint64_t id, AttemptResult result);
  void Finish(uint64_t id, const FinishCall& finish);

  Options options_;
  SeededRandom random_;
  std::vector<std::unique_ptr<Target>> targets_;
  std::vector<std::unique_ptr<Daemon>> daemons_;
  std::map<uint64_t, Request> requests_;
  std::map<RequestNumber, uint64_t> numbers_;
  std::multimap<TimePoint, std::function<void()>> events_;
  double per_step_ = 0;
  TimePoint now_;
  uint64_t last_request_ = 0;
  uint64_t last_number_ = 0;
  Outcome outcome_;
};

}  // namespace endivecleat::test

#endif  // ENDIVECLEAT_TEST_UNEQUAL_TARGETS_SIMULATION_H_
