// Checks whether a history of a compare-and-set register is linearizable, with the algorithm of
// Wing and Gong: a search for an order of the operations that is consistent with their times and
// results, with memoisation of the states that failed. An operation that is retried with the same
// id takes effect once and returns its first result.
#ifndef ENDIVECLEAT_TEST_LINEARIZABILITY_H_
#define ENDIVECLEAT_TEST_LINEARIZABILITY_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "errors.h"

namespace endivecleat::test {

constexpr uint64_t kNeverReturned = UINT64_MAX;

/// One operation as observed by its client. Times are positions in a total order of events.
struct RegisterOperation {
  enum class Kind { kRead, kCompareAndSet };
  Kind kind = Kind::kRead;
  std::string id;  // of a compare-and-set; the same for all of its retries
  int64_t expected = 0;
  int64_t desired = 0;
  // For a read, the value; for a compare-and-set, 1 if it set the value, else 0. nullopt when the
  // outcome is unknown.
  std::optional<int64_t> result;
  uint64_t invoked = 0;
  uint64_t returned = kNeverReturned;  // if never, it may take effect at any later time
};

/// Checks one history. `initial` is the value of the register before the first operation.
class LinearizabilityChecker {
 public:
  static constexpr size_t kMaxOperations = 64;  // the memo key has one bit per operation

  LinearizabilityChecker(std::vector<RegisterOperation> history, int64_t initial)
      : history_(std::move(history)), state_{initial, {}} {
    std::erase_if(history_, [](const RegisterOperation& operation) {
      return operation.kind == RegisterOperation::Kind::kRead && !operation.result;
    });
    for (const RegisterOperation& operation : history_) {
      ++times_invoked_[operation.id];
    }
    ENDIVECLEAT_CHECK(history_.size() <= kMaxOperations, "the history has more than 64 operations");
  }

  bool Check() { return Search(0); }

 private:
  struct State {
    int64_t value;
    std::map<std::string, int64_t> results;  // by id, of operations that were retried
    auto operator<=>(const State&) const = default;
  };

  bool HasRun(uint64_t ran, size_t i) const { return ((ran >> i) & 1U) != 0; }

  // Applies an operation to the state; returns false when its result contradicts the history.
  bool Apply(const RegisterOperation& operation) {
    if (operation.kind == RegisterOperation::Kind::kRead) {
      return !operation.result || *operation.result == state_.value;
    }
    const int64_t sets = operation.expected == state_.value ? 1 : 0;
    if (times_invoked_.at(operation.id) == 1) {
      state_.value = sets == 1 ? operation.desired : state_.value;
      // With an unknown result, taking effect without a change equals not taking effect, which the
      // search covers by leaving the operation out.
      return operation.result ? *operation.result == sets : sets == 1;
    }
    const auto [stored, first] = state_.results.try_emplace(operation.id, sets);
    if (first && sets == 1) {
      state_.value = operation.desired;
    }
    return !operation.result || *operation.result == stored->second;
  }

  // Searches for an order of the operations that are not in the bit set `ran`.
  bool Search(uint64_t ran) {
    uint64_t earliest_return = kNeverReturned;
    for (size_t i = 0; i < history_.size(); ++i) {
      if (!HasRun(ran, i)) {
        earliest_return = std::min(earliest_return, history_[i].returned);
      }
    }
    if (earliest_return == kNeverReturned) {
      return true;  // operations that never returned need not take effect
    }
    if (!failed_.emplace(ran, state_).second) {
      return false;
    }
    for (size_t i = 0; i < history_.size(); ++i) {
      if (HasRun(ran, i) || history_[i].invoked > earliest_return) {
        continue;
      }
      const State before = state_;
      if (Apply(history_[i]) && Search(ran | (uint64_t{1} << i))) {
        return true;
      }
      state_ = before;
    }
    return false;
  }

  std::vector<RegisterOperation> history_;
  std::map<std::string, int> times_invoked_;  // by operation id
  State state_;
  std::set<std::pair<uint64_t, State>> failed_;
};

inline bool IsLinearizable(std::vector<RegisterOperation> history, int64_t initial = 0) {
  return LinearizabilityChecker(std::move(history), initial).Check();
}

}  // namespace endivecleat::test

#endif  // ENDIVECLEAT_TEST_LINEARIZABILITY_H_
