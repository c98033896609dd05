// Strong types for identifiers, quantities and times, so that the compiler rejects a version passed
// as a term or a service name passed as a target. All other modules use them. They provide only
// comparison and hashing.
#ifndef ENDIVECLEAT_UNITS_H_
#define ENDIVECLEAT_UNITS_H_

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace endivecleat {

/// An unsigned number that does not convert to numbers with another tag.
template <class Tag>
class StrongNumber {
 public:
  constexpr StrongNumber() = default;
  constexpr explicit StrongNumber(uint64_t value) : value_(value) {}

  constexpr uint64_t value() const { return value_; }
  constexpr StrongNumber next() const { return StrongNumber(value_ + 1); }
  constexpr auto operator<=>(const StrongNumber&) const = default;

 private:
  uint64_t value_ = 0;
};

/// A string that does not convert to strings with another tag.
template <class Tag>
class StrongString {
 public:
  StrongString() = default;
  explicit StrongString(std::string value) : value_(std::move(value)) {}

  const std::string& value() const { return value_; }
  bool empty() const { return value_.empty(); }
  auto operator<=>(const StrongString&) const = default;

 private:
  std::string value_;
};

using ConfigVersion = StrongNumber<struct ConfigVersionTag>;
using Term = StrongNumber<struct TermTag>;
using LogIndex = StrongNumber<struct LogIndexTag>;
using Incarnation = StrongNumber<struct IncarnationTag>;
using ByteCount = StrongNumber<struct ByteCountTag>;

using InstanceId = StrongString<struct InstanceIdTag>;
using DataCentreId = StrongString<struct DataCentreIdTag>;
using RegionId = StrongString<struct RegionIdTag>;
using ServiceName = StrongString<struct ServiceNameTag>;
using RouteName = StrongString<struct RouteNameTag>;
using PresetName = StrongString<struct PresetNameTag>;
using TargetId = StrongString<struct TargetIdTag>;
/// Version of the program that a target runs; empty if it has not said.
using TargetVersion = StrongString<struct TargetVersionTag>;
using OperationId = StrongString<struct OperationIdTag>;
using IdempotencyKey = StrongString<struct IdempotencyKeyTag>;

/// A duration in microseconds.
using Duration = std::chrono::microseconds;

/// The clock type of the state machines. It has no now(): callers pass in the current time, which
/// lets tests control it.
struct MonotonicClock {
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  using time_point = std::chrono::time_point<MonotonicClock>;
  // NOLINTNEXTLINE(readability-identifier-naming): name required by std::chrono
  static constexpr bool is_steady = true;
};

/// Monotonic time in microseconds. The epoch is arbitrary and differs between processes.
using TimePoint = MonotonicClock::time_point;

/// Milliseconds since 1970-01-01 UTC.
using WallTime = StrongNumber<struct WallTimeTag>;

/// An IP address and a port.
struct Address {
  std::string ip;
  uint16_t port = 0;

  std::string text() const { return ip + ":" + std::to_string(port); }
  auto operator<=>(const Address&) const = default;
};

}  // namespace endivecleat

template <class Tag>
struct std::hash<endivecleat::StrongNumber<Tag>> {
  size_t operator()(const endivecleat::StrongNumber<Tag>& number) const noexcept {
    return std::hash<uint64_t>()(number.value());
  }
};

template <class Tag>
struct std::hash<endivecleat::StrongString<Tag>> {
  size_t operator()(const endivecleat::StrongString<Tag>& text) const noexcept {
    return std::hash<std::string>()(text.value());
  }
};

template <>
struct std::hash<endivecleat::Address> {
  size_t operator()(const endivecleat::Address& address) const noexcept {
    return std::hash<std::string>()(address.ip) * 31 + address.port;
  }
};

#endif  // ENDIVECLEAT_UNITS_H_
