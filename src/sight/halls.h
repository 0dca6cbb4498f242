// Which halls have fallen silent as a whole: told from a server in trouble by several of its servers
// failing in a row with no answer between them. Guards against learning server by server, at each balancer,
// what the first few have told. Free of I/O.
#ifndef BEECHLEDGE_SIGHT_HALLS_H_
#define BEECHLEDGE_SIGHT_HALLS_H_

#include <algorithm>
#include <array>
#include <cstdint>

#include "beechledge/balancer.h"

namespace beechledge {

class Halls {
 public:
  bool Lost(int hall) const { return all_[Place(hall)].silent >= kLost; }
  // Of a lost one: may the next request try it, and one has.
  bool MayTry(int hall, Time now) const { return now >= all_[Place(hall)].try_at; }
  void Tried(int hall, Time now) { all_[Place(hall)].try_at = now + kTrial; }
  // Something there answered, or began: it is not lost.
  void Heard(int hall) {
    Hall& h = all_[Place(hall)];
    if (h.silent > 0) ++h.spell;
    h.silent = 0;
  }
  // A server there failed; `counted` is that server's own, 0 at first, and tells whether it has been
  // counted in this spell. True: with this the hall is lost.
  bool Failed(int hall, Time now, std::uint32_t& counted) {
    Hall& h = all_[Place(hall)];
    if (counted == h.spell) return false;
    counted = h.spell;
    if (++h.silent != kLost) return false;
    Tried(hall, now);
    return true;
  }

 private:
  static constexpr int kMost = 16;  // halls told apart; further ones share the last
  static constexpr int kLost = 4;   // servers of one hall that failed in a row
  static constexpr Duration kTrial = std::chrono::seconds(1);  // how often a lost hall is tried
  struct Hall {
    int silent = 0;           // servers that have failed since its last answer
    std::uint32_t spell = 1;  // counts its answers after silence
    Time try_at{0};
  };
  static std::size_t Place(int hall) { return static_cast<std::size_t>(std::clamp(hall, 0, kMost - 1)); }
  std::array<Hall, kMost> all_;
};

}  // namespace beechledge

#endif  // BEECHLEDGE_SIGHT_HALLS_H_
