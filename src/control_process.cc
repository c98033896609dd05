// Dispatches peer messages by channel to the replicated logs, the configuration source and the
// crash relay. A timer drives the periodic work; Flush persists and sends after each batch of
// events.
#include "control_process.h"

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <random>
#include <set>
#include <utility>

#include "client_ingress.h"
#include "config_log.h"
#include "config_timing.h"
#include "configuration.h"
#include "errors.h"
#include "heap.h"
#include "ledger_message.h"
#include "log.h"
#include "transfer_codec.h"
#include "wall_clock.h"

namespace endivecleat {
namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(20);
constexpr Duration kLedgerForwardTimeout = std::chrono::milliseconds(800);
// Number of local daemons that are notified of a new version directly; the others learn of it from
// these.
constexpr size_t kDirectNotifications = 64;
// A control instance has a faster link than daemons, and after a change all daemons of its data
// centre pull from it at once.
constexpr ByteCount kMaxTransferBytes{4U << 20U};
constexpr size_t kMaxQueuedPulls = 256;
// Holds the last ten versions of a text of 400 kB, so that daemons a few versions behind get
// deltas.
constexpr ByteCount kHistoryBytes{4U << 20U};

std::filesystem::path LogFolder(const ControlSettings& settings, const std::string& log) {
  return std::filesystem::path(settings.data_folder) / log;
}

Incarnation NewIncarnation() {
  std::random_device device;
  const uint64_t high = device();
  return Incarnation(((high << 32U) | device()) | 1U);  // 0 is reserved for a new cluster
}

std::vector<InstanceId> SeedInstances(const CommonSettings& settings) {
  std::vector<InstanceId> instances;
  for (const Address& seed : settings.discovery->seeds) {
    instances.emplace_back(seed.ip);
  }
  return instances;
}

bool IsBootstrapVoter(const CommonSettings& settings) {
  if (!settings.discovery || !settings.discovery->bootstrap) {
    return false;
  }
  const std::vector<InstanceId> seeds = SeedInstances(settings);
  return std::find(seeds.begin(), seeds.end(), settings.instance) != seeds.end();
}

// Creates the log if the folder has none. Only a seed instance that is configured to bootstrap a
// new cluster starts as a voter (an operator's init creates the log beforehand). Any other instance
// without a log has lost its disk and must not vote until it is admitted again.
std::filesystem::path OpenLogFolder(const ControlSettings& settings, const std::string& log) {
  std::filesystem::path folder = LogFolder(settings, log);
  if (!LogExists(folder) && IsBootstrapVoter(settings.common)) {
    Log(LogLevel::kInfo, "deployment_bootstrapped", {{"log", log}, {"role", std::string("voter")}});
    InitializeLog(folder, SeedInstances(settings.common));
  } else if (!LogExists(folder)) {
    Log(LogLevel::kWarning, "data_folder_empty", {{"log", log}, {"role", std::string("learner")}});
    InitializeLearnerLog(folder, NewIncarnation());
  }
  return folder;
}

ConfigSourceSettings SourceSettings(const CommonSettings& settings) {
  ConfigSourceSettings source;
  if (settings.discovery) {
    source.notice_fanout = kDirectNotifications;
  }
  source.max_transfer_bytes = kMaxTransferBytes;
  source.queue_length = kMaxQueuedPulls;
  source.history_bytes = kHistoryBytes;
  LimitTimes(settings.in_force_within, source);
  return source;
}

std::set<InstanceId> ControlInstances(const ControlSettings& settings) {
  std::set<InstanceId> instances;
  for (const ControlPeer& peer : settings.common.control_peers) {
    instances.insert(peer.instance);
  }
  return instances;
}

}  // namespace

