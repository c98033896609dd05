// Guards against retry amplification: retries that multiply along a chain of services and load the
// failing one at its end with a multiple of the calls.
#include <CppUTest/TestHarness.h>

#include <array>
#include <string>
#include <vector>

#include "call.h"
#include "retry_budget.h"
#include "seed_runner.h"
#include "seeded_random.h"

using namespace endivecleat;        // NOLINT(google-build-using-namespace)
using namespace endivecleat::test;  // NOLINT(google-build-using-namespace)

namespace {

constexpr size_t kHops = 21;
constexpr uint64_t kCalls = 2000;
constexpr uint64_t kCallsToEmptyTheBudget = 200;
constexpr double kMaxAttemptsPerCall = 1.25;

enum class Failure { kRefuses, kBreaks, kAnswersError };

// A chain of services, each of which calls the next. The last one fails every request. Each hop has
// a retry budget of its own.
class Chain {
 public:
  Chain(uint64_t seed, Failure failure) : random_(seed), failure_(failure) {
    budgets_.assign(kHops, RetryBudget(Percent(10)));
  }

  // Calls a hop and returns the HTTP status that its caller gets.
  int CallHop(size_t hop) {
    const CallRequest request{.call_id = std::to_string(++next_),
                              .kind = CallKind::kIdempotent,
                              .deadline = TimePoint::max(),
                              .max_attempts = AttemptCount(4)};
    Call call(request, budgets_[hop]);
    CallEffects effects = call.Start(kNow);
    while (!call.finished()) {
      if (std::holds_alternative<ChooseCandidate>(effects.front())) {
        effects = call.Chosen(kNow, Endpoint{InstanceId("t"), {}});
        continue;
      }
      ++attempts_[hop];
      effects = Attempt(call, hop, std::get<SendAttempt>(effects.front()).attempt);
    }
    const auto& finish = std::get<FinishCall>(effects.back());
    return finish.answer.has_value() ? finish.answer->status : 503;
  }

  std::array<uint64_t, kHops> TakeAttempts() { return std::exchange(attempts_, {}); }

 private:
  CallEffects Attempt(Call& call, size_t hop, const AttemptId& attempt) {
    if (hop + 1 < kHops) {
      return call.Answered(kNow, attempt, {.status = CallHop(hop + 1)});
    }
    if (failure_ == Failure::kAnswersError) {
      return call.Answered(kNow, attempt, {.status = 500});
    }
    // Uses different codes, so that a retry that bypasses the budget for one of them is found.
    if (failure_ == Failure::kRefuses) {
      const bool draining = random_.Chance(50);
      return call.Refused(kNow, attempt,
                          {draining ? ResultCode::kDraining : ResultCode::kOverloaded});
    }
    return random_.Chance(50) ? call.LinkBroken(kNow, attempt)
                              : call.Refused(kNow, attempt, {ResultCode::kAnswerBroken});
  }

  const TimePoint kNow{};  // NOLINT(readability-identifier-naming)
  SeededRandom random_;
  Failure failure_;
  std::vector<RetryBudget> budgets_;
  std::array<uint64_t, kHops> attempts_{};
  uint64_t next_ = 0;
};

std::string CheckChain(uint64_t seed, Failure failure, double& most) {
  Chain chain(seed, failure);
  for (uint64_t call = 0; call < kCallsToEmptyTheBudget; ++call) {
    chain.CallHop(0);
  }
  chain.TakeAttempts();
  for (uint64_t call = 0; call < kCalls; ++call) {
    if (chain.CallHop(0) < 500) {
      return "a call through a failing service succeeded";
    }
  }
  const auto attempts = chain.TakeAttempts();
  const double last = static_cast<double>(attempts.back()) / kCalls;
  most = std::max(most, last);
  if (last >= kMaxAttemptsPerCall) {
    return "the last hop got " + std::to_string(last) + " attempts per call";
  }
  for (size_t hop = 0; hop + 1 < kHops; ++hop) {
    if (attempts.at(hop) != kCalls) {
      return "hop " + std::to_string(hop) + " got " + std::to_string(attempts.at(hop)) +
             " attempts for " + std::to_string(kCalls) + " calls";
    }
  }
  return {};
}

}  // namespace

TEST_GROUP(RetryInAChainWithAFailingEnd){};

TEST(RetryInAChainWithAFailingEnd, AddsLittleAtTheLastHopAndNothingElsewhere) {
  double most = 0;
  ForEachSeed(4, [&](uint64_t seed) -> std::string {
    for (const Failure failure : {Failure::kRefuses, Failure::kBreaks, Failure::kAnswersError}) {
      std::string broken = CheckChain(seed, failure, most);
      if (!broken.empty()) {
        return broken;
      }
    }
    return {};
  });
  std::printf("\n  at most %.3f attempts per call at the last hop\n", most);
}
