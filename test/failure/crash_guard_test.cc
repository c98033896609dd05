// Simulates a data centre in which a caller keeps resending a poison request through different
// daemons. Guards against the request crashing one target after another, and against a crash guard
// that blocks healthy requests which were running on a target when it died. Unit tests of the
// counting follow.
#include "crash_guard.h"

#include <CppUTest/TestHarness.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "call.h"
#include "retry_budget.h"
#include "seed_runner.h"
#include "seeded_random.h"
#include "target_call.h"

using namespace endivecleat;        // NOLINT(google-build-using-namespace)
using namespace endivecleat::test;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;

namespace {

constexpr uint64_t kDaemons = 9;
constexpr uint64_t kHealthyRequests = 12;
constexpr uint64_t kResends = 8;
constexpr size_t kMaxTargetsLost = 3;
const Duration kResendInterval = milliseconds(1100);
const Duration kMaxReportDelay = milliseconds(1000);  // longest time until a report arrives
const Duration kRestartTime = milliseconds(500);

HttpRequest Request(const std::string& method, const std::string& path, const std::string& body) {
  HttpRequest request;
  request.method = method;
  request.path = path;
  request.headers = {{"Host", "orders.example"}, {"Caller", "portal"}};
  request.body = body;
  return request;
}

CallHeaders NamesWithOrigin() {
  CallHeaders names;
  names.origin_service = "Caller";
  return names;
}

Fingerprint FingerprintFor(const std::string& service, const HttpRequest& request) {
  return FingerprintOf(ServiceName(service), NamesWithOrigin(), request);
}

Fingerprint FingerprintOfRead(const std::string& path) {
  return FingerprintFor("bins", Request("GET", path, ""));
}

struct History {
  size_t targets_lost = 0;
  uint64_t healthy_answered = 0;
  uint64_t healthy_stopped = 0;
};

class DataCentre {
 public:
  explicit DataCentre(uint64_t seed) : random_(seed) {
    for (uint64_t number = 0; number < kDaemons; ++number) {
      const InstanceId instance("daemon-" + std::to_string(number));
      daemons_.push_back({.instance = instance, .guard = CrashGuard(instance)});
    }
  }

  History Run() {
    const Duration length = kResendInterval * (kResends + 2);
    TimePoint next_poison = TimePoint{} + milliseconds(500);
    for (uint64_t sent = 0; now_ < TimePoint{} + length; now_ += milliseconds(1)) {
      if (now_ >= next_poison && sent < kResends) {
        Start("poison", random_.Below(kDaemons));
        next_poison += kResendInterval;
        ++sent;
      }
      if (random_.Chance(60)) {
        Start("healthy-" + std::to_string(random_.Below(kHealthyRequests)),
              random_.Below(kDaemons));
      }
      EndRuns();
      Gossip();
    }
    return history_;
  }

  bool Blocks(const std::string& name) const {
    for (const Daemon& daemon : daemons_) {
      if (daemon.guard.Check(Wall(), FingerprintOfRead(name)) == CrashVerdict::kStop) {
        return true;
      }
    }
    return false;
  }

 private:
  struct Daemon {
    InstanceId instance;
    CrashGuard guard;
    TimePoint up_at{};
    uint64_t deaths = 0;
  };
  struct Request {
    std::string name;
    Fingerprint fingerprint;
    std::unique_ptr<Call> call;
  };
  struct ActiveRun {
    TimePoint ends;
    size_t daemon;
    Request* request;
    AttemptId attempt;
    std::unique_ptr<TargetCall> call;
  };
  struct Report {
    size_t to;
    InstanceId from;
    std::vector<CrashReport> reports;
  };

  // The offset of the wall clock is arbitrary.
  WallTime Wall() const {
    return WallTime(1700000000000ULL +
                    static_cast<uint64_t>(now_.time_since_epoch().count()) / 1000);
  }

