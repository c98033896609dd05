// Measures the cost of one Membership by data centre size. `record MEMBERS LOAD FILE SEED`
// simulates the data centre with 0.5 ms one-way delay and writes one member's inputs to FILE;
// `replay FILE` runs that member alone, so that resident set and CPU time are its own. LOAD is
// "members" (loads change every second), "summaries" (as do 140 services of four other data
// centres) or a number of such services, which is then the printed size.
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "balancer.h"
#include "data_centre_summary.h"
#include "fake_network.h"
#include "membership.h"
#include "performance/benchmark_output.h"
#include "performance/process_usage.h"

namespace endivecleat::test {
namespace {

constexpr Duration kStep = std::chrono::milliseconds(1);
constexpr Duration kTick = std::chrono::milliseconds(100);
constexpr Duration kWarmUp = std::chrono::seconds(30);  // until the other members list each other
constexpr Duration kJoin = std::chrono::seconds(10);    // join phase of the measured member
constexpr Duration kSteady = std::chrono::seconds(60);
constexpr double kUdpOverhead = 28;  // IPv4 and UDP headers
constexpr size_t kServices = 140;
constexpr size_t kOtherDataCentres = 4;
constexpr uint32_t kSlots = 9;
constexpr size_t kCallsPerMeasurement = 1000;
const TimePoint kStart = TimePoint{} + std::chrono::seconds(1);

InstanceId Id(size_t index) { return InstanceId("instance-" + std::to_string(1000 + index)); }
size_t IndexOf(const InstanceId& id) { return std::stoul(id.value().substr(9)) - 1000; }
Address AddressOf(size_t index) {
  return {"10.20." + std::to_string(index / 250) + "." + std::to_string(index % 250), 7000};
}
size_t IndexOf(const Address& address) {
  const size_t dot = address.ip.rfind('.');
  return std::stoul(address.ip.substr(6, dot - 6)) * 250 + std::stoul(address.ip.substr(dot + 1));
}

/// Member 0 is the control instance.
MemberRecord MakeRecord(size_t index) {
  MemberRecord record;
  record.instance = Id(index);
  record.address = AddressOf(index);
  record.boot_time = WallTime(1'700'000'000'000);
  record.config_version = ConfigVersion(1000);
  record.config_digest = std::string(16, 'd');
  if (index > 0) {
    const std::string service = "service-" + std::to_string(index % kServices);
    record.service = ServiceName(service);
    record.target = TargetId(service + "-" + std::to_string(index));
    record.state = TargetState::kReady;
    record.slots = kSlots;
    record.free_slots = kSlots;
  }
  return record;
}

/// Each slot is free half of the time, independently of the others.
uint32_t FreeSlots(uint32_t slots, SeededRandom* random) {
  uint32_t free = 0;
  for (uint32_t slot = 0; slot < slots; ++slot) {
    free += random->Chance(50) ? 1 : 0;
  }
  return free;
}

/// The number of services of each other data centre whose summaries change under a load.
size_t ServiceCount(const std::string& load) {
  if (load == "members") {
    return 0;
  }
  return load == "summaries" ? kServices : std::stoul(load);
}

std::unique_ptr<Membership> MakeMember(size_t index, uint64_t seed, TimePoint now) {
  MembershipSettings settings;
  settings.data_centre = DataCentreId("cant-a");
  settings.region = RegionId("cantabrico");
  settings.mesh_token = "mesh-token";
  std::vector<Address> seeds;
  if (index != 0) {
    seeds.push_back(AddressOf(0));
  }
  return std::make_unique<Membership>(MakeRecord(index), settings, seeds, seed + index, now);
}

/// A summary like that of SummariseServices in a data centre of 260 members: nearly two targets per
/// service.
DataCentreSummary MakeSummary(size_t data_centre, size_t services, TimePoint now,
                              SeededRandom* random) {
  DataCentreSummary summary;
  summary.data_centre = DataCentreId("ebro-" + std::to_string(data_centre));
  summary.region = RegionId("ebro");
  summary.made_at =
      WallTime(1'700'000'000'000 + static_cast<uint64_t>((now - kStart).count()) / 1000);
  for (size_t service = 0; service < services; ++service) {
    ServiceSummary entry;
    entry.service = ServiceName("service-" + std::to_string(service));
    entry.ready_targets = 2;
    entry.free_slots = FreeSlots(entry.ready_targets * kSlots, random);
    entry.daemons = {AddressOf(service), AddressOf(service + kServices)};
    summary.services.push_back(entry);
  }
  return summary;
}

/// One input of the measured member: a received datagram, a tick or a change of its load.
struct Event {
  enum Kind : int { kTick, kReceive, kLoad };
  Kind kind = kTick;
  int64_t at = 0;
  size_t from = 0;
  std::string bytes;  // of a datagram
  uint32_t load = 0;
};

void Write(std::ofstream& file, const Event& event) {
  file << event.kind << ' ' << event.at << ' ' << event.from << ' ' << event.load << ' '
       << event.bytes.size() << '\n';
  file.write(event.bytes.data(), static_cast<std::streamsize>(event.bytes.size()));
}

bool Read(std::ifstream& file, Event* event) {
  int kind = 0;
  size_t size = 0;
  if (!(file >> kind >> event->at >> event->from >> event->load >> size)) {
    return false;
  }
  file.get();
  event->kind = static_cast<Event::Kind>(kind);
  event->bytes.resize(size);
  file.read(event->bytes.data(), static_cast<std::streamsize>(size));
  return true;
}

class Recorder {
 public:
  Recorder(size_t size, const std::string& load, uint64_t seed, const std::string& file)
      : seed_(seed),
        load_(load),
        services_(ServiceCount(load)),
        random_(seed),
        network_(seed + 1, {.min_delay = kOneWayDelay, .max_delay = kOneWayDelay}),
        members_(size),
        ticks_(size),
        measured_(size - 1),
        file_(file, std::ios::binary) {}

