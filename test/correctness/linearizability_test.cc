// Guards against a linearizability checker that accepts a history that is not linearizable, which
// would hide violations in every test that uses it, or rejects one that is.
#include "linearizability.h"

#include <CppUTest/TestHarness.h>

using endivecleat::test::IsLinearizable;
using endivecleat::test::kNeverReturned;
using endivecleat::test::RegisterOperation;

namespace {

RegisterOperation Read(int64_t value, uint64_t invoked, uint64_t returned) {
  return {.result = value, .invoked = invoked, .returned = returned};
}

RegisterOperation Set(const char* id, int64_t expected, int64_t desired,
                      std::optional<int64_t> result, uint64_t invoked, uint64_t returned) {
  return {
      RegisterOperation::Kind::kCompareAndSet, id, expected, desired, result, invoked, returned};
}

}  // namespace

TEST_GROUP(LinearizableHistory){};

TEST(LinearizableHistory, SequentialIsAccepted) {
  CHECK(IsLinearizable({Read(0, 1, 2), Set("a", 0, 5, 1, 3, 4), Read(5, 5, 6)}));
}

TEST(LinearizableHistory, OverlappingReadMaySeeEitherValue) {
  CHECK(IsLinearizable({Set("a", 0, 5, 1, 1, 9), Read(0, 2, 3), Read(5, 4, 5)}));
}

TEST(LinearizableHistory, UnknownOutcomeMayTakeEffectLate) {
  CHECK(IsLinearizable(
      {Set("a", 0, 5, std::nullopt, 1, kNeverReturned), Read(0, 2, 3), Read(5, 4, 5)}));
}

TEST(LinearizableHistory, UnknownOutcomeMayNeverTakeEffect) {
  CHECK(IsLinearizable({Set("a", 0, 5, std::nullopt, 1, kNeverReturned), Read(0, 8, 9)}));
}

TEST(LinearizableHistory, RetriedOperationReturnsItsFirstResult) {
  CHECK(IsLinearizable(
      {Set("a", 0, 5, 1, 1, 2), Set("b", 5, 0, 1, 3, 4), Set("a", 0, 5, 1, 5, 6), Read(0, 7, 8)}));
}

TEST_GROUP(NonLinearizableHistory){};

TEST(NonLinearizableHistory, StaleReadIsRejected) {
  CHECK_FALSE(IsLinearizable({Set("a", 0, 5, 1, 1, 2), Read(0, 3, 4)}));
}

TEST(NonLinearizableHistory, ReadsGoingBackAreRejected) {
  CHECK_FALSE(IsLinearizable({Set("a", 0, 5, 1, 1, 9), Read(5, 2, 3), Read(0, 4, 5)}));
}

TEST(NonLinearizableHistory, TwoSuccessesFromOneValueAreRejected) {
  CHECK_FALSE(IsLinearizable({Set("a", 0, 5, 1, 1, 4), Set("b", 0, 6, 1, 2, 3)}));
}

TEST(NonLinearizableHistory, LostWriteIsRejected) {
  CHECK_FALSE(IsLinearizable({Set("a", 0, 5, 1, 1, 2), Set("b", 5, 6, 0, 3, 4)}));
}

TEST(NonLinearizableHistory, RetriedOperationThatTakesEffectTwiceIsRejected) {
  CHECK_FALSE(IsLinearizable(
      {Set("a", 0, 5, 1, 1, 2), Set("b", 5, 0, 1, 3, 4), Set("a", 0, 5, 1, 5, 6), Read(5, 7, 8)}));
}
