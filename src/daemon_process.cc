// Dispatches peer messages, local HTTP requests and a periodic tick to the target task, the caller
// task and the configuration replica, and publishes this instance's membership record.
#include "daemon_process.h"

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>
#include <utility>

#include "client_ingress.h"
#include "config_log.h"
#include "config_timing.h"
#include "errors.h"
#include "heap.h"
#include "json_document.h"
#include "json_reader.h"
#include "log.h"
#include "operator_service.h"
#include "transfer_codec.h"
#include "wall_clock.h"

namespace endivecleat {
namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(100);
constexpr uint64_t kMaxSlots = 100000;
// During the drain notice, callers are moved away from a stopping daemon. For this share of the
// notice its target still accepts requests from other daemons; the remainder suffices for nearly
// all requests that are then running. If the target stopped accepting immediately, it would be
// unavailable for twice as long in a rolling restart of all daemons.
constexpr int kServingPercentOfNotice = 60;
// Before the end of a drain, the last answers are sent.
constexpr Duration kLastAnswerTime = std::chrono::milliseconds(300);

// A target's announcement takes a few hundred bytes.
constexpr ByteCount kMaxLocalBody{1U << 20U};

HttpServerLimits CallerServerLimits(const DaemonSettings& settings,
                                    const std::shared_ptr<IngressBudget>& ingress) {
  HttpServerLimits limits = ServerLimits(ingress);
  limits.concurrent_requests = settings.pipelined_requests;
  limits.concurrent_bytes = settings.pipelined_bytes.value();
  limits.message.streamed_body = settings.upload_body;
  limits.body_timeout = settings.upload_timeout;
  return limits;
}

std::string MakeRunId(const CommonSettings& settings, uint64_t seed) {
  constexpr char kDigits[] = "0123456789abcdef";
  std::string id = settings.instance.value() + ".";
  for (int shift = 60; shift >= 0; shift -= 4) {
    id.push_back(kDigits[(seed >> static_cast<unsigned>(shift)) & 0xFU]);
  }
  return id;
}

}  // namespace

DaemonProcess::DaemonProcess(EventLoop& loop, DaemonSettings settings, uint64_t seed)
    : loop_(loop),
      settings_(std::move(settings)),
      tracer_(settings_.common.instance, settings_.common.trace_file, seed),
      node_(loop, settings_.common, settings_.peer_address, MeshRole::kDaemon,
            MeshHandlers{
                .on_message = [this](const InstanceId& from, PeerChannel channel,
                                     const std::string& bytes) { OnMessage(from, channel, bytes); },
                .on_request =
                    [this](PeerChannel channel, const std::string& payload,
                           const PeerResponder& replier) { OnRequest(channel, payload, replier); }},
            seed, settings_.neighbours),
      ledger_(loop, node_.network(), settings_.common),
      context_{.loop = loop_,
               .settings = settings_,
               .node = node_,
               .ledger = ledger_,
               .metrics = metrics_,
               .tracer = tracer_,
               .crash_guard = CrashGuard(settings_.common.instance),
               .run_id = MakeRunId(settings_.common, seed)},
      crash_reports_(settings_.common.instance),
      target_(context_),
      quota_(context_, seed),
      callers_(context_, target_),
      load_log_(loop.now()),
      replica_(
          settings_.common.instance, MakeReplicaSettings(),
          MakeMeasuredCodec(MakeTransferCodec(), metrics_),
          [this](ConfigVersion version, const std::string& text) { return Install(version, text); },
          seed, loop.now()),
      config_exchange_(loop, node_, settings_.common.instance,
                       ExchangeTimes(settings_.common.in_force_within),
                       {.on_message =
                            [this](const InstanceId& from, const ConfigMessage& message) {
                              SendConfigMessages(replica_.Receive(loop_.now(), from, message));
                            },
                        .on_not_delivered =
                            [this](const InstanceId& to) {
                              SendConfigMessages(replica_.NotDelivered(loop_.now(), to));
                            }}),
      ingress_(MakeIngressBudget(settings_.common.ingress)),
      caller_server_(loop, settings_.caller_address, CallerServerLimits(settings_, ingress_),
                     [this](HttpRequest request, const ResponseSink& sink) {
                       callers_.Handle(std::move(request), sink);
                     }),
      local_server_(loop, settings_.local_address, ServerLimits(ingress_, kMaxLocalBody),
                    [this](const HttpRequest& request, const ResponseSink& sink) {
                      OnLocalRequest(request, sink);
                    }) {
  caller_server_.AllowConcurrency(
      [this](const HttpRequest& request) { return callers_.MayRunConcurrently(request); });
  context_.quota = &quota_;
  caller_server_.StreamBodies(
      [this](const HttpRequest& head) { return callers_.StreamsBody(head); });
  target_.SetStateListener([this] { UpdateSelf(); });
  target_.SetCancelOutgoing(
      [this](const std::vector<RequestNumber>& calls) { callers_.Cancel(calls); });
  metrics_.SetCollectCallback([this] { UpdateMetrics(); });
  Tick();
  Log(LogLevel::kInfo, "daemon_started",
      {{"callers", settings_.caller_address.text()}, {"peers", settings_.peer_address.text()}});
}