  void Start(const std::string& name, uint64_t caller) {
    const Fingerprint fingerprint = FingerprintOfRead(name);
    requests_.push_back(std::make_unique<Request>(
        Request{name, fingerprint,
                std::make_unique<Call>(CallRequest{.call_id = std::to_string(++next_),
                                                   .kind = CallKind::kIdempotent,
                                                   .deadline = now_ + std::chrono::seconds(1)},
                                       budget_)}));
    Request& request = *requests_.back();
    const bool stopped = daemons_[caller].guard.Check(Wall(), fingerprint) == CrashVerdict::kStop;
    ExecuteEffects(request, stopped ? request.call->StartBlocked(now_) : request.call->Start(now_));
  }

  void ExecuteEffects(Request& request, const CallEffects& effects) {
    for (const CallEffect& effect : effects) {
      if (const auto* choose = std::get_if<ChooseCandidate>(&effect)) {
        ExecuteEffects(request, request.call->Chosen(now_, ChooseTarget(choose->tried)));
      } else if (const auto* send = std::get_if<SendAttempt>(&effect)) {
        Send(request, std::stoul(send->endpoint.address.ip), send->attempt);
      } else if (const auto* finish = std::get_if<FinishCall>(&effect)) {
        const bool healthy = request.name != "poison";
        const bool stopped = finish->code == ResultCode::kStoppedAfterCrashes;
        history_.healthy_answered += healthy && finish->code == ResultCode::kOk ? 1 : 0;
        history_.healthy_stopped += healthy && stopped ? 1 : 0;
      }
    }
  }

  Endpoint ChooseTarget(const std::vector<InstanceId>& tried) {
    while (true) {
      const uint64_t number = random_.Below(kDaemons);
      const InstanceId& instance = daemons_[number].instance;
      if (std::find(tried.begin(), tried.end(), instance) == tried.end()) {
        return {instance, {std::to_string(number), 0}};
      }
    }
  }

  void Send(Request& request, size_t number, const AttemptId& attempt) {
    Daemon& daemon = daemons_[number];
    if (daemon.up_at > now_) {
      ExecuteEffects(request,
                     request.call->Refused(now_, attempt, {ResultCode::kTargetUnreachable}));
      return;
    }
    const bool poison = request.name == "poison";
    const Duration runs_for = milliseconds(poison ? 5 : 5 + random_.Below(30));
    auto call = std::make_unique<TargetCall>(TargetCallRequest{.kind = CallKind::kIdempotent,
                                                               .attempt = attempt,
                                                               .fingerprint = request.fingerprint,
                                                               .deadline = TimePoint::max()});
    const CrashVerdict verdict = daemon.guard.Check(Wall(), request.fingerprint);
    runs_.push_back({now_ + runs_for, number, &request, attempt, std::move(call)});
    // Executing the effects may append to runs_, so a pointer to the call is kept.
    TargetCall* added = runs_.back().call.get();
    ExecuteEffects(number, request, attempt, added->Admitted(now_, verdict));
  }

  void ExecuteEffects(size_t number, Request& request, const AttemptId& attempt,
                      const TargetCallEffects& effects) {
    Daemon& daemon = daemons_[number];
    for (const TargetCallEffect& effect : effects) {
      if (const auto* end = std::get_if<RecordCallEnding>(&effect)) {
        daemon.guard.RecordEnding(Wall(), end->fingerprint, end->ending, daemon.deaths);
      } else if (const auto* answer = std::get_if<AnswerCaller>(&effect)) {
        ExecuteEffects(request, request.call->Answered(now_, attempt, answer->answer));
      } else if (const auto* refuse = std::get_if<RefuseCaller>(&effect)) {
        ExecuteEffects(request, request.call->Refused(now_, attempt, refuse->refusal));
      }
    }
  }

