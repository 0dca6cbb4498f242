// Studies: several runs that together answer one question.
#ifndef BRASSWOOD_LAB_RUN_STUDIES_H_
#define BRASSWOOD_LAB_RUN_STUDIES_H_

#include <ostream>
#include <string>
#include <vector>

#include "lab/report/write.h"

namespace brasswood::lab {

struct Side {  // what is run: a build, and changes to the scenario
  std::vector<std::string> router{"build/brasswood"};
  Overrides overrides;
};

struct Study {
  std::string scenario;  // the file
  Overrides overrides;   // of every run
  std::string folder;
  int runs = 10;
  std::uint64_t seed = 0;  // of the first pair; 0: the scenario's own
  const std::atomic<bool>* interrupted = nullptr;
  std::ostream* progress = nullptr;  // a line a run; null: none
};

// Exit codes of the program, and what a study returns.
enum class Exit { kFine = 0, kFailed = 1, kBadUse = 2, kVoid = 3, kPartial = 4 };

// Runs A and B in turn with the same seed, `runs` pairs of them, the order within a pair changing from pair
// to pair; prints the table and writes comparison.json. A pair with a void run is played once more, then
// left out. A broken rule on either side fails the study.
Exit CompareSides(const Study& study, const Side& a, const Side& b, std::ostream& out);

// One row of figures for each value of a parameter.
Exit Sweep(const Study& study, const Side& side, const std::string& parameter,
           const std::vector<std::string>& values, std::ostream& out);

struct Aim {
  double in_time = 0.99;  // least share
  double p99_ms = 0;      // at most; 0: not asked
};
// The highest rate at which the aim holds, by bisection between `low` and `high` in `steps` steps. A rate
// at which the laboratory itself cannot keep up counts as too high, and is named.
Exit FindCapacity(const Study& study, const Side& side, const Aim& aim, double low, double high, int steps,
                  std::ostream& out);

// The emulator's own ceiling: requests a second that one core of it serves, with no router between.
Exit FindCeiling(double rate, double seconds, const std::string& folder, std::ostream& out);

}  // namespace brasswood::lab

#endif  // BRASSWOOD_LAB_RUN_STUDIES_H_
