// Cost of the decisions of Admission per request while requests wait: Submit and Finish together,
// without tenants and with many. Guards against a fair queue that costs a microsecond or more.
#include <string>
#include <vector>

#include "admission.h"
#include "performance/benchmark_output.h"

using namespace endivecleat;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr uint64_t kSlots = 13;
constexpr uint64_t kRequests = 200'000;
constexpr int kRounds = 5;

/// Microseconds per request, with `waiting` requests in the queue all the time.
double Measure(size_t tenants, uint64_t waiting) {
  std::vector<TenantName> names(1);
  for (size_t number = 0; number < tenants; ++number) {
    names.emplace_back("tenant-" + std::to_string(number));
  }
  const auto name_of = [&](uint64_t number) -> const TenantName& {
    return tenants == 0 ? names[0] : names[1 + number % tenants];
  };
  const double elapsed = test::MedianSeconds(kRounds, [&] {
    Admission admission({.slots = SlotCount(kSlots),
                         .queue_length = QueueLength(waiting + 1),
                         .queue_wait = seconds(600),
                         .warm_up = Duration{}});
    TimePoint now = TimePoint{} + seconds(100);
    admission.Open(now);
    std::vector<RequestNumber> running;
    size_t next = 0;
    const auto admit = [&](const std::vector<AdmissionDecision>& decisions) {
      for (const AdmissionDecision& decision : decisions) {
        if (!decision.refusal_code) {
          running.push_back(decision.number);
        }
      }
    };
    for (uint64_t number = 1; number <= kRequests; ++number) {
      now += Duration(100);
      if (number > kSlots + waiting) {
        admit(admission.Finish(now, running[next++]));
      }
      admit(admission.Submit(now, {.number = RequestNumber(number),
                                   .objective = milliseconds(300),
                                   .tenant = name_of(number)}));
    }
  });
  return elapsed * 1e6 / static_cast<double>(kRequests);
}

}  // namespace

int main() {
  for (const uint64_t waiting : {0, 9, 40}) {
    for (const size_t tenants : {0, 1, 87}) {
      test::PrintMeasurement("admission.waiting_" + std::to_string(waiting),
                             Measure(tenants, waiting), "us", tenants, 0);
    }
  }
  return 0;
}
