// What one balancer has learnt and may take up again after a restart: plain numbers, for the host to store.
// Hints, never facts: no server is up for being named here, and no rule rests on it.
#ifndef BEECHLEDGE_KEPT_H_
#define BEECHLEDGE_KEPT_H_

#include <cstdint>
#include <vector>

#include "beechledge/balancer.h"

namespace beechledge {

struct Kept {
  struct Key {
    std::uint64_t key = 0;          // its stable hash
    std::vector<ServerId> holders;  // thought to hold it
  };
  struct Server {
    ServerId id = 0;
    double looks = 0, log_time = 0;  // recent answers, and the mean logarithm of the seconds they took
    double log_weight = 0;
    Duration avoid{0};  // it was avoided, and would be so much longer
  };
  struct Origin {
    double limit = 0, base = 0, usual = 0;  // as OriginPace has them; 0: not known
  };
  std::vector<Key> keys;  // the most recently used first
  std::vector<Server> servers;
  Origin origin;
};

}  // namespace beechledge

#endif  // BEECHLEDGE_KEPT_H_
