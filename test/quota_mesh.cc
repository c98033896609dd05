// One step delivers the messages that are due, then sends the callers' requests.
#include "quota_mesh.h"

#include <algorithm>
#include <cmath>

namespace endivecleat::test {
namespace {

constexpr Duration kMessageTimeout = std::chrono::milliseconds(400);
constexpr Duration kMembersInterval = std::chrono::milliseconds(500);
constexpr Duration kDeadline = std::chrono::seconds(2);
constexpr Duration kWindow = std::chrono::seconds(5);
constexpr uint64_t kScale = 1'000'000;

}  // namespace

QuotaMesh::QuotaMesh(QuotaMeshSettings settings, uint64_t seed)
    : settings_(std::move(settings)),
      random_(seed),
      network_(seed + 1, settings_.network),
      loads_(settings_.quotas.size()),
      counts_(settings_.quotas.size()),
      ran_at_(settings_.quotas.size()) {
  for (size_t tenant = 0; tenant < settings_.quotas.size(); ++tenant) {
    const TenantName name("tenant-" + std::to_string(tenant));
    tenants_.AddTenant({name, std::nullopt, settings_.quotas[tenant]});
    tenant_ids_.push_back(TenantIdOf(name));
  }
  machines_.resize(settings_.controls + settings_.daemons);
  for (size_t index = 0; index < machines_.size(); ++index) {
    Machine& machine = machines_[index];
    machine.id = InstanceId((index < settings_.controls ? "c" : "d") + std::to_string(index));
    machine.clock_offset = std::chrono::milliseconds(random_.Below(1'000'000));
    index_[machine.id] = index;
  }
  SetAllViews();
  for (size_t index = 0; index < machines_.size(); ++index) {
    Start(index);
  }
}

void QuotaMesh::SetAllViews() {
  std::set<size_t> all;
  for (size_t index = 0; index < machines_.size(); ++index) {
    all.insert(index);
  }
  for (Machine& machine : machines_) {
    machine.view = all;
  }
}

void QuotaMesh::SetView(size_t machine, std::set<size_t> members) {
  members.insert(machine);
  machines_[machine].view = std::move(members);
}

std::vector<InstanceId> QuotaMesh::OwnersSeenBy(size_t machine) const {
  std::vector<InstanceId> owners;
  for (const size_t member : machines_[machine].view) {
    owners.push_back(machines_[member].id);
  }
  return owners;
}

void QuotaMesh::Start(size_t index) {
  Machine& machine = machines_[index];
  const TimePoint now = Clock(machine);
  machine.starts_at.reset();
  machine.owner = std::make_unique<QuotaOwner>(++last_run_, now);
  if (index >= settings_.controls) {
    machine.client = std::make_unique<QuotaClient>(machine.id, last_run_);
    machine.client->SetOwners(now, OwnersSeenBy(index));
    machine.configured = false;
    if (IsConnected(index)) {
      ConfigureClient(machine);
    }
  }
}

// A process that starts has no configuration before it reaches another one.
bool QuotaMesh::IsConnected(size_t index) const {
  const Machine& machine = machines_[index];
  return std::any_of(machine.view.begin(), machine.view.end(), [&](size_t member) {
    return member != index && network_.Connected(machine.id, machines_[member].id) &&
           network_.Connected(machines_[member].id, machine.id);
  });
}

// Members exchange the records that they have, also of members that they consider dead by now.
std::set<size_t> QuotaMesh::KnownMembers(size_t index) const {
  std::set<size_t> known = machines_[index].view;
  for (const size_t member : machines_[index].view) {
    if (network_.Connected(machines_[member].id, machines_[index].id)) {
      known.insert(machines_[member].view.begin(), machines_[member].view.end());
    }
  }
  return known;
}

// As QuotaOwnerTask does: a process that knows itself alone passes no members.
void QuotaMesh::PassMembers(size_t index) {
  const std::set<size_t> known = KnownMembers(index);
  if (known.size() < 2) {
    return;
  }
  std::vector<InstanceId> daemons;
  for (const size_t member : known) {
    if (member >= settings_.controls) {
      daemons.push_back(machines_[member].id);
    }
  }
  machines_[index].owner->SetMembers(Clock(machines_[index]), daemons);
}

void QuotaMesh::ConfigureClient(Machine& machine) {
  machine.configured = true;
  machine.learns_at.reset();
  machine.client->SetTenants(Clock(machine), version_, &tenants_);
}

void QuotaMesh::Stop(size_t index) {
  Machine& machine = machines_[index];
  machine.owner.reset();
  machine.client.reset();
  machine.inbox.clear();
  machine.in_flight = 0;
  machine.waiting.clear();
  machine.frozen_until = TimePoint{};
  network_.DropMessagesTo(machine.id);
}

void QuotaMesh::Restart(size_t machine, Duration after) {
  Stop(machine);
  machines_[machine].starts_at = now_ + after;
}

void QuotaMesh::StopAndRestart(size_t index, Duration after) {
  Machine& machine = machines_[index];
  if (machine.owner) {
    machine.owner->Stop();
    Run(std::chrono::milliseconds(700));  // the daemons turn to another owner
    if (machine.client) {
      machine.client->Stop();
      RunClient(index);
    }
  }
  Restart(index, after);
}

void QuotaMesh::Freeze(size_t machine, Duration length) {
  machines_[machine].frozen_until = now_ + length;
}

void QuotaMesh::Cut(const std::set<size_t>& side) {
  for (const size_t inside : side) {
    for (size_t other = 0; other < machines_.size(); ++other) {
      if (!side.contains(other)) {
        network_.CutBothWays(machines_[inside].id, machines_[other].id);
      }
    }
  }
}

void QuotaMesh::SetQuota(size_t tenant, TenantQuota quota, Duration learn_within) {
  settings_.quotas.at(tenant) = quota;
  tenants_ = TenantTable();
  for (size_t each = 0; each < settings_.quotas.size(); ++each) {
    tenants_.AddTenant(
        {TenantName("tenant-" + std::to_string(each)), std::nullopt, settings_.quotas[each]});
  }
  version_ = version_.next();
  for (Machine& machine : machines_) {
    if (machine.client) {
      machine.learns_at = now_ + Duration(static_cast<int64_t>(random_.Below(
                                     static_cast<uint64_t>(learn_within.count()) + 1)));
    }
  }
}

void QuotaMesh::Run(Duration length) {
  const TimePoint end = now_ + length;
  while (now_ < end) {
    now_ += settings_.step;
    Step();
  }
}

void QuotaMesh::Step() {
  for (const auto& delivery : network_.TakeDue(now_)) {
    Machine& machine = machines_[index_.at(delivery.to)];
    if (machine.owner) {
      machine.inbox.emplace_back(index_.at(delivery.from), delivery.message);
    }
  }
  const bool members_due = now_ >= next_members_;
  if (members_due) {
    next_members_ = now_ + kMembersInterval;
  }
  for (size_t index = 0; index < machines_.size(); ++index) {
    Machine& machine = machines_[index];
    if (!machine.owner && machine.starts_at && *machine.starts_at <= now_) {
      Start(index);
    }
    if (!machine.owner || IsFrozen(machine)) {
      continue;
    }
    if (members_due) {
      PassMembers(index);
      if (machine.client) {
        machine.client->SetOwners(Clock(machine), OwnersSeenBy(index));
        machine.client->SetKnownMembers(machine.owner->known_members());
        if (!machine.configured && IsConnected(index)) {
          ConfigureClient(machine);
        }
      }
    }
    while (!machine.inbox.empty()) {
      const auto [from, message] = std::move(machine.inbox.front());
      machine.inbox.pop_front();
      Deliver(machine, from, message);
    }
    machine.owner->Tick(Clock(machine));
    if (machine.client) {
      if (machine.learns_at && *machine.learns_at <= now_) {
        ConfigureClient(machine);
      }
      RunClient(index);
    }
  }
  SendRequests();
}

void QuotaMesh::Transmit(size_t from, size_t to, const Message& message) {
  machines_[from].bytes += message.bytes.size();
  ++machines_[from].messages;
  machines_[to].bytes += message.bytes.size();
  ++machines_[to].messages;
  network_.Send(now_, machines_[from].id, machines_[to].id, message);
}

void QuotaMesh::Deliver(Machine& machine, size_t from, const Message& message) {
  const TimePoint now = Clock(machine);
  if (!message.reply) {
    const QuotaReply reply = machine.owner->Receive(now, DecodeQuotaRequest(message.bytes));
    Transmit(index_.at(machine.id), from, {true, message.sequence, EncodeQuotaReply(reply)});
  } else if (machine.client && machine.in_flight == message.sequence) {
    machine.in_flight = 0;
    machine.client->Received(now, message.sequence, DecodeQuotaReply(message.bytes));
  }
}

void QuotaMesh::RunClient(size_t index) {
  Machine& machine = machines_[index];
  const TimePoint now = Clock(machine);
  if (machine.in_flight != 0 && machine.sent_at + kMessageTimeout <= now_) {
    machine.client->Failed(now, std::exchange(machine.in_flight, 0));
  }
  while (const auto outgoing = machine.client->NextRequest(now)) {
    const size_t to = index_.at(outgoing->to);
    const uint64_t sequence = outgoing->request.sequence;
    if (to == index) {
      machine.client->Received(now, sequence, machine.owner->Receive(now, outgoing->request));
    } else if (!machines_[to].owner) {
      machine.client->Failed(now, sequence);  // the connection is refused
    } else {
      machine.in_flight = sequence;
      machine.sent_at = now_;
      Transmit(index, to, {false, sequence, EncodeQuotaRequest(outgoing->request)});
    }
  }
  for (const QuotaDecision& decision : machine.client->TakeDecisions(now)) {
    Decide(machine, decision);
  }
}

void QuotaMesh::Decide(Machine& machine, const QuotaDecision& decision) {
  const auto found = machine.waiting.find(decision.request);
  const Pending pending = found->second;
  machine.waiting.erase(found);
  if (decision.answer.verdict == QuotaVerdict::kGranted) {
    Granted(machine, pending.tenant, pending.sent_at, decision.answer.token);
  } else {
    ++counts_[pending.tenant].refused;
  }
}

void QuotaMesh::Granted(Machine& machine, size_t tenant, TimePoint sent_at,
                        const QuotaToken& token) {
  if (random_.Chance(settings_.not_run_percent)) {
    machine.client->Return(Clock(machine), token);
    return;
  }
  QuotaCounts& counts = counts_[tenant];
  ++counts.ran;
  counts.waiting_time += now_ - sent_at;
  counts.longest_wait = std::max(counts.longest_wait, now_ - sent_at);
  ran_at_[tenant].push_back(now_);
}

void QuotaMesh::SendRequests() {
  const double seconds = std::chrono::duration<double>(settings_.step).count();
  for (size_t tenant = 0; tenant < loads_.size(); ++tenant) {
    const double expected = loads_[tenant] * seconds;
    auto requests = static_cast<uint64_t>(expected);
    const auto scaled = static_cast<uint64_t>((expected - std::floor(expected)) * kScale);
    requests += random_.Below(kScale) < scaled ? 1 : 0;
    for (uint64_t number = 0; number < requests; ++number) {
      const bool first = static_cast<double>(random_.Below(kScale)) < skew_ * kScale;
      const size_t daemon = first ? tenant % settings_.daemons : random_.Below(settings_.daemons);
      Machine& machine = machines_[settings_.controls + daemon];
      if (!machine.client || !machine.configured || IsFrozen(machine)) {
        continue;  // the caller finds no daemon there
      }
      ++counts_[tenant].sent;
      const RequestNumber request(++last_request_);
      const TimePoint now = Clock(machine);
      const QuotaAnswer answer =
          machine.client->Take(now, tenant_ids_[tenant], request, now + kDeadline);
      if (answer.verdict == QuotaVerdict::kGranted) {
        Granted(machine, tenant, now_, answer.token);
      } else if (answer.verdict == QuotaVerdict::kRefused) {
        ++counts_[tenant].refused;
      } else {
        ++counts_[tenant].waited;
        machine.waiting[request] = {tenant, now_};
        RunClient(settings_.controls + daemon);
      }
    }
  }
}

std::optional<size_t> QuotaMesh::OwnerOf(size_t daemon) const {
  const auto& client = machines_[daemon].client;
  return client && client->owner() ? std::optional(index_.at(*client->owner())) : std::nullopt;
}

QuotaCounts QuotaMesh::total() const {
  QuotaCounts total;
  for (const QuotaCounts& counts : counts_) {
    total.sent += counts.sent;
    total.ran += counts.ran;
    total.refused += counts.refused;
    total.waited += counts.waited;
    total.waiting_time += counts.waiting_time;
    total.longest_wait = std::max(total.longest_wait, counts.longest_wait);
  }
  return total;
}

QuotaClient::Counts QuotaMesh::client_counts() const {
  QuotaClient::Counts total;
  for (const Machine& machine : machines_) {
    if (machine.client) {
      total.messages += machine.client->counts().messages;
      total.expired += machine.client->counts().expired;
      total.owner_changes += machine.client->counts().owner_changes;
    }
  }
  return total;
}

size_t QuotaMesh::MostInWindow(size_t tenant, TimePoint from) const {
  const std::vector<TimePoint>& times = ran_at_.at(tenant);
  size_t most = 0;
  size_t end = 0;
  for (size_t start = 0; start < times.size(); ++start) {
    if (times[start] < from) {
      continue;
    }
    while (end < times.size() && times[end] < times[start] + kWindow) {
      ++end;
    }
    most = std::max(most, end - start);
  }
  return most;
}

double QuotaMesh::Bound(const TenantQuota& quota) {
  return (5 * quota.rate_per_second + quota.burst) * 1.1 + 20;
}

}  // namespace endivecleat::test
