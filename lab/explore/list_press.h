// How a fleet presses on a discovery that serves calls in turn, forsaken ones too, in virtual time.
#ifndef BRASSWOOD_LAB_EXPLORE_LIST_PRESS_H_
#define BRASSWOOD_LAB_EXPLORE_LIST_PRESS_H_

#include "lab/explore/list_exploration.h"

namespace brasswood::lab {

struct PressPlan {
  int routers = 30;
  Duration each{0};  // discovery takes for a call
  std::uint64_t seed = 1;
  Duration longest_line{0};    // a call that would wait longer is refused at once; 0: none is
  double refusal_cost = 0;     // of a call that is refused, as part of what a call costs discovery
  bool one_call_each = false;  // a refusal ends all of its router's calls that wait in the line
  bool passing_deaf = false;   // calls to addresses that are named no more get no answer
  int configurations = 1;      // given to each router, each naming another address of the same service
  Duration apart{0};           // from one of them to the next
};

constexpr Duration kNewsAfter = std::chrono::seconds(20);

struct PressFigures {
  Duration all_heard{
      -1};  // from the last new configuration until every router had its list; below 0: not all did
  int calls = 0, forsaken = 0;  // served in all, and of those for routers that had closed them
  int refused = 0;
  double calls_a_second = 0;  // of one router, in the mean over the run
  Duration news_heard{
      -1};  // from a change kNewsAfter later until every router had it; below 0: not all did
};

// All routers are given new configurations at once, and their calls come to one discovery.
PressFigures MeasurePress(const PressPlan& plan, const MakeCaller& make);

// The figures of both machines for fleets of 6, 30 and 300 routers and 1, 10 and 50 ms a call.
void PrintPress(std::uint64_t seed, std::ostream& out);

}  // namespace brasswood::lab

#endif  // BRASSWOOD_LAB_EXPLORE_LIST_PRESS_H_
