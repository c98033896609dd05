// Authenticates membership datagrams with HMAC-SHA256, keyed with the mesh token and truncated to
// 16 bytes.
#ifndef ENDIVECLEAT_DATAGRAM_AUTH_H_
#define ENDIVECLEAT_DATAGRAM_AUTH_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace endivecleat {

inline constexpr size_t kDatagramMacBytes = 16;

/// Returns the payload followed by its message authentication code.
std::string SignDatagram(std::string_view token, std::string payload);

/// Returns the payload, a view into the datagram, or nullopt if the code is missing or wrong.
std::optional<std::string_view> VerifyDatagram(std::string_view token, std::string_view datagram);

}  // namespace endivecleat

#endif  // ENDIVECLEAT_DATAGRAM_AUTH_H_
