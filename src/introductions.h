// The members of other data centres that asked a control instance for their peers lately. After a
// restart of a whole data centre whose own control instance is down, they find each other this way.
#ifndef ENDIVECLEAT_INTRODUCTIONS_H_
#define ENDIVECLEAT_INTRODUCTIONS_H_

#include <cstdint>
#include <deque>
#include <vector>

#include "units.h"

namespace endivecleat {

class Introductions {
 public:
  /// Notes a visitor and returns up to 8 earlier visitors of the same data centre, the latest
  /// first.
  std::vector<Address> Visit(TimePoint now, uint32_t data_centre_hash, const Address& visitor);

 private:
  struct Visitor {
    uint32_t data_centre_hash;
    Address address;
    TimePoint seen_at;
  };
  std::deque<Visitor> visitors_;
};

}  // namespace endivecleat

#endif  // ENDIVECLEAT_INTRODUCTIONS_H_