DaemonProcess::~DaemonProcess() { loop_.Cancel(timer_); }

void DaemonProcess::Drain() {
  Log(LogLevel::kInfo, "daemon_draining",
      {{"calls_in_flight", static_cast<uint64_t>(callers_.in_flight())},
       {"target_in_flight", static_cast<uint64_t>(target_.in_flight())}});
  draining_ = true;
  quota_.StopOwner();
  caller_server_.DisableKeepAlive();
  const Duration serving_time = settings_.common.drain_notice * kServingPercentOfNotice / 100;
  loop_.RunAfter(serving_time, [this] {
    target_.DrainAndHold();
    UpdateSelf();
  });
  const TimePoint now = loop_.now();
  callers_.EndBy(now + settings_.common.drain_timeout - kLastAnswerTime);
  FinishDrain(now + settings_.common.drain_notice, now + settings_.common.drain_timeout);
}

void DaemonProcess::Announce(const Announcement& announcement) {
  target_.Announce(announcement);
  UpdateSelf();
}

void DaemonProcess::DrainTarget() {
  target_.Drain();
  UpdateSelf();
}

void DaemonProcess::RemoveTarget() {
  target_.Leave();
  UpdateSelf();
}

void DaemonProcess::OnMessage(const InstanceId& from, PeerChannel channel,
                              const std::string& bytes) {
  if (channel != PeerChannel::kConfigDistribution) {
    return;
  }
  config_exchange_.OnMessage(from, bytes);
}

void DaemonProcess::OnRequest(PeerChannel channel, const std::string& payload,
                              const PeerResponder& replier) {
  if (channel == PeerChannel::kConfigDistribution) {
    config_exchange_.OnRequest(payload, replier);
    return;
  }
  try {
    if (channel == PeerChannel::kCall) {
      target_.HandlePeer(payload, replier);
    } else if (channel == PeerChannel::kQuota) {
      quota_.OnRequest(payload, replier);
    } else if (channel == PeerChannel::kOperatorRequests && payload == "drain") {
      target_.DrainAndHold();
      UpdateSelf();
      replier.Respond("ok");
    }
  } catch (const UserError& error) {
    Log(LogLevel::kWarning, "peer_request_malformed", {{"reason", std::string(error.what())}});
  }
}

void DaemonProcess::OnLocalRequest(const HttpRequest& request, const ResponseSink& sink) {
  if (request.method == "GET" && request.path == "/healthz") {
    sink.Send(Health());
  } else if (request.method == "GET" && request.path == "/metrics") {
    HttpResponse response{.status = 200, .headers = {}, .body = metrics_.Serialize()};
    response.headers.Add("content-type", "text/plain; version=0.0.4");
    sink.Send(std::move(response));
  } else if (request.path == "/announce") {
    OnAnnounceRequest(request, sink);
  } else {
    sink.Send(ErrorResponse(ResultCode::kNoRoute));
  }
}

void DaemonProcess::OnAnnounceRequest(const HttpRequest& request, const ResponseSink& sink) {
  const std::string expected = "Bearer " + settings_.announce_token;
  if (!ConstantTimeEquals(request.headers.ValueOr("authorization", ""), expected)) {
    sink.Send(ErrorResponse(ResultCode::kUnauthorized));
    return;
  }
  if (request.method == "POST") {
    try {
      target_.Announce(ReadAnnouncement(request.body));
    } catch (const UserError& error) {
      sink.Send(ErrorResponse(error.code(), error.what()));
      return;
    }
  } else if (request.method == "DELETE") {
    target_.Drain();
  } else {
    sink.Send(ErrorResponse(ResultCode::kBadRequest));
    return;
  }
  UpdateSelf();
  sink.Send(HttpResponse{.status = 204, .headers = {}, .body = ""});
}

