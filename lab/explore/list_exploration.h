// Exploration in virtual time: runs the state machines that decide on calls to discovery against a model of
// discovery, with faults drawn from a seed. The same seed gives the same run, and one that violates an
// invariant can be run again with a trace.
//
// Checked in each run, in which at least every second call of a router gets a complete answer:
//
//   heard: the router holds a change within 6 s after discovery had it, or after the router's last new
//          configuration
//   grace: a change that was written to a router and lost in transit, completely or in part, is held within
//          the grace period of a drain less 0.15 s. So is a change that an agent has while no watch is open
//          (after a new configuration: 4 s later).
//   rate:  in any 10 s a router makes no more calls than the number of complete answers it got plus a
//          constant
#ifndef BRASSWOOD_LAB_EXPLORE_LIST_EXPLORATION_H_
#define BRASSWOOD_LAB_EXPLORE_LIST_EXPLORATION_H_

#include <functional>
#include <iosfwd>
#include <string>

#include "lab/explore/list_caller.h"

namespace brasswood::lab {

struct ExploreResult {
  std::string violation;  // the invariant that was violated, and where; empty: none
  int calls = 0;          // made by all routers
};

using MakeCaller = std::function<std::unique_ptr<ListCaller>(const CallerPlan&)>;

// Runs one seed. Writes a line for each event to `trace`.
ExploreResult ExploreSeed(std::uint64_t seed, const MakeCaller& make, std::ostream* trace = nullptr);

// Runs the seeds and writes each violation to `out`, the first one with its trace. Returns the number of
// seeds with a violation.
int Explore(std::uint64_t first, std::uint64_t last, const MakeCaller& make, std::ostream& out);

}  // namespace brasswood::lab

#endif  // BRASSWOOD_LAB_EXPLORE_LIST_EXPLORATION_H_
