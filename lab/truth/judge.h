// The judge: from the truth of a run, which rules were broken. A pure function of the records, so that it
// is tested on made-up ones as well as on routers that break each rule.
#ifndef BRASSWOOD_LAB_TRUTH_JUDGE_H_
#define BRASSWOOD_LAB_TRUTH_JUDGE_H_

#include <string>
#include <string_view>
#include <vector>

#include "lab/truth/truth.h"

namespace brasswood::lab {

enum class Rule {
  kAnswer,   // one whole, true answer, in time
  kOnce,     // never two attempts at once, writes by their class, attempts within their number
  kDrain,    // nothing new to a machine the router was told is going
  kColdPush  // no cold machine pushed over, the origin not felled by cold misses
};
inline constexpr std::string_view kRuleNames[] = {"answer", "once", "drain", "cold push"};

struct Breach {
  Rule rule = Rule::kAnswer;
  RequestId request = 0;  // 0: of a machine as a whole
  int machine = -1;       // -1: none in particular
  Time at{0};
  std::string what;
};

// In the order of their times. `lag`, how late the laboratory itself ran at worst, is added to every limit
// on time: a breach must be the router's.
std::vector<Breach> Judge(const Truth& truth);

// Everything known of the breach's request (or machine): the client's tries, the machines' attempts, and
// the lines of the routers' logs that name it or fall within its life.
std::string Story(const Truth& truth, const Breach& breach);

}  // namespace brasswood::lab

#endif  // BRASSWOOD_LAB_TRUTH_JUDGE_H_
