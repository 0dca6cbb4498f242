// Exploration in virtual time: machines that decide on calls to discovery, before a model of discovery with
// faults drawn from a seed. The same seed plays the same run, and one that breaks an invariant can be
// played again with a trace.
//
// Held in each run, where at least every second call of a router is answered whole:
//   heard   a change is held 6 s after discovery had it, or after the router's last new configuration;
//   grace   a change that was written to a router and lost on its way, in whole or in part, is held within
//   the
//           grace of a drain less 0.15 s; so is one that an agent has while no watch is open (after a new
//           configuration: 4 s later);
//   rate    in any 10 s a router makes no more calls than it got whole answers, and a constant.
#ifndef BRASSWOOD_LAB_EXPLORE_LIST_EXPLORATION_H_
#define BRASSWOOD_LAB_EXPLORE_LIST_EXPLORATION_H_

#include <functional>
#include <iosfwd>
#include <string>

#include "lab/explore/list_caller.h"

namespace brasswood::lab {

struct ExploreResult {
  std::string broken;  // the invariant that broke, and where; empty: none
  int calls = 0;       // made, over all routers
};

using MakeCaller = std::function<std::unique_ptr<ListCaller>(const CallerPlan&)>;

// Plays one seed; with `trace`, a line for each event goes there.
ExploreResult ExploreSeed(std::uint64_t seed, const MakeCaller& make, std::ostream* trace = nullptr);

// Plays seeds one after the other and says what broke, the first with its trace. Returns how many broke.
int Explore(std::uint64_t first, std::uint64_t last, const MakeCaller& make, std::ostream& out);

}  // namespace brasswood::lab

#endif  // BRASSWOOD_LAB_EXPLORE_LIST_EXPLORATION_H_
