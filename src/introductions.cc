// A bounded queue of requesters in order of their latest request.
#include "introductions.h"

namespace endivecleat {
namespace {

constexpr Duration kVisitorLifetime = std::chrono::seconds(30);
constexpr size_t kMaxVisitors = 64;
constexpr size_t kIntroducedPerVisit = 8;

}  // namespace

std::vector<Address> Introductions::Visit(TimePoint now, uint32_t data_centre_hash,
                                          const Address& visitor) {
  std::erase_if(visitors_, [&](const Visitor& known) {
    return known.address == visitor || now - known.seen_at > kVisitorLifetime;
  });
  std::vector<Address> introduced;
  for (auto it = visitors_.rbegin(); it != visitors_.rend(); ++it) {
    if (it->data_centre_hash == data_centre_hash && introduced.size() < kIntroducedPerVisit) {
      introduced.push_back(it->address);
    }
  }
  visitors_.push_back({data_centre_hash, visitor, now});
  if (visitors_.size() > kMaxVisitors) {
    visitors_.pop_front();
  }
  return introduced;
}

}  // namespace endivecleat
