// The fault soak: scenarios drawn from a seed, with 10 to 40 routers and faults that overlap in time,
// judged by the rules and by the routers' own run-time checks. Each is a file that `brasswood-lab run`
// plays again.
#ifndef BRASSWOOD_LAB_RUN_SOAK_H_
#define BRASSWOOD_LAB_RUN_SOAK_H_

#include <cstdint>
#include <ostream>
#include <string>

#include "lab/run/studies.h"

namespace brasswood::lab {

struct SoakPlan {
  std::uint64_t first = 1, last = 1;  // seeds
  int least_routers = 10, most_routers = 40;
  double length_s = 14;  // of each run, the way out of its faults included
  double rate = 8;       // requests a second for each router
};

// The scenario of that seed, as TOML. The same seed and plan give the same text.
std::string SoakScenario(const SoakPlan& plan, std::uint64_t seed);

// Plays each seed, a line for each; a failed one keeps its folder (scenario, logs, stories). kFailed where
// a rule or a run-time check was violated in any; a void run says so, is played once more, and counts for
// nothing where it is void again.
Exit RunSoak(const SoakPlan& plan, const Study& study, const Side& side, std::ostream& out);

}  // namespace brasswood::lab

#endif  // BRASSWOOD_LAB_RUN_SOAK_H_
