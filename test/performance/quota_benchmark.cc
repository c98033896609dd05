// Measures quotas in simulated meshes of 90 and 300 daemons with 87 and 1,000 tenants: requests
// that were refused or waited although their tenants are below their limits, what a hot tenant
// gets, and the bytes of messages, with 110 bytes added to each for its frame, TCP, IP and the
// acknowledgement; then the time of a decision. Guards against quotas that cost tenants requests
// in calm, and daemons more than 5 kB/s.
#include <algorithm>
#include <cmath>
#include <string>
#include <vector>

#include "performance/benchmark_output.h"
#include "quota_mesh.h"
#include "tenant_identity.h"

using endivecleat::HeaderList;
using endivecleat::TenantName;
using endivecleat::TenantQuota;
using endivecleat::TenantTable;
using endivecleat::TimePoint;
using endivecleat::test::MeasureElapsedSeconds;
using endivecleat::test::PrintMeasurement;
using endivecleat::test::QuotaCounts;
using endivecleat::test::QuotaMesh;
using endivecleat::test::QuotaMeshSettings;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr uint64_t kSeed = 1;
constexpr uint64_t kMessageOverhead = 110;
constexpr double kTotalLoad = 2000;
constexpr double kLargeTenants = 4;  // these have half of the load
constexpr double kUsualPart = 1.6;   // the rate of a tenant is this multiple of its usual load
constexpr double kPeakFactor = 7.5;
const milliseconds kPeak = milliseconds(6500);

double UsualLoad(size_t tenant, size_t tenants) {
  const double others = static_cast<double>(tenants) - kLargeTenants;
  return static_cast<double>(tenant) < kLargeTenants ? kTotalLoad / 2 / kLargeTenants
                                                     : kTotalLoad / 2 / others;
}

void Measure(size_t daemons, size_t tenants, double burst_seconds) {
  QuotaMeshSettings settings;
  settings.daemons = daemons;
  settings.controls = 4;
  settings.network = {.min_delay = milliseconds(1), .max_delay = milliseconds(30)};
  settings.step = milliseconds(5);
  for (size_t tenant = 0; tenant < tenants; ++tenant) {
    const double rate = UsualLoad(tenant, tenants) * kUsualPart;
    settings.quotas.push_back({rate, std::max(rate * burst_seconds, 1.0)});
  }
  QuotaMesh mesh(settings, kSeed);
  mesh.SetSkew(0.2);
  const std::string label = "quota/" + std::to_string(daemons) + "x" + std::to_string(tenants) +
                            "/burst" + std::to_string(static_cast<int>(burst_seconds * 10)) + "/";
  const auto print = [&](const std::string& name, double value, const char* unit) {
    PrintMeasurement(label + name, value, unit, daemons, kSeed);
  };
  for (size_t tenant = 0; tenant < tenants; ++tenant) {
    mesh.SetLoad(tenant, UsualLoad(tenant, tenants));
  }
  mesh.Run(seconds(3));
  const QuotaCounts start = mesh.total();
  print("start_refused", 1e6 * static_cast<double>(start.refused) / static_cast<double>(start.sent),
        "ppm");
  print("start_longest_wait", static_cast<double>(start.longest_wait.count()) / 1000, "ms");
  std::vector<uint64_t> bytes_before;
  for (size_t machine = 0; machine < mesh.machine_count(); ++machine) {
    bytes_before.push_back(mesh.bytes(machine, kMessageOverhead));
  }
  const uint64_t messages_before = mesh.client_counts().messages;
  constexpr double kCalmSeconds = 20;
  mesh.Run(seconds(static_cast<int>(kCalmSeconds)));
  const QuotaCounts calm = mesh.total();
  const auto sent = static_cast<double>(calm.sent - start.sent);
  print("calm_refused", 1e6 * static_cast<double>(calm.refused - start.refused) / sent, "ppm");
  print("calm_waited", 100 * static_cast<double>(calm.waited - start.waited) / sent, "percent");
  print("calm_mean_wait",
        static_cast<double>((calm.waiting_time - start.waiting_time).count()) / 1000 / sent, "ms");
  double daemon_bytes = 0;
  double most = 0;
  double owner = 0;
  for (size_t machine = 0; machine < mesh.machine_count(); ++machine) {
    const double rate =
        static_cast<double>(mesh.bytes(machine, kMessageOverhead) - bytes_before[machine]) /
        kCalmSeconds;
    if (machine < mesh.first_daemon()) {
      owner = std::max(owner, rate);
    } else {
      daemon_bytes += rate / static_cast<double>(daemons);
      most = std::max(most, rate);
    }
  }
  print("calm_messages",
        static_cast<double>(mesh.client_counts().messages - messages_before) / kCalmSeconds /
            static_cast<double>(daemons),
        "1/s");
  print("calm_bytes", daemon_bytes, "B/s");
  print("calm_bytes_most", most, "B/s");
  print("owner_bytes", owner, "B/s");

  // One large and one small tenant send 7.5 times their usual load.
  for (const size_t hot : {size_t{0}, tenants - 1}) {
    const QuotaCounts before = mesh.total();
    const QuotaCounts hot_before = mesh.counts(hot);
    for (size_t machine = 0; machine < mesh.machine_count(); ++machine) {
      bytes_before[machine] = mesh.bytes(machine, kMessageOverhead);
    }
    mesh.SetLoad(hot, kPeakFactor * UsualLoad(hot, tenants));
    mesh.Run(kPeak);
    mesh.SetLoad(hot, UsualLoad(hot, tenants));
    const QuotaCounts after = mesh.counts(hot);
    const std::string name = hot == 0 ? "large" : "small";
    const double peak = std::chrono::duration<double>(kPeak).count();
    const TenantQuota& quota = settings.quotas[hot];
    print(name + "_peak_ran_of_rate",
          static_cast<double>(after.ran - hot_before.ran) / (quota.rate_per_second * peak),
          "ratio");
    print(name + "_most_of_bound",
          static_cast<double>(mesh.MostInWindow(hot)) / QuotaMesh::Bound(quota), "ratio");
    const uint64_t others_refused =
        mesh.total().refused - before.refused - (after.refused - hot_before.refused);
    print(name + "_peak_others_refused", static_cast<double>(others_refused), "requests");
    double peak_bytes = 0;
    for (size_t machine = mesh.first_daemon(); machine < mesh.machine_count(); ++machine) {
      peak_bytes +=
          static_cast<double>(mesh.bytes(machine, kMessageOverhead) - bytes_before[machine]) /
          peak / static_cast<double>(daemons);
    }
    print(name + "_peak_bytes", peak_bytes, "B/s");
    mesh.Run(seconds(6));
  }
}