ControlProcess::ControlProcess(EventLoop& loop, ControlSettings settings, uint64_t seed)
    : loop_(loop),
      settings_(std::move(settings)),
      node_(loop, settings_.common, settings_.peer_address, MeshRole::kControl,
            MeshHandlers{
                .on_message = [this](const InstanceId& from, PeerChannel channel,
                                     const std::string& bytes) { OnMessage(from, channel, bytes); },
                .on_request =
                    [this](PeerChannel channel, const std::string& payload,
                           const PeerResponder& replier) { OnRequest(channel, payload, replier); }},
            seed),
      config_(settings_.common.instance, MakeLogSettings(seed), OpenLogFolder(settings_, "config"),
              loop.now(),
              [this](const InstanceId& to, const std::string& message) {
                node_.Send(to, PeerChannel::kConfigLog, message);
              }),
      rollouts_(loop_, config_, node_, metrics_),
      source_(SourceSettings(settings_.common), MakeMeasuredCodec(MakeTransferCodec(), metrics_),
              seed),
      config_exchange_(
          loop, node_, settings_.common.instance, ExchangeTimes(settings_.common.in_force_within),
          {.on_message = [this](const InstanceId& from,
                                const ConfigMessage& message) { OnConfigMessage(from, message); },
           .on_not_delivered = [](const InstanceId&) {}}),
      crash_relay_(ControlInstances(settings_)),
      quota_owner_(node_, seed) {
  if (settings_.ledger_enabled) {
    once_ = std::make_unique<ReplicaTask<OnceState>>(
        settings_.common.instance, MakeLogSettings(seed + 1), OpenLogFolder(settings_, "once"),
        loop.now(), [this](const InstanceId& to, const std::string& message) {
          node_.Send(to, PeerChannel::kOnceLog, message);
        });
  }
  ingress_ = MakeIngressBudget(settings_.common.ingress);
  operators_ =
      std::make_unique<OperatorService>(loop_, settings_, config_, node_, ingress_, metrics_);
  loop_.SetAfterBatchHook([this] { Flush(); });
  metrics_.SetCollectCallback([this] { UpdateMetrics(); });
  PublishNewVersion();
  Tick();
  Log(LogLevel::kInfo, "control_started",
      {{"peers", settings_.peer_address.text()}, {"operators", settings_.operator_address.text()}});
}

ControlProcess::~ControlProcess() {
  loop_.SetAfterBatchHook(nullptr);
  loop_.Cancel(timer_);
}

void ControlProcess::Drain() {
  Log(LogLevel::kInfo, "control_draining");
  operators_->StopAccepting();
  quota_owner_.Stop();
  FinishDrain(loop_.now() + settings_.common.drain_timeout);
}

void ControlProcess::OnMessage(const InstanceId& from, PeerChannel channel,
                               const std::string& bytes) {
  const TimePoint now = loop_.now();
  switch (channel) {
    case PeerChannel::kConfigLog:
      config_.Receive(now, from, bytes);
      return;
    case PeerChannel::kOnceLog:
      if (once_) {
        once_->Receive(now, from, bytes);
      }
      return;
    case PeerChannel::kConfigDistribution:
      config_exchange_.OnMessage(from, bytes);
      return;
    case PeerChannel::kDataCentreSummary:
      if (const auto summary = DecodeSummary(bytes)) {
        node_.membership().MergeSummary(*summary);
      }
      return;
    case PeerChannel::kCrashTotals:
      OnCrashTotals(from, bytes);
      return;
    case PeerChannel::kRolloutEvidence:
      rollouts_.OnReport(bytes);
      return;
    case PeerChannel::kCall:
    case PeerChannel::kOnceLedger:
    case PeerChannel::kOperatorRequests:
    case PeerChannel::kQuota:
      return;
  }
}

void ControlProcess::OnRequest(PeerChannel channel, const std::string& payload,
                               const PeerResponder& replier) {
  if (channel == PeerChannel::kConfigDistribution) {
    config_exchange_.OnRequest(payload, replier);
  }
  if (channel == PeerChannel::kQuota) {
    OnQuotaRequest(payload, replier);
  }
  if (channel != PeerChannel::kOnceLedger) {
    return;
  }
  if (!once_) {
    replier.Respond(EncodeLedgerReply(std::nullopt));
    return;
  }
  try {
    OnLedgerRequest(payload, replier);
  } catch (const UserError& error) {
    Log(LogLevel::kWarning, "ledger_request_malformed", {{"reason", std::string(error.what())}});
    replier.Respond(EncodeLedgerReply(std::nullopt));
  }
}

