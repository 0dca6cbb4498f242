// The routers' view of the cache servers, read from their logs at level debug. Shown next to the observed
// figures for illustration; never used for a verdict.
#ifndef BRASSWOOD_LAB_REPORT_BELIEFS_H_
#define BRASSWOOD_LAB_REPORT_BELIEFS_H_

#include <vector>

#include "lab/truth/truth.h"

namespace brasswood::lab {

// For each machine and second of the run: the share of the routers that avoided the machine in that second,
// of the routers that logged their view. Empty if no log contains it.
std::vector<std::vector<float>> ReadAvoidedShares(const RunRecord& truth);

}  // namespace brasswood::lab

#endif  // BRASSWOOD_LAB_REPORT_BELIEFS_H_
