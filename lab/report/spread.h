// How evenly the cache servers were used, from the truth of a run: each node's use over time (work that it
// was sent, of what it can do warm), and how much of its unevenness the arrivals alone do not explain.
#ifndef BRASSWOOD_LAB_REPORT_SPREAD_H_
#define BRASSWOOD_LAB_REPORT_SPREAD_H_

#include <vector>

#include "lab/truth/truth.h"

namespace brasswood::lab {

struct SpreadFigures {
  double busiest = 0, idlest = 0;  // a node's use over the counted run, over the mean (by capacity) of all
  double variation = 0;            // coefficient of variation of use, nodes weighted by capacity
  double jain = 1;                 // Jain's index of use, weighted by capacity: 1 is even
  double idle_s = 0;  // seconds, summed over nodes, in which one stood below 0.05 and another above 0.8
  // The 99.9th percentile over nodes and tenths of a second of (attempts - expected) / sqrt(expected),
  // where the node's attempts of that second are expected to come as the clients' own requests do:
  // about 3.5 where chance alone rules, far more where routers send in step.
  double herd = 0;
  std::vector<std::vector<float>> use;  // by machine (the origin's is empty) and second of the run
};

SpreadFigures MeasureSpread(const Truth& truth);

}  // namespace brasswood::lab

#endif  // BRASSWOOD_LAB_REPORT_SPREAD_H_
