// The load that a target states in a header field of its responses and of its health checks.
#ifndef ENDIVECLEAT_LOAD_FIELD_H_
#define ENDIVECLEAT_LOAD_FIELD_H_

#include <cstdint>
#include <optional>
#include <string_view>

namespace endivecleat {

/// "RUNNING,WAITING,SLOTS" or "RUNNING,WAITING,SLOTS,PACE".
struct LoadField {
  uint64_t running = 0;
  uint64_t waiting = 0;
  uint64_t slots = 0;
  // How long work takes on the machine at this moment, in percent of what is usual there.
  std::optional<uint64_t> pace;

  bool operator==(const LoadField&) const = default;
};

/// nullopt if the text is empty or malformed. Further figures are ignored.
std::optional<LoadField> ParseLoadField(std::string_view text);

}  // namespace endivecleat

#endif  // ENDIVECLEAT_LOAD_FIELD_H_