  void Run() {
    file_ << members_.size() << ' ' << load_ << ' ' << seed_ << '\n';
    for (size_t i = 0; i < measured_; ++i) {
      Start(i);
    }
    RunFor(kWarmUp);
    file_ << now_.time_since_epoch().count() << '\n';
    Start(measured_);
    RunFor(kJoin + kSteady);
  }

 private:
  static constexpr Duration kOneWayDelay = std::chrono::microseconds(500);

  void Start(size_t index) {
    members_[index] = MakeMember(index, seed_, now_);
    ticks_[index] = now_ + Duration(static_cast<int64_t>(random_.Below(100'000)));
  }

  void RunFor(Duration time) {
    for (const TimePoint end = now_ + time; now_ < end;) {
      now_ += kStep;
      for (const auto& delivery : network_.TakeDue(now_)) {
        Deliver(delivery);
      }
      for (size_t i = 0; i < members_.size(); ++i) {
        if (members_[i] && ticks_[i] <= now_) {
          ticks_[i] = now_ + kTick;
          RecordEvent(i, {Event::kTick, Now()});
          Send(i, members_[i]->Tick(now_));
        }
      }
      if (now_ >= next_second_) {
        next_second_ = now_ + std::chrono::seconds(1);
        ChangeLoads();
      }
    }
  }

  int64_t Now() const { return now_.time_since_epoch().count(); }

  void Deliver(const FakeNetwork<std::string>::Delivery& delivery) {
    const size_t to = IndexOf(delivery.to);
    if (!members_[to]) {
      return;
    }
    const size_t from = IndexOf(delivery.from);
    RecordEvent(to, {Event::kReceive, Now(), from, delivery.message});
    Send(to, members_[to]->Receive(now_, AddressOf(from), delivery.message));
  }

  void ChangeLoads() {
    for (size_t i = 1; i < members_.size(); ++i) {
      if (!members_[i]) {
        continue;
      }
      MemberRecord self = members_[i]->self();
      self.free_slots = FreeSlots(kSlots, &random_);
      RecordEvent(i, {Event::kLoad, Now(), 0, "", self.free_slots});
      members_[i]->UpdateSelf(now_, self);
    }
    second_ += 1;
    if (services_ > 0 && second_ % 2 == 0) {  // the minimum interval between two summaries
      for (size_t other = 0; other < kOtherDataCentres; ++other) {
        members_[0]->MergeSummary(MakeSummary(other, services_, now_, &random_));
      }
    }
  }

  void RecordEvent(size_t index, const Event& event) {
    if (index == measured_) {
      Write(file_, event);
    }
  }

  void Send(size_t from, const std::vector<Datagram>& datagrams) {
    for (const Datagram& datagram : datagrams) {
      network_.Send(now_, Id(from), Id(IndexOf(datagram.to)), datagram.bytes);
    }
  }

  uint64_t seed_;
  std::string load_;
  size_t services_;
  SeededRandom random_;
  FakeNetwork<std::string> network_;
  std::vector<std::unique_ptr<Membership>> members_;
  std::vector<TimePoint> ticks_;
  size_t measured_;
  std::ofstream file_;
  TimePoint now_ = kStart;
  TimePoint next_second_ = kStart + std::chrono::seconds(1);
  uint64_t second_ = 0;
};

class Replay {
 public:
  explicit Replay(const std::string& file) : file_(file, std::ios::binary) {
    int64_t start = 0;
    file_ >> size_ >> load_ >> seed_ >> start;
    start_ = TimePoint(Duration(start));
  }

  void Run() {
    const double resident = ResidentBytes();
    member_ = MakeMember(size_ - 1, seed_, start_);
    Apply(start_ + kJoin);
    Print("join_received", received_, "bytes");
    Print("join_sent", sent_, "bytes");
    Print("join_processor", processor_ * 1e6, "us");
    Print("known_members_after_join", static_cast<double>(member_->members().size()), "members");
    received_ = sent_ = processor_ = 0;
    datagrams_ = learned_ = 0;
    Apply(start_ + kJoin + kSteady);
    const double seconds = std::chrono::duration<double>(kSteady).count();
    Print("steady_received", received_ / seconds, "bytes/s");
    Print("steady_sent", sent_ / seconds, "bytes/s");
    Print("steady_datagrams_received", datagrams_ / seconds, "datagrams/s");
    Print("steady_changes_learned", learned_ / seconds, "changes/s");
    Print("steady_processor", processor_ * 1e6 / seconds, "us/s");
    Print("resident", ResidentBytes() - resident, "bytes");
    Print("known_members", static_cast<double>(member_->members().size()), "members");
    if (ServiceCount(load_) > 0) {
      PrintFreshness();
    }
    PrintViews();
  }

 private:
  void Print(const std::string& name, double value, const std::string& unit) const {
    const bool named = load_ == "members" || load_ == "summaries";
    PrintMeasurement("membership/" + (named ? load_ : "services") + "/" + name, value, unit,
                     named ? size_ : ServiceCount(load_), seed_);
  }

  void Apply(TimePoint end) {
    Event event;
    if (pending_) {
      ApplyEvent(*std::exchange(pending_, nullptr));
    }
    while (Read(file_, &event)) {
      if (TimePoint(Duration(event.at)) > end) {
        pending_ = std::make_unique<Event>(event);
        return;
      }
      ApplyEvent(event);
    }
  }

  void ApplyEvent(const Event& event) {
    const TimePoint now{Duration(event.at)};
    const double start = ThreadCpuSeconds();
    std::vector<Datagram> out;
    if (event.kind == Event::kTick) {
      out = member_->Tick(now);
    } else if (event.kind == Event::kReceive) {
      out = member_->Receive(now, AddressOf(event.from), event.bytes);
      received_ += static_cast<double>(event.bytes.size()) + kUdpOverhead;
      datagrams_ += 1;
    } else {
      MemberRecord self = member_->self();
      self.free_slots = event.load;
      member_->UpdateSelf(now, self);
    }
    processor_ += ThreadCpuSeconds() - start;
    for (const Datagram& datagram : out) {
      sent_ += static_cast<double>(datagram.bytes.size()) + kUdpOverhead;
    }
    now_ = now;
    if (event.kind == Event::kTick) {
      CountLearned();
    }
  }

  /// Counts the member records that changed since the last call.
  void CountLearned() {
    for (const MemberRecord& member : member_->members()) {
      uint64_t& sequence = sequences_[member.instance];
      learned_ += sequence != member.sequence ? 1 : 0;
      sequence = member.sequence;
    }
  }

  /// Prints the number of stored entries of other data centres and the age of the oldest renewal.
  void PrintFreshness() const {
    const uint64_t end = 1'700'000'000'000 + static_cast<uint64_t>((now_ - kStart).count()) / 1000;
    double entries = 0;
    double newest_age = 0;
    for (const DataCentreSummary& summary : member_->summaries()) {
      entries += static_cast<double>(summary.services.size());
      newest_age = std::max(newest_age, static_cast<double>(end - summary.made_at.value()) / 1000);
    }
    Print("entries_held", entries, "entries");
    Print("oldest_renewal", newest_age, "s");
  }

  /// Measures what control instances and daemons compute from the membership at each tick.
  void PrintViews() const {
    const auto microseconds_per_call = [](auto action) {
      return 1e6 * MeasureCpuSeconds([&] {
               for (size_t i = 0; i < kCallsPerMeasurement; ++i) {
                 action();
               }
             }) /
             static_cast<double>(kCallsPerMeasurement);
    };
    size_t total = 0;
    Print("peer_versions", microseconds_per_call([&] { total += member_->peer_versions().size(); }),
          "us");
    Print("own_summary",
          microseconds_per_call([&] { total += member_->OwnSummary().services.size(); }), "us");
    Print("summaries", microseconds_per_call([&] { total += member_->summaries().size(); }), "us");
    Print("candidates_of_service", microseconds_per_call([&] { total += RefreshOneService(); }),
          "us");
    Print("encoded_summary", static_cast<double>(EncodeSummary(member_->OwnSummary()).size()),
          "bytes");
    if (total == 0) {
      std::cerr << "the replay lost all members\n";
    }
  }

  /// Repeats the work of CallerTask::RefreshCandidates for one service; CallerTask itself needs
  /// sockets.
  size_t RefreshOneService() const {
    const ServiceName service("service-7");
    std::vector<Candidate> candidates;
    for (const MemberRecord& member : member_->members()) {
      if (member.service == service && !member_->IsSuspect(member)) {
        candidates.push_back({{member.instance, member.address},
                              member.target,
                              Locality::kOwnDataCentre,
                              {member.slots - member.free_slots, member.slots}});
      }
    }
    for (const DataCentreSummary& summary : member_->summaries()) {
      for (const ServiceSummary& entry : summary.services) {
        if (entry.service != service) {
          continue;
        }
        for (const Address& address : entry.daemons) {
          candidates.push_back(
              {{InstanceId(address.text()), address}, TargetId(), Locality::kOtherRegion, {0, 1}});
        }
      }
    }
    return candidates.size();
  }

  std::ifstream file_;
  size_t size_ = 0;
  std::string load_;
  uint64_t seed_ = 0;
  TimePoint start_;
  TimePoint now_;
  std::unique_ptr<Membership> member_;
  std::unique_ptr<Event> pending_;
  double received_ = 0;
  double sent_ = 0;
  double processor_ = 0;
  double datagrams_ = 0;
  double learned_ = 0;
  std::map<InstanceId, uint64_t> sequences_;
};

}  // namespace
}  // namespace endivecleat::test

int main(int argc, char** argv) {
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  if (arguments.size() == 5 && arguments[0] == "record") {
    endivecleat::test::Recorder(std::stoul(arguments[1]), arguments[2], std::stoull(arguments[4]),
                                arguments[3])
        .Run();
    return 0;
  }
  if (arguments.size() == 2 && arguments[0] == "replay") {
    endivecleat::test::Replay(arguments[1]).Run();
    return 0;
  }
  std::cerr << "usage: record MEMBERS members|summaries|SERVICES FILE SEED, or replay FILE\n";
  return 2;
}