  void EndRuns() {
    std::vector<ActiveRun> ended;
    std::vector<ActiveRun> still_running;
    std::vector<bool> dies(kDaemons, false);
    for (ActiveRun& run : runs_) {
      if (run.call->state() == "calling" && run.ends <= now_ && run.request->name == "poison") {
        dies[run.daemon] = true;
      }
    }
    for (ActiveRun& run : std::exchange(runs_, {})) {
      if (run.call->finished()) {
        continue;
      }
      (dies[run.daemon] || run.ends <= now_ ? ended : still_running).push_back(std::move(run));
    }
    runs_ = std::move(still_running);
    for (size_t number = 0; number < kDaemons; ++number) {
      if (dies[number]) {
        ++daemons_[number].deaths;
        ++history_.targets_lost;
        daemons_[number].up_at = now_ + kRestartTime;
      }
    }
    for (ActiveRun& run : ended) {
      const TargetCallEffects effects = dies[run.daemon]
                                            ? run.call->TargetFailed(now_, TargetFault::kDied)
                                            : run.call->TargetAnswered(now_, {.status = 200});
      ExecuteEffects(run.daemon, *run.request, run.attempt, effects);
    }
  }

  // Every daemon sends its reports every 100 ms; each copy has its own random delay.
  void Gossip() {
    if (now_.time_since_epoch() % milliseconds(100) == Duration::zero()) {
      for (size_t from = 0; from < kDaemons; ++from) {
        SendReports(from);
      }
    }
    while (!gossip_.empty() && gossip_.begin()->first <= now_) {
      const Report& report = gossip_.begin()->second;
      daemons_[report.to].guard.Merge(report.from, report.reports);
      gossip_.erase(gossip_.begin());
    }
  }

  void SendReports(size_t from) {
    const std::vector<CrashReport> reports = daemons_[from].guard.OwnReports();
    if (reports.empty()) {
      return;
    }
    for (size_t to = 0; to < kDaemons; ++to) {
      const auto max_delay = static_cast<uint64_t>(kMaxReportDelay.count()) - 100000;
      gossip_.emplace(now_ + Duration(random_.Below(max_delay)),
                      Report{to, daemons_[from].instance, reports});
    }
  }

  SeededRandom random_;
  TimePoint now_{};
  RetryBudget budget_{Percent(10)};
  std::vector<Daemon> daemons_;
  std::vector<std::unique_ptr<Request>> requests_;
  std::vector<ActiveRun> runs_;
  std::multimap<TimePoint, Report> gossip_;  // by arrival
  History history_;
  uint64_t next_ = 0;
};

const InstanceId kOne("one");
const InstanceId kTwo("two");
const Fingerprint kRequest("f");

}  // namespace

TEST_GROUP(CrashGuardResentPoisonRequest){};

TEST(CrashGuardResentPoisonRequest, LosesFewTargetsAndBlocksNoHealthyRequest) {
  size_t max_lost = 0;
  uint64_t answered = 0;
  uint64_t stopped = 0;
  ForEachSeed(40, [&](uint64_t seed) -> std::string {
    DataCentre data_centre(seed);
    const History history = data_centre.Run();
    max_lost = std::max(max_lost, history.targets_lost);
    answered += history.healthy_answered;
    stopped += history.healthy_stopped;
    if (history.targets_lost == 0 || history.targets_lost > kMaxTargetsLost) {
      return std::to_string(history.targets_lost) + " targets lost";
    }
    if (!data_centre.Blocks("poison")) {
      return "the crashing request is not blocked";
    }
    for (uint64_t number = 0; number < kHealthyRequests; ++number) {
      const std::string name = "healthy-" + std::to_string(number);
      if (data_centre.Blocks(name)) {
        return name + " is blocked";
      }
    }
    return {};
  });
  std::printf("\n  at most %zu targets lost; healthy requests: %llu answered, %llu stopped\n",
              max_lost, static_cast<unsigned long long>(answered),  // NOLINT
              static_cast<unsigned long long>(stopped));            // NOLINT
  CHECK(answered > 100 * stopped);
}

TEST_GROUP(CrashGuardCounting){};

TEST(CrashGuardCounting, BlocksAfterTwoCrashesForTenMinutes) {
  CrashGuard guard(kOne);
  const WallTime now(1000000);
  guard.RecordEnding(now, kRequest, CallEnding::kTargetDied, 1);
  CHECK(guard.Check(now, kRequest) == CrashVerdict::kRun);
  guard.Merge(kTwo, {{kRequest, {now}, WallTime()}});
  CHECK(guard.Check(now, kRequest) == CrashVerdict::kStop);
  const WallTime later(now.value() + 600000);
  CHECK(guard.Check(WallTime(later.value() - 1), kRequest) == CrashVerdict::kStop);
  CHECK(guard.Check(later, kRequest) == CrashVerdict::kRun);
  guard.Tick(later);
  CHECK(guard.OwnReports().empty());
}

