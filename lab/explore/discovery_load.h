// Measures, in virtual time, the load that a fleet puts on a discovery that serves calls one after the
// other, including calls that their routers have closed meanwhile.
#ifndef BRASSWOOD_LAB_EXPLORE_DISCOVERY_LOAD_H_
#define BRASSWOOD_LAB_EXPLORE_DISCOVERY_LOAD_H_

#include "lab/explore/list_exploration.h"

namespace brasswood::lab {

struct DiscoveryLoadPlan {
  int routers = 30;
  Duration call_time{0};  // the time discovery takes for a call
  std::uint64_t seed = 1;
  Duration max_queue_time{0};  // a call that would wait longer is refused at once; 0: none is
  double refusal_cost = 0;     // the time for refusing a call, as a fraction of `call_time`
  // A refusal also fails its router's calls that wait in the queue.
  bool refusal_ends_waiting_calls = false;
  bool old_addresses_silent = false;  // calls to addresses configured earlier get no answer
  int configurations = 1;  // given to each router; each names another address of the same service
  Duration interval{0};    // between two configurations
};

// From the first configuration to the change.
constexpr Duration kChangeAfter = std::chrono::seconds(20);

struct DiscoveryLoadFigures {
  // From the last configuration until every router has received a list; below 0: not all did.
  Duration all_received{-1};
  int calls = 0, abandoned = 0;  // calls served, and those of them that their routers had closed
  int refused = 0;
  double calls_per_second = 0;  // of one router, the mean over the run
  // From the change until every router has received it; below 0: not all did.
  Duration change_received{-1};
};

// All routers get new configurations at the same time, and one discovery serves their calls.
DiscoveryLoadFigures MeasureDiscoveryLoad(const DiscoveryLoadPlan& plan, const MakeCaller& make);

// Prints the results of both state machines for fleets of 6, 30 and 300 routers and 1, 10 and 50 ms a call.
void PrintDiscoveryLoad(std::uint64_t seed, std::ostream& out);

}  // namespace brasswood::lab

#endif  // BRASSWOOD_LAB_EXPLORE_DISCOVERY_LOAD_H_
