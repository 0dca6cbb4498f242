// Time to full service, from the truth of a run: how long after a fault's end each of six things is back
// within a band of what it was before the fault, and stays there.
//
//   in time      share of the first tries answered in time, over a second: at most 0.02 below
//   hits         share of the reads at nodes that hit, over two seconds: at most 0.05 below
//   origin       its load over a second: at most a quarter, or 0.1 of its capacity, above
//   spread       the busiest node's use against the mean, over two seconds: at most 1.3 times what it was
//   list         every router that was away has had discovery's list since it was started
//   connections  those open from routers to nodes: at least 0.8 of what they were
//
// "Stays" is 5 s, or up to the run's end or the next fault where that comes sooner, 2 s at least.
#ifndef BRASSWOOD_LAB_REPORT_SERVICE_H_
#define BRASSWOOD_LAB_REPORT_SERVICE_H_

#include <array>
#include <string_view>

#include "lab/truth/truth.h"

namespace brasswood::lab {

inline constexpr std::string_view kServiceNames[] = {"in time", "hits", "origin",
                                                     "spread",  "list", "connections"};
constexpr std::size_t kServiceParts = 6;

struct ServiceFigures {
  std::array<double, kServiceParts> back{};  // seconds from the fault's end; below 0: not before the end
  double full = 0;                           // the latest of them; below 0: not before the end
  double slowest_router =
      0;  // of those that were away: from the first that it is asked to its first answer in time
  // The peaks from the fault's start to ten seconds after its end.
  double lists_per_s = 0;  // calls for lists, answered or refused, in any second
  double connections =
      0;  // the busiest node's new connections in any 250 ms, of the mean node's (of 5 or more)
  std::size_t fetches_out = 0;  // reads at the origin at one time
  double again_per_s = 0;       // second and further attempts, in any second
};

// Of the scenario's fault of that number.
ServiceFigures MeasureService(const Truth& truth, std::size_t fault);

}  // namespace brasswood::lab

#endif  // BRASSWOOD_LAB_REPORT_SERVICE_H_
