// One timer runs the client; decisions are delivered from it or from the callback of a message.
#include "quota_task.h"

#include <xxhash.h>

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

#include "errors.h"
#include "log.h"
#include "wall_clock.h"

namespace endivecleat {
namespace {

// One retransmission of TCP in 60 ms of round trip time.
constexpr Duration kMessageTimeout = std::chrono::milliseconds(400);
constexpr Duration kOwnersInterval = std::chrono::milliseconds(300);
constexpr size_t kMaxOwners = 6;

// Without discovery, each data centre is a group of members of its own with its own owners, and a
// quota is split evenly between them.
double PartOfQuotas(const CommonSettings& settings) {
  if (settings.discovery) {
    return 1;
  }
  std::set<DataCentreId> data_centres = {settings.location.data_centre};
  for (const ControlPeer& peer : settings.control_peers) {
    data_centres.insert(peer.location.data_centre);
  }
  return 1 / static_cast<double>(data_centres.size());
}

uint64_t RankOf(const InstanceId& instance) {
  const std::string text = "quota/" + instance.value();
  return XXH3_64bits(text.data(), text.size());
}

}  // namespace

QuotaTask::QuotaTask(DaemonContext& context, uint64_t seed)
    : context_(context),
      owner_(context.node, seed),
      client_(context.settings.common.instance, seed == 0 ? 1 : seed) {}

QuotaTask::~QuotaTask() {
  if (timer_) {
    context_.loop.Cancel(*timer_);
  }
  if (in_flight_) {
    context_.node.network().Cancel(*in_flight_);
  }
}

QuotaAnswer QuotaTask::Take(const Tenant& tenant, RequestNumber request, TimePoint deadline,
                            Callback done) {
  if (!tenant.quota.limited()) {
    return {};
  }
  const TimePoint now = BootClockNow();
  const QuotaAnswer answer =
      client_.Take(now, TenantIdOf(tenant.name), request, now + (deadline - context_.loop.now()));
  if (answer.verdict == QuotaVerdict::kWait) {
    callbacks_.emplace(request, std::move(done));
    SendRequests();
    ArmTimer();
  }
  return answer;
}

void QuotaTask::Forget(const Tenant& tenant, RequestNumber request) {
  client_.Forget(TenantIdOf(tenant.name), request);
  callbacks_.erase(request);
}

void QuotaTask::Return(const QuotaToken& token) {
  client_.Return(BootClockNow(), token);
  if (client_.waiting() > 0) {
    ArmTimer();
  }
}

void QuotaTask::ConfigurationChanged() {
  const auto& configuration = context_.configuration;
  client_.SetTenants(BootClockNow(), configuration->version(), configuration->tenants().get(),
                     PartOfQuotas(context_.settings.common));
  next_owners_ = TimePoint{};
  Tick();
}

// Control instances first: they are few, so that the requests of all tenants of a daemon go in one
// message, and a restart of daemons changes no owner.
// Control instances and daemons alternate: all control instances may be lost at the same moment,
// and each owner that does not answer costs half a second.
std::vector<InstanceId> QuotaTask::OwnersInOrder() const {
  std::vector<std::tuple<bool, uint64_t, InstanceId>> ranked;
  for (const MemberRecord& member : context_.node.membership().members()) {
    ranked.emplace_back(!member.is_control, RankOf(member.instance), member.instance);
  }
  std::sort(ranked.begin(), ranked.end());
  const auto first_daemon = std::find_if(ranked.begin(), ranked.end(),
                                         [](const auto& each) { return std::get<bool>(each); });
  std::vector<InstanceId> owners;
  auto control = ranked.begin();
  auto daemon = first_daemon;
  while (owners.size() < std::min(ranked.size(), kMaxOwners)) {
    const bool take_control =
        control != first_daemon && (daemon == ranked.end() || owners.size() % 2 == 0);
    owners.push_back(std::get<InstanceId>(take_control ? *control++ : *daemon++));
  }
  return owners;
}

void QuotaTask::Tick() {
  owner_.Tick();
  const TimePoint now = BootClockNow();
  if (now >= next_owners_) {
    next_owners_ = now + kOwnersInterval;
    client_.SetOwners(now, OwnersInOrder());
    client_.SetKnownMembers(owner_.known_members());
  }
  Pump();
}

void QuotaTask::GiveBackShare() {
  client_.Stop();
  Pump();
}

void QuotaTask::Pump() {
  SendRequests();
  for (const QuotaDecision& decision : client_.TakeDecisions(BootClockNow())) {
    const auto found = callbacks_.find(decision.request);
    if (found == callbacks_.end()) {  // the caller has gone meanwhile
      if (decision.answer.verdict == QuotaVerdict::kGranted) {
        client_.Return(BootClockNow(), decision.answer.token);
      }
    } else {
      const Callback done = std::move(found->second);
      callbacks_.erase(found);
      done(decision.answer);
    }
  }
  LogEvents();
  ArmTimer();
}

void QuotaTask::SendRequests() {
  while (const std::optional<OutgoingQuotaRequest> outgoing = client_.NextRequest(BootClockNow())) {
    Send(*outgoing);
  }
}

void QuotaTask::Send(const OutgoingQuotaRequest& outgoing) {
  const uint64_t sequence = outgoing.request.sequence;
  if (outgoing.to == context_.settings.common.instance) {
    client_.Received(BootClockNow(), sequence, owner_.Receive(outgoing.request));
    return;
  }
  const std::optional<Address> address = context_.node.FindAddress(outgoing.to);
  if (!address) {
    client_.Failed(BootClockNow(), sequence);
    return;
  }
  in_flight_ = context_.node.network().Request(
      *address, PeerChannel::kQuota, EncodeQuotaRequest(outgoing.request), kMessageTimeout,
      [this, sequence](const PeerOutcome& outcome) {
        in_flight_.reset();
        try {
          if (outcome.kind == PeerOutcome::kAnswered) {
            client_.Received(BootClockNow(), sequence, DecodeQuotaReply(outcome.payload));
          } else {
            client_.Failed(BootClockNow(), sequence);
          }
        } catch (const UserError& error) {
          client_.Failed(BootClockNow(), sequence);
          Log(LogLevel::kWarning, "quota_reply_malformed", {{"reason", std::string(error.what())}});
        }
        Pump();
      });
}

void QuotaTask::LogEvents() {
  for (const QuotaEvent& event : client_.TakeEvents(BootClockNow())) {
    Log(LogLevel::kWarning, event.limited ? "quota_limit_began" : "quota_limit_ended",
        {{"tenant", event.tenant.value()},
         {"refused", event.refused},
         {"owner", client_.owner() ? client_.owner()->value() : ""}});
  }
}

void QuotaTask::ArmTimer() {
  if (timer_) {
    context_.loop.Cancel(*timer_);
    timer_.reset();
  }
  const TimePoint due = client_.next_timer();
  if (due == TimePoint::max()) {
    return;
  }
  const Duration delay = std::max(due - BootClockNow(), Duration(0));
  timer_ = context_.loop.RunAfter(delay, [this] {
    timer_.reset();
    Pump();
  });
}

void QuotaTask::UpdateMetrics() {
  owner_.UpdateMetrics(context_.metrics);
  const QuotaClient::Counts& counts = client_.counts();
  const auto report = [&](const char* name, const char* help, uint64_t count, uint64_t& reported) {
    ReportCount(context_.metrics, std::string("endivecleat_quota_") + name, help, count, reported);
  };
  report("granted_total", "Requests that got a token", counts.taken, reported_.taken);
  report("refused_total", "Requests refused for a quota", counts.refused, reported_.refused);
  report("waited_total", "Requests that waited for a token", counts.waited, reported_.waited);
  report("returned_total", "Tokens of requests that no target ran", counts.returned,
         reported_.returned);
  report("expired_total", "Leased tokens that were not used in time", counts.expired,
         reported_.expired);
  report("owner_changes_total", "Changes of the owner", counts.owner_changes,
         reported_.owner_changes);
  report("messages_total", "Messages sent to owners", counts.messages, reported_.messages);
  report("failed_messages_total", "Messages to owners without an answer", counts.failed_messages,
         reported_.failed_messages);
}

}  // namespace endivecleat
