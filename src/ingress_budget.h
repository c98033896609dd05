// Limits what the clients of one process may hold at a time on all its client ports together: bytes
// that they have sent and that are not passed on yet, responses that they have not read, partly
// read requests and connections. Chooses which connection to refuse when a limit is exceeded.
#ifndef ENDIVECLEAT_INGRESS_BUDGET_H_
#define ENDIVECLEAT_INGRESS_BUDGET_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "units.h"

namespace endivecleat {

/// The settings "ingress" of a process; docs/OPERATIONS.md describes each.
struct IngressLimits {
  // A daemon's machine has 160 MB. The process takes about 15 MB, and the heap keeps about as much
  // as the budget again while buffers grow.
  ByteCount bytes{40U << 20U};
  size_t connections = 3072;
  // All callers of a machine may use one address, so this leaves room for other addresses only.
  size_t connections_per_address = 2048;
  size_t partial_requests = 1536;
  size_t partial_requests_per_address = 1024;
  /// Descriptors of the process that connections of clients never take: for peers, targets, files.
  size_t reserved_descriptors = 1024;
  Duration header_timeout = std::chrono::seconds(10);  // from the first byte of a head to its end
  uint64_t body_bytes_per_second = 1024;               // least rate of a body, over 5 s
};

/// Returns the limits with the connections lowered to what the descriptor limit of the process
/// leaves beside the reserved ones, and to at least a quarter of it.
IngressLimits FitToDescriptors(IngressLimits limits, uint64_t descriptor_limit);

/// A limit that a client can meet; each has a count of refusals.
enum class IngressLimit {
  kBytes,
  kConnections,
  kConnectionsPerAddress,
  kPartialRequests,
  kPartialRequestsPerAddress,
  kHeaderTimeout,
  kBodyRate,
  kEmptyLines,
  kHeaderBytes,
  kBodyBytes,
  kUnreadResponse,
};
inline constexpr size_t kIngressLimitCount = 11;

/// The name of a limit in metrics and log lines.
std::string_view IngressLimitName(IngressLimit limit);

class IngressBudget {
 public:
  using HolderId = StrongNumber<struct IngressHolderTag>;
  /// Refuses the connection because of the limit. For a limit on connections it is to be closed;
  /// for others the request that is being read is to be answered with 503, and its bytes dropped.
  /// It may call Remove().
  using Refuse = std::function<void(IngressLimit)>;

  /// What a connection is doing, which determines whether it may be refused.
  enum class Phase {
    kIdle,     // no byte of a request has arrived
    kReading,  // a request is partly read and no other one is running
    kRunning,  // requests are running, which are never refused, because they may have run
    kSending,  // a response is not sent in full
  };

  explicit IngressBudget(const IngressLimits& limits) : limits_(limits) {}

  const IngressLimits& limits() const { return limits_; }

  /// Admits a new connection from the address. If there are too many, refuses the one with the
  /// least progress in its place. Returns nullopt if none may be refused; the new one is then to be
  /// closed.
  std::optional<HolderId> Add(const std::string& address, TimePoint now, Refuse refuse);
  void Remove(HolderId holder);

  /// What a connection holds: bytes in all, and those that a refusal would free.
  struct Held {
    size_t bytes = 0;
    size_t refusable = 0;
  };

  /// Records what the connection holds and does. `progress` tells whether bytes were exchanged
  /// since the last call. Does not refuse any connection; call Enforce() when that is safe.
  void Update(HolderId holder, const Held& held, Phase phase, TimePoint now, bool progress);

  /// Refuses connections until the limits on bytes and on partly read requests hold, or until none
  /// is left that may be refused. An ordinary small request is not refused.
  void Enforce(TimePoint now);

  /// Counts a refusal that the connection itself has decided on, such as a timeout.
  void CountRefusal(IngressLimit limit) { ++refused_.at(static_cast<size_t>(limit)); }

  /// Whether a line about this limit is due: at most one per limit in ten seconds. Returns the
  /// number of refusals since the last line.
  std::optional<uint64_t> TakeLogCount(IngressLimit limit, TimePoint now);

  uint64_t bytes() const { return bytes_; }
  uint64_t peak_bytes() const { return peak_bytes_; }
  size_t connections() const { return holders_.size(); }
  size_t partial_requests() const { return partial_requests_; }
  uint64_t refused(IngressLimit limit) const { return refused_.at(static_cast<size_t>(limit)); }

 private:
  struct AddressCounts {
    size_t connections = 0;
    size_t partial_requests = 0;
  };
  struct Holder {
    std::string address;
    AddressCounts* counts = nullptr;  // in addresses_
    Refuse refuse;
    Held held;
    Phase phase = Phase::kIdle;
    bool has_served = false;  // a request of it has been read whole
    bool refused = false;
    TimePoint last_progress;
  };

  void EnforceBytes(TimePoint now);
  void EnforcePartialRequests(TimePoint now);
  std::optional<HolderId> FindLargest(TimePoint now) const;
  std::optional<HolderId> FindLeastProgress(TimePoint now, const std::string* address,
                                            bool only_partial) const;
  bool MakeRoom(TimePoint now, const std::string& address);
  void RefuseHolder(HolderId holder, IngressLimit limit);
  void RemoveCounts(const Holder& holder);

  IngressLimits limits_;
  uint64_t next_id_ = 1;
  std::unordered_map<HolderId, Holder> holders_;
  std::unordered_map<std::string, AddressCounts> addresses_;
  uint64_t bytes_ = 0;
  uint64_t peak_bytes_ = 0;
  size_t partial_requests_ = 0;
  bool enforcing_ = false;
  std::array<uint64_t, kIngressLimitCount> refused_{};
  struct LogState {
    uint64_t refused = 0;  // at the last line
    std::optional<TimePoint> at;
  };
  std::array<LogState, kIngressLimitCount> logged_{};
};

}  // namespace endivecleat

#endif  // ENDIVECLEAT_INGRESS_BUDGET_H_
