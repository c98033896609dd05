// Authenticates datagrams with HMAC-SHA256, truncated to 16 bytes, under the mesh token.
#ifndef ENDIVECLEAT_DATAGRAM_AUTH_H_
#define ENDIVECLEAT_DATAGRAM_AUTH_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace endivecleat {

inline constexpr size_t kDatagramMacBytes = 16;

/// The payload followed by its authentication code.
std::string SignDatagram(std::string_view token, std::string payload);

/// The payload of a datagram, or nothing when the code is missing or wrong.
std::optional<std::string_view> VerifyDatagram(std::string_view token, std::string_view datagram);

}  // namespace endivecleat

#endif  // ENDIVECLEAT_DATAGRAM_AUTH_H_