void ControlProcess::OnQuotaRequest(const std::string& payload, const PeerResponder& replier) {
  try {
    quota_owner_.OnRequest(payload, replier);
  } catch (const UserError& error) {
    Log(LogLevel::kWarning, "quota_request_malformed", {{"reason", std::string(error.what())}});
  }
}

void ControlProcess::OnLedgerRequest(const std::string& payload, const PeerResponder& replier) {
  LedgerRequest request = DecodeLedgerRequest(payload);
  request.command.at = WallNow();
  ++ledger_requests_;
  const bool proposed = once_->Propose(loop_.now(), EncodeLedgerCommand(request.command),
                                       [this, replier](const std::optional<LedgerResult>& answer) {
                                         --ledger_requests_;
                                         replier.Respond(EncodeLedgerReply(answer));
                                       });
  if (proposed) {
    return;
  }
  --ledger_requests_;
  if (request.forwarded) {
    replier.Respond(EncodeLedgerReply(std::nullopt));
    return;
  }
  ForwardLedgerRequest(std::move(request.command), replier);
}

void ControlProcess::ForwardLedgerRequest(LedgerCommand command, const PeerResponder& replier) {
  const std::optional<InstanceId> leader = once_->log().leader();
  const std::optional<Address> address = leader ? node_.FindAddress(*leader) : std::nullopt;
  if (!address) {
    replier.Respond(EncodeLedgerReply(std::nullopt));
    return;
  }
  ++ledger_requests_;
  node_.network().Request(
      *address, PeerChannel::kOnceLedger, EncodeLedgerRequest({true, std::move(command)}),
      kLedgerForwardTimeout, [this, replier](const PeerOutcome& outcome) {
        --ledger_requests_;
        const bool answered = outcome.kind == PeerOutcome::kAnswered;
        replier.Respond(answered ? outcome.payload : EncodeLedgerReply(std::nullopt));
      });
}

void ControlProcess::Tick() {
  timer_ = loop_.RunAfter(kTickInterval, [this] { Tick(); });
  const TimePoint now = loop_.now();
  UpdateVoterCandidates();
  quota_owner_.Tick();
  config_.Tick(now);
  rollouts_.Tick();
  if (once_) {
    once_->Tick(now);
  }
  for (const PeerVersion& peer : node_.membership().peer_versions()) {
    source_.NoteKnownVersion(now, peer.version);
  }
  SendConfigMessages(source_.Tick(now));
  if (!settings_.common.discovery) {
    ExchangeSummaries();
    ExchangeCrashTotals();
  }
}

// With discovery enabled, the control instances known through gossip are candidates for voters.
void ControlProcess::UpdateVoterCandidates() {
  if (settings_.common.discovery) {
    std::vector<InstanceId> members = SeedInstances(settings_.common);
    for (const InstanceId& instance : node_.control_instances()) {
      if (std::find(members.begin(), members.end(), instance) == members.end()) {
        members.push_back(instance);
      }
    }
    config_.SetMembers(std::move(members));
  }
}

void ControlProcess::Flush() {
  if (once_) {
    once_->Flush();
  }
  if (config_.Flush()) {
    PublishNewVersion();
  }
  LogRoleChange();
}

// Logs a line whenever the role, the known leader or the known voters change.
void ControlProcess::LogRoleChange() {
  const ReplicatedLog& log = config_.log();
  const std::string role = log.role() == ReplicaRole::kLeader     ? "leader"
                           : log.role() == ReplicaRole::kFollower ? "follower"
                                                                  : "candidate";
  std::string voters;
  for (const Voter& voter : log.voters()) {
    voters += (voters.empty() ? "" : " ") + voter.instance.value();
  }
  const std::string leader = log.leader() ? log.leader()->value() : "";
  std::string now = role + "/" + leader + "/" + voters;
  if (now == logged_role_) {
    return;
  }
  logged_role_ = std::move(now);
  Log(LogLevel::kInfo, "control_role",
      {{"role", role},
       {"leader", leader},
       {"voters", voters},
       {"term", log.term().value()},
       {"commit", log.commit_index().value()}});
}

