// Computes the HMAC with OpenSSL and compares it in constant time.
#include "datagram_auth.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>

#include "errors.h"

namespace endivecleat {
namespace {

using Mac = std::array<unsigned char, EVP_MAX_MD_SIZE>;

Mac ComputeMac(std::string_view token, std::string_view payload) {
  Mac mac{};
  unsigned int length = 0;
  const auto* bytes = reinterpret_cast<const unsigned char*>(payload.data());
  const unsigned char* done = HMAC(EVP_sha256(), token.data(), static_cast<int>(token.size()),
                                   bytes, payload.size(), mac.data(), &length);
  ENDIVECLEAT_CHECK(done != nullptr && length >= kDatagramMacBytes, "HMAC-SHA256 is unavailable");
  return mac;
}

}  // namespace

std::string SignDatagram(std::string_view token, std::string payload) {
  const Mac mac = ComputeMac(token, payload);
  payload.append(reinterpret_cast<const char*>(mac.data()), kDatagramMacBytes);
  return payload;
}

std::optional<std::string_view> VerifyDatagram(std::string_view token, std::string_view datagram) {
  if (datagram.size() < kDatagramMacBytes) {
    return std::nullopt;
  }
  const std::string_view payload = datagram.substr(0, datagram.size() - kDatagramMacBytes);
  const Mac mac = ComputeMac(token, payload);
  const std::string_view received = datagram.substr(payload.size());
  if (CRYPTO_memcmp(mac.data(), received.data(), kDatagramMacBytes) != 0) {
    return std::nullopt;
  }
  return payload;
}

}  // namespace endivecleat
