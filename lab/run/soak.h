// The fault soak: random scenarios drawn from a seed, with 10 to 40 routers and overlapping faults. Runs
// are checked against the rules and by the routers' own run-time checks. Each scenario is saved as a file
// that `brasswood-lab run` can replay.
#ifndef BRASSWOOD_LAB_RUN_SOAK_H_
#define BRASSWOOD_LAB_RUN_SOAK_H_

#include <cstdint>
#include <ostream>
#include <string>

#include "lab/run/studies.h"

namespace brasswood::lab {

struct SoakPlan {
  std::uint64_t first = 1, last = 1;  // seeds, inclusive
  int least_routers = 10, most_routers = 40;
  double length_s = 14;  // of each run, including the recovery from its faults
  double rate = 8;       // requests per second and router
};

// The scenario of a seed, as TOML. The same plan and seed give the same text.
std::string SoakScenario(const SoakPlan& plan, std::uint64_t seed);

// Runs each seed and prints one line for it. The folder of a failed seed is preserved (scenario, logs,
// stories.txt). Returns kFailed if a rule or a run-time check was violated in any run. A void run is
// reported and repeated once; if it is void again, it counts neither as passed nor as failed.
Exit RunSoak(const SoakPlan& plan, const Study& study, const Side& side, std::ostream& out);

}  // namespace brasswood::lab

#endif  // BRASSWOOD_LAB_RUN_SOAK_H_
