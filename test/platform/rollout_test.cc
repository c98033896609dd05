// Tests rollouts on the wire: a control instance, two daemons and two stand-in targets in one
// process over loopback. Guards against orders that are lost or accepted twice, documents of
// operators that meet a version conflict with a step, and requests that reach a version which the
// order does not allow.
#include <CppUTest/TestHarness.h>

#include <array>
#include <chrono>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <string>

#include "call_message.h"
#include "network_fixture.h"
#include "peer_network.h"
#include "platform_fixture.h"
#include "rollout_order.h"
#include "target_adapter.h"
#include "temporary_folder.h"
#include "wall_clock.h"

using namespace endivecleat;            // NOLINT(google-build-using-namespace)
using namespace endivecleat::platform;  // NOLINT(google-build-using-namespace)
using namespace endivecleat::test;      // NOLINT(google-build-using-namespace)
using Json = nlohmann::json;
using std::chrono::milliseconds;

TEST_GROUP(PlatformRollout) {
  struct Machine {
    std::string ip;
    const char* version = nullptr;
    int failing_percent = 0;
    size_t requests = 0;
    uint64_t sequence = 0;
    std::unique_ptr<HttpServer> target;
    std::unique_ptr<PlatformDaemon> daemon;
  };

  EventLoop loop;
  TemporaryFolder folder;
  std::random_device random;
  const std::string network =
      "127." + std::to_string(20 + random() % 200) + "." + std::to_string(1 + random() % 250) + ".";
  const uint16_t port = static_cast<uint16_t>(12'000 + random() % 15'000);
  const std::string seed = network + "1:" + std::to_string(port);
  const uint64_t started = WallNow().value() - 60'000;  // of the targets
  std::unique_ptr<ControlThread> control;
  std::array<Machine, 2> machines;  // of the old and of the new version
  TimePoint next_report{};

  void setup() override {
    StartControl();
    int status = 0;
    for (int attempt = 0; status != 200 && attempt < 100; ++attempt) {
      status = Operator("PUT", "/-/config", Configuration()).status;
      RunFor(loop, milliseconds(100));
    }
    LONGS_EQUAL(200, status);
  }

  void teardown() override {
    for (Machine& machine : machines) {
      machine.daemon.reset();
      machine.target.reset();
    }
    control.reset();
  }

  void StartControl() {
    control.reset();
    Json settings = Settings(network + "1", port, seed);
    settings["ledger"] = false;
    settings["data_folder"] = folder.path();
    settings["heartbeat"] = "200ms";
    settings["election_timeout"] = "1s";
    settings["listen"]["operators"] = network + "1:" + std::to_string(port + 1);
    settings["adapter"] = {{"operators", seed}, {"grace_s", 6}};
    control = std::make_unique<ControlThread>(
        ParseControlSettings(settings.dump(), folder.path().string()));
  }

  void StartMachine(size_t index, const char* version) {
    Machine& machine = machines.at(index);
    machine.ip = network + std::to_string(index + 2);
    machine.version = version;
    machine.target = std::make_unique<HttpServer>(
        loop, Address{machine.ip, static_cast<uint16_t>(port + 6)}, HttpServerLimits{},
        [this, &machine](const HttpRequest& request, const ResponseSink& sink) {
          OnRequest(machine, request, sink);
        });
    const auto at = [&](int offset) { return machine.ip + ":" + std::to_string(port + offset); };
    Json settings = Settings(machine.ip, port, seed);
    settings["service"] = "ruta-cuadrilla";
    settings["headers"] = {{"timeout", "Timeout-Ms"},
                           {"request_id", "Request-Id"},
                           {"answer_mark", "Response-Stamp"},
                           {"diagnostics", false}};
    settings["listen"]["callers"] = at(1);
    settings["listen"]["local"] = at(3);
    settings["adapter"] = {
        {"announcements", at(4)}, {"readiness", at(5)}, {"target", at(6)}, {"grace_s", 6}};
    machine.daemon = std::make_unique<PlatformDaemon>(
        loop, ParseDaemonSettings(settings.dump(), folder.path().string()), 2 + index);
  }

  void OnRequest(Machine & machine, const HttpRequest& request, const ResponseSink& sink) {
    HttpResponse response{.status = 200, .headers = {}, .body = "served"};
    if (request.path == "/healthz") {
      response.headers.Add("Instance-Id", std::string("i-") + machine.version);
      response.headers.Add("Server-Load", "0,0,9");
    } else {
      ++machine.requests;
      response.status = static_cast<int>(random() % 100) < machine.failing_percent ? 500 : 200;
      response.headers.Add("Request-Id", request.headers.ValueOr("request-id", ""));
      response.headers.Add("Response-Stamp", "1");
    }
    sink.Send(std::move(response));
  }

  HttpResponse Send(const Address& to, const std::string& method, const std::string& path,
                    const std::string& body) {
    HttpClient client(loop, to, 1);
    HttpRequest request;
    request.method = method;
    request.path = path;
    request.headers.Add("Host", "ficu95.example");
    request.headers.Add("Request-Id", "request");
    request.headers.Add("Timeout-Ms", "500");
    request.body = body;
    HttpResponse response;
    bool done = false;
    client.Send(std::move(request), std::chrono::seconds(5), [&](const HttpOutcome& outcome) {
      response = outcome.response;
      done = true;
    });
    CHECK(RunUntil(loop, [&] { return done; }));
    return response;
  }
  HttpResponse Operator(const std::string& method, const std::string& path,
                        const std::string& body = "") {
    return Send({network + "1", port}, method, path, body);
  }
  static std::string Hexadecimal(uint64_t number) {
    std::array<char, 17> digits{};
    std::snprintf(digits.data(), digits.size(), "%08x", static_cast<unsigned>(number));
    return digits.data();
  }
  int Order(const std::string& service, const std::string& version, int seconds) {
    const Json body = {{"service", service}, {"targetVersion", version}, {"durationS", seconds}};
    return Operator("POST", "/-/rollouts", body.dump()).status;
  }
  std::string State() {
    const HttpResponse response = Operator("GET", "/-/rollouts/ruta-cuadrilla");
    const Json body = Json::parse(response.body, nullptr, false);
    return body.is_object() ? body.value("state", "") : std::to_string(response.status);
  }

  void ReportTargets() {
    if (loop.now() < next_report) {
      return;
    }
    next_report = loop.now() + milliseconds(1'000);
    for (Machine& machine : machines) {
      if (machine.daemon) {
        const Json body = {{"service", "ruta-cuadrilla"},
                           {"address", machine.ip + ":" + std::to_string(port + 6)},
                           {"zone", "cant-a"},
                           {"version", machine.version},
                           {"slots", 9},
                           {"state", "ready"},
                           {"coldLeftMs", 0},
                           {"seq", ++machine.sequence},
                           {"born", started}};
        Send({machine.ip, static_cast<uint16_t>(port + 4)}, "PUT",
             std::string("/-/instances/i-") + machine.version, body.dump());
      }
    }
  }
  /// Sends one request to a daemon, usually the one beside the old target.
  int Read(size_t daemon = 0) {
    ReportTargets();
    RunFor(loop, milliseconds(5));
    return Send({machines.at(daemon).ip, static_cast<uint16_t>(port + 1)}, "GET", "/bins", "")
        .status;
  }
  bool ReadUntil(const std::function<bool()>& condition, Duration time) {
    const TimePoint end = loop.now() + time;
    while (!condition()) {
      if (loop.now() > end) {
        return false;
      }
      Read();
    }
    return true;
  }
  void ReadFor(Duration time) {
    ReadUntil([] { return false; }, time);
  }
  /// Starts the old target and waits until it serves.
  void StartOld() {
    StartMachine(0, "v1");
    CHECK(ReadUntil([this] { return machines.at(0).requests > 20; }, std::chrono::seconds(15)));
  }
  /// Sends an attempt to the daemon beside a target as a daemon does that knows no order. Returns
  /// whether the target ran it.
  bool RunsWithoutOrder(size_t index) {
    PeerNetwork peers(loop, {network + "9", static_cast<uint16_t>(port + 2)},
                      "closed-network-without-secrets", {}, 9);
    AttemptMessage message;
    message.service = ServiceName("ruta-cuadrilla");
    message.attempt = AttemptId("caller-1/1");
    message.time_left = milliseconds(500);
    message.request.method = "GET";
    message.request.path = "/bins";
    message.request.headers.Add("Request-Id", "request");
    std::optional<AttemptReply> reply;
    peers.Request({machines.at(index).ip, static_cast<uint16_t>(port + 2)}, PeerChannel::kCall,
                  EncodeAttempt(message), std::chrono::seconds(5), [&](const PeerOutcome& outcome) {
                    CHECK(outcome.kind == PeerOutcome::kAnswered);
                    reply = DecodeAttemptReply(outcome.payload);
                  });
    CHECK(RunUntil(loop, [&] { return reply.has_value(); }));
    return std::holds_alternative<TargetAnswer>(reply->outcome);
  }
  void CheckDecided(const char* state) {
    std::string seen;
    TimePoint next{};
    CHECK(ReadUntil(
        [&] {
          if (loop.now() >= next) {
            next = loop.now() + milliseconds(200);
            seen = State();
          }
          return seen != "serving";
        },
        std::chrono::seconds(15)));
    STRCMP_EQUAL(state, seen.c_str());
  }
};

TEST(PlatformRollout, OrdersAreAcceptedOnceAndSurviveARestart) {
  LONGS_EQUAL(404, Operator("GET", "/-/rollouts/ruta-cuadrilla").status);
  LONGS_EQUAL(400, Order("unknown", "v2", 60));
  LONGS_EQUAL(400, Operator("POST", "/-/rollouts", "{").status);
  LONGS_EQUAL(400, Operator("POST", "/-/rollouts", R"({"service":"ruta-cuadrilla"})").status);
  LONGS_EQUAL(400, Order("ruta-cuadrilla", "v2", 0));
  LONGS_EQUAL(404, Operator("GET", "/-/rollouts/ruta-cuadrilla").status);
  LONGS_EQUAL(200, Order("ruta-cuadrilla", "v2", 60));
  LONGS_EQUAL(200, Order("ruta-cuadrilla", "v2", 60));  // sent again
  LONGS_EQUAL(409, Order("ruta-cuadrilla", "v3", 60));
  const HttpResponse answer = Operator("GET", "/-/rollouts/ruta-cuadrilla");
  CHECK(Json::parse(answer.body) == (Json{{"state", "serving"}, {"targetVersion", "v2"}}));
  StartControl();
  std::string state = "503";
  for (int attempt = 0; state != "serving" && attempt < 100; ++attempt) {
    RunFor(loop, milliseconds(100));
    state = State();
  }
  STRCMP_EQUAL("serving", state.c_str());
}

TEST(PlatformRollout, DocumentsOfOperatorsKeepTheOrder) {
  LONGS_EQUAL(200, Order("ruta-cuadrilla", "v2", 60));
  Json document = Json::parse(Configuration());
  document["version"] = "00000004";
  document["baseVersion"] = "00000003";
  LONGS_EQUAL(200, Operator("PUT", "/-/config", document.dump()).status);
  LONGS_EQUAL(200, Operator("PUT", "/-/config", document.dump()).status);
  const Json stored = Json::parse(Operator("GET", "/-/config").body);
  CHECK(stored.at("version") == "00000004");
  LONGS_EQUAL(3, stored.size());
  CHECK(stored.dump().find("v2") == std::string::npos);
  STRCMP_EQUAL("serving", State().c_str());
}

// A step changes the version on which a document is based; the operator must not see that.
TEST(PlatformRollout, DocumentsAndOrdersAtTheSameTimeAreBothAccepted) {
  uint64_t number = 3;
  for (int round = 0; round < 6; ++round) {
    Json document = Json::parse(Configuration());
    document["baseVersion"] = Hexadecimal(number);
    document["version"] = Hexadecimal(++number);
    const Json order = {{"service", "ruta-cuadrilla"},
                        {"targetVersion", "v" + std::to_string(round)},
                        {"durationS", 1}};
    std::vector<int> statuses;
    HttpClient client(loop, {network + "1", port}, 2);
    const auto send = [&](const char* method, const char* path, const std::string& body) {
      HttpRequest request;
      request.method = method;
      request.path = path;
      request.body = body;
      client.Send(std::move(request), std::chrono::seconds(5),
                  [&](const HttpOutcome& outcome) { statuses.push_back(outcome.response.status); });
    };
    if (round % 2 == 0) {
      send("POST", "/-/rollouts", order.dump());
      send("PUT", "/-/config", document.dump());
    } else {
      send("PUT", "/-/config", document.dump());
      send("POST", "/-/rollouts", order.dump());
    }
    CHECK(RunUntil(loop, [&] { return statuses.size() == 2; }));
    LONGS_EQUAL(200, statuses[0]);
    LONGS_EQUAL(200, statuses[1]);
    while (State() == "serving") {
      RunFor(loop, milliseconds(50));
    }
  }
  CHECK(Json::parse(Operator("GET", "/-/config").body).at("version") == Hexadecimal(number));
}

TEST(PlatformRollout, GoodVersionGetsAllRequests) {
  StartOld();
  LONGS_EQUAL(200, Order("ruta-cuadrilla", "v2", 10));
  ReadFor(milliseconds(500));
  StartMachine(1, "v2");
  ReadFor(milliseconds(1'500));
  CHECK(RunsWithoutOrder(0));
  CHECK_FALSE(RunsWithoutOrder(1));  // it would get more than its share
  CheckDecided("complete");
  CHECK_FALSE(RunsWithoutOrder(0));
  CHECK(RunsWithoutOrder(1));
  const size_t before = machines.at(0).requests;
  const size_t before_new = machines.at(1).requests;
  ReadFor(milliseconds(1'000));
  LONGS_EQUAL(before, machines.at(0).requests);
  CHECK(machines.at(1).requests > before_new);
}

TEST(PlatformRollout, FailingVersionIsReverted) {
  StartOld();
  LONGS_EQUAL(200, Order("ruta-cuadrilla", "v2", 10));
  StartMachine(1, "v2");
  machines.at(1).failing_percent = 50;
  CheckDecided("reverted");
  CHECK(machines.at(1).requests > 0);
  ReadFor(milliseconds(500));
  CHECK(RunsWithoutOrder(0));
  CHECK_FALSE(RunsWithoutOrder(1));
  const size_t after = machines.at(1).requests;
  ReadFor(milliseconds(1'000));
  LONGS_EQUAL(after, machines.at(1).requests);
  LONGS_EQUAL(200, Read());
}

// Without an order, versions may be mixed.
TEST(PlatformRollout, VersionsAreMixedWithoutAnOrder) {
  StartOld();
  StartMachine(1, "v0");
  CHECK(ReadUntil([this] { return Read(1) == 200 && machines.at(1).requests > 20; },
                  std::chrono::seconds(15)));
  CHECK(machines.at(0).requests > 20);
}

// The order is held while its targets are missing; the old ones go on.
TEST(PlatformRollout, OrderWithoutTargetsStaysServing) {
  StartOld();
  LONGS_EQUAL(200, Order("ruta-cuadrilla", "v2", 3));
  ReadFor(milliseconds(2'000));
  STRCMP_EQUAL("serving", State().c_str());
  LONGS_EQUAL(200, Read());
}

// Three control instances without daemons.
TEST_GROUP(PlatformRolloutOrders) {
  static constexpr size_t kControls = 3;
  EventLoop loop;
  std::array<TemporaryFolder, kControls> folders;
  std::random_device random;
  const std::string network =
      "127." + std::to_string(20 + random() % 200) + "." + std::to_string(1 + random() % 250) + ".";
  const uint16_t port = static_cast<uint16_t>(12'000 + random() % 15'000);
  std::array<std::unique_ptr<ControlThread>, kControls> controls;

  Address At(size_t control) const { return {network + std::to_string(control + 1), port}; }

  void Start(size_t control) {
    Json settings = Settings(At(control).ip, port, At(0).text());
    settings["discovery"] = {{"seeds", {At(0).text(), At(1).text(), At(2).text()}},
                             {"bootstrap", true},
                             {"tolerated_losses", 1}};
    settings["ledger"] = false;
    settings["data_folder"] = folders.at(control).path();
    settings["heartbeat"] = "200ms";
    settings["election_timeout"] = "1s";
    settings["listen"]["operators"] = At(control).ip + ":" + std::to_string(port + 1);
    settings["adapter"] = {{"operators", At(control).text()}, {"grace_s", 6}};
    controls.at(control) = std::make_unique<ControlThread>(
        ParseControlSettings(settings.dump(), folders.at(control).path().string()));
  }

  HttpResponse Send(size_t control, const std::string& method, const std::string& path,
                    const std::string& body) {
    HttpClient client(loop, At(control), 1);
    HttpRequest request;
    request.method = method;
    request.path = path;
    request.body = body;
    HttpResponse response;
    bool done = false;
    client.Send(std::move(request), std::chrono::seconds(5), [&](const HttpOutcome& outcome) {
      response = outcome.response;
      done = true;
    });
    CHECK(RunUntil(loop, [&] { return done; }));
    return response;
  }

  /// Sends to the instances in turn until one answers as the leader. Sets `leader`.
  HttpResponse SendToLeader(const std::string& method, const std::string& path,
                            const std::string& body = "") {
    HttpResponse response;
    for (int attempt = 0; attempt < 300; ++attempt) {
      leader = static_cast<size_t>(attempt) % kControls;
      if (controls.at(leader)) {
        response = Send(leader, method, path, body);
        if (response.status != 307 && response.status != 503 && response.status != 0) {
          return response;
        }
        if (response.status == 307) {
          CHECK(response.headers.ValueOr("location", "").ends_with(path));
        }
      }
      RunFor(loop, milliseconds(50));
    }
    return response;
  }

  size_t leader = 0;
};

// The next leader goes on with the order, and so do all instances after the loss of all.
TEST(PlatformRolloutOrders, SurviveTheLeaderAndAllProcesses) {
  for (size_t control = 0; control < kControls; ++control) {
    Start(control);
  }
  LONGS_EQUAL(200, SendToLeader("PUT", "/-/config", Configuration()).status);
  const std::string order = R"({"service":"ruta-cuadrilla","targetVersion":"v2","durationS":60})";
  LONGS_EQUAL(200, SendToLeader("POST", "/-/rollouts", order).status);
  controls.at(leader).reset();
  LONGS_EQUAL(200, SendToLeader("POST", "/-/rollouts", order).status);
  const Json serving = {{"state", "serving"}, {"targetVersion", "v2"}};
  CHECK(Json::parse(SendToLeader("GET", "/-/rollouts/ruta-cuadrilla").body) == serving);
  for (auto& control : controls) {
    control.reset();
  }
  for (size_t control = 0; control < kControls; ++control) {
    Start(control);
  }
  CHECK(Json::parse(SendToLeader("GET", "/-/rollouts/ruta-cuadrilla").body) == serving);
  LONGS_EQUAL(409,
              SendToLeader("POST", "/-/rollouts",
                           R"({"service":"ruta-cuadrilla","targetVersion":"v3","durationS":9})")
                  .status);
}

TEST_GROUP(RolloutOrderDecoding){};

TEST(RolloutOrderDecoding, ReadsEachField) {
  const RolloutOrder order =
      DecodeRolloutOrder(R"({"service":"billsvc","targetVersion":"2.1","durationS":12.5})");
  CHECK(order.service == ServiceName("billsvc"));
  CHECK(order.version == TargetVersion("2.1"));
  CHECK(order.time == milliseconds(12'500));
}