void ControlProcess::PublishNewVersion() {
  const ConfigStore& store = config_.state().store;
  const ConfigTextPtr published = source_.newest();
  if (store.version().value() == 0 || (published && published->version >= store.version())) {
    return;
  }
  auto text = std::make_shared<ConfigText>();
  text->version = store.version();
  text->text = store.text();
  text->digest = TextDigest(text->text);
  std::vector<InstanceId> daemons;
  for (const MemberRecord& member : node_.membership().members()) {
    // With discovery, the membership spans all data centres. Each control instance then notifies
    // only the daemons of its own data centre, so that all daemons learn of the version at the same
    // time and none pulls it across data centres.
    const bool is_local =
        !settings_.common.discovery || member.data_centre == settings_.common.location.data_centre;
    if (member.instance != settings_.common.instance && is_local) {
      daemons.push_back(member.instance);
    }
  }
  MemberRecord self = node_.membership().self();
  self.config_version = text->version;
  self.config_digest = text->digest;
  node_.UpdateSelf(self);
  Log(LogLevel::kInfo, "version_accepted",
      {{"version", text->version.value()}, {"preset", store.preset().value()}});
  SendConfigMessages(source_.Publish(loop_.now(), std::move(text), daemons));
  TrimHeap();
}

// A replica that hears no leader cannot know the newest version. A daemon that has a version asks
// in order to confirm it, so it is told to ask another; one that has none gets what there is.
void ControlProcess::OnConfigMessage(const InstanceId& from, const ConfigMessage& message) {
  const bool confirms =
      message.kind == ConfigMessage::Kind::kHello && message.version > ConfigVersion();
  if (confirms && !config_.log().leader()) {
    source_.NoteKnownVersion(loop_.now(), message.version);
    SendConfigMessages({{from, source_.MakeBusy()}});
    return;
  }
  SendConfigMessages(source_.Receive(loop_.now(), from, message));
}

void ControlProcess::SendConfigMessages(const std::vector<PeerMessage>& messages) {
  RecordConfigEvents(source_.TakeEvents(), metrics_);
  config_exchange_.Send(messages);
}

void ControlProcess::ExchangeSummaries() {
  const DataCentreSummary summary = node_.membership().OwnSummary();
  if (!summary_schedule_.MarkSentIfDue(loop_.now(), summary)) {
    return;
  }
  SendToOtherDataCentres(PeerChannel::kDataCentreSummary, EncodeSummary(summary));
}

void ControlProcess::ExchangeCrashTotals() {
  const std::vector<CrashTotal> changes =
      crash_relay_.TakeChangedTotals(node_.membership().crash_reports());
  if (!changes.empty()) {
    SendToOtherDataCentres(PeerChannel::kCrashTotals, EncodeCrashTotals(changes));
  }
}

void ControlProcess::OnCrashTotals(const InstanceId& from, const std::string& bytes) {
  const auto& control = settings_.common.control_peers;
  const auto sender = std::find_if(control.begin(), control.end(),
                                   [&](const ControlPeer& peer) { return peer.instance == from; });
  if (sender == control.end()) {
    return;
  }
  const std::vector<CrashTotal> totals =
      crash_relay_.Merge(sender->location.data_centre, DecodeCrashTotals(bytes));
  if (!IsCrashReporter()) {
    return;
  }
  for (const CrashTotal& total : totals) {
    node_.membership().ReportCrash(loop_.now(), total.fingerprint, total.crashes);
  }
}

bool ControlProcess::IsCrashReporter() const {
  const std::vector<MemberRecord>& members = node_.membership().members();
  for (const ControlPeer& peer : settings_.common.control_peers) {
    if (peer.location.data_centre != settings_.common.location.data_centre) {
      continue;
    }
    const bool alive = std::any_of(members.begin(), members.end(), [&](const MemberRecord& each) {
      return each.instance == peer.instance;
    });
    if (alive) {
      return peer.instance == settings_.common.instance;
    }
  }
  return true;
}

