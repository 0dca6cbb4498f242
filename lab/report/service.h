// Time to full service, computed from the truth of a run: the time from a fault's end until each of six
// figures is back within a tolerance of its value before the fault, and stays there.
//
//   in time      share of the first tries answered in time, over one second: at most 0.02 lower
//   hits         hit share of the reads at cache servers, over two seconds: at most 0.05 lower
//   origin       its load over one second: at most a quarter, or 0.1 of its capacity, higher
//   spread       utilisation of the busiest server relative to the mean, over two seconds: at most 1.3
//   times
//                its value before
//   list         every router that was down has received discovery's list since its restart
//   connections  open connections from routers to cache servers: at least 0.8 of the number before
//
// "Stays" means for 5 s, or until the end of the run or the next fault if that is earlier, but at least 2
// s.
#ifndef BRASSWOOD_LAB_REPORT_SERVICE_H_
#define BRASSWOOD_LAB_REPORT_SERVICE_H_

#include <array>
#include <string_view>

#include "lab/truth/truth.h"

namespace brasswood::lab {

inline constexpr std::string_view kServiceNames[] = {"in time", "hits", "origin",
                                                     "spread",  "list", "connections"};
constexpr std::size_t kServiceNameCount = 6;

struct ServiceFigures {
  std::array<double, kServiceNameCount>
      back{};       // seconds from the fault's end; negative: not before the end of the run
  double full = 0;  // the maximum of `back`; negative: not before the end of the run
  double slowest_router =
      0;  // max over restarted routers: from the first request sent to it until its first answer in time
  // Maxima in the period from the fault's start to ten seconds after its end.
  double lists_per_s = 0;       // calls to discovery, answered or refused, in any second
  double connections = 0;       // new connections of the busiest server in any 250 ms, relative to the mean
                                // (only if the mean is 5 or more)
  std::size_t fetches_out = 0;  // concurrent reads at the origin
  double again_per_s = 0;       // second and later attempts of requests, in any second
};

// Computes the figures for one of the scenario's faults, given by its index.
ServiceFigures MeasureService(const RunRecord& truth, std::size_t fault);

}  // namespace brasswood::lab

#endif  // BRASSWOOD_LAB_REPORT_SERVICE_H_
