// One run of a scenario: the emulated platform and the load generator each on its own thread, the routers
// as processes. The outcome records what actually happened.
#ifndef BRASSWOOD_LAB_RUN_EXPERIMENT_H_
#define BRASSWOOD_LAB_RUN_EXPERIMENT_H_

#include <atomic>
#include <functional>
#include <string>
#include <vector>

#include "lab/run/router_process.h"
#include "lab/truth/rule_checker.h"

namespace brasswood::lab {

struct Sample {
  Duration at{0};  // from the start of the load
  int router = 0;
  Usage usage;
};

struct RunOptions {
  std::vector<std::string> router{"build/brasswood"};  // the program and its arguments
  std::string folder;                                  // for logs and configurations; created if missing
  bool direct = false;  // no router: clients connect directly to the first cache server
  const std::atomic<bool>* interrupted = nullptr;  // true: the run ends early with a partial result
  std::function<void(Duration, std::uint64_t sent, std::uint64_t served)>
      progress;  // called several times a second
};

struct Outcome {
  RunRecord record;
  std::vector<Sample> samples;
  std::vector<Violation> violations;
  std::vector<std::string> troubles;  // routers that failed to start, crashed or failed to stop
  double ready_s = 0;                 // from the first start until all routers were ready
  double router_cpu_s = 0;            // total of all router processes
  bool partial = false;               // the run was interrupted
  // The reasons why the figures are invalid (the laboratory itself could not keep up); empty if they are
  // valid.
  std::vector<std::string> void_because;
};

// The unused CPU time of the host machine while the load ran.
struct HostHeadroom {
  double idle_share = 1;  // of the time of all cores
  double duration_s = 0;  // length of the measurement
};
// Adds to void_because each reason why the figures are invalid: load generator, emulator or host could not
// keep up.
void CheckRunValidity(Outcome& outcome, const HostHeadroom& headroom);

// Runs the scenario once: starts the emulated servers, discovery and the routers, sends the load and
// returns what was recorded. A router that does not become ready is listed in Outcome::troubles.
// std::runtime_error is thrown if the laboratory itself cannot be set up at all, for example because no
// port can be reserved for a router.
Outcome RunOnce(const Scenario& scenario, const RunOptions& options);

}  // namespace brasswood::lab

#endif  // BRASSWOOD_LAB_RUN_EXPERIMENT_H_
