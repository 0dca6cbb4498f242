// What a balancer has learned and may restore after a restart: plain numbers for the host to store. These
// are hints only: a server named here is not thereby up, and no correctness rule depends on them.
#ifndef BEECHLEDGE_LEARNED_STATE_H_
#define BEECHLEDGE_LEARNED_STATE_H_

#include <cstdint>
#include <vector>

#include "beechledge/balancer.h"

namespace beechledge {

struct LearnedState {
  struct Key {
    std::uint64_t key = 0;          // stable hash of the key
    std::vector<ServerId> holders;  // servers believed to hold it
  };
  struct Server {
    ServerId id = 0;
    double samples = 0,
           log_latency = 0;     // number of recent answers; mean logarithm of their latency in seconds
    double log_weight = 0;      // logarithm of its weight, see estimates/server_latencies.h
    Duration ejection_left{0};  // remaining ejection time; 0: not ejected
  };
  struct Origin {
    // Concurrent fetches allowed; seconds of an unqueued and of a usual fetch. 0: unknown.
    double max_fetches = 0, base_seconds = 0, usual_seconds = 0;
  };
  std::vector<Key> keys;  // most recently used first
  std::vector<Server> servers;
  Origin origin;
};

}  // namespace beechledge

#endif  // BEECHLEDGE_LEARNED_STATE_H_