HttpResponse DaemonProcess::Health() const {
  const auto configuration = context_.configuration;
  const nlohmann::json body = {{"instance", settings_.common.instance.value()},
                               {"version", configuration ? configuration->version().value() : 0},
                               {"preset", configuration ? configuration->preset().value() : ""},
                               {"target", TargetStateName(target_.target().state())},
                               {"running", target_.running()}};
  HttpResponse response{.status = configuration ? 200 : 503, .headers = {}, .body = body.dump()};
  response.headers.Add("content-type", "application/json");
  return response;
}

bool DaemonProcess::Install(ConfigVersion version, const std::string& text) {
  const auto start = std::chrono::steady_clock::now();
  try {
    context_.configuration = compiler_.Compile(text, version);
  } catch (const UserError& error) {
    Log(LogLevel::kError, "version_rejected",
        {{"version", version.value()}, {"reason", std::string(error.what())}});
    return false;
  }
  if (const Duration idle = context_.configuration->callers().idle_timeout; idle > Duration{}) {
    caller_server_.SetIdleTimeout(idle);
  }
  const CallerLimits& limits = context_.configuration->callers();
  caller_server_.SetHeaderLimits(limits.header_bytes, limits.header_timeout);
  target_.ConfigurationChanged();
  quota_.ConfigurationChanged();
  callers_.ConfigurationChanged();
  UpdateSelf();
  TrimHeap();
  const auto taken = std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now() - start);
  RecordInstallation(taken, metrics_);
  Log(LogLevel::kInfo, "version_in_force",
      {{"version", version.value()},
       {"preset", context_.configuration->preset().value()},
       {"bytes", static_cast<uint64_t>(text.size())},
       {"parsed_routes", static_cast<uint64_t>(compiler_.work().parsed_routes)},
       {"reused_routes", static_cast<uint64_t>(compiler_.work().reused_routes)},
       {"taken_ms", static_cast<int64_t>(taken.count() / 1000)}});
  return true;
}

void DaemonProcess::Tick() {
  timer_ = loop_.RunAfter(kTickInterval, [this] { Tick(); });
  const TimePoint now = loop_.now();
  if (settings_.common.discovery) {
    replica_.SetLocalControls(node_.nearest_control_instances());
  }
  SendConfigMessages(replica_.Tick(now, node_.membership().peer_versions()));
  UpdateSelf();
  crash_reports_.Collect(node_.membership(), context_.crash_guard);
  crash_reports_.Publish(now, context_.crash_guard, node_.membership());
  context_.crash_guard.Tick(WallNow());
  quota_.Tick();
  callers_.Tick();
  load_log_.Tick(now, node_, target_);
  SendRolloutReport();
}

// All control instances get the report, so that each that may become the leader has the evidence.
void DaemonProcess::SendRolloutReport() {
  if (const std::optional<std::string> report = target_.TakeRolloutReport()) {
    for (const InstanceId& instance : node_.control_instances()) {
      node_.Send(instance, PeerChannel::kRolloutEvidence, *report);
    }
  }
}

void DaemonProcess::SendConfigMessages(const std::vector<PeerMessage>& messages) {
  RecordConfigEvents(replica_.TakeEvents(), metrics_);
  config_exchange_.Send(messages);
}

void DaemonProcess::UpdateSelf() {
  MemberRecord self = node_.membership().self();
  target_.FillRecord(self);
  if (context_.configuration) {
    self.config_version = context_.configuration->version();
    self.config_digest = context_.configuration->digest();
  }
  node_.UpdateSelf(self);
}

void DaemonProcess::UpdateMetrics() {
  node_.ReportTraffic(metrics_);
  quota_.UpdateMetrics();
  ReportIngress(*ingress_, metrics_);
  const auto set = [&](const std::string& name, const std::string& help, double value) {
    metrics_.Gauge(name, help).Set(value);
  };
  set("endivecleat_config_version", "Configuration version in force",
      context_.configuration ? static_cast<double>(context_.configuration->version().value()) : 0);
  set("endivecleat_target_running", "Requests running on the target",
      static_cast<double>(target_.running()));
  set("endivecleat_target_limit", "Requests that the target may run now",
      static_cast<double>(target_.slots()));
  set("endivecleat_target_slots", "The same without the concurrency limit",
      static_cast<double>(target_.unlimited_slots()));
  set("endivecleat_calls_in_flight", "In-flight calls of this daemon's callers",
      static_cast<double>(callers_.in_flight()));
  set("endivecleat_pipelined_concurrent", "Pipelined requests that ran beside earlier ones",
      static_cast<double>(caller_server_.pipelining().concurrent));
  set("endivecleat_pipelined_waited", "Pipelined requests that waited for earlier ones",
      static_cast<double>(caller_server_.pipelining().waited));
  const UploadCounts& uploads = caller_server_.uploads();
  set("endivecleat_uploads_started", "Request bodies that were passed on while they arrived",
      static_cast<double>(uploads.started));
  set("endivecleat_uploads_completed", "Such bodies that were received in full",
      static_cast<double>(uploads.completed));
  set("endivecleat_uploads_stalled", "Such bodies that ended since their sender made no progress",
      static_cast<double>(uploads.stalled));
  set("endivecleat_members", "Members of the data centre that are alive",
      static_cast<double>(node_.membership().members().size()));
}

