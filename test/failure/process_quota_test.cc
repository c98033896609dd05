// Tests quotas with real processes: a tenant's limit over several daemons, a tenant below its limit
// beside it, and the loss of control instances. Guards against requests that bypass the quota
// between the daemons, and against requests that hang or are refused for want of an owner.
#include <CppUTest/TestHarness.h>

#include <chrono>
#include <csignal>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>

#include "process_cluster.h"

namespace endivecleat::test {
namespace {

constexpr int kDaemons = ProcessCluster::kDaemons;
constexpr int kQuotaExceeded = 413;

std::string DocumentWithTenants() {
  nlohmann::json document = nlohmann::json::parse(ProcessCluster::Document(2));
  document["tenants"] = {
      {"limited", {{"api_keys", {"limited-key"}}, {"rate_per_second", 4}, {"burst", 4}}},
      {"calm", {{"api_keys", {"calm-key"}}, {"rate_per_second", 1000}, {"burst", 1000}}}};
  return document.dump();
}

HttpRequest RequestOf(const std::string& key) {
  HttpRequest request = GetRequest("/bins");
  request.headers.Set("Authorization", "Bearer " + key);
  return request;
}

struct Counts {
  int answered = 0;
  int refused = 0;
  int other = 0;
  bool retry_after = true;  // on all refusals
};

// Sends requests of a tenant through all daemons in turn.
Counts SendRequests(const ProcessCluster& cluster, const std::string& key, int rounds) {
  Counts counts;
  for (int round = 0; round < rounds; ++round) {
    for (int daemon = 1; daemon <= kDaemons; ++daemon) {
      const HttpResponse response = cluster.Call(daemon, RequestOf(key));
      if (response.status == 200) {
        ++counts.answered;
      } else if (response.status == 429 && ResultOf(response) == kQuotaExceeded) {
        ++counts.refused;
        counts.retry_after &= response.headers.Find("retry-after").has_value();
      } else {
        ++counts.other;
      }
    }
  }
  return counts;
}

}  // namespace

TEST_GROUP(ProcessQuotas) {
  ProcessCluster cluster;
  void Start() {
    CHECK(cluster.Start());
    CHECK_EQUAL(0, cluster.SubmitUntilKnown("tenants", 1, DocumentWithTenants()).code);
    CHECK(WaitFor([this] {
      for (int daemon = 1; daemon <= kDaemons; ++daemon) {
        if (cluster.Version(daemon) < 2) {
          return false;
        }
      }
      return true;
    }));
  }
};

TEST(ProcessQuotas, LimitHoldsOverAllDaemonsAndCostsOthersNothing) {
  Start();
  const auto start = std::chrono::steady_clock::now();
  const Counts limited = SendRequests(cluster, "limited-key", 150);
  const auto calm = SendRequests(cluster, "calm-key", 100);
  const double seconds =
      std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
  // The bound of one window, and of each further one.
  CHECK(limited.answered <= 46.4 * (1 + seconds / 5));
  CHECK(limited.answered > 0);
  CHECK(limited.refused > 0);
  CHECK(limited.retry_after);
  CHECK_EQUAL(0, limited.other);
  CHECK_EQUAL(0, calm.refused + calm.other);
}

TEST(ProcessQuotas, TenantBelowItsLimitIsServedWithoutControlInstances) {
  Start();
  SendRequests(cluster, "calm-key", 20);
  for (int control = 1; control <= ProcessCluster::kControls; ++control) {
    cluster.Kill(ProcessCluster::Control(control));
  }
  const Counts calm = SendRequests(cluster, "calm-key", 200);
  CHECK(calm.refused <= calm.answered / 20);
  CHECK_EQUAL(0, calm.other);
}

}  // namespace endivecleat::test