void ControlProcess::SendToOtherDataCentres(PeerChannel channel, const std::string& bytes) {
  for (const ControlPeer& peer : settings_.common.control_peers) {
    if (peer.location.data_centre != settings_.common.location.data_centre) {
      node_.Send(peer.instance, channel, bytes);
    }
  }
}

void ControlProcess::UpdateMetrics() {
  ReportIngress(*ingress_, metrics_);
  node_.ReportTraffic(metrics_);
  quota_owner_.UpdateMetrics(metrics_);
  rollouts_.UpdateMetrics();
  const auto set = [&](const std::string& name, const std::string& help, double value) {
    metrics_.Gauge(name, help).Set(value);
  };
  set("endivecleat_config_version", "Newest accepted configuration version",
      static_cast<double>(config_.state().store.version().value()));
  set("endivecleat_config_log_term", "Raft term of the log config",
      static_cast<double>(config_.log().term().value()));
  set("endivecleat_config_leader", "1 while this instance leads the log config",
      config_.log().role() == ReplicaRole::kLeader ? 1 : 0);
  set("endivecleat_config_voter",
      "1 while this instance counts towards majorities of the log config",
      config_.log().is_voter() ? 1 : 0);
  if (once_) {
    set("endivecleat_once_leader", "1 while this instance leads the log once",
        once_->log().role() == ReplicaRole::kLeader ? 1 : 0);
    set("endivecleat_once_voter", "1 while this instance counts towards majorities of the log once",
        once_->log().is_voter() ? 1 : 0);
    set("endivecleat_once_records", "At-most-once records stored",
        static_cast<double>(once_->state().ledger.record_count()));
  }
  set("endivecleat_members", "Members of the data centre that are alive",
      static_cast<double>(node_.membership().members().size()));
}

// Waits until all requests are answered and leadership is transferred, or until the deadline; then
// leaves the membership and stops the loop after a delay for the last writes.
void ControlProcess::FinishDrain(TimePoint deadline) {
  const size_t external = external_in_flight_ ? external_in_flight_() : 0;
  const bool idle = operators_->in_flight() == 0 && ledger_requests_ == 0 && external == 0;
  if (!idle && loop_.now() < deadline) {
    loop_.RunAfter(kTickInterval, [this, deadline] { FinishDrain(deadline); });
    return;
  }
  config_.TransferLeadership(loop_.now());
  bool leads = config_.log().role() == ReplicaRole::kLeader;
  if (once_) {
    once_->TransferLeadership(loop_.now());
    leads = leads || once_->log().role() == ReplicaRole::kLeader;
  }
  const bool single_instance = settings_.common.control_peers.size() == 1;
  if (leads && !single_instance && loop_.now() < deadline) {
    loop_.RunAfter(kTickInterval, [this, deadline] { FinishDrain(deadline); });
    return;
  }
  node_.Leave();
  constexpr Duration kFinalWriteDelay = std::chrono::milliseconds(100);
  loop_.RunAfter(kFinalWriteDelay, [this] { loop_.Stop(); });
}

ReplicatedLogSettings ControlProcess::MakeLogSettings(uint64_t seed) const {
  ReplicatedLogSettings log;
  for (const ControlPeer& peer : settings_.common.control_peers) {
    log.members.push_back(peer.instance);
  }
  if (settings_.common.discovery) {
    log.desired_voters = 2 * settings_.common.discovery->tolerated_losses + 1;
  }
  log.seed = seed;
  log.heartbeat_interval = settings_.heartbeat_interval;
  log.election_timeout_min = settings_.min_election_timeout;
  log.election_timeout_max = 2 * settings_.min_election_timeout;
  return log;
}

void InitializeControl(const ControlSettings& settings) {
  std::vector<InstanceId> voters;
  for (const ControlPeer& peer : settings.common.control_peers) {
    voters.push_back(peer.instance);
  }
  InitializeLog(LogFolder(settings, "config"), voters);
  InitializeLog(LogFolder(settings, "once"), voters);
}

}  // namespace endivecleat
