// How evenly the cache servers were used, computed from the truth of a run: the utilisation of each server
// over time (work sent to it, relative to its warm capacity), and how much of the unevenness is not
// explained by the arrivals alone.
#ifndef BRASSWOOD_LAB_REPORT_SPREAD_H_
#define BRASSWOOD_LAB_REPORT_SPREAD_H_

#include <vector>

#include "lab/truth/truth.h"

namespace brasswood::lab {

struct SpreadFigures {
  double busiest = 0,
         idlest = 0;     // utilisation over the counted run, relative to the capacity-weighted mean
  double variation = 0;  // coefficient of variation of utilisation, weighted by capacity
  double jain = 1;       // Jain's fairness index of utilisation, weighted by capacity; 1 is even
  double idle_s = 0;     // server-seconds with utilisation below 0.05 while another server is above 0.8
  // Detects routers that send in lockstep. The 99.9th percentile, over servers and tenths of a second, of
  // (attempts - expected) / sqrt(expected), where the attempts at a server within a second are expected to
  // follow the distribution of the clients' requests. About 3.5 for random arrivals, much higher for
  // lockstep.
  double herd = 0;
  std::vector<std::vector<float>>
      use;  // utilisation by machine (empty for the origin) and second of the run
};

SpreadFigures MeasureSpread(const RunRecord& truth);

}  // namespace brasswood::lab

#endif  // BRASSWOOD_LAB_REPORT_SPREAD_H_