TEST(CrashGuardCounting, CountsTargetDeathOnceForConcurrentEqualRequests) {
  CrashGuard guard(kOne);
  for (int copy = 0; copy < 3; ++copy) {
    guard.RecordEnding(WallTime(1000), kRequest, CallEnding::kTargetDied, 1);
  }
  LONGS_EQUAL(1, guard.crashes(WallTime(1000), kRequest));
}

TEST(CrashGuardCounting, SuccessOnAnyInstanceClearsCount) {
  CrashGuard guard(kOne);
  guard.RecordEnding(WallTime(1000), kRequest, CallEnding::kTargetDied, 1);
  guard.Merge(kTwo, {{kRequest, {WallTime(1001)}, WallTime(1002)}});
  LONGS_EQUAL(0, guard.crashes(WallTime(1003), kRequest));
  guard.RecordEnding(WallTime(1004), kRequest, CallEnding::kTargetDied, 2);
  LONGS_EQUAL(1, guard.crashes(WallTime(1005), kRequest));
}

TEST(CrashGuardCounting, DigestDistinguishesMethodPathAndBody) {
  CHECK(RequestDigest("GET", "/a", "b") == RequestDigest("GET", "/a", "b"));
  CHECK(RequestDigest("GET", "/a", "b") != RequestDigest("GET", "/ab", ""));
  CHECK(RequestDigest("GET", "/a", "b") != RequestDigest("POST", "/a", "b"));
}

TEST(CrashGuardCounting, FingerprintDistinguishesMethodPathAndBody) {
  const HttpRequest request = Request("GET", "/a", "b");
  CHECK(FingerprintFor("bins", request) == FingerprintFor("bins", Request("GET", "/a", "b")));
  CHECK(FingerprintFor("bins", request) != FingerprintFor("bins", Request("GET", "/ab", "")));
  CHECK(FingerprintFor("bins", request) != FingerprintFor("bins", Request("POST", "/a", "b")));
}

// Successes of another route's requests, equal in method, path and body, ended the stop of a
// request that crashes its targets.
TEST(CrashGuardCounting, SuccessOfAnEqualRequestOfAnotherRouteEndsNoStop) {
  const HttpRequest crashing = Request("POST", "/v1/sync", "{}");
  CrashGuard guard(kOne);
  for (const uint64_t death : {1, 2}) {
    guard.RecordEnding(WallTime(1000), FingerprintFor("orders", crashing), CallEnding::kTargetDied,
                       death);
  }
  HttpRequest other_host = crashing;
  other_host.headers.Set("Host", "crews.example");
  HttpRequest other_origin = crashing;
  other_origin.headers.Set("Caller", "crews");
  HttpRequest other_query = crashing;
  other_query.query = "x=1";
  for (const Fingerprint& other :
       {FingerprintFor("crews", crashing), FingerprintFor("orders", other_host),
        FingerprintFor("orders", other_origin), FingerprintFor("orders", other_query)}) {
    CHECK(guard.Check(WallTime(1001), other) == CrashVerdict::kRun);
    guard.RecordEnding(WallTime(1001), other, CallEnding::kAnswered, 2);
    CHECK(guard.Check(WallTime(1002), FingerprintFor("orders", crashing)) == CrashVerdict::kStop);
  }
}

TEST(CrashGuardCounting, FingerprintFindsTheSameRequestAgain) {
  const HttpRequest request = Request("POST", "/v1/sync", "{}");
  HttpRequest again = request;
  again.headers.Set("Host", "Orders.Example:8080");
  again.headers.Add("Request-Id", "another attempt");
  again.headers.Add("Timeout-Ms", "100");
  CHECK(FingerprintFor("orders", request) == FingerprintFor("orders", again));
}
