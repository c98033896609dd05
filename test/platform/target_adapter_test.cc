// Tests a platform daemon beside a stand-in target, with a control instance, in one process over
// loopback. Guards against a restarted daemon that sends requests to a target that has left.
#include "target_adapter.h"

#include <CppUTest/TestHarness.h>

#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <string>

#include "network_fixture.h"
#include "platform_fixture.h"
#include "startup_confirmation.h"
#include "temporary_folder.h"
#include "wall_clock.h"

using namespace endivecleat;            // NOLINT(google-build-using-namespace)
using namespace endivecleat::platform;  // NOLINT(google-build-using-namespace)
using namespace endivecleat::test;      // NOLINT(google-build-using-namespace)
using Json = nlohmann::json;

namespace {

constexpr char kTarget[] = "i-7f3a91c2";
constexpr Duration kAnswerTimeout = std::chrono::seconds(1);
// Longer than the interval between two health checks.
constexpr Duration kSettlingTime = std::chrono::seconds(2);

}  // namespace

TEST_GROUP(PlatformDaemonBesideATarget) {
  EventLoop loop;
  TemporaryFolder folder;
  std::random_device random;
  const std::string network =
      "127." + std::to_string(20 + random() % 200) + "." + std::to_string(1 + random() % 250) + ".";
  const uint16_t port = static_cast<uint16_t>(12'000 + random() % 15'000);
  const std::string seed = network + "1:" + std::to_string(port);

  bool healthy = true;
  std::string health_id = kTarget;
  size_t requests = 0;
  const uint64_t started = WallNow().value() - 60'000;  // of the target
  std::unique_ptr<HttpServer> target;
  std::unique_ptr<ControlThread> control;
  std::unique_ptr<PlatformDaemon> daemon;

  void setup() override {
    target = std::make_unique<HttpServer>(
        loop, Address{network + "2", static_cast<uint16_t>(port + 6)}, HttpServerLimits{},
        [this](const HttpRequest& request, const ResponseSink& sink) { OnRequest(request, sink); });
    Json settings = Settings(network + "1", port, seed);
    settings["ledger"] = false;
    settings["data_folder"] = folder.path();
    settings["heartbeat"] = "200ms";
    settings["election_timeout"] = "1s";
    settings["listen"]["operators"] = network + "1:" + std::to_string(port + 1);
    settings["adapter"] = {{"operators", seed}, {"grace_s", 6}};
    control = std::make_unique<ControlThread>(
        ParseControlSettings(settings.dump(), folder.path().string()));
    int status = 0;
    for (int attempt = 0; status != 200 && attempt < 100; ++attempt) {
      status = Send({network + "1", port}, "PUT", "/-/config", Configuration());
      RunFor(loop, std::chrono::milliseconds(100));
    }
    LONGS_EQUAL(200, status);
  }

  // Each object is destroyed before the loop that it uses.
  void teardown() override {
    daemon.reset();
    control.reset();
    target.reset();
  }

  void OnRequest(const HttpRequest& request, const ResponseSink& sink) {
    HttpResponse response{.status = 200, .headers = {}, .body = "served"};
    if (request.path == "/healthz") {
      response.status = healthy ? 200 : 503;
      response.headers.Add("Instance-Id", health_id);
      response.headers.Add("Server-Load", "0,0,9");
    } else {
      ++requests;
      response.headers.Add("Request-Id", request.headers.ValueOr("request-id", ""));
      response.headers.Add("Response-Stamp", "1");
    }
    sink.Send(std::move(response));
  }

  void StartDaemon() {
    Json settings = Settings(network + "2", port, seed);
    settings["service"] = "ruta-cuadrilla";
    settings["headers"] = {{"timeout", "Timeout-Ms"},
                           {"request_id", "Request-Id"},
                           {"answer_mark", "Response-Stamp"},
                           {"diagnostics", false}};
    settings["listen"]["callers"] = At(1);
    settings["listen"]["local"] = At(3);
    settings["adapter"] = {
        {"announcements", At(4)}, {"readiness", At(5)}, {"target", At(6)}, {"grace_s", 6}};
    daemon = std::make_unique<PlatformDaemon>(
        loop, ParseDaemonSettings(settings.dump(), folder.path().string()), 2);
  }

  /// Starts the daemon and waits until it has its configuration.
  void StartReadyDaemon() {
    StartDaemon();
    for (int attempt = 0; Send(Port(5), "GET", "/-/readiness", "") != 200; ++attempt) {
      CHECK(attempt < 200);
      RunFor(loop, std::chrono::milliseconds(50));
    }
  }

  Address Port(int offset) const { return {network + "2", static_cast<uint16_t>(port + offset)}; }
  std::string At(int offset) const { return Port(offset).text(); }

  int Send(const Address& to, const std::string& method, const std::string& path,
           const std::string& body) {
    HttpClient client(loop, to, 1);
    HttpRequest request;
    request.method = method;
    request.path = path;
    request.headers.Add("Host", "ficu95.example");
    request.headers.Add("Request-Id", "request");
    request.headers.Add("Timeout-Ms", "500");
    request.body = body;
    int status = 0;
    bool done = false;
    client.Send(std::move(request), kAnswerTimeout, [&](const HttpOutcome& outcome) {
      status = outcome.response.status;
      done = true;
    });
    CHECK(RunUntil(loop, [&] { return done; }));
    return status;
  }
  int Report(const std::string& id, uint64_t sequence) {
    const Json body = {{"service", "ruta-cuadrilla"},
                       {"address", At(6)},
                       {"zone", "cant-a"},
                       {"version", "v1"},
                       {"slots", 9},
                       {"state", "ready"},
                       {"coldLeftMs", 0},
                       {"seq", sequence},
                       {"born", started}};
    return Send(Port(4), "PUT", "/-/instances/" + id, body.dump());
  }
  int Leave(const std::string& id) { return Send(Port(4), "DELETE", "/-/instances/" + id, ""); }
  int Read() { return Send(Port(1), "GET", "/bins", ""); }
  /// Reads until one is served. Returns false if none is for some seconds.
  bool ServesSoon() {
    for (int attempt = 0; attempt < 50; ++attempt) {
      if (Read() == 200) {
        return true;
      }
      RunFor(loop, std::chrono::milliseconds(50));
    }
    return false;
  }
};