// The look-up of a key and the decision about a token that is in stock.
void MeasureDecision() {
  constexpr size_t kTenants = 1000;
  constexpr size_t kKeys = 10;  // of each tenant
  constexpr size_t kRequests = 1'000'000;
  TenantTable table;
  std::vector<std::string> values;
  for (size_t tenant = 0; tenant < kTenants; ++tenant) {
    table.AddTenant({TenantName("tenant-" + std::to_string(tenant)), std::nullopt, {1e6, 1e6}});
    for (size_t key = 0; key < kKeys; ++key) {
      const std::string text = std::to_string(tenant * kKeys + key);
      table.AddKey(std::string(32, 'k') + text);
      values.push_back("Bearer " + std::string(32, 'k') + text);
    }
  }
  endivecleat::QuotaOwner owner(1, TimePoint{} + seconds(1));
  owner.SetMembers(TimePoint{} + seconds(1), {endivecleat::InstanceId("d")});
  endivecleat::QuotaClient client(endivecleat::InstanceId("d"), 1);
  TimePoint now = TimePoint{} + seconds(100);
  client.SetTenants(now, endivecleat::ConfigVersion(1), &table);
  client.SetOwners(now, {endivecleat::InstanceId("c")});
  uint64_t granted = 0;
  const double elapsed = MeasureElapsedSeconds([&] {
    for (size_t number = 0; number < kRequests; ++number) {
      now += std::chrono::microseconds(500);
      HeaderList headers = {{"Authorization", values[number * 7919 % values.size()]}};
      const auto identity = endivecleat::IdentifyTenant(&table, false, headers);
      endivecleat::ReplaceKeyByTenant(&table, identity.tenant, "Tenant", headers);
      const auto answer = client.Take(now, endivecleat::TenantIdOf(identity.tenant->name),
                                      endivecleat::RequestNumber(number + 1), now + seconds(1));
      granted += answer.verdict == endivecleat::QuotaVerdict::kGranted ? 1 : 0;
      while (const auto outgoing = client.NextRequest(now)) {
        client.Received(now, outgoing->request.sequence, owner.Receive(now, outgoing->request));
      }
      for (const auto& decision : client.TakeDecisions(now)) {
        granted += decision.answer.verdict == endivecleat::QuotaVerdict::kGranted ? 1 : 0;
      }
    }
  });
  PrintMeasurement("quota/key_and_token", elapsed / kRequests * 1e6, "us", kTenants, kSeed);
  PrintMeasurement("quota/key_and_token_granted",
                   static_cast<double>(granted) / static_cast<double>(kRequests), "ratio", kTenants,
                   kSeed);
}

}  // namespace

int main(int argc, char** argv) {
  MeasureDecision();
  const bool all = argc > 1 && std::string(argv[1]) == "all";
  Measure(90, 87, 1);
  Measure(90, 87, 0.2);
  if (all) {
    Measure(90, 1000, 1);
    Measure(300, 87, 1);
    Measure(300, 1000, 1);
  }
}
