// What the routers believed of the nodes, from their logs at level debug: for illustration beside the
// truth, never for a verdict.
#ifndef BRASSWOOD_LAB_REPORT_BELIEFS_H_
#define BRASSWOOD_LAB_REPORT_BELIEFS_H_

#include <vector>

#include "lab/truth/truth.h"

namespace brasswood::lab {

// By machine and second of the run: the share of the routers that avoided it in that second, of those whose
// logs tell. Empty where no log does.
std::vector<std::vector<float>> ReadAvoided(const Truth& truth);

}  // namespace brasswood::lab

#endif  // BRASSWOOD_LAB_REPORT_BELIEFS_H_
