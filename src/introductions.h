// Rendezvous for the members of other data centres: remembers who recently sent a sync request to
// this control instance and introduces them to each other. After a restart of a whole data centre
// whose own control instance is down, its members find each other this way.
#ifndef ENDIVECLEAT_INTRODUCTIONS_H_
#define ENDIVECLEAT_INTRODUCTIONS_H_

#include <cstdint>
#include <deque>
#include <vector>

#include "units.h"

namespace endivecleat {

class Introductions {
 public:
  /// Records a requester and returns up to 8 other requesters of the same data centre within the
  /// last 30 s, the latest first.
  std::vector<Address> Introduce(TimePoint now, uint32_t data_centre_hash,
                                 const Address& requester);

 private:
  struct Requester {
    uint32_t data_centre_hash;
    Address address;
    TimePoint seen_at;
  };
  std::deque<Requester> requesters_;
};

}  // namespace endivecleat

#endif  // ENDIVECLEAT_INTRODUCTIONS_H_
