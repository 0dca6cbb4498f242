// Studies: several runs that together answer one question.
#ifndef BRASSWOOD_LAB_RUN_STUDIES_H_
#define BRASSWOOD_LAB_RUN_STUDIES_H_

#include <ostream>
#include <string>
#include <vector>

#include "lab/report/write.h"

namespace brasswood::lab {

struct Side {  // one side of a comparison: a router build and changes to the scenario
  std::vector<std::string> router{"build/brasswood"};
  Overrides overrides;
};

struct Study {
  std::string scenario;  // the file
  Overrides overrides;   // applied to every run
  std::string folder;
  int runs = 10;
  std::uint64_t seed = 0;  // of the first pair; 0: the seed of the scenario
  const std::atomic<bool>* interrupted = nullptr;
  std::ostream* progress = nullptr;  // gets one line per run; null: no output
};

// Exit codes of the program, and what a study returns.
enum class Exit { kSuccess = 0, kFailed = 1, kBadUsage = 2, kVoid = 3, kPartial = 4 };

// Runs `runs` pairs of A and B; both runs of a pair have the same seed, and the order within a pair
// alternates. Prints the comparison table and writes comparison.json. A pair with a void run is repeated
// once and then left out. A violated rule on either side fails the study.
Exit CompareSides(const Study& study, const Side& a, const Side& b, std::ostream& out);

// Prints one row of figures for each value of a parameter.
Exit Sweep(const Study& study, const Side& side, const std::string& parameter,
           const std::vector<std::string>& values, std::ostream& out);

struct CapacityTarget {
  double in_time = 0.99;  // minimum share of requests answered in time
  double p99_ms = 0;      // maximum; 0: not checked
};
// Finds the highest rate at which the target is met, by bisection between `low` and `high` in `steps`
// steps. A rate at which the laboratory itself cannot keep up counts as too high and is reported as such.
Exit FindCapacity(const Study& study, const Side& side, const CapacityTarget& target, double low,
                  double high, int steps, std::ostream& out);

// Measures the emulator's own limit: the requests per second that one of its cores serves without a router.
Exit FindCeiling(double rate, double seconds, const std::string& folder, std::ostream& out);

}  // namespace brasswood::lab

#endif  // BRASSWOOD_LAB_RUN_STUDIES_H_
