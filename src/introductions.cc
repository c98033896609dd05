// A bounded queue of requesters in order of their latest request.
#include "introductions.h"

namespace endivecleat {
namespace {

constexpr Duration kRequesterLifetime = std::chrono::seconds(30);
constexpr size_t kMaxRequesters = 64;
constexpr size_t kMaxIntroduced = 8;

}  // namespace

std::vector<Address> Introductions::Introduce(TimePoint now, uint32_t data_centre_hash,
                                              const Address& requester) {
  std::erase_if(requesters_, [&](const Requester& known) {
    return known.address == requester || now - known.seen_at > kRequesterLifetime;
  });
  std::vector<Address> introduced;
  for (auto it = requesters_.rbegin(); it != requesters_.rend(); ++it) {
    if (it->data_centre_hash == data_centre_hash && introduced.size() < kMaxIntroduced) {
      introduced.push_back(it->address);
    }
  }
  requesters_.push_back({data_centre_hash, requester, now});
  if (requesters_.size() > kMaxRequesters) {
    requesters_.pop_front();
  }
  return introduced;
}

}  // namespace endivecleat
