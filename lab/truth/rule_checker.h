// The rule checker: finds in the record of a run which rules were violated. It is a pure function of the
// record, so that it can be tested on constructed records as well as on routers that break each rule.
#ifndef BRASSWOOD_LAB_TRUTH_RULE_CHECKER_H_
#define BRASSWOOD_LAB_TRUTH_RULE_CHECKER_H_

#include <string>
#include <string_view>
#include <vector>

#include "lab/truth/truth.h"

namespace brasswood::lab {

enum class Rule {
  kAnswer,  // each request gets one complete and correct answer, in time
  kOnce,    // at most one attempt at a time, max_attempts is kept, writes repeat only as their class allows
  kDrain,   // no new attempt at a server that the router was notified is going out of service
  kColdOverload  // no cold server is overloaded, and cold misses do not overload the origin
};
inline constexpr std::string_view kRuleNames[] = {"answer", "once", "drain", "cold push"};

struct Violation {
  Rule rule = Rule::kAnswer;
  RequestId request = 0;  // 0: concerns a server as a whole
  int server = -1;        // -1: no server in particular
  Time at{0};
  std::string what;
};

// The violations, in order of time. The maximum lateness of the laboratory itself is added to every time
// limit, so that the laboratory's delays are not reported as the router's.
std::vector<Violation> CheckRules(const RunRecord& truth);

// Everything recorded about the request of a violation: the client's tries, the servers' attempts, and the
// lines of the routers' logs that contain its id or were written while it was open.
std::string DescribeViolation(const RunRecord& truth, const Violation& violation);

}  // namespace brasswood::lab

#endif  // BRASSWOOD_LAB_TRUTH_RULE_CHECKER_H_