// A report that was sent before the target left brought it back after the daemon's restart.
TEST(PlatformDaemonBesideATarget, RestartedAfterItLeftGetsALateReportAndSendsItNothing) {
  healthy = false;  // from its DELETE, which the daemon acknowledged before the restart
  StartReadyDaemon();
  LONGS_EQUAL(200, Report(kTarget, 7));
  RunFor(loop, kSettlingTime);
  LONGS_EQUAL(503, Read());
  LONGS_EQUAL(0, requests);
}

TEST(PlatformDaemonBesideATarget,
     RestartedBeforeItLeavesWithoutAReportGetsALateOneAndSendsItNothing) {
  healthy = false;
  StartReadyDaemon();
  LONGS_EQUAL(200, Leave(kTarget));
  healthy = true;  // a health answer that is false
  LONGS_EQUAL(200, Report(kTarget, 7));
  RunFor(loop, kSettlingTime);
  LONGS_EQUAL(503, Read());
  LONGS_EQUAL(0, requests);
}

TEST(PlatformDaemonBesideATarget, RestartedBesideAHealthyOneServesAtOnce) {
  StartReadyDaemon();
  CHECK(ServesSoon());
  LONGS_EQUAL(200, Leave(kTarget));
  LONGS_EQUAL(200, Report(kTarget, 7));
  requests = 0;
  LONGS_EQUAL(503, Read());
  LONGS_EQUAL(0, requests);
}

// A report of the address's previous target is not confirmed by the health of the present one.
TEST(PlatformDaemonBesideATarget, RestartedGetsALateReportOfThePreviousTargetAndUsesThePresentOne) {
  healthy = false;
  StartReadyDaemon();
  LONGS_EQUAL(200, Report("i-previous", 90));
  health_id = "i-present";
  healthy = true;
  CHECK(ServesSoon());
  LONGS_EQUAL(200, Leave("i-present"));
  requests = 0;
  LONGS_EQUAL(503, Read());
  LONGS_EQUAL(0, requests);
}

// Health answers may be false. Reports that go on after the start are evidence of their own.
TEST(PlatformDaemonBesideATarget,
     RestartedBesideOneThatOnlyReportsServesAfterTheLongestReportDelay) {
  healthy = false;
  StartReadyDaemon();
  LONGS_EQUAL(200, Report(kTarget, 7));
  RunFor(loop, StartupConfirmation::kMaxReportDelay);
  LONGS_EQUAL(200, Report(kTarget, 8));
  CHECK(ServesSoon());
}