void DaemonProcess::FinishDrain(TimePoint not_before, TimePoint deadline) {
  const TimePoint now = loop_.now();
  if (now >= not_before) {
    // Reads what the open connections hold. It comes before the check for requests in flight, since
    // a daemon that was busy may find requests there.
    caller_server_.StopAccepting();
  }
  if (now < not_before || (!Idle() && now < deadline)) {
    loop_.RunAfter(kTickInterval,
                   [this, not_before, deadline] { FinishDrain(not_before, deadline); });
    return;
  }
  quota_.GiveBackShare();
  node_.Leave();
  loop_.RunAfter(kTickInterval, [this, deadline] { StopWhenIdle(deadline); });
}

// A connection that was not idle when the server stopped accepting may still deliver a request.
void DaemonProcess::StopWhenIdle(TimePoint deadline) {
  if (!Idle() && loop_.now() < deadline) {
    loop_.RunAfter(kTickInterval, [this, deadline] { StopWhenIdle(deadline); });
    return;
  }
  Log(LogLevel::kInfo, "daemon_drained",
      {{"calls_in_flight", static_cast<uint64_t>(callers_.in_flight())},
       {"requests_in_flight", static_cast<uint64_t>(caller_server_.in_flight())}});
  loop_.Stop();
}

bool DaemonProcess::Idle() const {
  return callers_.in_flight() == 0 && target_.in_flight() == 0 && caller_server_.in_flight() == 0;
}

ConfigReplicaSettings DaemonProcess::MakeReplicaSettings() const {
  ConfigReplicaSettings replica;
  LimitTimes(settings_.common.in_force_within, replica);
  const Location& here = settings_.common.location;
  replica.data_centre = here.data_centre;
  if (settings_.common.discovery) {
    for (const Address& seed : settings_.common.discovery->seeds) {
      replica.local_controls.emplace_back(seed.ip);
    }
  }
  std::vector<InstanceId> far;
  for (const ControlPeer& peer : settings_.common.control_peers) {
    if (peer.location.data_centre == here.data_centre) {
      replica.local_controls.push_back(peer.instance);
    } else if (peer.location.region == here.region) {
      replica.remote_controls.push_back(peer.instance);
    } else {
      far.push_back(peer.instance);
    }
  }
  replica.remote_controls.insert(replica.remote_controls.end(), far.begin(), far.end());
  return replica;
}

Announcement ReadAnnouncement(const std::string& body) {
  nlohmann::json document;
  if (IsNestedTooDeeply(body)) {
    throw UserError(ResultCode::kBadRequest, "the announcement is nested too deeply");
  }
  try {
    document = nlohmann::json::parse(body);
  } catch (const nlohmann::json::exception&) {
    throw UserError(ResultCode::kBadRequest, "the announcement is not valid JSON");
  }
  std::vector<Problem> problems;
  JsonReader reader(document, "", problems);
  Announcement announcement;
  announcement.service = ServiceName(reader.ReadString("service", Presence::kRequired));
  announcement.target = TargetId(reader.ReadString("target", Presence::kRequired));
  announcement.address.ip = reader.ReadString("address", Presence::kRequired);
  announcement.address.port = static_cast<uint16_t>(reader.ReadNumber("port", 1, 65535, 0));
  announcement.slots = static_cast<uint32_t>(reader.ReadNumber("slots", 1, kMaxSlots, 0));
  announcement.connections =
      static_cast<uint32_t>(reader.ReadNumber("connections", 1, kMaxSlots, 0));
  reader.RejectUnknownKeys();
  if (!ParseAddress(announcement.address.ip + ":1")) {
    reader.ReportProblem("address", "must be an IP address");
  }
  for (const char* key : {"port", "slots", "connections"}) {
    if (!document.is_object() || !document.contains(key)) {
      reader.ReportProblem(key, "is missing");
    }
  }
  if (!problems.empty()) {
    throw UserError(ResultCode::kBadRequest,
                    problems.front().json_path + " " + problems.front().message, problems);
  }
  return announcement;
}

}  // namespace endivecleat
